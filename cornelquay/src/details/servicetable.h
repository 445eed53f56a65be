#pragma once

#include "fleet/fleetstate.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace Cornelquay::Details {

/** What the instances of a pool have, together and the largest of each. */
struct PoolResources {
    Resources total;
    Resources largest;
    int instances = 0;
};

/** A service as each request needs it. */
struct ServiceEntry {
    std::string poolName;
    Resources size;
    PoolResources pool;
};

/** All services of one state of the fleet. */
struct ServiceTable {
    std::map<std::string, ServiceEntry> services;
};

ServiceTable makeServiceTable(const FleetState &state);

/** Whether work of @p size fits on an instance that has @p largest. */
bool fits(const Resources &size, const Resources &largest);

/** The largest part of @p total that @p size takes of any one resource, from 0 to 1. */
double dominantShare(const Resources &size, const Resources &total);

/** The newest table, exchanged as a whole so that requests read it without waiting. Thread-safe. */
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
