#include "admission/admission.h"

#include <algorithm>
#include <array>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

/** Interval of the checks for worker slots that other nodes have freed. */
constexpr auto RecheckInterval = 5ms;
constexpr auto MinRetryAfter = 100ms;
constexpr auto MaxRetryAfter = 30000ms;
/** Weight of the newest value in the moving average PoolQueue::gapSeconds. */
constexpr double GapSmoothingFactor = 0.05;
constexpr double InitialGapSeconds = 0.01;

/** A thread that waits in Admission::enter(). */
struct Waiter {
    std::condition_variable turn;
    std::optional<AdmissionTicket> ticket;
};

/** Queue of one pool and the rate at which its turns end. */
struct PoolQueue {
    FairQueue queue;
    SteadyTime lastTurnEndedAt;
    /** Moving average of the time between the ends of two turns. */
    double gapSeconds = InitialGapSeconds;
};

}

std::string_view toName(AdmissionRefusal reason)
{
    constexpr std::array<std::string_view, 4> Names{"queue-full", "team-queue-full", "deadline-passed", "stopping"};
    return Names[static_cast<std::size_t>(reason)];
}

struct Admission::Impl {
    Impl(AdmissionLimits admissionLimits, Upstreams &workerUpstreams, Metrics &metrics)
        : limits(admissionLimits)
        , upstreams(workerUpstreams)
        , waitingGauge(metrics.gauge("queue_waiting", "Requests waiting for their turn"))
        , refusedTotal(metrics.counter("queue_refused_total", "Requests refused because a queue was full"))
    {
    }

    const AdmissionLimits limits;
    Upstreams &upstreams;
    mutable std::mutex mutex;
    std::map<std::string, PoolQueue> pools;
    std::map<std::string, double> shares;
    TeamLimits teamLimits;
    std::unordered_map<std::uint64_t, Waiter *> waiters;
    std::map<std::string, std::size_t> waitingByTeam;
    std::uint64_t lastId = 0;
    bool stopping = false;
    std::function<bool()> gate;
    std::condition_variable waitersChanged;
    std::thread recheckThread;
    Gauge waitingGauge;
    Counter refusedTotal;

    PoolQueue &poolQueue(const std::string &pool);
    std::optional<AdmissionRefusal> refusal(const AdmissionRequest &request) const;
    std::chrono::milliseconds retryAfter(const std::string &pool) const;
    void dispatchTurns(const std::string &pool, SteadyTime now);
    void runRechecks();
    void dequeue(const AdmissionRequest &request, std::uint64_t id);
    void countWaiting(const std::string &team, int change);
};

PoolQueue &Admission::Impl::poolQueue(const std::string &pool)
{
    const auto [found, inserted] = pools.try_emplace(pool, PoolQueue{FairQueue(limits.turns), {}, InitialGapSeconds});
    if (inserted) {
        found->second.queue.setShares(shares);
    }
    return found->second;
}

std::optional<AdmissionRefusal> Admission::Impl::refusal(const AdmissionRequest &request) const
{
    if (stopping) {
        return AdmissionRefusal::Stopping;
    }
    if (steadyNow() >= request.deadline) {
        return AdmissionRefusal::DeadlinePassed;
    }
    if (waiters.size() >= limits.maxWaiting) {
        return AdmissionRefusal::QueueFull;
    }
    const auto found = waitingByTeam.find(request.team);
    if (found != waitingByTeam.end() && found->second >= limits.maxWaitingPerTeam) {
        return AdmissionRefusal::TeamQueueFull;
    }
    return std::nullopt;
}

std::chrono::milliseconds Admission::Impl::retryAfter(const std::string &pool) const
{
    const auto found = pools.find(pool);
    if (found == pools.end()) {
        return MinRetryAfter;
    }
    const double seconds = found->second.gapSeconds * static_cast<double>(found->second.queue.waiting() + 1);
    const auto estimate = std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
    return std::clamp<std::chrono::milliseconds>(estimate, MinRetryAfter, MaxRetryAfter);
}

