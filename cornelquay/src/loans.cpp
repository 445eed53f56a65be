#include "details/loans.h"

#include <algorithm>

namespace Cornelquay::Details {

LoanGrant LentQuota::update(const Incarnation &borrower, const LoanRequest &loanRequest, std::uint64_t sequence, std::int64_t spare, SteadyTime now)
{
    Loan &loan = m_loans[{borrower, loanRequest.team}];
    if (sequence <= loan.sequence) {
        return {loanRequest.team, 0, loan.count, 0};
    }
    loan.sequence = sequence;
    // A borrower cannot keep more than it was lent; this also covers an expired loan.
    loan.count = std::clamp<std::int64_t>(loanRequest.retained, 0, loan.count);
    const std::int64_t granted = std::clamp<std::int64_t>(loanRequest.wanted, 0, std::max<std::int64_t>(0, spare));
    loan.count += granted;
    loan.expiresAt = now + LoanReclaimDelay;
    return {loanRequest.team, granted, loan.count, 0};
}

std::int64_t LentQuota::lentTo(const Incarnation &borrower, const std::string &team) const
{
    const auto found = m_loans.find({borrower, team});
    return found == m_loans.end() ? 0 : found->second.count;
}

std::map<std::string, std::int64_t> LentQuota::lent(SteadyTime now)
{
    std::erase_if(m_loans, [&](const auto &entry) {
        return entry.second.expiresAt <= now;
    });
    std::map<std::string, std::int64_t> result;
    for (const auto &[key, loan] : m_loans) {
        result[key.team] += loan.count;
    }
    return result;
}

std::int64_t BorrowedQuota::retained(const LoanKey &key) const
{
    const auto found = m_loans.find(key);
    return found == m_loans.end() ? 0 : found->second.count;
}

std::int64_t BorrowedQuota::giveBack(const LoanKey &key, std::int64_t count)
{
    const auto found = m_loans.find(key);
    if (found == m_loans.end()) {
        return 0;
    }
    const std::int64_t returned = std::clamp<std::int64_t>(count, 0, found->second.count);
    found->second.count -= returned;
    found->second.recalled = std::max<std::int64_t>(0, found->second.recalled - returned);
    return returned;
}

void BorrowedQuota::confirm(const Incarnation &lender, const LoanGrant &grant, std::int64_t retained, SteadyTime sentAt)
{
    const LoanKey key{lender, grant.team};
    Loan &loan = m_loans[key];
    // Permits returned after the request was sent stay returned; the next request informs the lender.
    loan.count = std::min({loan.count, retained, grant.total - grant.granted}) + grant.granted;
    loan.recalled = std::min(grant.recalled, loan.count);
    loan.usableUntil = sentAt + LoanUsePeriod;
    if (loan.count == 0) {
        m_loans.erase(key);
    }
}

std::int64_t BorrowedQuota::recalled(const LoanKey &key) const
{
    const auto found = m_loans.find(key);
    return found == m_loans.end() ? 0 : found->second.recalled;
}

std::map<std::string, std::int64_t> BorrowedQuota::recalled() const
{
    std::map<std::string, std::int64_t> result;
    for (const auto &[key, loan] : m_loans) {
        if (loan.recalled > 0) {
            result[key.team] += loan.recalled;
        }
    }
    return result;
}

std::map<std::string, std::int64_t> BorrowedQuota::usable(SteadyTime now) const
{
    std::map<std::string, std::int64_t> result;
    for (const auto &[key, loan] : m_loans) {
        if (loan.usableUntil > now) {
            result[key.team] += loan.count;
        }
    }
    return result;
}

std::map<std::string, std::int64_t> BorrowedQuota::borrowedFrom(const Incarnation &lender) const
{
    std::map<std::string, std::int64_t> result;
    for (const auto &[key, loan] : m_loans) {
        if (key.peer == lender && loan.count != 0) {
            result[key.team] = loan.count;
        }
    }
    return result;
}

}
