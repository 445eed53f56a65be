#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Cornelquay {

/** Amounts of the resources that the placement of work takes into account. */
struct Resources {
    /** Processor cores; may be fractional. */
    double cores = 0;
    std::uint64_t memoryBytes = 0;
    /** May be fractional. */
    double accelerators = 0;

    bool operator==(const Resources &) const = default;
};

/** A group of availability zones that can fail together or be disconnected from other regions together. */
struct Region {
    std::string name;
    std::vector<std::string> zones;

    bool operator==(const Region &) const = default;
};

/** A set of instances that serve the same services. */
struct Pool {
    std::string name;
    /** Whether this is the spare pool: its instances serve no requests and are moved to pools that need capacity. */
    bool spare = false;

    bool operator==(const Pool &) const = default;
};

/** A service as its operators declare it. Sizes and run times are estimates, not promises. */
struct Service {
    std::string name;
    std::string pool;
    /** Names of the services that it calls. */
    std::vector<std::string> dependsOn;
    /** Resources that one task needs. */
    Resources size;
    /** Run time of one task. */
    std::chrono::milliseconds runTime{0};
    /** Maximum number of instances of its pool that may be out of service at once, planned and unplanned outages together. */
    int availabilityBudget = 0;
    /** Number of instances that the service needs at peak load. */
    int peakInstances = 0;

    bool operator==(const Service &) const = default;
};

/** A team that submits work. */
struct Team {
    std::string name;
    /** Fraction of the fleet, 0 to 1, that the team gets while the fleet is fully used. */
    double share = 0;
    /** Maximum number of tasks that the team may have running at once across the fleet. */
    int runningLimit = 0;

    bool operator==(const Team &) const = default;
};

/** The operators' choices for one deployment. Of the two weights only the ratio matters. */
struct Policy {
    /** Weight of the cost of buffer capacity. */
    double bufferCostWeight = 1;
    /** Weight of how closely the teams get their shares. */
    double shareNearnessWeight = 1;
    /** Every instance should be maintained at least once within this period. */
    std::chrono::hours maintenancePeriod{21 * 24};

    bool operator==(const Policy &) const = default;
};

/** The checked content of a configuration text. Pools, services and teams are ordered by name, so that iteration is deterministic. */
struct Configuration {
    std::vector<Region> regions;
    std::map<std::string, Pool> pools;
    std::map<std::string, Service> services;
    std::map<std::string, Team> teams;
    Policy policy;

    bool operator==(const Configuration &) const = default;
};

/**
 * The maximum number of instances of @p pool that may be out of service at once: the smallest budget
 * of the services in the pool, or the largest int if the pool has no services.
 */
int poolBudget(const Configuration &configuration, const std::string &pool);

/** The name of the spare pool; empty if the configuration has none. */
std::string sparePool(const Configuration &configuration);

}
