#include "details/quotacontroller.h"

#include <algorithm>

namespace Cornelquay::Details {

namespace {

using namespace std::chrono_literals;

constexpr auto QuotaAdjustInterval = 200ms;
constexpr auto ProposalTimeout = 2s;

}

QuotaChange decideQuotaChange(const QuotaSituation &situation)
{
    const std::int64_t members = std::max(1, situation.members);
    const std::int64_t extraPermit = situation.rank < situation.limit % members ? 1 : 0;
    const std::int64_t equalQuota = situation.limit / members + extraPermit;
    const std::int64_t unused = situation.held - situation.lent - situation.running;
    if (situation.unassigned < 0) {
        // The limit was lowered below the sum of the quotas: every node returns its unused permits.
        return {-std::min(std::max<std::int64_t>(0, unused), -situation.unassigned)};
    }
    if (situation.unassigned > 0 && situation.held < equalQuota) {
        return {std::min(situation.unassigned, equalQuota - situation.held)};
    }
    if (situation.unassigned == 0 && situation.held > equalQuota && unused > 0 && situation.waiting == 0) {
        return {-std::min(unused, situation.held - equalQuota)};
    }
    return {0};
}

QuotaController::QuotaController(Replica &replica, Admission &admission, Incarnation self)
    : m_replica(replica)
    , m_admission(admission)
    , m_self(std::move(self))
    , m_task(QuotaAdjustInterval, [this] {
        adjustQuotas();
    })
{
}

void QuotaController::start()
{
    m_task.start();
}

void QuotaController::stop()
{
    m_task.stop();
}

void QuotaController::refreshPermits()
{
    const std::lock_guard lock(m_returnsMutex);
    std::map<std::string, std::int64_t> held;
    m_replica.query([&](const FleetState &state) {
        const auto member = state.members.find(m_self.name);
        const std::uint64_t sequence = member == state.members.end() ? 0 : member->second.quotaSequence;
        std::erase_if(m_pendingReturns, [&](const auto &entry) {
            return entry.second.sequence <= sequence;
        });
        for (const auto &[team, entry] : state.parsedConfiguration->teams) {
            const auto pending = m_pendingReturns.find(team);
            held[team] = heldQuota(state, m_self, team) - (pending == m_pendingReturns.end() ? 0 : pending->second.count);
        }
    });
    m_admission.changeLimits([&](TeamLimits &limits) {
        for (const auto &[team, count] : held) {
            limits.setHeld(team, count);
        }
    });
}

void QuotaController::adjustQuotas()
{
    std::uint64_t sequence = 0;
    for (const auto &[team, change] : neededChanges(sequence)) {
        sequence += 1;
        if (!proposeChange(team, change.count, sequence)) {
            break;
        }
    }
    refreshPermits();
}

std::map<std::string, QuotaChange> QuotaController::neededChanges(std::uint64_t &sequence) const
{
    const std::map<std::string, TeamLoad> loads = m_admission.teams();
    std::map<std::string, QuotaChange> changes;
    m_replica.query([&](const FleetState &state) {
        if (!isPresent(state, m_self)) {
            return;
        }
        sequence = state.members.at(m_self.name).quotaSequence;
        const int members = memberCount(state);
        const int rank = memberRank(state, m_self.name);
        for (const auto &[team, entry] : state.parsedConfiguration->teams) {
            QuotaSituation situation;
            situation.limit = entry.runningLimit;
            situation.unassigned = unassignedQuota(state, team);
            situation.held = heldQuota(state, m_self, team);
            situation.members = members;
            situation.rank = rank;
            if (const auto load = loads.find(team); load != loads.end()) {
                situation.running = load->second.limits.running;
                situation.lent = load->second.limits.lent;
                situation.waiting = static_cast<std::int64_t>(load->second.waiting);
            }
            if (const QuotaChange change = decideQuotaChange(situation); change.count != 0) {
                changes[team] = change;
            }
        }
    });
    return changes;
}

bool QuotaController::proposeChange(const std::string &team, std::int64_t count, std::uint64_t sequence)
{
    RecordBody body;
    if (count > 0) {
        body = QuotaTaken{m_self.name, m_self.number, team, count, sequence};
    } else {
        const std::int64_t reserved = reserveReturn(team, -count, sequence);
        if (reserved == 0) {
            return true;
        }
        body = QuotaReturned{m_self.name, m_self.number, team, reserved, sequence};
    }
    const ProposalOutcome outcome = m_replica.propose(std::move(body), m_self.name, "equal part of the team's limit", steadyNow() + ProposalTimeout);
    if (std::holds_alternative<ProposalNotDone>(outcome)) {
        const std::lock_guard lock(m_returnsMutex);
        m_pendingReturns.erase(team);
    }
    return std::holds_alternative<ProposalFolded>(outcome);
}

// Withholds the permits on this node before the record makes them available to other nodes, so that no
// permit is used twice.
std::int64_t QuotaController::reserveReturn(const std::string &team, std::int64_t count, std::uint64_t sequence)
{
    const std::lock_guard lock(m_returnsMutex);
    if (m_pendingReturns.contains(team)) {
        return 0;
    }
    std::int64_t reserved = 0;
    m_admission.changeLimits([&](TeamLimits &limits) {
        reserved = std::clamp<std::int64_t>(limits.available(team, steadyNow()), 0, count);
        limits.setHeld(team, limits.status(steadyNow())[team].held - reserved);
    });
    if (reserved > 0) {
        m_pendingReturns[team] = {reserved, sequence};
    }
    return reserved;
}

}
