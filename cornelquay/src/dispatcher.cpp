#include "details/dispatcher.h"

#include <algorithm>
#include <random>
#include <set>
#include <thread>

namespace Cornelquay::Details {

namespace {

using namespace std::chrono_literals;

/** Limit for attempts of one request that ran or may have run. */
constexpr int MaxRunAttempts = 3;
/**
 * Limit for all attempts of one request, including those that provably did not run. Attempts of an
 * idempotent request that found no slot do not count.
 */
constexpr int MaxAttempts = 50;
constexpr auto MinBackoffDelay = 5ms;
constexpr auto MaxBackoffDelay = 200ms;
constexpr auto ClaimTimeout = 3s;
/** A sender that finds a request bound by another one ends the binding if the task has not started after this time. */
constexpr auto UnstartedTaskTimeout = 1s;
constexpr auto JoinPollInterval = 20ms;
/** Time that a bound request waits for a slot on its instance. */
constexpr auto BoundSlotTimeout = 1s;
/** Limit for the exponent of the back-off while a bound request waits for a slot. */
constexpr int MaxBoundBackoffSteps = 2;
/** Assumed maximum difference between the clocks of nodes and workers. */
constexpr auto MaxClockSkew = 1s;

double seconds(SteadyTime from, SteadyTime to)
{
    return std::chrono::duration<double>(to - from).count();
}

// Sleeps for a random part of an exponentially growing delay (full jitter), so that the retries of many
// threads do not coincide.
void backOff(int attempt, SteadyTime deadline)
{
    thread_local std::minstd_rand random(std::random_device{}());
    const auto maxDelay = std::min<std::chrono::milliseconds>(MaxBackoffDelay, MinBackoffDelay * (1 << std::min(attempt, 6)));
    std::uniform_int_distribution<std::int64_t> delay(1, maxDelay.count());
    std::this_thread::sleep_until(std::min(deadline, steadyNow() + std::chrono::milliseconds(delay(random))));
}

AttemptResult attemptResult(const TaskOutcome &outcome)
{
    if (const auto *answered = std::get_if<TaskAnswered>(&outcome)) {
        return answered->succeeded ? AttemptResult::Succeeded : AttemptResult::Failed;
    }
    if (const auto *notRun = std::get_if<TaskNotRun>(&outcome)) {
        switch (notRun->reason) {
        case NotRunReason::NoSlot:
            return AttemptResult::NoSlot;
        case NotRunReason::Unreachable:
            return AttemptResult::Unreachable;
        case NotRunReason::Leaving:
        case NotRunReason::LeaseExpired:
        case NotRunReason::Replaced:
        case NotRunReason::Fenced:
            return AttemptResult::Refused;
        }
    }
    return AttemptResult::Unreachable;
}

bool isNoSlot(const TaskOutcome &outcome)
{
    const auto *notRun = std::get_if<TaskNotRun>(&outcome);
    return notRun != nullptr && notRun->reason == NotRunReason::NoSlot;
}

Answered toAnswered(TaskAnswered answered)
{
    return {answered.succeeded, std::move(answered.body), std::move(answered.contentType)};
}

std::string taskIdOf(const ClaimKey &key, Offset bindingOffset)
{
    return toHex(key) + '-' + std::to_string(bindingOffset);
}

NotRun toNotRun(const AdmissionRefused &refusal)
{
    switch (refusal.reason) {
    case AdmissionRefusal::QueueFull:
    case AdmissionRefusal::TeamQueueFull:
        return {RefusalReason::QueueFull, "the queue is full (" + std::string(toName(refusal.reason)) + ')', refusal.retryAfter};
    case AdmissionRefusal::DeadlinePassed:
        return {RefusalReason::DeadlinePassed, "the deadline passed before the request's turn", refusal.retryAfter};
    case AdmissionRefusal::Stopping:
        break;
    }
    return {RefusalReason::Stopping, "the node is stopping", refusal.retryAfter};
}

}

Dispatcher::Dispatcher(Replica &replica,
                       const ServiceTables &services,
                       Admission &admission,
                       Upstreams &upstreams,
                       ClaimWriter &claims,
                       RetryBudget &retries,
                       std::function<bool(const std::string &team)> mayRenewLeases,
                       Metrics &metrics)
    : m_replica(replica)
    , m_services(services)
    , m_admission(admission)
    , m_upstreams(upstreams)
    , m_claims(claims)
    , m_retries(retries)
    , m_mayRenewLeases(std::move(mayRenewLeases))
    , m_retriesTotal(metrics.counter("retries_total", "Attempts after the first one"))
    , m_joinsTotal(metrics.counter("joined_requests_total", "Requests that another sender had already claimed"))
    , m_queueSeconds(metrics.latency("stage_seconds", "Time of each stage of a request", {{"stage", "queue"}}))
    , m_claimSeconds(metrics.latency("stage_seconds", "Time of each stage of a request", {{"stage", "claim"}}))
    , m_taskSeconds(metrics.latency("stage_seconds", "Time of each stage of a request", {{"stage", "task"}}))
{
}

Outcome Dispatcher::run(const WorkOrder &order)
{
    const tl::expected<Target, NotRun> target = findTarget(order);
    if (!target) {
        return target.error();
    }
    m_retries.addRequest(order.service);
    if (order.idempotent) {
        return runIdempotent(order, *target);
    }
    Outcome outcome = runAtMostOnce(order, *target);
    if (std::holds_alternative<NotRun>(outcome) && isClaimed(claimKeyOf(order.team, order.requestId))) {
        // This submission did not run, but another one with the same request id is bound and may run.
        return OutcomeUnknown{"another submission of this request id may have run"};
    }
    return outcome;
}

bool Dispatcher::isClaimed(const ClaimKey &key) const
{
    bool isBound = false;
    m_replica.query([&](const FleetState &state) {
        isBound = activeClaim(state, key).has_value();
    });
    return isBound;
}

tl::expected<Dispatcher::Target, NotRun> Dispatcher::findTarget(const WorkOrder &order) const
{
    const std::shared_ptr<const ServiceTable> table = m_services.current();
    const auto found = table->services.find(order.service);
    if (found == table->services.end()) {
        return tl::make_unexpected(NotRun{RefusalReason::UnknownService, "there is no service '" + order.service + "'", 0ms});
    }
    const ServiceEntry &service = found->second;
    const Resources size = order.size.value_or(service.size);
    if (service.pool.instances == 0) {
        return tl::make_unexpected(NotRun{RefusalReason::NoCapacity, "pool '" + service.poolName + "' has no instances", 1000ms});
    }
    if (!fits(size, service.pool.largest)) {
        const std::string message = "the work is larger than every instance of pool '" + service.poolName + "'";
        return tl::make_unexpected(NotRun{RefusalReason::Impossible, message, 0ms});
    }
    return Target{service.poolName, dominantShare(size, service.pool.total)};
}

tl::expected<AdmissionTicket, NotRun> Dispatcher::admit(const WorkOrder &order, const Target &target)
{
    const SteadyTime enteredAt = steadyNow();
    auto ticket = m_admission.enter({order.team, target.pool, target.cost, order.urgency, order.receivedAt, order.deadline});
    m_queueSeconds.observe(seconds(enteredAt, steadyNow()));
    if (!ticket) {
        return tl::make_unexpected(toNotRun(ticket.error()));
    }
    return std::move(*ticket);
}

NotRun Dispatcher::noCapacity(const Target &target, const std::string &message) const
{
    return {RefusalReason::NoCapacity, message, m_admission.retryAfter(target.pool)};
}

SteadyTime Dispatcher::leaseEnd(const UpstreamSlot &slot) const
{
    return steadyNow() + slot.exchange->leaseLifetime() + MaxClockSkew;
}

TaskOutcome Dispatcher::runTask(const WorkOrder &order, const AdmissionTicket &ticket, const std::string &taskId)
{
    const UpstreamSlot &slot = ticket.slot;
    const SteadyTime startedAt = steadyNow();
    WorkerReport report;
    const auto mayRenew = [this, &order] {
        return m_mayRenewLeases(order.team);
    };
    const Task task{taskId, order.requestId, order.team, order.service, order.payload, ticket.grantedAt, mayRenew};
    TaskOutcome outcome = slot.exchange->run(task, order.deadline, report);
    const SteadyTime endedAt = steadyNow();
    m_upstreams.giveBack(slot, attemptResult(outcome), report, endedAt);
    m_taskSeconds.observe(seconds(startedAt, endedAt));
    return outcome;
}

// An idempotent request needs no claim: after a failure it may run again on any instance, within the
// retry budget.
Outcome Dispatcher::runIdempotent(const WorkOrder &order, const Target &target)
{
    bool mayHaveRun = false;
    int runAttempts = 0;
    std::optional<Outcome> lastOutcome;
    int attempt = 0;
    while (attempt < MaxAttempts) {
        auto ticket = admit(order, target);
        if (!ticket) {
            if (lastOutcome) {
                return *lastOutcome;
            }
            return mayHaveRun ? Outcome(OutcomeUnknown{"an earlier attempt may have run"}) : Outcome(ticket.error());
        }
        TaskOutcome outcome = runTask(order, *ticket, toHex(newRecordId()));
        const bool isUnknown = std::holds_alternative<TaskUnknown>(outcome);
        // A task that may still be running keeps its permit until its lease has expired.
        m_admission.leave(*ticket, isUnknown ? leaseEnd(ticket->slot) : SteadyTime());
        if (isNoSlot(outcome)) {
            // Another node took the slot first; the request enters the queue again with its original arrival time.
            continue;
        }
        if (auto *answered = std::get_if<TaskAnswered>(&outcome)) {
            const bool succeeded = answered->succeeded;
            lastOutcome = toAnswered(std::move(*answered));
            if (succeeded) {
                return *lastOutcome;
            }
        } else if (isUnknown) {
            mayHaveRun = true;
            lastOutcome = OutcomeUnknown{std::get<TaskUnknown>(outcome).detail};
        }
        if (!std::holds_alternative<TaskNotRun>(outcome)) {
            runAttempts += 1;
            if (runAttempts >= MaxRunAttempts || !m_retries.tryTake(order.service)) {
                return *lastOutcome;
            }
        }
        m_retriesTotal.increment();
        backOff(++attempt, order.deadline);
    }
    return lastOutcome.value_or(Outcome(noCapacity(target, "no instance took the work")));
}

// A request that is not idempotent is bound to one instance by a claim in the log before it is sent
// there, so that it runs at most once.
Outcome Dispatcher::runAtMostOnce(const WorkOrder &order, const Target &target)
{
    const ClaimKey key = claimKeyOf(order.team, order.requestId);
    for (int attempt = 0; attempt < MaxAttempts; ++attempt) {
        if (isClaimed(key)) {
            bool claimEnded = false;
            Outcome outcome = joinClaimed(order, key, claimEnded);
            if (!claimEnded) {
                return outcome;
            }
            continue;
        }
        auto ticket = admit(order, target);
        if (!ticket) {
            return ticket.error();
        }
        if (std::optional<Outcome> outcome = claimAndRun(order, key, *ticket)) {
            return std::move(*outcome);
        }
        backOff(attempt, order.deadline);
    }
    return noCapacity(target, "no instance took the work");
}

/** Makes one claim and one attempt; returns nullopt if the request provably did not run and may be tried again. */
std::optional<Outcome> Dispatcher::claimAndRun(const WorkOrder &order, const ClaimKey &key, const AdmissionTicket &ticket)
{
    const SteadyTime startedAt = steadyNow();
    const ClaimResult claim = m_claims.claim({key, ticket.slot.instance, ticket.slot.incarnation}, std::min(order.deadline, startedAt + ClaimTimeout));
    m_claimSeconds.observe(seconds(startedAt, steadyNow()));
    const auto *bound = std::get_if<ClaimBound>(&claim);
    if (bound == nullptr) {
        m_upstreams.giveBack(ticket.slot, AttemptResult::Refused, {}, steadyNow());
        m_admission.leave(ticket, SteadyTime());
        if (std::holds_alternative<ClaimTaken>(claim)) {
            return std::nullopt;
        }
        return NotRun{RefusalReason::ClaimUnavailable, "the log did not confirm that the request runs only once", 1000ms};
    }
    TaskOutcome outcome = runBound(order, ticket, taskIdOf(key, bound->bindingOffset));
    const bool isUnknown = std::holds_alternative<TaskUnknown>(outcome);
    m_admission.leave(ticket, isUnknown ? leaseEnd(ticket.slot) : SteadyTime());
    if (auto *answered = std::get_if<TaskAnswered>(&outcome)) {
        return toAnswered(std::move(*answered));
    }
    if (isUnknown) {
        return OutcomeUnknown{std::get<TaskUnknown>(outcome).detail};
    }
    m_claims.release({key, bound->bindingOffset});
    if (steadyNow() >= order.deadline) {
        return NotRun{RefusalReason::DeadlinePassed, "the deadline passed before an instance took the work", 100ms};
    }
    m_retriesTotal.increment();
    return std::nullopt;
}

// Waits for a slot on the bound instance for up to BoundSlotTimeout, since binding the request to another
// one costs two appends to the log, a release and a new claim.
TaskOutcome Dispatcher::runBound(const WorkOrder &order, const AdmissionTicket &ticket, const std::string &taskId)
{
    const SteadyTime waitEnd = std::min(order.deadline, steadyNow() + BoundSlotTimeout);
    TaskOutcome outcome = runTask(order, ticket, taskId);
    for (int attempt = 0; isNoSlot(outcome) && steadyNow() < waitEnd; ++attempt) {
        backOff(std::min(attempt, MaxBoundBackoffSteps), waitEnd);
        std::optional<UpstreamSlot> slot = m_upstreams.pickInstance(ticket.slot.instance, steadyNow());
        if (!slot) {
            break;
        }
        if (slot->incarnation != ticket.slot.incarnation) {
            m_upstreams.giveBack(*slot, AttemptResult::Refused, {}, steadyNow());
            break;
        }
        AdmissionTicket nextTicket = ticket;
        nextTicket.slot = std::move(*slot);
        outcome = runTask(order, nextTicket, taskId);
    }
    return outcome;
}

// Fetches the answer of a request that another sender bound. If the task has not started in time, the
// worker is made to confirm that it never will, and the binding is released. Sets @p claimEnded if the
// request is no longer bound, so that the caller can claim it.
Outcome Dispatcher::joinClaimed(const WorkOrder &order, const ClaimKey &key, bool &claimEnded)
{
    m_joinsTotal.increment();
    const SteadyTime joinDeadline = steadyNow() + UnstartedTaskTimeout;
    while (true) {
        std::optional<ClaimEntry> entry;
        std::string instance;
        m_replica.query([&](const FleetState &state) {
            entry = activeClaim(state, key);
            instance = entry ? state.instanceNames[entry->instanceIndex] : std::string();
        });
        if (!entry) {
            claimEnded = true;
            return OutcomeUnknown{};
        }
        const std::shared_ptr<TaskExchange> exchange = m_upstreams.exchange(instance, entry->instanceIncarnation);
        if (!exchange) {
            return OutcomeUnknown{"the instance that was to run the request is gone"};
        }
        WorkerReport report;
        const std::string taskId = taskIdOf(key, entry->bindingOffset);
        TaskOutcome outcome = exchange->attach(taskId, order.deadline, report);
        const bool isWaitOver = steadyNow() >= std::min(joinDeadline, order.deadline);
        if (std::holds_alternative<TaskNotRun>(outcome) && isWaitOver) {
            outcome = exchange->cancel(taskId, order.deadline, report);
        }
        if (auto *answered = std::get_if<TaskAnswered>(&outcome)) {
            return toAnswered(std::move(*answered));
        }
        if (const auto *unknown = std::get_if<TaskUnknown>(&outcome)) {
            return OutcomeUnknown{unknown->detail};
        }
        if (std::get<TaskNotRun>(outcome).reason == NotRunReason::Fenced) {
            m_claims.release({key, entry->bindingOffset});
            if (steadyNow() >= order.deadline) {
                return NotRun{RefusalReason::DeadlinePassed, "the deadline passed before the request was started", 100ms};
            }
        }
        std::this_thread::sleep_until(std::min(order.deadline, steadyNow() + JoinPollInterval));
    }
}

}
