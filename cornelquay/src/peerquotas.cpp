#include "details/peercontroller.h"

#include <algorithm>
#include <cmath>

// PeerController: reporting loads and dividing the slots of full pools among the nodes.

namespace Cornelquay::Details {

namespace {

using namespace std::chrono_literals;

constexpr auto DemandReportInterval = 1000ms;
/** The part of a node's budget of 9 KB/s for control traffic that loads may use; positions and loans use the rest. */
constexpr double MaxLoadBytesPerSecond = 5000;
constexpr auto MinLoadInterval = 150ms;
/** Quotas of less than one slot rotate among the nodes with this period. */
constexpr std::int64_t QuotaRoundMs = 1000;
/** Slots are idle for a moment between two tasks; dividing more slots than exist keeps the pool full. */
constexpr double PoolSlotsFactor = 1.15;

std::map<std::string, TeamDemand> toTeamDemand(const std::map<std::string, PeerDemand> &teams)
{
    std::map<std::string, TeamDemand> result;
    for (const auto &[team, tasks] : teams) {
        result[team] = {tasks.running, tasks.waiting};
    }
    return result;
}

}

// Limits the rate of loads by their size, so that they stay within MaxLoadBytesPerSecond.
void PeerController::addLoadWhenDue(const Incarnation &from, PeerReply &reply)
{
    const SteadyTime now = steadyNow();
    const std::lock_guard lock(m_mutex);
    const auto peer = m_peers.find(from.name);
    if (peer == m_peers.end() || now < peer->second.loadDueAt) {
        return;
    }
    reply.load.push_back(load());
    // Each load is sent to every peer, and a load of about the same size is received from each.
    const double exchangedBytes = 2.0 * static_cast<double>(encode(reply).size()) * static_cast<double>(m_peers.size());
    const auto loadInterval = std::chrono::milliseconds(static_cast<std::int64_t>(exchangedBytes / MaxLoadBytesPerSecond * 1000));
    peer->second.loadDueAt = now + std::max<std::chrono::milliseconds>(MinLoadInterval, loadInterval);
}

// All nodes divide each full pool in the same way from the same reports, so no further message is needed.
void PeerController::applyPoolQuotas(SteadyTime now)
{
    std::map<std::string, double> shares;
    m_dependencies.replica->query([&](const FleetState &state) {
        for (const auto &[name, team] : state.parsedConfiguration->teams) {
            shares[name] = team.share;
        }
    });
    const auto round = static_cast<std::uint64_t>(toUnixMilliseconds(wallNow()) / QuotaRoundMs);
    for (const auto &[pool, teams] : m_dependencies.admission->demand()) {
        const auto slots = static_cast<std::int64_t>(std::ceil(static_cast<double>(m_dependencies.slotCount(pool)) * PoolSlotsFactor));
        PoolDemand demand{slots, {}};
        std::map<std::string, std::int64_t> remoteRunning;
        addDemand(pool, now, demand, remoteRunning);
        m_dependencies.admission->setPoolQuotas(pool, remoteRunning, fairQuotas(demand, shares, m_dependencies.self.name, round));
    }
}

void PeerController::addDemand(const std::string &pool, SteadyTime now, PoolDemand &demand, std::map<std::string, std::int64_t> &remoteRunning) const
{
    const std::lock_guard lock(m_mutex);
    if (const auto own = m_reportedDemand.find(pool); own != m_reportedDemand.end()) {
        demand.nodes.push_back({m_dependencies.self.name, toTeamDemand(own->second)});
    }
    for (const auto &[name, peer] : m_peers) {
        const auto teams = peer.load.demand.find(pool);
        const bool isReachable = peer.lastContactAt != SteadyTime() && now - peer.lastContactAt <= ReachableTimeout;
        if (!isReachable || teams == peer.load.demand.end()) {
            continue;
        }
        for (const auto &[team, tasks] : teams->second) {
            remoteRunning[team] += tasks.running;
        }
        demand.nodes.push_back({name, toTeamDemand(teams->second)});
    }
}

// This node's own quotas are computed from the demand that it reports to other nodes rather than from its
// current demand, so that all nodes arrive at the same division.
void PeerController::updateReport(SteadyTime now)
{
    std::map<std::string, std::map<std::string, PeerDemand>> report;
    for (const auto &[pool, teams] : m_dependencies.admission->demand()) {
        for (const auto &[team, tasks] : teams) {
            report[pool][team] = {tasks.running, tasks.waiting};
        }
    }
    const std::lock_guard lock(m_mutex);
    if (now >= m_demandReportDueAt) {
        m_reportedDemand = std::move(report);
        m_demandReportDueAt = now + DemandReportInterval;
    }
}

}
