#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Cornelquay {

/** An amount of each resource that work is placed by. */
struct Resources {
    double cores = 0;
    std::uint64_t memoryBytes = 0;
    double accelerators = 0;

    bool operator==(const Resources &) const = default;
};

/** A group of availability zones that fails and is cut off together. */
struct Region {
    std::string name;
    std::vector<std::string> zones;

    bool operator==(const Region &) const = default;
};

/** A set of instances that serve the same services. */
struct Pool {
    std::string name;
    /** Instances here serve nothing and are moved to where they are needed. */
    bool spare = false;

    bool operator==(const Pool &) const = default;
};

/** A service as its operators declare it. Sizes and run times are estimates, not promises. */
struct Service {
    std::string name;
    std::string pool;
    std::vector<std::string> dependsOn;
    /** Per task. */
    Resources size;
    /** Per task. */
    std::chrono::milliseconds runTime{0};
    /** Instances of its pool that may be out at once, planned and unplanned together. */
    int availabilityBudget = 0;
    /** Instances that it needs at its peak. */
    int peakInstances = 0;

    bool operator==(const Service &) const = default;
};

/** A team that submits work. */
struct Team {
    std::string name;
    /** Fraction of the fleet that the team gets when everything is full. */
    double share = 0;
    /** Tasks that it may have running at once across the fleet. */
    int runningLimit = 0;

    bool operator==(const Team &) const = default;
};

/** How one deployment weighs its measures against each other; only the ratio counts. */
struct Policy {
    double bufferCostWeight = 1;
    double shareNearnessWeight = 1;
    std::chrono::hours maintenancePeriod{21 * 24};

    bool operator==(const Policy &) const = default;
};

/** What the operators' text says, checked. Ordered by name for a stable result. */
struct Configuration {
    std::vector<Region> regions;
    std::map<std::string, Pool> pools;
    std::map<std::string, Service> services;
    std::map<std::string, Team> teams;
    Policy policy;

    bool operator==(const Configuration &) const = default;
};

/** The smallest budget of the services in @p pool: what the pool as a whole may have out. */
int poolBudget(const Configuration &configuration, const std::string &pool);

/** The name of the spare pool; empty if there is none. */
std::string sparePool(const Configuration &configuration);

}
