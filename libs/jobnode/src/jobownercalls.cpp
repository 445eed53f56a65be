#include "details/jobownerimpl.h"
#include "telemetry/log.h"

#include <algorithm>
#include <utility>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// The store counts as unavailable, and new jobs are refused, while a batch waits for longer than this.
constexpr auto StoreUnavailableTimeout = 700ms;
constexpr std::int64_t StoreUnavailableRetryAfterMs = 1000;
constexpr std::int64_t ConfigurationRetryAfterMs = 300;
// The id is free again once the other account's job is closed and forgotten, which takes minutes.
constexpr std::int64_t IdInUseRetryAfterMs = 60000;
// Minimum for a submission that is refused because its id was cancelled: the id may stay in use a little longer than it must.
constexpr std::int64_t MinIdRetryAfterMs = 1000;
// Time for the answer to reach the caller through the node that forwarded the call.
constexpr std::int64_t AnswerMarginMs = 150;
// Minimum time that a call waits for its batch: several times the usual duration of a batch.
constexpr std::int64_t MinAnswerTimeMs = 400;

JobAnswer answerFor(const JobRefused &refused)
{
    const std::int64_t retryAfterMs = refused.retryAfter.count();
    switch (refused.reason) {
    case RefusalReason::PoolFull:
        break;
    case RefusalReason::AccountOverShare:
        return JobAnswer::overShare("the account is over its share, and its own jobs would delay the job until it is of no use", retryAfterMs);
    case RefusalReason::AccountAtCap:
        return JobAnswer::overShare("the account is at its limit, and its own jobs would delay the job until it is of no use", retryAfterMs);
    }
    return JobAnswer::notRun("the job could not be completed within three times its objective", retryAfterMs);
}

/** Number of tasks of the first step that would get a worker. */
std::uint32_t placedTasks(const PlacementExplanation &placement)
{
    std::uint32_t placed = 0;
    for (const TaskGroup &group : placement.firstStep) {
        placed += group.outcome == PlacementOutcome::Placed ? group.tasks : 0;
    }
    return placed;
}

bool isOfOtherAccountThan(const JobCall &call, const JobRecord &job)
{
    // The route may be public now or when the job was submitted, so one of the calls had no account.
    const bool isAnonymous = job.account.empty() || call.account.empty();
    return job.account != call.account && (!isAnonymous || job.queue != call.queue);
}

JobRecord makeRecord(const JobCall &call, const QueuePolicy &queue)
{
    JobRecord record;
    record.id = call.job;
    record.queue = call.queue;
    record.account = call.account;
    record.terms = queue.terms;
    record.spec = call.spec;
    return record;
}

}

void JobOwner::Impl::expireAnswers()
{
    const std::int64_t wallMs = toUnixMilliseconds(wallNow());
    std::vector<PendingAnswer> expired;
    for (auto waiting = pendingAnswers.begin(); waiting != pendingAnswers.end();) {
        if (wallMs > waiting->expiresMs) {
            expired.push_back(std::move(*waiting));
            waiting = pendingAnswers.erase(waiting);
        } else {
            ++waiting;
        }
    }
    for (const PendingAnswer &waiting : expired) {
        logChange("owner", "batch not stored in time for a call", {{"job", waiting.job}, {"batch", std::to_string(waiting.batch)}});
        waiting.respond(JobAnswer::unknown("the store did not answer in time"));
    }
}

bool JobOwner::Impl::isStoreUnavailable(BootTime now) const
{
    return (storeInFlight && now - batchStartedAt > StoreUnavailableTimeout) || !permission->allows(OwnerAction::OrderWorkers, now);
}

