#pragma once

#include "records/identifiers.h"
#include "timing/instant.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace Cornelquay::Details {

/** How long a borrower may start work on a loan after it sent the request that confirmed it. */
constexpr std::chrono::milliseconds LoanUsePeriod{4000};

/** The longest lease of a task; its work ends this long after the last renewal. */
constexpr std::chrono::milliseconds MaxTaskLease{15000};

/**
 * How long the lender waits after the last confirmation before it uses the part again: by then the
 * borrower has stopped starting work, and the leases of its tasks have run out.
 */
constexpr std::chrono::milliseconds LoanReclaimDelay = LoanUsePeriod + MaxTaskLease + std::chrono::milliseconds(1000);

/** Which part of which team's limit goes between two nodes. */
struct LoanKey {
    Incarnation peer;
    std::string team;

    bool operator<(const LoanKey &key) const
    {
        return std::tie(peer, team) < std::tie(key.peer, key.team);
    }
};

/** What a borrower says in each exchange: how much it keeps, and how much more it wants. */
struct LoanRequest {
    std::string team;
    std::int64_t retained = 0;
    std::int64_t wanted = 0;

    auto fields()
    {
        return std::tie(team, retained, wanted);
    }
};

/**
 * What the lender adds, what the borrower has of it in all (less than kept if a loan expired), and
 * how much of that the lender wants back as soon as tasks end.
 */
struct LoanGrant {
    std::string team;
    std::int64_t granted = 0;
    std::int64_t total = 0;
    std::int64_t recalled = 0;

    auto fields()
    {
        return std::tie(team, granted, total, recalled);
    }
};

/**
 * The parts of limits that this node has lent. A message that is lost, repeated or late can only
 * keep a part unused until LoanReclaimDelay is over; it never makes one. Not thread-safe.
 */
class LentQuota
{
public:
    /**
     * Takes in an ask and lends up to @p spare more. An ask with a @p sequence that is not newer
     * than the last one from that borrower changes nothing and lends nothing.
     */
    LoanGrant update(const Incarnation &borrower, const LoanRequest &loanRequest, std::uint64_t sequence, std::int64_t spare, SteadyTime now);

    /** What is lent of one team's limit to @p borrower. */
    std::int64_t lentTo(const Incarnation &borrower, const std::string &team) const;

    /** What is lent of each team's limit, leaving out what came back by expiry. */
    std::map<std::string, std::int64_t> lent(SteadyTime now);

private:
    struct Loan {
        std::int64_t count = 0;
        std::uint64_t sequence = 0;
        SteadyTime expiresAt;
    };
    std::map<LoanKey, Loan> m_loans;
};

/** The parts of limits that this node has borrowed. Not thread-safe. */
class BorrowedQuota
{
public:
    /** What the lender of one loan wants back. */
    std::int64_t recalled(const LoanKey &key) const;
    /** What is kept of a loan, as the next ask will say. */
    std::int64_t retained(const LoanKey &key) const;
    /** Gives up to @p count of a loan back; returns how much. The next ask tells the lender. */
    std::int64_t giveBack(const LoanKey &key, std::int64_t count);
    /** Takes in the answer to an ask sent at @p sentAt, which said @p kept. */
    void confirm(const Incarnation &lender, const LoanGrant &grant, std::int64_t retained, SteadyTime sentAt);

    /** What the lenders want back of each team's limit. */
    std::map<std::string, std::int64_t> recalled() const;

    /** What may be used of each team's limit now. */
    std::map<std::string, std::int64_t> usable(SteadyTime now) const;
    /** The loans of one lender that are not zero. */
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
