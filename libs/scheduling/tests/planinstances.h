#pragma once

#include "scheduling/instances.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Cornelquay::Testing {

using namespace std::chrono_literals;

constexpr BootTime Start{std::chrono::milliseconds(1000000)};
constexpr Resources Capacity{16000, 32000, 0};

/** An instance with a worker of its own and @p runs runs. */
inline InstanceView makeInstance(const std::string &id, const std::string &pool, std::size_t runs)
{
    InstanceView view;
    view.facts.id = id;
    view.facts.pool = pool;
    view.facts.capacity = Capacity;
    view.facts.worker = "w-" + id;
    view.usable = pool != "rest";
    view.runs = runs;
    view.emptyAfter = runs == 0 ? 0ms : 800ms;
    return view;
}

/** Idle instances; of each pair a pool and how many. */
inline std::map<InstanceId, InstanceView> makeInstances(const std::vector<std::pair<std::string, std::size_t>> &pools)
{
    std::map<InstanceId, InstanceView> instances;
    for (const auto &[pool, count] : pools) {
        for (std::size_t number = 0; number < count; ++number) {
            const std::string id = pool + std::to_string(number);
            instances.emplace(id, makeInstance(id, pool, 0));
        }
    }
    return instances;
}

}
