#include "synthetic.h"

#include <algorithm>

namespace Cornelquay::Benchmark {

namespace {

/** Time of all records of the fleet, in Unix milliseconds. */
constexpr std::int64_t StartTime = 1000000;
constexpr int ZoneCount = 7;
constexpr int WorkersPerRack = 4;
constexpr int BudgetPercent = 10;

std::string poolName(int index)
{
    return "pool-" + std::to_string(index);
}

}

std::string configurationText(const FleetSize &size)
{
    const int servicePools = size.pools - 1;
    const int instancesPerPool = std::max(2, size.instances / size.pools);
    std::string text
        = "cornelquay: 1\nregions:\n  - {name: r0, zones: [z0, z1, z2]}\n  - {name: r1, zones: [z3, z4]}\n  - {name: r2, zones: [z5, z6]}\npools:\n";
    std::string services = "services:\n";
    for (int pool = 0; pool < servicePools; ++pool) {
        text += "  - {name: " + poolName(pool) + "}\n";
        const std::string dependency = pool == 0 ? "" : "depends-on: [service-" + std::to_string(pool / 2) + "], ";
        services += "  - {name: service-" + std::to_string(pool) + ", pool: " + poolName(pool) + ", " + (pool / 2 == pool ? "" : dependency)
            + "size: {cores: 2, memory: 4GiB}, run-time: 20ms, budget: " + std::to_string(std::max(1, instancesPerPool * BudgetPercent / 100))
            + ", peak: " + std::to_string(instancesPerPool) + "}\n";
    }
    text += "  - {name: spare, spare: true}\n" + services + "teams:\n";
    for (int team = 0; team < size.teams; ++team) {
        char share[32];
        std::snprintf(share, sizeof share, "%.10f%%", 100.0 / size.teams);
        text += "  - {name: team-" + std::to_string(team) + ", share: " + share + ", limit: " + std::to_string(2 * size.instances) + "}\n";
    }
    return text;
}

Verdict foldNext(FleetState &state, RecordBody body, std::int64_t time)
{
    return fold(state, {state.nextOffset, time, {newRecordId(), "bench", "bench", std::move(body)}});
}

FleetState makeFleet(const FleetSize &size)
{
    FleetState state;
    foldNext(state, ConfigurationChanged{0, configurationText(size)}, StartTime);
    for (int node = 0; node < size.nodes; ++node) {
        foldNext(state, NodeJoined{"node-" + std::to_string(node), 1, "127.0.0.1:1", "z" + std::to_string(node % ZoneCount)}, StartTime);
    }
    for (int index = 0; index < size.instances; ++index) {
        const int pool = index % size.pools;
        const std::string name = pool == size.pools - 1 ? std::string("spare") : poolName(pool);
        const int indexInPool = index / size.pools;
        const std::string zone = "z" + std::to_string(indexInPool % ZoneCount);
        const std::string rack = zone + "-rack-" + std::to_string(index / ZoneCount / WorkersPerRack);
        foldNext(
            state, InstanceEnrolled{name + '-' + std::to_string(indexInPool), 1, name, "10.0.0.1:8000", zone, rack, 16, 32ULL << 30U, 0, index}, StartTime);
    }
    for (int team = 0; team < size.teams; ++team) {
        const std::string name = "team-" + std::to_string(team);
        foldNext(state, KeyGranted{"key" + std::to_string(team), name, std::string(32, 's'), std::string(64, 'h')}, StartTime);
    }
    constexpr std::size_t ClaimsPerRecord = 500;
    for (std::size_t first = 0; first < size.claims; first += ClaimsPerRecord) {
        RequestsClaimed body{"node-0", 1, {}};
        for (std::size_t index = first; index < std::min(first + ClaimsPerRecord, size.claims); ++index) {
            body.claims.push_back({claimKeyOf("team-0", std::to_string(index)), "pool-0-" + std::to_string(index % 100), 1});
        }
        foldNext(state, std::move(body), StartTime);
    }
    return state;
}

}
