#pragma once

#include <array>
#include <chrono>
#include <map>
#include <string>

namespace Cornelquay {

/** The error of predictions, as ratios of the larger to the smaller of the actual and the predicted run time. */
struct ErrorFactors {
    /** Half of the tasks lie within this factor. */
    double half = 1;
    /** Nine tenths of the tasks lie within this factor. */
    double nineTenths = 1;
    /** Number of tasks, of which old ones count less. */
    double tasks = 0;
};

/** Collects the errors of predictions by queue, for logs and benchmarks. Performs no I/O. Not thread-safe. */
class PredictionErrors
{
public:
    void record(const std::string &queue, std::chrono::milliseconds predicted, std::chrono::milliseconds actual);
    std::map<std::string, ErrorFactors> factors() const;

private:
    static constexpr std::size_t BucketCount = 96;
    using Histogram = std::array<double, BucketCount>;

    /** By queue, of the binary logarithm of the ratio. */
    std::map<std::string, Histogram> m_queues;
};

}
