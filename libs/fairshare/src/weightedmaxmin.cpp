#include "fairshare/weightedmaxmin.h"

#include <algorithm>
#include <vector>

namespace Cornelquay {

namespace {

/** Weight of a claimant without a share. Nonzero, so that it gets capacity that others do not need. */
constexpr double MinWeight = 1e-4;

double weightOf(const std::map<std::string, double> &weights, const std::string &name)
{
    const auto found = weights.find(name);
    return std::max(MinWeight, found == weights.end() ? 0.0 : found->second);
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

}
