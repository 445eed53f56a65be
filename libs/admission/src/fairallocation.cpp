#include "admission/fairallocation.h"

#include "fairshare/weightedmaxmin.h"

#include <algorithm>
#include <cmath>

namespace Cornelquay {

namespace {

/** Step of the sampling offset from round to round. The fraction of the golden ratio spreads the offsets evenly over [0, 1). */
constexpr double RoundOffsetStep = 0.6180339887498949;

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
