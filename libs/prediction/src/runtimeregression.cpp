#include "prediction/runtimeregression.h"

#include <algorithm>
#include <cmath>

namespace Cornelquay {

namespace {

// Weight of the prior that estimates are correct, as a number of tasks; corresponds to one or two jobs.
constexpr double PriorTaskCount = 8.0;
// Variance of the logarithms of the estimates in the prior.
constexpr double PriorVariance = 0.25;
// Each task multiplies the weight of earlier ones by this factor, so that some hundreds of tasks matter.
constexpr double HistoryDecayFactor = 0.998;

}

RunTimeRegression::RunTimeRegression(const Sums &sums)
    : m_sums(sums)
{
}

double RunTimeRegression::logarithmOf(std::chrono::milliseconds time)
{
    return std::log(static_cast<double>(std::clamp(time, MinRunTime, MaxRunTime).count()));
}

void RunTimeRegression::record(double logEstimate, double logTime)
{
    const double excess = logTime - logEstimate;
    m_sums.count = HistoryDecayFactor * m_sums.count + 1;
    m_sums.estimate = HistoryDecayFactor * m_sums.estimate + logEstimate;
    m_sums.estimateSquared = HistoryDecayFactor * m_sums.estimateSquared + logEstimate * logEstimate;
    m_sums.excess = HistoryDecayFactor * m_sums.excess + excess;
    m_sums.excessByEstimate = HistoryDecayFactor * m_sums.excessByEstimate + excess * logEstimate;
}

double RunTimeRegression::expected(double logEstimate) const
{
    if (m_sums.count <= 0) {
        return logEstimate;
    }
    const double meanEstimate = m_sums.estimate / m_sums.count;
    const double meanExcess = m_sums.excess / m_sums.count;
    const double variance = std::max(0.0, m_sums.estimateSquared - m_sums.count * meanEstimate * meanEstimate);
    const double covariance = m_sums.excessByEstimate - m_sums.count * meanEstimate * meanExcess;
    const double slope = covariance / (variance + PriorTaskCount * PriorVariance);
    const double historyWeight = m_sums.count / (m_sums.count + PriorTaskCount);
    return logEstimate + historyWeight * (meanExcess + slope * (logEstimate - meanEstimate));
}

const RunTimeRegression::Sums &RunTimeRegression::sums() const
{
    return m_sums;
}

}
