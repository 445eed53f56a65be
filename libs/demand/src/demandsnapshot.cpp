#include "demand/demandforecast.h"

#include "records/packing.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t SnapshotVersion = 1;
// Latest turns in a snapshot; two of each pool in a deployment of sixteen pools.
constexpr std::size_t MaxStoredTurns = 32;
constexpr std::size_t MaxStoredPeaks = 3;
// Older turns tell nothing about the next one.
constexpr std::chrono::milliseconds MaxTurnAge = 10min;
// A million cores.
constexpr std::int64_t MaxValidLoad = 1000LL * 1000 * 1000;

struct PackedPool {
    std::string name;
    std::map<std::string, QueueMeans> queues;
    std::vector<Resources> peaks;

    auto fields()
    {
        return std::tie(name, queues, peaks);
    }
};

struct PackedTurn {
    /** Index in PackedDemand::pools. */
    std::uint32_t pool = 0;
    /** Wall-clock time in milliseconds since 1970. */
    std::int64_t beginMs = 0;

    auto fields()
    {
        return std::tie(pool, beginMs);
    }
};

struct PackedDemand {
    std::uint32_t version = SnapshotVersion;
    std::vector<PackedPool> pools;
    /** Oldest first. */
    std::vector<PackedTurn> turns;
    std::vector<PredictionSkill> skills;

    auto fields()
    {
        return std::tie(version, pools, turns, skills);
    }
};

bool isValidLoad(const Resources &load)
{
    const auto isValid = [](std::int64_t amount) {
        return amount >= 0 && amount <= MaxValidLoad;
    };
    return isValid(load.cpu) && isValid(load.memory) && isValid(load.gpu);
}

bool isValidPool(const PackedPool &pool)
{
    const bool validQueues = std::all_of(pool.queues.begin(), pool.queues.end(), [](const auto &queue) {
        return queue.second.isValid();
    });
    return validQueues && pool.peaks.size() <= MaxStoredPeaks && std::all_of(pool.peaks.begin(), pool.peaks.end(), isValidLoad);
}

bool isValid(const PackedDemand &demand)
{
    const bool validTurns = std::all_of(demand.turns.begin(), demand.turns.end(), [&](const PackedTurn &turn) {
        return turn.pool < demand.pools.size();
    });
    const bool inOrder = std::is_sorted(demand.turns.begin(), demand.turns.end(), [](const PackedTurn &left, const PackedTurn &right) {
        return left.beginMs < right.beginMs;
    });
    const bool validSkills
        = demand.skills.size() == PredictionRuleCount && std::all_of(demand.skills.begin(), demand.skills.end(), [](const PredictionSkill &skill) {
              return skill.isValid();
          });
    return demand.version == SnapshotVersion && validTurns && inOrder && validSkills && std::all_of(demand.pools.begin(), demand.pools.end(), isValidPool);
}

void dropLastPool(PackedDemand &demand)
{
    demand.pools.pop_back();
    std::erase_if(demand.turns, [&](const PackedTurn &turn) {
        return turn.pool >= demand.pools.size();
    });
}

}

std::string DemandForecast::snapshot(BootTime now, std::int64_t wallMs) const
{
    const SurgeOrderState order = m_order.state();
    PackedDemand demand;
    demand.skills.assign(order.skills.begin(), order.skills.end());
    for (const auto &[name, pool] : m_pools) {
        const auto peaks = order.peaks.find(name);
        demand.pools.push_back({name, pool.arrivals.queues(), peaks == order.peaks.end() ? std::vector<Resources>{} : peaks->second});
    }
    // Pools without surges are dropped first if the snapshot is too large.
    std::stable_partition(demand.pools.begin(), demand.pools.end(), [](const PackedPool &pool) {
        return !pool.peaks.empty();
    });
    const std::size_t turnCount = std::min(MaxStoredTurns, order.turns.size());
    for (auto turn = order.turns.end() - static_cast<std::ptrdiff_t>(turnCount); turn != order.turns.end(); ++turn) {
        const auto pool = std::find_if(demand.pools.begin(), demand.pools.end(), [&](const PackedPool &packed) {
            return packed.name == turn->pool;
        });
        demand.turns.push_back({static_cast<std::uint32_t>(pool - demand.pools.begin()), wallMs - (now - turn->begin).count()});
    }
    std::string bytes = Packing::toBytes(demand);
    while (bytes.size() > MaxSnapshotBytes && !demand.pools.empty()) {
        dropLastPool(demand);
        bytes = Packing::toBytes(demand);
    }
    return bytes;
}

bool DemandForecast::restore(std::string_view bytes, BootTime now, std::int64_t wallMs)
{
    const std::optional<PackedDemand> demand = Packing::fromBytes<PackedDemand>(bytes);
    if (!demand || !isValid(*demand)) {
        return false;
    }
    SurgeOrderState order;
    for (const PackedPool &packed : demand->pools) {
        order.peaks[packed.name] = packed.peaks;
        Pool &pool = m_pools[packed.name];
        for (const auto &[queue, means] : packed.queues) {
            pool.arrivals.restoreQueue(queue, means);
        }
    }
    for (const PackedTurn &turn : demand->turns) {
        const std::chrono::milliseconds age(wallMs - turn.beginMs);
        // The wall clocks of two machines differ, so a turn may seem to begin later than now.
        if (age <= MaxTurnAge && age >= -MaxTurnAge) {
            order.turns.push_back({demand->pools[turn.pool].name, now - std::max(age, 0ms)});
        }
    }
    std::copy(demand->skills.begin(), demand->skills.end(), order.skills.begin());
    m_order.restore(order, now);
    return true;
}

}
