#include "capacity/wave.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <set>

namespace Cornelquay {

namespace {

constexpr int MinAlarmFailures = 2;
constexpr double MinAlarmFailureFraction = 0.1;
/** Minimum ratio of the failure rate of maintained instances to that of the others. Avoids alarms when a whole zone fails. */
constexpr double MinAlarmRateRatio = 3.0;

using NamedInstance = std::pair<const std::string, InstanceEntry>;

bool isDue(const FleetState &state, const InstanceEntry &instance)
{
    return instance.maintainedAtMs < state.waveStartedAt;
}

/** The state of one pool in a wave, in instances. */
struct PoolWave {
    /** Result of poolBudget(). */
    int budget = 0;
    /** Out of service, planned or not, including the decisions made so far. */
    int out = 0;
    /** Zones with an instance of this pool out of service before the decisions. */
    std::set<std::string> affectedZones;
    /** Instances that are due and in service. */
    std::vector<const NamedInstance *> candidates;
    /** Other pools that have a service on which a service of this pool depends, or that depends on one. */
    std::set<std::string> neighbours;
};

using PoolWaves = std::map<std::string, PoolWave>;

void addNeighbours(const Configuration &configuration, PoolWaves &pools)
{
    for (const auto &[name, service] : configuration.services) {
        for (const std::string &dependency : service.dependsOn) {
            const auto other = configuration.services.find(dependency);
            if (other != configuration.services.end() && other->second.pool != service.pool) {
                pools[service.pool].neighbours.insert(other->second.pool);
                pools[other->second.pool].neighbours.insert(service.pool);
            }
        }
    }
}

PoolWaves makePools(const FleetState &state)
{
    PoolWaves pools;
    for (const auto &[name, pool] : state.parsedConfiguration->pools) {
        pools[name].budget = poolBudget(*state.parsedConfiguration, name);
    }
    addNeighbours(*state.parsedConfiguration, pools);
    for (const auto &entry : state.instances) {
        const InstanceEntry &instance = entry.second;
        PoolWave &pool = pools[instance.pool];
        if (isOutOfService(instance)) {
            pool.out += 1;
            pool.affectedZones.insert(instance.zone);
        } else if (instance.state == InstanceState::InService && isDue(state, instance)) {
            pool.candidates.push_back(&entry);
        }
    }
    return pools;
}

// A pool without services, such as the spare pool, has an unlimited budget. Only half of its candidates, but at least one, may be
// taken out of service, so that the others stay available for moves.
int effectiveBudget(const PoolWave &pool)
{
    if (pool.budget != std::numeric_limits<int>::max()) {
        return pool.budget;
    }
    const auto half = static_cast<int>((pool.candidates.size() + 1) / 2);
    return std::max(1, half);
}

/** Whether one more instance of a pool may be taken out of service under each policy. */
struct OutageCheck {
    const PoolWaves &pools;
    const PoolWave &pool;

