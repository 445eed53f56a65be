#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Cornelquay {

/** Number of tasks of one team in one pool on one node. */
struct TeamDemand {
    std::int64_t running = 0;
    std::int64_t waiting = 0;
};

/** Demand of one node in one pool, by team. */
struct NodeDemand {
    std::string node;
    std::map<std::string, TeamDemand> teams;
};

/** Size of one pool and the demand of all nodes. */
struct PoolDemand {
    /** Number of tasks that the instances of the pool can run at once. */
    std::int64_t slots = 0;
    /** All nodes, including this one. */
    std::vector<NodeDemand> nodes;
};

/**
 * The number of tasks of each team that @p node may run at once in a full pool. Empty if the pool
 * can run all tasks at once: then there are no quotas.
 *
 * Nodes that have the same reports compute quotas that add up to the slots of the pool, apart from
 * one slot by rounding, without further messages. Fractions of a slot are assigned to the nodes in
 * turn by systematic sampling (Madow, 1949), so that over many rounds the mean of each quota is exact.
 * @p shares are from 0 to 1. @p round is any number that all nodes share, such as the wall-clock
 * second. Thread-safe.
 *
 * @code
 * const auto quotas = fairQuotas(pool, {{"a", 0.5}, {"b", 0.5}}, "node-1", wallClockSecond);
 * @endcode
 */
std::map<std::string, std::int64_t>
fairQuotas(const PoolDemand &pool, const std::map<std::string, double> &shares, const std::string &node, std::uint64_t round);

}
