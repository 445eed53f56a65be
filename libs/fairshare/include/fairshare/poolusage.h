#pragma once

#include "jobs/jobspec.h"

#include <cstdint>
#include <map>
#include <string>

namespace Cornelquay {

/** What the runs of each client account use. */
using UsageByAccount = std::map<std::string, Resources>;

/**
 * Sums of the resources that runs use, by pool and client account.
 *
 * The sums change with each run that is added or removed, so reading them costs the same in a fleet of any size.
 * Accounts and pools without runs take no memory. Not thread-safe.
 */
class PoolUsage
{
public:
    void add(const std::string &pool, const std::string &account, const Resources &demand);
    /** Reverts one call of add() with the same arguments. */
    void remove(const std::string &pool, const std::string &account, const Resources &demand);

    Resources of(const std::string &pool, const std::string &account) const;
    /** Only accounts that use something. Valid until the next change. */
    const UsageByAccount &byAccount(const std::string &pool) const;
    /** Changes whenever a sum may have changed. */
    std::uint64_t revision() const;

private:
    std::map<std::string, UsageByAccount> m_byPool;
    std::uint64_t m_revision = 0;
};

}
