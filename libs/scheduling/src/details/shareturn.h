#pragma once

#include "fairshare/poolshares.h"
#include "fairshare/poolusage.h"

#include <optional>
#include <string>

namespace Cornelquay {

/**
 * The right of one client account to place tasks of one job in a full pool before accounts beyond their share.
 *
 * Ends with the first task that is beyond the share. Refers to its arguments, which must outlive it.
 */
class ShareTurn
{
public:
    ShareTurn(const PoolShares &shares, const PoolUsage &usage, const std::string &pool, const std::string &account)
        : m_shares(shares)
        , m_usage(usage)
        , m_pool(pool)
        , m_account(account)
    {
    }

    /** Whether a task or gang with @p demand may be placed in this turn. */
    bool admits(const Resources &demand)
    {
        const bool isKnown = m_decidedAt == m_usage.revision() && demand == m_decidedFor;
        if (!isKnown) {
            m_beyondShare = m_beyondShare || !m_shares.isWithinShare(m_account, m_usage.of(m_pool, m_account), demand);
            m_decidedAt = m_usage.revision();
            m_decidedFor = demand;
        }
        return !m_beyondShare;
    }
    /** A task with @p demand fits on no worker at present. */
    void noteUnplaced(const Resources &demand)
    {
        m_unplaced = demand;
    }

    bool isBeyondShare() const
    {
        return m_beyondShare;
    }
    const std::optional<Resources> &unplaced() const
    {
        return m_unplaced;
    }

private:
    const PoolShares &m_shares;
    const PoolUsage &m_usage;
    const std::string &m_pool;
    const std::string &m_account;
    bool m_beyondShare = false;
    /** The latest question and the revision of the usage for which it was answered: most waiting tasks ask the same. */
    std::optional<std::uint64_t> m_decidedAt;
    Resources m_decidedFor;
    std::optional<Resources> m_unplaced;
};

}
