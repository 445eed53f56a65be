#include "prediction/runtimedistribution.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace Cornelquay {

namespace {

constexpr double BucketWidth = std::numbers::ln2 / RunTimeDistribution::BucketsPerOctave;
constexpr double LowestLogRatio = RunTimeDistribution::LowestOctave * std::numbers::ln2;
// Deviation of the logarithm of the run time for a task without history; estimates of submitters are off by about this.
constexpr double UnknownDeviation = 0.55;
// If fewer than this share of the known runs took longer than a run, its age tells more than they do.
constexpr double MinKnownShare = 0.002;
// Exponent of the power law for the rest of such a run: half of these runs end within another 0.41 of their age.
constexpr double TailExponent = 2.0;
// The exponential of the logarithm of a whole number of milliseconds may be less than that number.
constexpr double RoundingAllowance = 1 + 1e-9;
constexpr double MinLogTime = 0.0;
constexpr double MaxLogTime = 18.3;

std::chrono::milliseconds toMilliseconds(double time)
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::llround(time)));
}

double bucketCenter(std::size_t bucket)
{
    return LowestLogRatio + (static_cast<double>(bucket) + 0.5) * BucketWidth;
}

}

RunTimeDistribution::RunTimeDistribution(double logCenter, const Histogram &histogram)
    : m_logCenter(std::clamp(logCenter, MinLogTime, MaxLogTime))
{
    for (std::size_t bucket = 0; bucket < BucketCount; ++bucket) {
        m_cumulative[bucket + 1] = m_cumulative[bucket] + histogram[bucket];
    }
    const float factor = 1 / m_cumulative[BucketCount];
    for (float &share : m_cumulative) {
        share *= factor;
    }
}

RunTimeDistribution RunTimeDistribution::around(std::chrono::milliseconds expected)
{
    return {std::log(std::max(1.0, static_cast<double>(expected.count()))), unknownSpread()};
}

const RunTimeDistribution::Histogram &RunTimeDistribution::unknownSpread()
{
    static const Histogram UnknownSpread = [] {
        Histogram shares{};
        float sum = 0;
        for (std::size_t bucket = 0; bucket < BucketCount; ++bucket) {
            const double deviations = bucketCenter(bucket) / UnknownDeviation;
            shares[bucket] = static_cast<float>(std::exp(-0.5 * deviations * deviations));
            sum += shares[bucket];
        }
        for (float &share : shares) {
            share /= sum;
        }
        return shares;
    }();
    return UnknownSpread;
}

std::size_t RunTimeDistribution::bucketOf(double logRatio)
{
    const double position = (logRatio - LowestLogRatio) / BucketWidth;
    return static_cast<std::size_t>(std::clamp(position, 0.0, static_cast<double>(BucketCount - 1)));
}

// Not rounded, as the regression by queue is not rounded either: without a correction, both must give the same figure.
std::chrono::milliseconds RunTimeDistribution::center() const
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::exp(m_logCenter) * RoundingAllowance));
}

std::chrono::milliseconds RunTimeDistribution::mean() const
{
    double sum = 0;
    for (std::size_t bucket = 0; bucket < BucketCount; ++bucket) {
        sum += static_cast<double>(m_cumulative[bucket + 1] - m_cumulative[bucket]) * std::exp(m_logCenter + bucketCenter(bucket));
    }
    return toMilliseconds(sum);
}

double RunTimeDistribution::quantileMs(double q) const
{
    const auto wanted = static_cast<float>(std::clamp(q, 0.0, 1.0));
    const auto above = std::lower_bound(m_cumulative.begin() + 1, m_cumulative.end() - 1, wanted);
    const auto bucket = static_cast<std::size_t>(above - m_cumulative.begin() - 1);
    const float share = m_cumulative[bucket + 1] - m_cumulative[bucket];
    const double part = share > 0 ? std::clamp(static_cast<double>((wanted - m_cumulative[bucket]) / share), 0.0, 1.0) : 0.0;
    return std::exp(m_logCenter + LowestLogRatio + (static_cast<double>(bucket) + part) * BucketWidth);
}

double RunTimeDistribution::probabilityUntil(double timeMs) const
{
    const double position = (std::log(timeMs) - m_logCenter - LowestLogRatio) / BucketWidth;
    if (position <= 0) {
        return 0;
    }
    if (position >= static_cast<double>(BucketCount)) {
        return 1;
    }
    const auto bucket = static_cast<std::size_t>(position);
    const double part = position - static_cast<double>(bucket);
    return static_cast<double>(m_cumulative[bucket]) * (1 - part) + static_cast<double>(m_cumulative[bucket + 1]) * part;
}

std::chrono::milliseconds RunTimeDistribution::quantile(double q) const
{
    return toMilliseconds(quantileMs(q));
}

std::chrono::milliseconds RunTimeDistribution::remaining(std::chrono::milliseconds age, double q) const
{
    const auto ageMs = static_cast<double>(std::max<std::int64_t>(1, age.count()));
    const double ended = probabilityUntil(ageMs);
    if (1 - ended < MinKnownShare) {
        return toMilliseconds(ageMs * (std::pow(std::max(1 - q, MinKnownShare), -1 / TailExponent) - 1));
    }
    return toMilliseconds(std::max(0.0, quantileMs(ended + q * (1 - ended)) - ageMs));
}

}
