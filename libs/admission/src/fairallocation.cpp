#include "admission/fairallocation.h"

#include <algorithm>
#include <cmath>

namespace Cornelquay {

namespace {

/** Weight of a team without a share. Nonzero, so that it gets capacity that other teams do not need. */
constexpr double MinWeight = 1e-4;

/** Step of the sampling offset from round to round. The fraction of the golden ratio spreads the offsets evenly over [0, 1). */
constexpr double RoundOffsetStep = 0.6180339887498949;

double weightOf(const std::map<std::string, double> &weights, const std::string &name)
{
    const auto found = weights.find(name);
    return std::max(MinWeight, found == weights.end() ? 0.0 : found->second);
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
    std::map<std::string, double> unsatisfied = demands;
    double remaining = capacity;
    while (!unsatisfied.empty()) {
        double weight = 0;
        for (const auto &[name, demand] : unsatisfied) {
            weight += weightOf(weights, name);
        }
        const double perWeight = remaining / weight;
        std::vector<std::string> satisfied;
        for (const auto &[name, demand] : unsatisfied) {
            if (demand <= perWeight * weightOf(weights, name)) {
                satisfied.push_back(name);
            }
        }
        if (satisfied.empty()) {
            for (const auto &[name, demand] : unsatisfied) {
                result[name] = perWeight * weightOf(weights, name);
            }
            return result;
        }
        for (const std::string &name : satisfied) {
            result[name] = unsatisfied.at(name);
            remaining -= unsatisfied.at(name);
            unsatisfied.erase(name);
        }
    }
    return result;
}

std::map<std::string, std::int64_t>
fairQuotas(const PoolDemand &pool, const std::map<std::string, double> &shares, const std::string &node, std::uint64_t round)
{
    std::map<std::string, std::int64_t> quotas;
    const std::map<std::string, double> demand = demandByTeam(pool);
    if (totalOf(demand) <= static_cast<double>(pool.slots)) {
        return quotas;
    }
    const std::map<std::string, double> entitlements = weightedMaxMin(static_cast<double>(pool.slots), demand, shares);
    std::vector<const NodeDemand *> nodes;
    for (const NodeDemand &entry : pool.nodes) {
        nodes.push_back(&entry);
    }
    std::sort(nodes.begin(), nodes.end(), [](const NodeDemand *a, const NodeDemand *b) {
        return a->node < b->node;
    });
    double unused = 0;
    double position = std::modf(static_cast<double>(round % 1000000) * RoundOffsetStep, &unused);
    for (const auto &[team, teamSlots] : entitlements) {
        for (const NodeDemand *entry : nodes) {
            const auto tasks = entry->teams.find(team);
            if (tasks == entry->teams.end()) {
                continue;
            }
            const double nodeTasks = static_cast<double>(tasks->second.running + tasks->second.waiting);
            const double next = position + teamSlots * nodeTasks / demand.at(team);
            if (entry->node == node) {
                quotas[team] = static_cast<std::int64_t>(std::floor(next) - std::floor(position));
            }
            position = next;
        }
    }
    return quotas;
}

}
