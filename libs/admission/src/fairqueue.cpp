#include "admission/fairqueue.h"

#include <algorithm>
#include <tuple>

namespace Cornelquay {

namespace {

/** Share of a team without one. Nonzero, so that its work runs when no other team has work waiting. */
constexpr double MinShare = 1e-4;

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

void FairQueue::setQuotas(std::map<std::string, std::int64_t> quotas)
{
    m_quotas = std::move(quotas);
}

bool FairQueue::isWithinQuota(const std::string &team, const TeamQueue &queue) const
{
    const auto quota = m_quotas.find(team);
    return quota == m_quotas.end() || queue.running < quota->second;
}

double FairQueue::remoteUsage(const TeamQueue &queue) const
{
    return static_cast<double>(queue.remoteRunning) * m_newestCost;
}

void FairQueue::push(WaitingWork work)
{
    TeamQueue &queue = m_teams[work.team];
    std::deque<WaitingWork> &entries = work.urgency == Urgency::Urgent ? queue.urgent : queue.normal;
    const auto position = std::upper_bound(entries.begin(), entries.end(), work, [](const WaitingWork &a, const WaitingWork &b) {
        return a.enteredAt < b.enteredAt;
    });
    m_newestCost = work.cost;
    entries.insert(position, std::move(work));
    m_waiting += 1;
}

bool FairQueue::remove(const std::string &team, std::uint64_t id)
{
    TeamQueue &queue = m_teams[team];
    for (std::deque<WaitingWork> *entries : {&queue.urgent, &queue.normal}) {
        const auto found = std::find_if(entries->begin(), entries->end(), [&](const WaitingWork &work) {
            return work.id == id;
        });
        if (found != entries->end()) {
            entries->erase(found);
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
    return std::tie(precedence, usagePerShare, enteredAt) < std::tie(other.precedence, other.usagePerShare, other.enteredAt);
}

double FairQueue::localUsage() const
{
    double total = 0;
    for (const auto &[team, queue] : m_teams) {
        total += queue.localUsage;
    }
    return total;
}

double FairQueue::fleetUsage() const
{
    double total = 0;
    for (const auto &[team, queue] : m_teams) {
        total += queue.localUsage + remoteUsage(queue);
    }
    return total;
}

FairQueue::Rank FairQueue::rankByUsage(const TeamQueue &queue, double usage, double totalUsage, SteadyTime now) const
{
    const WaitingWork &work = front(queue);
    const double share = std::max(queue.share, MinShare);
    Rank rank;
    rank.usagePerShare = usage / share;
    rank.enteredAt = work.enteredAt;
    if (work.urgency == Urgency::Urgent) {
        const bool withinShare = usage <= share * std::max(totalUsage, work.cost);
        const bool promotionDelayPassed = now - work.enteredAt >= UrgentPromotionDelay;
        rank.precedence = withinShare || promotionDelayPassed ? 0 : 1;
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
    return rankByUsage(queue, queue.localUsage + front(queue).cost, localUsage(), now);
}

FairQueue::Rank FairQueue::rankFor(const FleetShareTurns &, const TeamQueue &queue, SteadyTime now) const
{
    return rankByUsage(queue, queue.localUsage + remoteUsage(queue) + front(queue).cost, fleetUsage(), now);
}

FairQueue::Rank FairQueue::rank(const TeamQueue &queue, SteadyTime now) const
{
    return std::visit(
        [&](const auto &policy) {
            return rankFor(policy, queue, now);
        },
        m_policy);
}

std::optional<WaitingWork> FairQueue::takeNext(SteadyTime now, const std::function<bool(const std::string &team)> &mayRun)
{
    TeamQueue *best = nullptr;
    Rank bestRank;
    for (auto &[team, queue] : m_teams) {
        if (isEmpty(queue) || !mayRun(team)) {
            continue;
        }
        const Rank candidate = rank(queue, now);
        // Urgent work that goes first does not wait for a round in which this node has a quota.
        if (candidate.precedence > 0 && !isWithinQuota(team, queue)) {
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
    std::deque<WaitingWork> &entries = best->urgent.empty() ? best->normal : best->urgent;
    WaitingWork work = std::move(entries.front());
    entries.pop_front();
    best->localUsage += work.cost;
    best->running += 1;
    m_waiting -= 1;
    return work;
}

void FairQueue::release(const std::string &team, double cost)
{
    TeamQueue &queue = m_teams[team];
    queue.localUsage = std::max(0.0, queue.localUsage - cost);
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

double FairQueue::usage(const std::string &team) const
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? 0 : found->second.localUsage;
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
