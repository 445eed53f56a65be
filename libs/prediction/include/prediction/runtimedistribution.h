#pragma once

#include <array>
#include <chrono>
#include <cstddef>

namespace Cornelquay {

/**
 * The probability of the possible run times of a task.
 *
 * A histogram of the binary logarithm of the ratio of the run time to a central run time. A small value without
 * references; all queries are pure.
 */
class RunTimeDistribution
{
public:
    /** Buckets for each doubling of the run time. */
    static constexpr int BucketsPerOctave = 4;
    /** The ratio of the lower limit of the first bucket to the central run time is 1/8. */
    static constexpr int LowestOctave = -3;
    static constexpr std::size_t BucketCount = 32;
    /** Weights of the buckets, in any unit; must not be negative, and at least one must be positive. */
    using Histogram = std::array<float, BucketCount>;

    /** @p logCenter is the natural logarithm of the central run time in milliseconds. */
    RunTimeDistribution(double logCenter, const Histogram &histogram);
    /** The distribution for a task of which only a rough run time @p expected is known. */
    static RunTimeDistribution around(std::chrono::milliseconds expected);
    /** The histogram of around(). Its weights add up to 1. */
    static const Histogram &unknownSpread();
    /** The bucket for the logarithm @p logRatio of a run time divided by the central run time. */
    static std::size_t bucketOf(double logRatio);

    /** The central run time, which is the geometric mean as far as it was learned by regression. */
    std::chrono::milliseconds center() const;
    std::chrono::milliseconds mean() const;
    /** The run time that a task exceeds with the probability 1 - @p q; @p q is between 0 and 1. */
    std::chrono::milliseconds quantile(double q) const;
    /**
     * As quantile(), but the time that remains for a run that has not ended within @p age. A run that exceeds nearly all
     * of the known run times is expected to take a time in proportion to its age.
     */
    std::chrono::milliseconds remaining(std::chrono::milliseconds age, double q) const;

private:
    double quantileMs(double q) const;
    /** The probability of a run time of at most @p timeMs. */
    double probabilityUntil(double timeMs) const;

    double m_logCenter;
    /** The probability of the buckets before each one. */
    std::array<float, BucketCount + 1> m_cumulative{};
};

}
