#include "admission/fairqueue.h"

#include <algorithm>
#include <tuple>

namespace Cornelquay {

namespace {

/** Share of a team that has none, so that it still moves when others do not wait. */
constexpr double ShareLeast = 1e-4;

}

FairQueue::FairQueue(TurnPolicy policy)
    : m_policy(policy)
{
}

void FairQueue::setShares(const std::map<std::string, double> &shares)
{
    for (auto &[team, queue] : m_teams) {
        queue.share = 0;
    }
    for (const auto &[team, share] : shares) {
        m_teams[team].share = share;
    }
}

void FairQueue::setRemoteRunning(const std::map<std::string, std::int64_t> &running)
{
    for (auto &[team, queue] : m_teams) {
        const auto found = running.find(team);
        queue.remoteRunning = found == running.end() ? 0 : found->second;
    }
}

void FairQueue::setParts(std::map<std::string, std::int64_t> parts)
{
    m_parts = std::move(parts);
}

bool FairQueue::isWithinPart(const std::string &team, const TeamQueue &queue) const
{
    const auto part = m_parts.find(team);
    return part == m_parts.end() || queue.running < part->second;
}

double FairQueue::remoteUse(const TeamQueue &queue) const
{
    return static_cast<double>(queue.remoteRunning) * m_taskCost;
}

void FairQueue::push(WaitingWork work)
{
    TeamQueue &queue = m_teams[work.team];
    std::deque<WaitingWork> &works = work.urgency == Urgency::Urgent ? queue.urgent : queue.normal;
    const auto place = std::upper_bound(works.begin(), works.end(), work, [](const WaitingWork &a, const WaitingWork &b) {
        return a.enteredAt < b.enteredAt;
    });
    m_taskCost = work.cost;
    works.insert(place, std::move(work));
    m_waiting += 1;
}

bool FairQueue::remove(const std::string &team, std::uint64_t id)
{
    TeamQueue &queue = m_teams[team];
    for (std::deque<WaitingWork> *works : {&queue.urgent, &queue.normal}) {
        const auto found = std::find_if(works->begin(), works->end(), [&](const WaitingWork &work) {
            return work.id == id;
        });
        if (found != works->end()) {
            works->erase(found);
            m_waiting -= 1;
            return true;
        }
    }
    return false;
}

bool FairQueue::isEmpty(const TeamQueue &queue)
{
    return queue.urgent.empty() && queue.normal.empty();
}

const WaitingWork &FairQueue::front(const TeamQueue &queue)
{
    return queue.urgent.empty() ? queue.normal.front() : queue.urgent.front();
}

bool FairQueue::Rank::operator<(const Rank &other) const
{
    return std::tie(precedence, useForShare, enteredAt) < std::tie(other.precedence, other.useForShare, other.enteredAt);
}

double FairQueue::localUse() const
{
    double total = 0;
    for (const auto &[team, queue] : m_teams) {
        total += queue.localUse;
    }
    return total;
}

double FairQueue::fleetUse() const
{
    double total = 0;
    for (const auto &[team, queue] : m_teams) {
        total += queue.localUse + remoteUse(queue);
    }
    return total;
}

FairQueue::Rank FairQueue::rankByUse(const TeamQueue &queue, double use, double totalUse, SteadyTime now) const
{
    const WaitingWork &work = front(queue);
    const double share = std::max(queue.share, ShareLeast);
    Rank rank;
    rank.useForShare = use / share;
    rank.enteredAt = work.enteredAt;
    if (work.urgency == Urgency::Urgent) {
        const bool withinShare = use <= share * std::max(totalUse, work.cost);
        const bool patienceOver = now - work.enteredAt >= UrgentPatience;
        rank.precedence = withinShare || patienceOver ? 0 : 1;
    }
    return rank;
}

FairQueue::Rank FairQueue::rankFor(const FirstComeTurns &, const TeamQueue &queue, SteadyTime) const
{
    Rank rank;
    rank.enteredAt = front(queue).enteredAt;
    return rank;
}

FairQueue::Rank FairQueue::rankFor(const NodeShareTurns &, const TeamQueue &queue, SteadyTime now) const
{
    return rankByUse(queue, queue.localUse + front(queue).cost, localUse(), now);
}

FairQueue::Rank FairQueue::rankFor(const FleetShareTurns &, const TeamQueue &queue, SteadyTime now) const
{
    return rankByUse(queue, queue.localUse + remoteUse(queue) + front(queue).cost, fleetUse(), now);
}

FairQueue::Rank FairQueue::rank(const TeamQueue &queue, SteadyTime now) const
{
    return std::visit(
        [&](const auto &policy) {
            return rankFor(policy, queue, now);
        },
        m_policy);
}

std::optional<WaitingWork> FairQueue::next(SteadyTime now, const std::function<bool(const std::string &team)> &mayRun)
{
    TeamQueue *best = nullptr;
    Rank bestRank;
    for (auto &[team, queue] : m_teams) {
        if (isEmpty(queue) || !mayRun(team)) {
            continue;
        }
        const Rank candidate = rank(queue, now);
        // Urgent work does not wait for the node's part to come round.
        if (candidate.precedence > 0 && !isWithinPart(team, queue)) {
            continue;
        }
        if (best == nullptr || candidate < bestRank) {
            best = &queue;
            bestRank = candidate;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    std::deque<WaitingWork> &works = best->urgent.empty() ? best->normal : best->urgent;
    WaitingWork work = std::move(works.front());
    works.pop_front();
    best->localUse += work.cost;
    best->running += 1;
    m_waiting -= 1;
    return work;
}

void FairQueue::release(const std::string &team, double cost)
{
    TeamQueue &queue = m_teams[team];
    queue.localUse = std::max(0.0, queue.localUse - cost);
    queue.running -= 1;
}

std::size_t FairQueue::waiting() const
{
    return m_waiting;
}

std::size_t FairQueue::waiting(const std::string &team) const
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? 0 : found->second.urgent.size() + found->second.normal.size();
}

double FairQueue::use(const std::string &team) const
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? 0 : found->second.localUse;
}

std::map<std::string, TeamDemand> FairQueue::demand() const
{
    std::map<std::string, TeamDemand> result;
    for (const auto &[team, queue] : m_teams) {
        if (queue.running > 0 || !isEmpty(queue)) {
            result[team] = {queue.running, static_cast<std::int64_t>(queue.urgent.size() + queue.normal.size())};
        }
    }
    return result;
}

}
