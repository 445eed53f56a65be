#include "details/loans.h"

#include <algorithm>

namespace Cornelquay::Details {

LoanGrant LentParts::update(const Incarnation &borrower, const LoanAsk &ask, std::uint64_t sequence, std::int64_t spare, SteadyTime now)
{
    Loan &loan = m_loans[{borrower, ask.team}];
    if (sequence <= loan.sequence) {
        return {ask.team, 0, loan.count, 0};
    }
    loan.sequence = sequence;
    // A borrower can only keep what it was given; anything above is a fault on its side.
    loan.count = std::clamp<std::int64_t>(ask.kept, 0, loan.count);
    const std::int64_t granted = std::clamp<std::int64_t>(ask.wanted, 0, std::max<std::int64_t>(0, spare));
    loan.count += granted;
    loan.heldUntil = now + LoanHold;
    return {ask.team, granted, loan.count, 0};
}

std::int64_t LentParts::lentTo(const Incarnation &borrower, const std::string &team) const
{
    const auto found = m_loans.find({borrower, team});
    return found == m_loans.end() ? 0 : found->second.count;
}

std::map<std::string, std::int64_t> LentParts::lent(SteadyTime now)
{
    std::erase_if(m_loans, [&](const auto &entry) {
        return entry.second.heldUntil <= now;
    });
    std::map<std::string, std::int64_t> result;
    for (const auto &[key, loan] : m_loans) {
        result[key.team] += loan.count;
    }
    return result;
}

std::int64_t BorrowedParts::kept(const LoanKey &key) const
{
    const auto found = m_loans.find(key);
    return found == m_loans.end() ? 0 : found->second.count;
}

std::int64_t BorrowedParts::giveBack(const LoanKey &key, std::int64_t count)
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

void BorrowedParts::confirm(const Incarnation &lender, const LoanGrant &grant, std::int64_t kept, SteadyTime sentAt)
{
    const LoanKey key{lender, grant.team};
    Loan &loan = m_loans[key];
    // Given back since the ask was sent: the lender learns of it with the next one.
    loan.count = std::min({loan.count, kept, grant.total - grant.granted}) + grant.granted;
    loan.recalled = std::min(grant.recalled, loan.count);
    loan.usableUntil = sentAt + LoanUse;
    if (loan.count == 0) {
        m_loans.erase(key);
    }
}

std::int64_t BorrowedParts::recalled(const LoanKey &key) const
{
    const auto found = m_loans.find(key);
    return found == m_loans.end() ? 0 : found->second.recalled;
}

std::map<std::string, std::int64_t> BorrowedParts::recalled() const
{
    std::map<std::string, std::int64_t> result;
    for (const auto &[key, loan] : m_loans) {
        if (loan.recalled > 0) {
            result[key.team] += loan.recalled;
        }
    }
    return result;
}

std::map<std::string, std::int64_t> BorrowedParts::usable(SteadyTime now) const
{
    std::map<std::string, std::int64_t> result;
    for (const auto &[key, loan] : m_loans) {
        if (loan.usableUntil > now) {
            result[key.team] += loan.count;
        }
    }
    return result;
}

std::map<std::string, std::int64_t> BorrowedParts::from(const Incarnation &lender) const
{
    std::map<std::string, std::int64_t> result;
    for (const auto &[key, loan] : m_loans) {
        if (key.other == lender && loan.count != 0) {
            result[key.team] = loan.count;
        }
    }
    return result;
}

}