void Admission::Impl::countWaiting(const std::string &team, int change)
{
    waitingByTeam[team] += static_cast<std::size_t>(change);
    waitingGauge.set(static_cast<double>(waiters.size()));
}

// Gives out turns in the pool as long as there are worker slots, permits and waiting requests.
void Admission::Impl::dispatchTurns(const std::string &pool, SteadyTime now)
{
    PoolQueue &entry = poolQueue(pool);
    if (entry.queue.waiting() == 0 || (gate && !gate())) {
        return;
    }
    const auto mayRun = [&](const std::string &team) {
        return teamLimits.canTake(team, now);
    };
    while (entry.queue.waiting() > 0) {
        std::optional<UpstreamSlot> slot = upstreams.pick(pool, {}, now);
        if (!slot) {
            return;
        }
        const std::optional<WaitingWork> work = entry.queue.takeNext(now, mayRun);
        if (!work) {
            upstreams.giveBack(*slot, AttemptResult::Refused, {}, now);
            return;
        }
        teamLimits.take(work->team, now);
        Waiter *waiter = waiters.at(work->id);
        waiter->ticket = AdmissionTicket{work->team, pool, work->cost, std::move(*slot), wallNow()};
        waiters.erase(work->id);
        countWaiting(work->team, -1);
        waiter->turn.notify_one();
    }
}

// Other nodes free worker slots without notifying this node, so the pools are checked regularly while requests wait.
void Admission::Impl::runRechecks()
{
    std::unique_lock lock(mutex);
    while (!stopping) {
        if (waiters.empty()) {
            waitersChanged.wait(lock);
        } else {
            waitersChanged.wait_for(lock, RecheckInterval);
        }
        for (auto &[pool, entry] : pools) {
            dispatchTurns(pool, steadyNow());
        }
    }
}

void Admission::Impl::dequeue(const AdmissionRequest &request, std::uint64_t id)
{
    poolQueue(request.pool).queue.remove(request.team, id);
    waiters.erase(id);
    countWaiting(request.team, -1);
}

Admission::Admission(AdmissionLimits limits, Upstreams &upstreams, Metrics &metrics)
    : m_impl(std::make_unique<Impl>(limits, upstreams, metrics))
{
    m_impl->recheckThread = std::thread([this] {
        m_impl->runRechecks();
    });
}

Admission::~Admission()
{
    stop();
    m_impl->recheckThread.join();
}

tl::expected<AdmissionTicket, AdmissionRefused> Admission::enter(const AdmissionRequest &request)
{
    std::unique_lock lock(m_impl->mutex);
    if (const std::optional<AdmissionRefusal> refusal = m_impl->refusal(request)) {
        m_impl->refusedTotal.increment();
        return tl::make_unexpected(AdmissionRefused{*refusal, m_impl->retryAfter(request.pool)});
    }
    Waiter waiter;
    const std::uint64_t id = ++m_impl->lastId;
    m_impl->waiters.emplace(id, &waiter);
    m_impl->countWaiting(request.team, 1);
    m_impl->poolQueue(request.pool).queue.push({id, request.team, request.cost, request.urgency, request.enteredAt});
    m_impl->dispatchTurns(request.pool, steadyNow());
    m_impl->waitersChanged.notify_one();
    waiter.turn.wait_until(lock, request.deadline, [&] {
        return waiter.ticket || m_impl->stopping;
    });
    if (waiter.ticket) {
        return std::move(*waiter.ticket);
    }
    m_impl->dequeue(request, id);
    const AdmissionRefusal reason = m_impl->stopping ? AdmissionRefusal::Stopping : AdmissionRefusal::DeadlinePassed;
    return tl::make_unexpected(AdmissionRefused{reason, m_impl->retryAfter(request.pool)});
}

