#include "details/peercontroller.h"

#include <algorithm>

// PeerController: borrowing and lending quota of the teams' limits.

namespace Cornelquay::Details {

namespace {

/** The lender keeps its unused permits divided by this number for itself, and at least one if work of the team waits. */
constexpr std::int64_t LenderReserveDivisor = 4;

std::int64_t waitingCount(const std::map<std::string, TeamLoad> &teams, const std::string &team)
{
    const auto found = teams.find(team);
    return found == teams.end() ? 0 : static_cast<std::int64_t>(found->second.waiting);
}

std::int64_t countOf(const std::map<std::string, std::int64_t> &counts, const std::string &team)
{
    const auto found = counts.find(team);
    return found == counts.end() ? 0 : found->second;
}

}

// Returns unused permits and requests missing ones.
std::vector<LoanRequest> PeerController::loanRequestsFor(Peer &peer, const std::map<std::string, TeamLoad> &teams)
{
    std::vector<LoanRequest> loanRequests;
    for (const auto &[team, load] : teams) {
        const LoanKey key{peer.endpoint.node, team};
        const std::int64_t retainedBefore = m_borrowedQuota.retained(key);
        const std::int64_t available = load.limits.held + load.limits.borrowed - load.limits.lent - load.limits.running;
        const bool unused = load.waiting == 0 && available > 0;
        if (retainedBefore > 0 && (unused || m_borrowedQuota.recalled(key) > 0)) {
            returnLoan(key, unused);
        }
        const auto spare = peer.load.sparePermits.find(team);
        const bool isShort = load.waiting > 0 && available <= 0 && spare != peer.load.sparePermits.end();
        const std::int64_t wanted = isShort ? std::min<std::int64_t>(static_cast<std::int64_t>(load.waiting), spare->second) : 0;
        const std::int64_t retained = m_borrowedQuota.retained(key);
        if (retained > 0 || wanted > 0 || retainedBefore > 0) {
            loanRequests.push_back({team, retained, wanted});
        }
    }
    return loanRequests;
}

// Withholds the permits on this node before the lender learns that it may use them again, so that no
// permit is used twice.
void PeerController::returnLoan(const LoanKey &key, bool unused)
{
    m_dependencies.admission->changeLimits([&](TeamLimits &limits) {
        const std::int64_t recalled = m_borrowedQuota.recalled(key);
        // Recalled permits are not counted as available, so they can be returned in addition.
        const std::int64_t free = limits.available(key.team, steadyNow()) + recalled;
        const std::int64_t returned = m_borrowedQuota.giveBack(key, std::max<std::int64_t>(0, unused ? free : std::min(free, recalled)));
        limits.setBorrowed(key.team, limits.status(steadyNow())[key.team].borrowed - returned);
        limits.setRecalled(key.team, m_borrowedQuota.recalled()[key.team]);
    });
}

std::vector<LoanGrant> PeerController::grantLoans(const Incarnation &from, const PeerRequest &request)
{
    std::vector<LoanGrant> grants;
    bool present = false;
    m_dependencies.replica->query([&](const FleetState &state) {
        present = isPresent(state, from) && isPresent(state, m_dependencies.self);
    });
    const bool mayLend = present && m_dependencies.mayAcceptWork();
    const std::map<std::string, TeamLoad> teams = m_dependencies.admission->teams();
    const SteadyTime now = steadyNow();
    const std::lock_guard lock(m_mutex);
    for (const LoanRequest &loanRequest : request.loanRequests) {
        m_dependencies.admission->changeLimits([&](TeamLimits &limits) {
            const TeamLimitStatus status = limits.status(now)[loanRequest.team];
            // Lends only permits of this node's own quota, never borrowed ones.
            const std::int64_t unusedOwn = status.held - status.lent - status.running;
            const std::int64_t lenderReserve = std::max<std::int64_t>(waitingCount(teams, loanRequest.team) > 0 ? 1 : 0, unusedOwn / LenderReserveDivisor);
            const std::int64_t spare = mayLend ? unusedOwn - lenderReserve : 0;
            LoanGrant grant = m_lentQuota.update(from, loanRequest, request.sequence, spare, now);
            limits.setLent(loanRequest.team, m_lentQuota.lent(now)[loanRequest.team]);
            if (unusedOwn <= 0) {
                const std::int64_t waiting = waitingCount(teams, loanRequest.team);
                grant.recalled = std::min(waiting, m_lentQuota.lentTo(from, loanRequest.team));
            }
            m_grantedLoansTotal.increment(static_cast<double>(grant.granted));
            grants.push_back(grant);
        });
    }
    return grants;
}

void PeerController::applyLoans(SteadyTime now)
{
    const std::lock_guard lock(m_mutex);
    m_dependencies.admission->changeLimits([&](TeamLimits &limits) {
        const std::map<std::string, std::int64_t> borrowed = m_borrowedQuota.usable(now);
        const std::map<std::string, std::int64_t> lent = m_lentQuota.lent(now);
        const std::map<std::string, std::int64_t> recalled = m_borrowedQuota.recalled();
        for (const auto &[team, status] : limits.status(now)) {
            limits.setBorrowed(team, countOf(borrowed, team));
            limits.setLent(team, countOf(lent, team));
            limits.setRecalled(team, countOf(recalled, team));
        }
    });
}

}
