#pragma once

#include "fleet/fleetstate.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace Cornelquay::Details {

/** Resources of all instances of a pool, including those out of service. */
struct PoolResources {
    /** Sum over all instances. */
    Resources total;
    /** Maximum of each resource over the instances; not necessarily found on a single instance. */
    Resources largest;
    int instances = 0;
};

/** The data of a service that is needed to admit a request. */
struct ServiceEntry {
    std::string poolName;
    /** Resources that one request takes unless the caller states its own. */
    Resources size;
    PoolResources pool;
};

/** All services by name, as of one revision of the fleet state. */
struct ServiceTable {
    std::map<std::string, ServiceEntry> services;
};

ServiceTable makeServiceTable(const FleetState &state);

/** Whether each resource of @p size is at most that of @p largest. */
bool fits(const Resources &size, const Resources &largest);

/**
 * The largest fraction of any one resource of @p total that @p size takes; resources of which @p total
 * has none are ignored. Between 0 and 1 if @p size fits into @p total.
 */
double dominantShare(const Resources &size, const Resources &total);

/** Holds the current service table; it is replaced as a whole, so requests never wait while a table is built. Thread-safe. */
class ServiceTables
{
public:
    std::shared_ptr<const ServiceTable> current() const;
    void replace(ServiceTable table);

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const ServiceTable> m_current = std::make_shared<const ServiceTable>();
};

}
