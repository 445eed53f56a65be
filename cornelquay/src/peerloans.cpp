#include "details/peerkeeper.h"

#include <algorithm>

// The part of the PeerKeeper that borrows and lends parts of the teams' limits.

namespace Cornelquay::Details {

namespace {

/** The lender keeps this part of its spare permits for itself: one of so many. */
constexpr std::int64_t LenderReserve = 4;

std::int64_t waitingOf(const std::map<std::string, TeamLoad> &teams, const std::string &team)
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

// Gives back what is not used and asks for what is short.
std::vector<LoanAsk> PeerKeeper::asksTo(Peer &peer, const std::map<std::string, TeamLoad> &teams)
{
    std::vector<LoanAsk> asks;
    for (const auto &[team, load] : teams) {
        const LoanKey key{peer.endpoint.node, team};
        const std::int64_t keptBefore = m_borrowed.kept(key);
        const std::int64_t available = load.limits.held + load.limits.borrowed - load.limits.lent - load.limits.running;
        const bool unused = load.waiting == 0 && available > 0;
        if (keptBefore > 0 && (unused || m_borrowed.recalled(key) > 0)) {
            returnLoan(key, unused);
        }
        const auto spare = peer.load.spare.find(team);
        const bool isShort = load.waiting > 0 && available <= 0 && spare != peer.load.spare.end();
        const std::int64_t wanted = isShort ? std::min<std::int64_t>(static_cast<std::int64_t>(load.waiting), spare->second) : 0;
        const std::int64_t kept = m_borrowed.kept(key);
        if (kept > 0 || wanted > 0 || keptBefore > 0) {
            asks.push_back({team, kept, wanted});
        }
    }
    return asks;
}

// The permits are withheld here before the lender may use them again.
void PeerKeeper::returnLoan(const LoanKey &key, bool unused)
{
    m_services.admission->changeLimits([&](TeamLimits &limits) {
        const std::int64_t recalled = m_borrowed.recalled(key);
        // What is recalled is not counted as available, so it may be returned on top of that.
        const std::int64_t free = limits.available(key.team, steadyNow()) + recalled;
        const std::int64_t returned = m_borrowed.giveBack(key, std::max<std::int64_t>(0, unused ? free : std::min(free, recalled)));
        limits.setBorrowed(key.team, limits.status(steadyNow())[key.team].borrowed - returned);
        limits.setRecalled(key.team, m_borrowed.recalled()[key.team]);
    });
}

std::vector<LoanGrant> PeerKeeper::lend(const Incarnation &from, const PeerRequest &request)
{
    std::vector<LoanGrant> grants;
    bool present = false;
    m_services.replica->query([&](const FleetState &state) {
        present = isPresent(state, from) && isPresent(state, m_services.self);
    });
    const bool mayLend = present && m_services.mayAcceptWork();
    const std::map<std::string, TeamLoad> teams = m_services.admission->teams();
    const SteadyTime now = steadyNow();
    const std::lock_guard lock(m_mutex);
    for (const LoanAsk &ask : request.asks) {
        m_services.admission->changeLimits([&](TeamLimits &limits) {
            const TeamLimitStatus status = limits.status(now)[ask.team];
            // Only this node's own part is lent on, never what it has borrowed itself.
            const std::int64_t own = status.held - status.lent - status.running;
            const std::int64_t reserve = std::max<std::int64_t>(waitingOf(teams, ask.team) > 0 ? 1 : 0, own / LenderReserve);
            const std::int64_t spare = mayLend ? own - reserve : 0;
            LoanGrant grant = m_lent.update(from, ask, request.sequence, spare, now);
            limits.setLent(ask.team, m_lent.lent(now)[ask.team]);
            if (own <= 0) {
                const std::int64_t waiting = waitingOf(teams, ask.team);
                grant.recalled = std::min(waiting, m_lent.lentTo(from, ask.team));
            }
            m_grantedTotal.increment(static_cast<double>(grant.granted));
            grants.push_back(grant);
        });
    }
    return grants;
}

void PeerKeeper::applyLoans(SteadyTime now)
{
    const std::lock_guard lock(m_mutex);
    m_services.admission->changeLimits([&](TeamLimits &limits) {
        const std::map<std::string, std::int64_t> borrowed = m_borrowed.usable(now);
        const std::map<std::string, std::int64_t> lent = m_lent.lent(now);
        const std::map<std::string, std::int64_t> recalled = m_borrowed.recalled();
        for (const auto &[team, status] : limits.status(now)) {
            limits.setBorrowed(team, countOf(borrowed, team));
            limits.setLent(team, countOf(lent, team));
            limits.setRecalled(team, countOf(recalled, team));
        }
    });
}

}
