#pragma once

#include "records/identifiers.h"
#include "timing/instant.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace Cornelquay::Details {

/** How long a borrower may start tasks on a loan, counted from sending the request that confirmed it. */
constexpr std::chrono::milliseconds LoanUsePeriod{4000};

/**
 * The longest task lease that the node settings allow; a task whose lease is not renewed has ended
 * after this time.
 */
constexpr std::chrono::milliseconds MaxTaskLease{15000};

/**
 * How long the lender waits after the last confirmation before it uses lent permits again. By then
 * the borrower starts no more tasks on the loan and the leases of its tasks have expired, with 1 s of
 * margin.
 */
constexpr std::chrono::milliseconds LoanReclaimDelay = LoanUsePeriod + MaxTaskLease + std::chrono::milliseconds(1000);

/** Identifies a loan: the other node and the team. */
struct LoanKey {
    Incarnation peer;
    std::string team;

    bool operator<(const LoanKey &key) const
    {
        return std::tie(peer, team) < std::tie(key.peer, key.team);
    }
};

/** The state of a loan as the borrower reports it in each exchange. */
struct LoanRequest {
    std::string team;
    /** Permits that the borrower keeps. */
    std::int64_t retained = 0;
    /** Further permits that it requests. */
    std::int64_t wanted = 0;

    auto fields()
    {
        return std::tie(team, retained, wanted);
    }
};

/** The lender's answer to a LoanRequest. */
struct LoanGrant {
    std::string team;
    /** Permits that are newly lent. */
    std::int64_t granted = 0;
    /**
     * Permits lent in total, including those granted now. Without those, it is less than the retained
     * permits of the request if the loan had expired.
     */
    std::int64_t total = 0;
    /** Permits of the total that the lender wants back as soon as tasks end. */
    std::int64_t recalled = 0;

    auto fields()
    {
        return std::tie(team, granted, total, recalled);
    }
};

/**
 * Permits that this node has lent to others. A message that is lost, repeated or late can leave
 * permits unused for up to LoanReclaimDelay, but never creates additional ones. Not thread-safe.
 */
class LentQuota
{
public:
    /**
     * Processes a loan request and lends up to @p spare more permits. A request whose @p sequence is
     * not greater than that of the last one from the borrower for the team changes nothing and lends
     * nothing. The grant recalls no permits; the caller adds those.
     */
    LoanGrant update(const Incarnation &borrower, const LoanRequest &loanRequest, std::uint64_t sequence, std::int64_t spare, SteadyTime now);

    /** Permits of @p team lent to @p borrower, including expired loans that lent() has not removed yet. */
    std::int64_t lentTo(const Incarnation &borrower, const std::string &team) const;

    /** Removes expired loans with their sequences, and returns the permits lent, by team. */
    std::map<std::string, std::int64_t> lent(SteadyTime now);

private:
    struct Loan {
        std::int64_t count = 0;
        std::uint64_t sequence = 0;
        SteadyTime expiresAt;
    };
    std::map<LoanKey, Loan> m_loans;
};

/** Permits that this node has borrowed from others. Not thread-safe. */
class BorrowedQuota
{
public:
    /** Permits that the lender of one loan wants back. */
    std::int64_t recalled(const LoanKey &key) const;
    /** Permits kept of a loan, as the next request will report. */
    std::int64_t retained(const LoanKey &key) const;
    /** Returns up to @p count permits of a loan and says how many; the next request informs the lender. */
    std::int64_t giveBack(const LoanKey &key, std::int64_t count);
    /** Processes the answer to a request that was sent at @p sentAt and reported @p retained. */
    void confirm(const Incarnation &lender, const LoanGrant &grant, std::int64_t retained, SteadyTime sentAt);

    /** Permits that lenders want back, by team. */
    std::map<std::string, std::int64_t> recalled() const;

    /** Permits on which tasks may be started at @p now, by team. */
    std::map<std::string, std::int64_t> usable(SteadyTime now) const;
    /** Permits borrowed from one lender, by team; teams with none are left out. */
    std::map<std::string, std::int64_t> borrowedFrom(const Incarnation &lender) const;

private:
    struct Loan {
        std::int64_t count = 0;
        std::int64_t recalled = 0;
        SteadyTime usableUntil;
    };
    std::map<LoanKey, Loan> m_loans;
};

}