void JobOwner::Impl::handle(const JobCall &call, const Responder &respond)
{
    if (!serving || draining) {
        respond(JobAnswer::notRun("the owner of the jobs is changing", TakeoverRetryAfterMs));
        return;
    }
    switch (call.kind) {
    case JobCallKind::AnnounceOwner:
        // The node handles announcements itself.
        respond(JobAnswer::of(JobAnswerKind::Done));
        break;
    case JobCallKind::Submit:
        submit(call, respond);
        break;
    case JobCallKind::Cancel:
        cancel(call, respond);
        break;
    case JobCallKind::State: {
        const std::optional<JobState> state = stateFor(call);
        if (!state) {
            answerUnknownOnceConfirmed(call, respond);
            break;
        }
        JobAnswer answer = JobAnswer::of(JobAnswerKind::State);
        answer.state = *state;
        respond(std::move(answer));
        break;
    }
    case JobCallKind::CountPending: {
        JobAnswer answer = JobAnswer::of(JobAnswerKind::Pending);
        answer.pending = scheduler.pendingJobCount(call.queue);
        respond(std::move(answer));
        break;
    }
    case JobCallKind::Explain:
        explain(call, respond);
        break;
    case JobCallKind::ExchangeAdvice:
        adviceDispatcher.handleOffer(call.advice, respond, BootClock::now());
        break;
    }
    schedulePump();
}

bool JobOwner::Impl::isOfOtherAccount(const JobCall &call) const
{
    const JobRecord *job = scheduler.findJob(call.job);
    return job != nullptr && isOfOtherAccountThan(call, *job);
}

void JobOwner::Impl::cancel(const JobCall &call, const Responder &respond)
{
    if (isOfOtherAccount(call)) {
        answerUnknownOnceConfirmed(call, respond);
        return;
    }
    const CancelOutcome outcome = scheduler.cancel(call.job, toUnixMilliseconds(wallNow()));
    if (outcome.known) {
        answerOnceStored(outcome.batch, call, JobAnswer::of(JobAnswerKind::Done), respond);
    } else {
        cancelEarly(call, respond);
    }
}

void JobOwner::Impl::cancelEarly(const JobCall &call, const Responder &respond)
{
    const std::int64_t wallMs = toUnixMilliseconds(wallNow());
    JobRecord record;
    record.id = call.job;
    record.queue = call.queue;
    record.account = call.account;
    const JobRecord *known = scheduler.findEarlyCancellation(call.job);
    if (known != nullptr && isOfOtherAccountThan(call, *known)) {
        respond(JobAnswer::notRun("the id is in use", IdInUseRetryAfterMs));
        return;
    }
    if (known == nullptr && isStoreUnavailable(BootClock::now())) {
        respond(JobAnswer::notRun("the store does not answer", StoreUnavailableRetryAfterMs));
        return;
    }
    if (const std::optional<JobAnswer> refusal = known == nullptr ? refusalForMemory(record, wallMs) : std::nullopt) {
        respond(*refusal);
        return;
    }
    const std::uint64_t batch = scheduler.cancelEarly(std::move(record), wallMs);
    if (scheduler.isStored(batch)) {
        answerUnknownOnceConfirmed(call, respond);
    } else {
        answerOnceStored(batch, call, JobAnswer::of(JobAnswerKind::UnknownJob), respond);
    }
}

std::optional<JobAnswer> JobOwner::Impl::refusalForEarlyCancellation(const JobCall &call) const
{
    const JobRecord *cancelled = scheduler.findEarlyCancellation(call.job);
    if (cancelled == nullptr || isOfOtherAccountThan(call, *cancelled)) {
        return std::nullopt;
    }
    const std::int64_t ageMs = toUnixMilliseconds(wallNow()) - cancelled->closedMs;
    logChange("owner", "submission after its cancel", {{"job", call.job}, {"cancelled-ms-ago", std::to_string(ageMs)}});
    const std::int64_t keptMs = context.schedulerTimes.closedJobRetentionPeriod.count();
    return JobAnswer::notRun("the job was cancelled before it was received", std::clamp<std::int64_t>(keptMs - ageMs, MinIdRetryAfterMs, keptMs));
}

std::optional<JobState> JobOwner::Impl::stateFor(const JobCall &call) const
{
    return isOfOtherAccount(call) ? std::nullopt : scheduler.stateOf(call.job);
}

void JobOwner::Impl::answerUnknownOnceConfirmed(const JobCall &call, const Responder &respond)
{
    unconfirmedCalls.push_back({BootClock::now(), call, respond});
}

