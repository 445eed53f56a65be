#include "scheduling/workersession.h"

#include <algorithm>
#include <array>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// Used while a long-running task is not ready, because others wait for it, and while best-effort runs share the worker with
// serving ones.
constexpr std::chrono::milliseconds FrequentPollPeriod = 250ms;
// Time from a listing with ends to the next renewal if the ends are not stored earlier. The renewal keeps the lease valid meanwhile.
constexpr auto UnstoredEndsRenewalInterval = 700ms;
constexpr auto UnreachableRetryInterval = 300ms;
// The start order of the other run of a task is usually answered within some milliseconds.
constexpr auto HeldEndsRenewalInterval = 100ms;
// Delays the next renewal, so that one listing reports runs that end together.
constexpr auto MinRenewalInterval = 15ms;
// A worker cannot have restarted, and so numbered its ends anew, within this time after a listing: the control
// plane needs at least 1.5 s to start one. Includes a margin.
constexpr auto IncarnationCertainPeriod = 1000ms;
// Factor by which each success multiplies the failure score.
constexpr double FailureDecay = 0.6;

constexpr std::array<std::string_view, 9> RefusalNames
    = {"fenced", "old-run", "late", "no-room", "ticket", "invalid", "unhealthy", "other-instance", "not-sent"};

}

std::string_view toName(OrderRefusal refusal)
{
    return RefusalNames.at(static_cast<std::size_t>(refusal));
}

WorkerSession::WorkerSession(WorkerFacts facts, std::uint64_t token, LeaseTerms terms)
    : WorkerSessionState(std::move(facts), token, terms)
{
}

void WorkerSession::setFacts(const WorkerFacts &facts, BootTime now)
{
    if (facts.startTimeMs != m_facts.startTimeMs && facts.startTimeMs != m_startTimeMs) {
        m_incarnationCertain = false;
        m_confirmed = false;
        requestListing(now);
    }
    if (facts.startTimeMs != m_facts.startTimeMs) {
        m_coldPeriod = {};
    }
    m_coldPeriod.note(std::chrono::milliseconds(facts.coldLeftMs), now);
    const bool isPresentIncarnation = m_startTimeMs == 0 || facts.startTimeMs == m_startTimeMs;
    m_endExpected = m_endExpected || (isPresentIncarnation && facts.state == WorkerState::Draining);
    m_facts = facts;
}

void WorkerSession::assumeIncarnation(std::int64_t startTimeMs)
{
    m_startTimeMs = std::max(m_startTimeMs, startTimeMs);
}

void WorkerSession::expectEnd()
{
    m_endExpected = true;
}

void WorkerSession::setRegistered(bool registered)
{
    m_registered = registered;
}

void WorkerSession::setEvacuated(bool evacuated)
{
    m_evacuated = evacuated;
}

bool WorkerSession::isEvacuated() const
{
    return m_evacuated;
}

bool WorkerSession::isCold(BootTime now) const
{
    return !m_coldPeriod.isOver(now);
}

void WorkerSession::raiseToken()
{
    ++m_token;
    m_confirmed = false;
    m_incarnationCertain = false;
}

std::optional<RenewLeaseOrder> WorkerSession::nextLeaseRenewal(BootTime now, std::chrono::milliseconds maxWait)
{
    // A worker that could not be reached gets no work until it answers, even if it has no run to ask about.
    const bool isMissing = !m_reachable && m_registered;
    const bool needed = !m_runs.empty() || m_unknownRunCount > 0 || !m_confirmed || m_sentAcknowledgedEnd < m_acknowledgedEnd || hasUnacknowledgedEnds()
        || m_endsHeld || isMissing;
    if (!needed || now < m_nextRenewalAt || m_probeInFlight) {
        return std::nullopt;
    }
    // A renewal with a raised token does not wait for the answer to an older one.
    const bool probe = m_renewalInFlight;
    if (probe && m_confirmed) {
        return std::nullopt;
    }
    RenewLeaseOrder order;
    order.worker = m_facts.id;
    order.fencingToken = m_token;
    // Each incarnation numbers its ends anew, so ends are acknowledged only to the incarnation that listed them.
    order.acknowledgedEnd = m_incarnationCertain && now - m_listedAt < IncarnationCertainPeriod ? m_acknowledgedEnd : 0;
    if (m_reachable && m_clockKnown && !m_leaseExtensionSuspended) {
        // The lease of an unreachable worker is not extended, so that it expires.
        order.leaseUntilMs = leaseUntil(now).value_or(0);
        recordLeaseExtension(now);
    }
    const bool mayWait = m_confirmed && m_reachable && !hasUnacknowledgedEnds() && !m_endsHeld && !m_runs.empty();
    order.wait = mayWait ? (needsFrequentListings() ? std::min(FrequentPollPeriod, maxWait) : maxWait) : 0ms;
    m_sentAcknowledgedEnd = order.acknowledgedEnd;
    (probe ? m_probeInFlight : m_renewalInFlight) = true;
    m_probeToken = probe ? m_token : m_probeToken;
    m_nextRenewalAt = now + MinRenewalInterval;
    return order;
}

