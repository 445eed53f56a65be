#pragma once

#include <chrono>

namespace Cornelquay {

/**
 * Linear regression of the logarithm of the run time on the logarithm of the estimate, for the tasks of one queue.
 *
 * With little history, the result is close to the estimate. A plain value without references; performs no I/O.
 */
class RunTimeRegression
{
public:
    /** Run times and estimates are limited to this range, as logarithms require positive times. */
    static constexpr std::chrono::milliseconds MinRunTime{10};
    static constexpr std::chrono::milliseconds MaxRunTime = std::chrono::hours(24);

    /** Decayed sums over the tasks, of the logarithm of the estimate and of the excess: log(run time) - log(estimate). */
    struct Sums {
        double count = 0;
        double estimate = 0;
        double estimateSquared = 0;
        double excess = 0;
        double excessByEstimate = 0;
    };

    RunTimeRegression() = default;
    explicit RunTimeRegression(const Sums &sums);

    /** The natural logarithm of @p time in milliseconds, limited to the range of run times. */
    static double logarithmOf(std::chrono::milliseconds time);

    void record(double logEstimate, double logTime);
    /** The logarithm of the expected run time: the geometric mean of the tasks with this estimate. */
    double expected(double logEstimate) const;
    const Sums &sums() const;

private:
    Sums m_sums;
};

}
