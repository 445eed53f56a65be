#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Cornelquay {

/** Tasks of one team in one pool on one node. */
struct TeamDemand {
    std::int64_t running = 0;
    std::int64_t waiting = 0;
};

/** What one node has to run in one pool, by team. */
struct NodeDemand {
    std::string node;
    std::map<std::string, TeamDemand> teams;
};

/** One pool as all nodes see it. */
struct PoolDemand {
    /** Tasks that its instances run at once. */
    std::int64_t slots = 0;
    /** All nodes, this one included. */
    std::vector<NodeDemand> nodes;
};

/**
 * Divides @p capacity by weighted max-min fairness: each gets at most its demand, and what one
 * leaves goes to the others by their weights. Pure.
 */
std::map<std::string, double> weightedMaxMin(double capacity, const std::map<std::string, double> &demands, const std::map<std::string, double> &weights);

/**
 * How many tasks of each team @p node may run at once in a full pool. Empty if the pool is not
 * full: then there is no bound.
 *
 * Every node computes the parts of all nodes from the same reports, so the parts add up to the
 * pool's slots without a message. Parts below one slot are given out in turn by systematic
 * sampling (Madow, 1949): over the rounds each part has its right mean. Pure; @p round is any
 * number that all nodes share, such as the wall-clock second.
 */
std::map<std::string, std::int64_t>
fairParts(const PoolDemand &pool, const std::map<std::string, double> &shares, const std::string &node, std::uint64_t round);

}