bool WorkerSession::needsFrequentListings() const
{
    if (m_servingCount > 0 && m_bestEffortCount > 0) {
        return true;
    }
    return std::any_of(m_runs.begin(), m_runs.end(), [](const auto &item) {
        return item.second.longRunning && item.second.start == StartProgress::Accepted && item.second.percent != ReadyPercent;
    });
}

void WorkerSession::handleListing(const Listing &listing, std::uint64_t token, BootTime now)
{
    m_aliveUntil = now;
    if (listing.startTimeMs != m_startTimeMs) {
        m_endExpected = m_startTimeMs == 0 ? m_endExpected : m_facts.startTimeMs == listing.startTimeMs && m_facts.state == WorkerState::Draining;
        // A new incarnation numbers its ends anew.
        m_startTimeMs = listing.startTimeMs;
        m_acknowledgedEnd = 0;
        m_sentAcknowledgedEnd = 0;
        m_deferredAcknowledgements.clear();
        m_clockKnown = false;
    }
    m_reachable = true;
    m_endsHeld = false;
    m_incarnationCertain = true;
    m_listedAt = now;
    if (token == m_token) {
        m_confirmed = true;
    }
    updateClock(listing.clockMs, now);
}

void WorkerSession::updateClock(std::int64_t clockMs, BootTime now)
{
    m_aliveUntil = now;
    const std::int64_t expected = m_clockMs + (now - m_clockAt).count();
    if (!m_clockKnown || clockMs > expected || now - m_clockAt > LongPollPeriod) {
        m_clockMs = clockMs;
        m_clockAt = now;
        m_clockKnown = true;
    }
}

void WorkerSession::handleLeaseRenewalEnded(const RenewLeaseOrder &order)
{
    // Of two renewals in flight, the probe has the higher token.
    (m_probeInFlight && order.fencingToken >= m_probeToken ? m_probeInFlight : m_renewalInFlight) = false;
}

void WorkerSession::markUnreachable(BootTime now, std::optional<BootTime> silentSince)
{
    if (m_reachable) {
        m_aliveUntil = std::max(m_aliveUntil, silentSince.value_or(m_aliveUntil));
    }
    // The first failure may be caused by a stale connection, so the renewal is retried at once.
    m_nextRenewalAt = m_reachable ? now : now + UnreachableRetryInterval;
    m_reachable = false;
    m_incarnationCertain = false;
    // The latest acknowledgement may not have arrived, so it is sent again.
    m_sentAcknowledgedEnd = 0;
}

void WorkerSession::recordLeaseExtension(BootTime now)
{
    const auto maxLease = std::chrono::duration_cast<std::chrono::milliseconds>(m_terms.maxLifetime * (1.0 + m_terms.clockSlowness)) + m_terms.margin;
    m_maxLeaseUntil = std::max(m_maxLeaseUntil, now + maxLease);
}

void WorkerSession::deferAcknowledgement(std::uint64_t number, std::uint64_t batch, BootTime now)
{
    m_deferredAcknowledgements.emplace_back(batch, number);
    m_nextRenewalAt = now + UnstoredEndsRenewalInterval;
}

void WorkerSession::handleBatchStored(std::uint64_t batch, BootTime now)
{
    const std::uint64_t before = m_acknowledgedEnd;
    while (!m_deferredAcknowledgements.empty() && m_deferredAcknowledgements.front().first <= batch) {
        m_acknowledgedEnd = std::max(m_acknowledgedEnd, m_deferredAcknowledgements.front().second);
        m_deferredAcknowledgements.pop_front();
    }
    if (m_acknowledgedEnd != before && m_deferredAcknowledgements.empty()) {
        requestListing(now);
    }
}

void WorkerSession::holdEnds(BootTime now)
{
    m_endsHeld = true;
    requestListing(now + HeldEndsRenewalInterval);
}

void WorkerSession::addRun(const TaskName &task, LiveRun run)
{
    m_used += run.demand;
    m_servingCount += run.tailTargetMs > 0 ? 1 : 0;
    m_bestEffortCount += run.bestEffort ? 1 : 0;
    m_longRunningCount += run.longRunning ? 1 : 0;
    m_runs.insert_or_assign(task, std::move(run));
}

