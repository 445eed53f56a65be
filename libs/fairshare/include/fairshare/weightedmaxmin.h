#pragma once

#include <map>
#include <string>

namespace Cornelquay {

/**
 * Divides @p capacity by weighted max-min fairness: each claimant gets at most its demand, and
 * capacity that one does not need is divided among the others by their weights. @p capacity and
 * @p demands are in the same unit. Weights need not add up to 1. Claimants without a weight get a
 * small one, so that they share the capacity that others leave. Thread-safe.
 */
std::map<std::string, double> weightedMaxMin(double capacity, const std::map<std::string, double> &demands, const std::map<std::string, double> &weights);

}
