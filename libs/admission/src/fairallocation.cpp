#include "admission/fairallocation.h"

#include <algorithm>
#include <cmath>

namespace Cornelquay {

namespace {

/** Weight of a team that has no share. */
constexpr double WeightLeast = 1e-4;

/** The golden ratio's fraction spreads successive rounds evenly over [0, 1). */
constexpr double RoundStep = 0.6180339887498949;

double weightOf(const std::map<std::string, double> &weights, const std::string &name)
{
    const auto found = weights.find(name);
    return std::max(WeightLeast, found == weights.end() ? 0.0 : found->second);
}

std::map<std::string, double> demandByTeam(const PoolDemand &pool)
{
    std::map<std::string, double> demand;
    for (const NodeDemand &node : pool.nodes) {
        for (const auto &[team, tasks] : node.teams) {
            demand[team] += static_cast<double>(tasks.running + tasks.waiting);
        }
    }
    return demand;
}

double totalOf(const std::map<std::string, double> &values)
{
    double total = 0;
    for (const auto &[name, value] : values) {
        total += value;
    }
    return total;
}

}

std::map<std::string, double> weightedMaxMin(double capacity, const std::map<std::string, double> &demands, const std::map<std::string, double> &weights)
{
    std::map<std::string, double> result;
    std::map<std::string, double> open = demands;
    double left = capacity;
    while (!open.empty()) {
        double weight = 0;
        for (const auto &[name, demand] : open) {
            weight += weightOf(weights, name);
        }
        const double perWeight = left / weight;
        std::vector<std::string> satisfied;
        for (const auto &[name, demand] : open) {
            if (demand <= perWeight * weightOf(weights, name)) {
                satisfied.push_back(name);
            }
        }
        if (satisfied.empty()) {
            for (const auto &[name, demand] : open) {
                result[name] = perWeight * weightOf(weights, name);
            }
            return result;
        }
        for (const std::string &name : satisfied) {
            result[name] = open.at(name);
            left -= open.at(name);
            open.erase(name);
        }
    }
    return result;
}

std::map<std::string, std::int64_t> fairParts(const PoolDemand &pool, const std::map<std::string, double> &shares, const std::string &node, std::uint64_t round)
{
    std::map<std::string, std::int64_t> parts;
    const std::map<std::string, double> demand = demandByTeam(pool);
    if (totalOf(demand) <= static_cast<double>(pool.slots)) {
        return parts;
    }
    const std::map<std::string, double> entitled = weightedMaxMin(static_cast<double>(pool.slots), demand, shares);
    std::vector<const NodeDemand *> nodes;
    for (const NodeDemand &entry : pool.nodes) {
        nodes.push_back(&entry);
    }
    std::sort(nodes.begin(), nodes.end(), [](const NodeDemand *a, const NodeDemand *b) {
        return a->node < b->node;
    });
    double unused = 0;
    double position = std::modf(static_cast<double>(round % 1000000) * RoundStep, &unused);
    for (const auto &[team, slots] : entitled) {
        for (const NodeDemand *entry : nodes) {
            const auto tasks = entry->teams.find(team);
            if (tasks == entry->teams.end()) {
                continue;
            }
            const double here = static_cast<double>(tasks->second.running + tasks->second.waiting);
            const double next = position + slots * here / demand.at(team);
            if (entry->node == node) {
                parts[team] = static_cast<std::int64_t>(std::floor(next) - std::floor(position));
            }
            position = next;
        }
    }
    return parts;
}

}
