#include "scheduling/runtimes.h"

#include <algorithm>
#include <cmath>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// Weight of the prior that estimates are correct, as a number of tasks; corresponds to one or two jobs.
constexpr double PriorTaskCount = 8.0;
// Variance of the logarithms of the estimates in the prior.
constexpr double PriorVariance = 0.25;
// Each task multiplies the weight of earlier ones by this factor, so that some hundreds of tasks matter.
constexpr double HistoryDecayFactor = 0.998;
// The logarithm requires a positive time.
constexpr std::chrono::milliseconds MinRunTime = 10ms;
constexpr std::chrono::milliseconds MaxRunTime = 24h;

double logarithmOf(std::chrono::milliseconds time)
{
    return std::log(static_cast<double>(std::clamp(time, MinRunTime, MaxRunTime).count()));
}

}

void RunTimes::record(const std::string &queue, std::chrono::milliseconds estimate, std::chrono::milliseconds actual)
{
    Sums &sums = m_queues[queue];
    const double estimated = logarithmOf(estimate);
    const double excess = logarithmOf(actual) - estimated;
    sums.count = HistoryDecayFactor * sums.count + 1;
    sums.estimate = HistoryDecayFactor * sums.estimate + estimated;
    sums.estimateSquared = HistoryDecayFactor * sums.estimateSquared + estimated * estimated;
    sums.excess = HistoryDecayFactor * sums.excess + excess;
    sums.excessByEstimate = HistoryDecayFactor * sums.excessByEstimate + excess * estimated;
}

std::chrono::milliseconds RunTimes::expected(const std::string &queue, std::chrono::milliseconds estimate) const
{
    const auto found = m_queues.find(queue);
    if (found == m_queues.end()) {
        return estimate;
    }
    const Sums &sums = found->second;
    const double meanEstimate = sums.estimate / sums.count;
    const double meanExcess = sums.excess / sums.count;
    const double variance = std::max(0.0, sums.estimateSquared - sums.count * meanEstimate * meanEstimate);
    const double covariance = sums.excessByEstimate - sums.count * meanEstimate * meanExcess;
    const double slope = covariance / (variance + PriorTaskCount * PriorVariance);
    const double historyWeight = sums.count / (sums.count + PriorTaskCount);
    const double estimated = logarithmOf(estimate);
    const double excess = historyWeight * (meanExcess + slope * (estimated - meanEstimate));
    const auto expected = static_cast<std::int64_t>(std::exp(estimated + excess));
    return std::clamp(std::chrono::milliseconds(expected), MinRunTime, MaxRunTime);
}

}
