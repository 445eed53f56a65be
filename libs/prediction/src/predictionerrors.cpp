#include "prediction/predictionerrors.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Cornelquay {

namespace {

// Buckets for each doubling of the ratio.
constexpr double BucketsPerOctave = 16;
// Each task multiplies the weight of earlier ones by this factor, so that about the last thousand tasks count.
constexpr double DecayFactor = 0.999;

// The ratio below which @p share of the tasks lie.
template<typename Histogram>
double ratioAt(const Histogram &histogram, double tasks, double share)
{
    double below = 0;
    for (std::size_t bucket = 0; bucket < histogram.size(); ++bucket) {
        if (below + histogram[bucket] >= share * tasks && histogram[bucket] > 0) {
            const double part = (share * tasks - below) / histogram[bucket];
            return std::exp2((static_cast<double>(bucket) + part) / BucketsPerOctave);
        }
        below += histogram[bucket];
    }
    return std::exp2(static_cast<double>(histogram.size()) / BucketsPerOctave);
}

}

void PredictionErrors::record(const std::string &queue, std::chrono::milliseconds predicted, std::chrono::milliseconds actual)
{
    const auto positive = [](std::chrono::milliseconds time) {
        return static_cast<double>(std::max<std::int64_t>(1, time.count()));
    };
    const double octaves = std::abs(std::log2(positive(actual) / positive(predicted)));
    Histogram &histogram = m_queues[queue];
    for (double &weight : histogram) {
        weight *= DecayFactor;
    }
    histogram[std::min(BucketCount - 1, static_cast<std::size_t>(octaves * BucketsPerOctave))] += 1;
}

std::map<std::string, ErrorFactors> PredictionErrors::factors() const
{
    std::map<std::string, ErrorFactors> factors;
    for (const auto &[queue, histogram] : m_queues) {
        const double tasks = std::accumulate(histogram.begin(), histogram.end(), 0.0);
        factors[queue] = {ratioAt(histogram, tasks, 0.5), ratioAt(histogram, tasks, 0.9), tasks};
    }
    return factors;
}

}