void WorkerSession::removeRun(const TaskName &task)
{
    const auto found = m_runs.find(task);
    if (found != m_runs.end()) {
        m_used -= found->second.demand;
        m_servingCount -= found->second.tailTargetMs > 0 ? 1 : 0;
        m_bestEffortCount -= found->second.bestEffort ? 1 : 0;
        m_longRunningCount -= found->second.longRunning ? 1 : 0;
        m_runs.erase(found);
    }
}

void WorkerSession::setUnknownRuns(std::size_t count, const Resources &demand)
{
    m_unknownRunCount = count;
    m_usedByUnknownRuns = demand;
}

void WorkerSession::requestListing(BootTime now)
{
    m_nextRenewalAt = std::min(m_nextRenewalAt, now);
}

void WorkerSession::assumeLease(BootTime until)
{
    m_maxLeaseUntil = std::max(m_maxLeaseUntil, until);
}

const WorkerFacts &WorkerSession::facts() const
{
    return m_facts;
}

std::uint64_t WorkerSession::token() const
{
    return m_token;
}

std::optional<std::int64_t> WorkerSession::leaseUntil(BootTime now) const
{
    if (!m_clockKnown) {
        return std::nullopt;
    }
    return m_clockMs + (now - m_clockAt).count() + m_terms.maxLifetime.count();
}

bool WorkerSession::isReachable() const
{
    return m_reachable;
}

bool WorkerSession::isRegistered() const
{
    return m_registered;
}

bool WorkerSession::isEndExpected() const
{
    return m_endExpected;
}

std::int64_t WorkerSession::startTimeMs() const
{
    return m_startTimeMs;
}

bool WorkerSession::isLaterIncarnation(const Listing &listing) const
{
    return m_startTimeMs != 0 && listing.startTimeMs != m_startTimeMs;
}

BootTime WorkerSession::aliveUntil() const
{
    return m_aliveUntil;
}

bool WorkerSession::isLeaseExtensionSuspended() const
{
    return m_leaseExtensionSuspended;
}

bool WorkerSession::isConfirmed() const
{
    return m_confirmed;
}

BootTime WorkerSession::maxLeaseUntil() const
{
    return m_maxLeaseUntil;
}

BootTime WorkerSession::throttledAt() const
{
    return m_throttledAt;
}

void WorkerSession::recordThrottling(BootTime now)
{
    m_throttledAt = now;
}

BootTime WorkerSession::listedAt() const
{
    return m_listedAt;
}

void WorkerSession::setLeaseExtensionSuspended(bool suspended)
{
    m_leaseExtensionSuspended = suspended;
}

bool WorkerSession::isLeaseExpired(BootTime now) const
{
    return !m_reachable && now > m_maxLeaseUntil;
}

std::optional<CandidateRejection> WorkerSession::reasonAgainstWork(BootTime now) const
{
    if (!m_registered) {
        return CandidateRejection::NotRegistered;
    }
    if (!m_reachable) {
        return CandidateRejection::Unreachable;
    }
    if (!m_confirmed || !m_clockKnown) {
        return CandidateRejection::NotConfirmed;
    }
    if (m_leaseExtensionSuspended) {
        return CandidateRejection::LeaseNotExtended;
    }
    if (m_facts.state != WorkerState::Ready) {
        return CandidateRejection::Draining;
    }
    if (m_evacuated) {
        return CandidateRejection::ZoneEvacuated;
    }
    return now < m_avoidUntil ? std::optional(CandidateRejection::Avoided) : std::nullopt;
}

bool WorkerSession::canTakeWork(BootTime now) const
{
    return !reasonAgainstWork(now);
}

Resources WorkerSession::freeCapacity() const
{
    return m_facts.capacity - used();
}

Resources WorkerSession::used() const
{
    return m_used + m_usedByUnknownRuns;
}

int WorkerSession::servingCount() const
{
    return m_servingCount;
}

int WorkerSession::longRunningCount() const
{
    return m_longRunningCount;
}

int WorkerSession::bestEffortCount() const
{
    return m_bestEffortCount;
}

std::map<TaskName, LiveRun> &WorkerSession::runs()
{
    return m_runs;
}

const std::map<TaskName, LiveRun> &WorkerSession::runs() const
{
    return m_runs;
}

bool WorkerSession::hasUnacknowledgedEnds() const
{
    return !m_deferredAcknowledgements.empty();
}

void WorkerSession::noteSuccess()
{
    m_failureScore *= FailureDecay;
}

void WorkerSession::noteFailure()
{
    m_failureScore += 1.0;
}

void WorkerSession::avoidUntil(BootTime until)
{
    m_avoidUntil = std::max(m_avoidUntil, until);
}

double WorkerSession::failureScore() const
{
    return m_failureScore;
}

}
