#include "configuration/configuration.h"

#include <algorithm>
#include <limits>

namespace Cornelquay {

int poolBudget(const Configuration &configuration, const std::string &pool)
{
    int budget = std::numeric_limits<int>::max();
    for (const auto &[name, service] : configuration.services) {
        if (service.pool == pool) {
            budget = std::min(budget, service.availabilityBudget);
        }
    }
    return budget;
}

std::string sparePool(const Configuration &configuration)
{
    for (const auto &[name, pool] : configuration.pools) {
        if (pool.spare) {
            return name;
        }
    }
    return {};
}

}
