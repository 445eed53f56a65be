#include "scheduling/workersession.h"

#include <algorithm>
#include <array>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// Long enough that idle looks are rare, short enough that three fit into a lease of six seconds.
constexpr auto HoldWait = 1500ms;
// While a lasting run is not at work yet, since others wait for it, and while filling runs may disturb serving ones.
constexpr std::chrono::milliseconds FrequentWait = 250ms;
// Ends that wait to be stored do not stop the lease from being extended.
constexpr auto UnstoredEndsInterval = 700ms;
// Pause between looks at a worker that does not answer.
constexpr auto UnreachableInterval = 300ms;
// Ends that come together are read together.
constexpr auto LookSpacing = 15ms;
// A worker that ended is not back within this time; its ends are numbered anew then. Source: the
// shortest time in which the control plane starts one, 1.5 s, with a margin.
constexpr auto LifeCertainFor = 1000ms;
constexpr double FailureDecay = 0.6;

constexpr std::array<std::string_view, 9> RefusalNames
    = {"fenced", "old-run", "late", "no-room", "ticket", "invalid", "unhealthy", "other-instance", "not-sent"};

}

std::string_view toName(OrderRefusal refusal)
{
    return RefusalNames.at(static_cast<std::size_t>(refusal));
}

WorkerSession::WorkerSession(WorkerFacts facts, std::uint64_t token, LeaseTerms terms)
    : m_facts(std::move(facts))
    , m_terms(terms)
    , m_token(token)
{
}

void WorkerSession::setFacts(const WorkerFacts &facts, BootTime now)
{
    if (facts.bornMs != m_facts.bornMs && facts.bornMs != m_bornMs) {
        m_lifeCertain = false;
        m_confirmed = false;
        hasten(now);
    }
    m_facts = facts;
}

void WorkerSession::setRegistered(bool registered)
{
    m_registered = registered;
}

void WorkerSession::raiseToken()
{
    ++m_token;
    m_confirmed = false;
    m_lifeCertain = false;
}

std::optional<HoldOrder> WorkerSession::nextHold(BootTime now)
{
    const bool wanted = !m_runs.empty() || !m_confirmed || m_sentAcknowledged < m_acknowledged || !m_deferred.empty();
    if (!wanted || now < m_nextHoldAt || m_probeInFlight) {
        return std::nullopt;
    }
    // A look with a raised token does not wait for an older one that is still out.
    const bool probe = m_holdInFlight;
    if (probe && m_confirmed) {
        return std::nullopt;
    }
    HoldOrder order;
    order.worker = m_facts.id;
    order.fencingToken = m_token;
    // Numbers of ends start anew with each life, so none is acknowledged to one that was not heard of.
    order.acknowledgedEnd = m_lifeCertain && now - m_listedAt < LifeCertainFor ? m_acknowledged : 0;
    if (m_reachable && m_clockKnown && !m_leaseHeldBack) {
        // A worker that does not answer is not given a longer lease, so that its lease comes to an end.
        order.leaseUntilMs = leaseUntil(now).value_or(0);
        noteLeaseExtension(now);
    }
    const bool mayWait = m_confirmed && m_reachable && m_deferred.empty() && !m_runs.empty();
    order.wait = mayWait ? (needsLooks() ? FrequentWait : std::chrono::milliseconds(HoldWait)) : 0ms;
    m_sentAcknowledged = order.acknowledgedEnd;
    (probe ? m_probeInFlight : m_holdInFlight) = true;
    m_probeToken = probe ? m_token : m_probeToken;
    m_nextHoldAt = now + LookSpacing;
    return order;
}

bool WorkerSession::needsLooks() const
{
    if (m_serving > 0 && m_filling > 0) {
        return true;
    }
    return std::any_of(m_runs.begin(), m_runs.end(), [](const auto &item) {
        return item.second.lasting && item.second.start == StartProgress::Accepted && item.second.percent != AtWorkPercent;
    });
}

void WorkerSession::noteListing(const Listing &listing, std::uint64_t token, BootTime now)
{
    if (listing.bornMs != m_bornMs) {
        // Ends of a new life are numbered anew.
        m_bornMs = listing.bornMs;
        m_acknowledged = 0;
        m_sentAcknowledged = 0;
        m_deferred.clear();
        m_clockKnown = false;
    }
    m_reachable = true;
    m_lifeCertain = true;
    m_listedAt = now;
    if (token == m_token) {
        m_confirmed = true;
    }
    noteClock(listing.clockMs, now);
}