void JobOwner::Impl::answerUnconfirmedCalls(BootTime now)
{
    while (!unconfirmedCalls.empty()) {
        const bool isConfirmed = permission->confirmedAt() > unconfirmedCalls.front().arrivedAt;
        if (!isConfirmed && permission->allows(OwnerAction::OrderWorkers, now)) {
            return;
        }
        const UnconfirmedCall waiting = std::move(unconfirmedCalls.front());
        unconfirmedCalls.pop_front();
        const bool isCancellable = scheduler.findJob(waiting.call.job) != nullptr && !isOfOtherAccount(waiting.call);
        const bool isKnown = waiting.call.kind == JobCallKind::Cancel ? isCancellable : stateFor(waiting.call).has_value();
        if (isKnown) {
            handle(waiting.call, waiting.respond);
        } else if (isConfirmed) {
            waiting.respond(JobAnswer::of(JobAnswerKind::UnknownJob));
        } else {
            logChange("owner",
                      "job not known, ownership not confirmed",
                      {{"job", waiting.call.job}, {"store-contact-age-ms", std::to_string(ageMs(permission->confirmedAt(), now))}});
            waiting.respond(JobAnswer::notRun("the owner of the jobs may have changed", TakeoverRetryAfterMs));
        }
    }
}

void JobOwner::Impl::submit(const JobCall &call, const Responder &respond)
{
    const BootTime now = BootClock::now();
    if (isOfOtherAccount(call)) {
        respond(JobAnswer::notRun("the id is in use", IdInUseRetryAfterMs));
        return;
    }
    if (const std::optional<JobAnswer> refusal = refusalForEarlyCancellation(call)) {
        respond(*refusal);
        return;
    }
    if (scheduler.findJob(call.job) == nullptr) {
        const auto queue = policy->queues.find(call.queue);
        if (queue == policy->queues.end()) {
            respond(JobAnswer::notRun("the owner does not have this configuration yet", ConfigurationRetryAfterMs));
            return;
        }
        JobRecord record = makeRecord(call, queue->second);
        if (const std::optional<JobAnswer> refusal = refusalFor(record, now)) {
            respond(*refusal);
            return;
        }
        const AdmissionDecision decision = scheduler.decideAdmission(record, now);
        if (const JobRefused *refused = std::get_if<JobRefused>(&decision)) {
            admissionReport.record(record, *refused, now);
            respond(answerFor(*refused));
            return;
        }
        const SubmitOutcome outcome = scheduler.submit(std::move(record), now, toUnixMilliseconds(wallNow()));
        answerOnceStored(outcome.batch, call, JobAnswer::of(JobAnswerKind::Done), respond);
        return;
    }
    if (scheduler.stateOf(call.job)) {
        respond(JobAnswer::of(JobAnswerKind::Done));
        return;
    }
    // The job was submitted before, but is not stored yet: the scheduler gives the batch to wait for.
    JobRecord repeated;
    repeated.id = call.job;
    const SubmitOutcome outcome = scheduler.submit(std::move(repeated), now, toUnixMilliseconds(wallNow()));
    answerOnceStored(outcome.batch, call, JobAnswer::of(JobAnswerKind::Done), respond);
}

std::optional<JobAnswer> JobOwner::Impl::refusalFor(const JobRecord &record, BootTime now) const
{
    if (isStoreUnavailable(now)) {
        return JobAnswer::notRun("the store does not answer", StoreUnavailableRetryAfterMs);
    }
    if (const std::optional<std::chrono::milliseconds> retryDelay = scheduler.adviceRetryDelay(record)) {
        return JobAnswer::notRun("the advice service is too far behind", retryDelay->count());
    }
    return refusalForMemory(record, toUnixMilliseconds(wallNow()));
}

std::optional<JobAnswer> JobOwner::Impl::refusalForMemory(const JobRecord &record, std::int64_t wallMs) const
{
    const MemoryDecision memory = scheduler.decideMemory(record, wallMs);
    if (!memory.isRefused) {
        return std::nullopt;
    }
    return memory.isAccountOverShare ? JobAnswer::overShare("the account's jobs take their part of the owner's memory", memory.retryAfter.count())
                                     : JobAnswer::notRun("the jobs that the owner holds take all memory for jobs", memory.retryAfter.count());
}

