#include "fairshare/poolusage.h"

namespace Cornelquay {

void PoolUsage::add(const std::string &pool, const std::string &account, const Resources &demand)
{
    ++m_revision;
    if (!(demand == Resources{})) {
        m_byPool[pool][account] += demand;
    }
}

void PoolUsage::remove(const std::string &pool, const std::string &account, const Resources &demand)
{
    ++m_revision;
    const auto accounts = m_byPool.find(pool);
    if (accounts == m_byPool.end()) {
        return;
    }
    const auto used = accounts->second.find(account);
    if (used == accounts->second.end()) {
        return;
    }
    used->second -= demand;
    if (used->second == Resources{}) {
        accounts->second.erase(used);
    }
    if (accounts->second.empty()) {
        m_byPool.erase(accounts);
    }
}

Resources PoolUsage::of(const std::string &pool, const std::string &account) const
{
    const UsageByAccount &accounts = byAccount(pool);
    const auto used = accounts.find(account);
    return used == accounts.end() ? Resources{} : used->second;
}

const UsageByAccount &PoolUsage::byAccount(const std::string &pool) const
{
    static const UsageByAccount None;
    const auto accounts = m_byPool.find(pool);
    return accounts == m_byPool.end() ? None : accounts->second;
}

std::uint64_t PoolUsage::revision() const
{
    return m_revision;
}

}