void WorkerSession::noteClock(std::int64_t clockMs, BootTime now)
{
    const std::int64_t expected = m_clockMs + (now - m_clockAt).count();
    if (!m_clockKnown || clockMs > expected || now - m_clockAt > HoldWait) {
        m_clockMs = clockMs;
        m_clockAt = now;
        m_clockKnown = true;
    }
}

void WorkerSession::noteHoldEnded(const HoldOrder &order)
{
    // Of two holds under way, the one with the higher token is the look that did not wait.
    (m_probeInFlight && order.fencingToken >= m_probeToken ? m_probeInFlight : m_holdInFlight) = false;
}

void WorkerSession::noteUnreachable(BootTime now)
{
    // The first failure may only be that of an old connection.
    m_nextHoldAt = m_reachable ? now : now + UnreachableInterval;
    m_reachable = false;
    m_lifeCertain = false;
    // The acknowledgement may not have arrived.
    m_sentAcknowledged = 0;
}

void WorkerSession::noteLeaseExtension(BootTime now)
{
    const auto most = std::chrono::duration_cast<std::chrono::milliseconds>(m_terms.most * (1.0 + m_terms.clockSlowness)) + m_terms.margin;
    m_leaseMostUntil = std::max(m_leaseMostUntil, now + most);
}

void WorkerSession::deferAcknowledgement(std::uint64_t number, std::uint64_t batch, BootTime now)
{
    m_deferred.emplace_back(batch, number);
    m_nextHoldAt = now + UnstoredEndsInterval;
}

void WorkerSession::noteStored(std::uint64_t batch, BootTime now)
{
    const std::uint64_t before = m_acknowledged;
    while (!m_deferred.empty() && m_deferred.front().first <= batch) {
        m_acknowledged = std::max(m_acknowledged, m_deferred.front().second);
        m_deferred.pop_front();
    }
    if (m_acknowledged != before && m_deferred.empty()) {
        hasten(now);
    }
}

void WorkerSession::addRun(const TaskName &task, LiveRun run)
{
    m_used += run.demand;
    m_serving += run.tailTargetMs > 0 ? 1 : 0;
    m_filling += run.fills ? 1 : 0;
    m_lasting += run.lasting ? 1 : 0;
    m_runs.insert_or_assign(task, std::move(run));
}

void WorkerSession::removeRun(const TaskName &task)
{
    const auto found = m_runs.find(task);
    if (found != m_runs.end()) {
        m_used -= found->second.demand;
        m_serving -= found->second.tailTargetMs > 0 ? 1 : 0;
        m_filling -= found->second.fills ? 1 : 0;
        m_lasting -= found->second.lasting ? 1 : 0;
        m_runs.erase(found);
    }
}

void WorkerSession::hasten(BootTime now)
{
    m_nextHoldAt = std::min(m_nextHoldAt, now);
}

void WorkerSession::assumeLease(BootTime until)
{
    m_leaseMostUntil = std::max(m_leaseMostUntil, until);
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
    return m_clockMs + (now - m_clockAt).count() + m_terms.most.count();
}

bool WorkerSession::isReachable() const
{
    return m_reachable;
}

bool WorkerSession::isRegistered() const
{
    return m_registered;
}

bool WorkerSession::isLeaseHeldBack() const
{
    return m_leaseHeldBack;
}

bool WorkerSession::isConfirmed() const
{
    return m_confirmed;
}

BootTime WorkerSession::leaseMostUntil() const
{
    return m_leaseMostUntil;
}

BootTime WorkerSession::pacedAt() const
{
    return m_pacedAt;
}

void WorkerSession::notePaced(BootTime now)
{
    m_pacedAt = now;
}

BootTime WorkerSession::listedAt() const
{
    return m_listedAt;
}

void WorkerSession::setLeaseHeldBack(bool heldBack)
{
    m_leaseHeldBack = heldBack;
}

bool WorkerSession::isLeaseOver(BootTime now) const
{
    return !m_reachable && now > m_leaseMostUntil;
}

bool WorkerSession::mayTakeWork(BootTime now) const
{
    return m_registered && m_reachable && m_confirmed && !m_leaseHeldBack && m_clockKnown && m_facts.state == WorkerState::Ready && now >= m_avoidUntil;
}

Resources WorkerSession::room() const
{
    return m_facts.capacity - m_used;
}

const Resources &WorkerSession::used() const
{
    return m_used;
}

int WorkerSession::servingCount() const
{
    return m_serving;
}

int WorkerSession::lastingCount() const
{
    return m_lasting;
}

int WorkerSession::fillingCount() const
{
    return m_filling;
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
    return !m_deferred.empty();
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