    bool operator()(const OneAtATimeWaves &) const
    {
        return pool.out == 0;
    }
    bool operator()(const BudgetOnlyWaves &) const
    {
        return pool.out < effectiveBudget(pool);
    }
    bool operator()(const DependencyAwareWaves &) const
    {
        if (pool.out >= effectiveBudget(pool)) {
            return false;
        }
        const int budget = effectiveBudget(pool);
        const bool exhaustsBudget = pool.out + 1 >= budget;
        const bool neighbourHasCandidates = std::any_of(pool.neighbours.begin(), pool.neighbours.end(), [&](const std::string &name) {
            return !pools.at(name).candidates.empty();
        });
        if (exhaustsBudget && budget > 1 && neighbourHasCandidates) {
            // Leave one instance of the budget unused, so that waves in both pools can proceed at the same time.
            return false;
        }
        return std::none_of(pool.neighbours.begin(), pool.neighbours.end(), [&](const std::string &name) {
            const PoolWave &neighbour = pools.at(name);
            const bool neighbourExhausted = neighbour.out > 0 && neighbour.out >= effectiveBudget(neighbour);
            return neighbourExhausted || (exhaustsBudget && neighbour.out > 0);
        });
    }
};

void sortCandidates(PoolWave &pool)
{
    std::sort(pool.candidates.begin(), pool.candidates.end(), [&](const NamedInstance *a, const NamedInstance *b) {
        const bool aHasOutage = pool.affectedZones.contains(a->second.zone);
        const bool bHasOutage = pool.affectedZones.contains(b->second.zone);
        if (aHasOutage != bHasOutage) {
            return aHasOutage;
        }
        return std::tie(a->second.maintainedAtMs, a->second.zone, a->first) < std::tie(b->second.maintainedAtMs, b->second.zone, b->first);
    });
}

/** Number of rounds of outages that a pool still needs if each round uses its full budget. */
double remainingRounds(const PoolWave &pool)
{
    return std::ceil(static_cast<double>(pool.candidates.size()) / std::max(1, effectiveBudget(pool)));
}

/** The pools with candidates, those that need the most rounds first. */
std::vector<std::string> poolsByRemainingRounds(const PoolWaves &pools)
{
    std::vector<std::string> names;
    for (const auto &[name, pool] : pools) {
        if (!pool.candidates.empty()) {
            names.push_back(name);
        }
    }
    std::stable_sort(names.begin(), names.end(), [&](const std::string &a, const std::string &b) {
        return remainingRounds(pools.at(a)) > remainingRounds(pools.at(b));
    });
    return names;
}

}

std::vector<WaveDecision> decideWave(const FleetState &state, const WavePolicy &policy)
{
    std::vector<WaveDecision> decisions;
    if (state.maintenancePaused || state.waveStartedAt == 0) {
        return decisions;
    }
    PoolWaves pools = makePools(state);
    for (const std::string &name : poolsByRemainingRounds(pools)) {
        PoolWave &pool = pools.at(name);
        sortCandidates(pool);
        const int budget = effectiveBudget(pool);
        for (const NamedInstance *candidate : pool.candidates) {
            if (!std::visit(OutageCheck{pools, pool}, policy)) {
                break;
            }
            pool.out += 1;
            const std::string reason = "wave: pool '" + name + "' has " + std::to_string(pool.out) + " of " + std::to_string(budget) + " out with it";
            decisions.push_back({candidate->first, candidate->second.sequence, reason});
        }
    }
    return decisions;
}

bool isWaveDue(const FleetState &state, std::int64_t now, double dueFraction)
{
    const double period = static_cast<double>(std::chrono::milliseconds(state.parsedConfiguration->policy.maintenancePeriod).count());
    std::int64_t oldest = now;
    bool running = false;
    for (const auto &[name, instance] : state.instances) {
        oldest = std::min(oldest, instance.maintainedAtMs);
        running = running || isDue(state, instance);
    }
    return !running && static_cast<double>(now - oldest) >= dueFraction * period;
}

std::optional<WaveAlarm> findWaveAlarm(const FleetState &state)
{
    int maintained = 0;
    int failedAfterMaintenance = 0;
    int others = 0;
    int othersFailed = 0;
    for (const auto &[name, instance] : state.instances) {
        const bool failed = instance.state == InstanceState::Failed;
        if (state.waveStartedAt > 0 && !isDue(state, instance)) {
            maintained += 1;
            failedAfterMaintenance += failed ? 1 : 0;
        } else {
            others += 1;
            othersFailed += failed ? 1 : 0;
        }
    }
    if (failedAfterMaintenance < MinAlarmFailures) {
        return std::nullopt;
    }
    const double rate = static_cast<double>(failedAfterMaintenance) / maintained;
    const double otherRate = others == 0 ? 0 : static_cast<double>(othersFailed) / others;
    if (rate < MinAlarmFailureFraction || rate < MinAlarmRateRatio * otherRate) {
        return std::nullopt;
    }
    const std::string reason = std::to_string(failedAfterMaintenance) + " of " + std::to_string(maintained) + " instances failed after their maintenance, "
        + std::to_string(othersFailed) + " of " + std::to_string(others) + " others";
    return WaveAlarm{maintained, failedAfterMaintenance, reason};
}

WaveProgress waveProgress(const FleetState &state)
{
    WaveProgress progress;
    progress.startedAt = state.waveStartedAt;
    for (const auto &[name, instance] : state.instances) {
        if (instance.state == InstanceState::PlannedOutage) {
            progress.outOfService += 1;
        } else if (isDue(state, instance)) {
            progress.remaining += 1;
        } else {
            progress.done += 1;
        }
    }
    for (const auto &[name, pool] : makePools(state)) {
        int plannedOutages = 0;
        for (const auto &[instanceName, instance] : state.instances) {
            plannedOutages += instance.pool == name && instance.state == InstanceState::PlannedOutage ? 1 : 0;
        }
        if (!pool.candidates.empty() && plannedOutages == 0 && pool.out >= effectiveBudget(pool)) {
            progress.blockedPools.push_back(name);
        }
    }
    return progress;
}

}
