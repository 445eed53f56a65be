#include "admission/fairqueue.h"

#include <algorithm>
#include <tuple>

namespace Cornelquay {

namespace {

/** Share of a team that has none, so that it still moves when others do not wait. */
constexpr double ShareLeast = 1e-4;

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

void FairQueue::setRemoteUse(const std::map<std::string, double> &use)
{
    for (auto &[team, queue] : m_teams) {
        const auto found = use.find(team);
        queue.remoteUse = found == use.end() ? 0 : found->second;
    }
}

void FairQueue::push(WaitingWork work)
{
    TeamQueue &queue = m_teams[work.team];
    (work.urgency == Urgency::Urgent ? queue.urgent : queue.normal).push_back(std::move(work));
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

double FairQueue::totalUse() const
{
    double total = 0;
    for (const auto &[team, queue] : m_teams) {
        total += queue.localUse + queue.remoteUse;
    }
    return total;
}

FairQueue::Rank FairQueue::rank(const TeamQueue &queue, SteadyTime now) const
{
    const WaitingWork &work = front(queue);
    const double share = std::max(queue.share, ShareLeast);
    const double use = queue.localUse + queue.remoteUse + work.cost;
    Rank rank;
    rank.useForShare = use / share;
    rank.enteredAt = work.enteredAt;
    if (work.urgency == Urgency::Urgent) {
        const bool withinShare = use <= share * std::max(totalUse(), work.cost);
        const bool patienceOver = now - work.enteredAt >= UrgentPatience;
        rank.precedence = withinShare || patienceOver ? 0 : 1;
    }
    return rank;
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
    m_waiting -= 1;
    return work;
}

void FairQueue::release(const std::string &team, double cost)
{
    TeamQueue &queue = m_teams[team];
    queue.localUse = std::max(0.0, queue.localUse - cost);
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

std::map<std::string, std::size_t> FairQueue::waitingByTeam() const
{
    std::map<std::string, std::size_t> result;
    for (const auto &[team, queue] : m_teams) {
        if (!isEmpty(queue)) {
            result[team] = queue.urgent.size() + queue.normal.size();
        }
    }
    return result;
}

std::map<std::string, double> FairQueue::useByTeam() const
{
    std::map<std::string, double> result;
    for (const auto &[team, queue] : m_teams) {
        if (queue.localUse > 0) {
            result[team] = queue.localUse;
        }
    }
    return result;
}

}
