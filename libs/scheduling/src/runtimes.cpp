#include "scheduling/runtimes.h"

#include <algorithm>
#include <cmath>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// Estimates are believed as if this many tasks had run just as estimated: a job or two.
constexpr double PriorTaskCount = 8.0;
// The spread of the logarithms of those tasks' estimates.
constexpr double PriorVariance = 0.25;
// What ran before counts less by this with each further task, so that some hundreds count.
constexpr double HistoryDecayFactor = 0.998;
// Logarithms need a positive time.
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