void JobOwner::Impl::explain(const JobCall &call, const Responder &respond)
{
    const BootTime now = BootClock::now();
    const auto queue = policy->queues.find(call.queue);
    if (queue == policy->queues.end()) {
        respond(JobAnswer::notRun("the owner does not have this configuration yet", ConfigurationRetryAfterMs));
        return;
    }
    if (!explanationLimit.admit(now)) {
        explanationsRefusedTotal.increment();
        respond(JobAnswer::tooMany("the owner explains " + std::to_string(ExplanationLimit::MaxPerPeriod) + " placements a second",
                                   ExplanationLimit::Period.count()));
        return;
    }
    explanationsTotal.increment();
    const SteadyTime begun = steadyNow();
    const JobRecord record = makeRecord(call, queue->second);
    Explanation scheduled = scheduler.explain(record, now, toUnixMilliseconds(wallNow()));
    JobExplanation explanation{{}, std::move(scheduled.placement), views(now)};
    std::optional<JobAnswer> refusal = refusalFor(record, now);
    if (const JobRefused *refused = std::get_if<JobRefused>(&scheduled.admission); refused != nullptr && !refusal) {
        refusal = answerFor(*refused);
    }
    if (refusal) {
        explanation.admission = {refusal->kind, refusal->retryAfterMs, refusal->reason};
        explanation.placement.setNotPlaced(PlacementOutcome::NotAdmitted);
    }
    const PlacementExplanation &placement = explanation.placement;
    logChange("owner",
              "explained",
              {{"queue", call.queue},
               {"account", call.account},
               {"pool", placement.pool},
               {"admission", std::string(toName(explanation.admission.kind))},
               {"placed", std::to_string(placedTasks(placement))},
               {"of", placement.steps.empty() ? "0" : std::to_string(placement.steps.front().tasks)},
               {"jobs-ahead", std::to_string(placement.order.jobsAhead)},
               {"zones-age-ms", std::to_string(placement.views.zonesAgeMs)},
               {"store-contact-age-ms", std::to_string(explanation.owner.storeContactAgeMs)},
               {"us", std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(steadyNow() - begun).count())}});
    JobAnswer answer = JobAnswer::of(JobAnswerKind::Explained);
    answer.reason = encode(explanation);
    respond(std::move(answer));
}

OwnerViews JobOwner::Impl::views(BootTime now) const
{
    OwnerViews views;
    views.epoch = epoch;
    views.ownershipAgeMs = ageMs(begunAt, now);
    views.storeContactAgeMs = ageMs(permission->confirmedAt(), now);
    views.configurationAgeMs = ageMs(policySetAt, now);
    views.registryAgeMs = ageMs(registryReadAt, now);
    return views;
}

void JobOwner::Impl::answerOnceStored(std::uint64_t batch, const JobCall &call, JobAnswer answer, Responder respond)
{
    if (scheduler.isStored(batch)) {
        respond(std::move(answer));
        return;
    }
    // The clock of the node that received the call may differ from this one, so the deadline may seem to be over at once.
    // The minimum keeps such a call from being answered as unknown although the store answers in its usual time.
    const std::int64_t wallMs = toUnixMilliseconds(wallNow());
    const std::int64_t expiresMs = std::max(call.deadlineMs - AnswerMarginMs, wallMs + MinAnswerTimeMs);
    pendingAnswers.push_back({batch, std::move(answer), expiresMs, call.job, std::move(respond)});
}

JobOwner::JobOwner(const JobOwnerContext &context,
                   std::uint64_t epoch,
                   PredecessorState predecessorState,
                   std::function<void(std::string reason)> onOwnershipLost)
    : m_impl(std::make_shared<Impl>(context, epoch, std::move(predecessorState), std::move(onOwnershipLost)))
{
}

JobOwner::~JobOwner()
{
    m_impl->end();
}

}