void Admission::leave(const AdmissionTicket &ticket, SteadyTime permitFreeAt)
{
    const SteadyTime now = steadyNow();
    const std::lock_guard lock(m_impl->mutex);
    PoolQueue &entry = m_impl->poolQueue(ticket.pool);
    entry.queue.release(ticket.team, ticket.cost);
    if (permitFreeAt <= now) {
        m_impl->teamLimits.giveBack(ticket.team);
    } else {
        m_impl->teamLimits.giveBackAt(ticket.team, permitFreeAt);
    }
    if (entry.lastTurnEndedAt != SteadyTime()) {
        const double gap = std::chrono::duration<double>(now - entry.lastTurnEndedAt).count();
        entry.gapSeconds += GapSmoothingFactor * (gap - entry.gapSeconds);
    }
    entry.lastTurnEndedAt = now;
    m_impl->dispatchTurns(ticket.pool, now);
}

std::optional<UpstreamSlot> Admission::acquireSlot(const AdmissionTicket &ticket, const std::set<std::string> &excluded, SteadyTime deadline)
{
    std::unique_lock lock(m_impl->mutex);
    std::condition_variable recheckDue;
    while (!m_impl->stopping) {
        const SteadyTime now = steadyNow();
        if (std::optional<UpstreamSlot> slot = m_impl->upstreams.pick(ticket.pool, excluded, now)) {
            return slot;
        }
        if (now >= deadline) {
            return std::nullopt;
        }
        recheckDue.wait_until(lock, std::min(deadline, now + RecheckInterval));
    }
    return std::nullopt;
}

void Admission::configure(const Configuration &configuration)
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->shares.clear();
    for (const auto &[name, team] : configuration.teams) {
        m_impl->shares[name] = team.share;
    }
    for (auto &[pool, entry] : m_impl->pools) {
        entry.queue.setShares(m_impl->shares);
    }
}

void Admission::changeLimits(const std::function<void(TeamLimits &)> &change)
{
    const std::lock_guard lock(m_impl->mutex);
    change(m_impl->teamLimits);
    for (auto &[pool, entry] : m_impl->pools) {
        m_impl->dispatchTurns(pool, steadyNow());
    }
}

void Admission::setPoolQuotas(const std::string &pool, const std::map<std::string, std::int64_t> &remoteRunning, std::map<std::string, std::int64_t> quotas)
{
    const std::lock_guard lock(m_impl->mutex);
    FairQueue &queue = m_impl->poolQueue(pool).queue;
    queue.setRemoteRunning(remoteRunning);
    queue.setQuotas(std::move(quotas));
}

void Admission::setGate(std::function<bool()> gate)
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->gate = std::move(gate);
}

void Admission::stop()
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->stopping = true;
    m_impl->waitersChanged.notify_all();
    for (auto &[id, waiter] : m_impl->waiters) {
        waiter->turn.notify_one();
    }
}

std::map<std::string, std::map<std::string, TeamDemand>> Admission::demand() const
{
    const std::lock_guard lock(m_impl->mutex);
    std::map<std::string, std::map<std::string, TeamDemand>> result;
    for (const auto &[pool, entry] : m_impl->pools) {
        result[pool] = entry.queue.demand();
    }
    return result;
}

std::map<std::string, TeamLoad> Admission::teams() const
{
    const std::lock_guard lock(m_impl->mutex);
    std::map<std::string, TeamLoad> result;
    for (const auto &[team, status] : m_impl->teamLimits.status(steadyNow())) {
        result[team].limits = status;
    }
    for (const auto &[team, count] : m_impl->waitingByTeam) {
        result[team].waiting = count;
    }
    return result;
}

std::size_t Admission::waiting() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->waiters.size();
}

bool Admission::isOverLimit(const std::string &team) const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->teamLimits.isOverLimit(team, steadyNow());
}

std::chrono::milliseconds Admission::retryAfter(const std::string &pool) const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->retryAfter(pool);
}

}
