#include "details/servicetable.h"

#include <algorithm>

namespace Cornelquay::Details {

namespace {

std::map<std::string, PoolResources> poolResources(const FleetState &state)
{
    std::map<std::string, PoolResources> pools;
    for (const auto &[name, instance] : state.instances) {
        PoolResources &pool = pools[instance.pool];
        pool.instances += 1;
        pool.total.cores += instance.cores;
        pool.total.memoryBytes += instance.memoryBytes;
        pool.total.accelerators += instance.accelerators;
        pool.largest.cores = std::max(pool.largest.cores, instance.cores);
        pool.largest.memoryBytes = std::max(pool.largest.memoryBytes, instance.memoryBytes);
        pool.largest.accelerators = std::max(pool.largest.accelerators, instance.accelerators);
    }
    return pools;
}

}

ServiceTable makeServiceTable(const FleetState &state)
{
    const std::map<std::string, PoolResources> pools = poolResources(state);
    ServiceTable table;
    for (const auto &[name, service] : state.parsedConfiguration->services) {
        const auto pool = pools.find(service.pool);
        table.services[name] = {service.pool, service.size, pool == pools.end() ? PoolResources{} : pool->second};
    }
    return table;
}

bool fits(const Resources &size, const Resources &largest)
{
    return size.cores <= largest.cores && size.memoryBytes <= largest.memoryBytes && size.accelerators <= largest.accelerators;
}

double dominantShare(const Resources &size, const Resources &total)
{
    double share = 0;
    if (total.cores > 0) {
        share = std::max(share, size.cores / total.cores);
    }
    if (total.memoryBytes > 0) {
        share = std::max(share, static_cast<double>(size.memoryBytes) / static_cast<double>(total.memoryBytes));
    }
    if (total.accelerators > 0) {
        share = std::max(share, size.accelerators / total.accelerators);
    }
    return share;
}

std::shared_ptr<const ServiceTable> ServiceTables::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_current;
}

void ServiceTables::replace(ServiceTable table)
{
    auto newTable = std::make_shared<const ServiceTable>(std::move(table));
    const std::lock_guard lock(m_mutex);
    m_current = std::move(newTable);
}

}
