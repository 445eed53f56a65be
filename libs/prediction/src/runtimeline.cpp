#include "details/runtimeline.h"

#include <algorithm>
#include <cmath>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// Variance of the logarithms of the estimates in the prior.
constexpr double PriorVariance = 0.25;
// History loses half of its weight in this time, so that an image that returns after a long pause is learned again.
constexpr std::chrono::milliseconds HistoryHalfLife = 10min;
// With 3 % of the tasks taking many times the usual time, this many in a row are coincidence once in 40,000 tasks.
constexpr int ChangeOutliers = 3;
constexpr double WeightAfterChange = 0.2;
// Limits of what a noisy history may claim.
constexpr double MinSlope = -0.5;
constexpr double MaxSlope = 1.5;

void scale(RunTimeLine &line, double factor)
{
    line.weight *= factor;
    line.estimateSquares *= factor;
    line.products *= factor;
}

}

FittedLine RunTimeLine::fit(const FittedLine &prior, const LevelTerms &terms) const
{
    if (weight <= 0) {
        return prior;
    }
    const double priorSquares = terms.priorTasks * PriorVariance;
    FittedLine line;
    line.estimate = estimate;
    line.time = (weight * time + terms.priorTasks * prior.at(estimate)) / (weight + terms.priorTasks);
    line.slope = std::clamp((products + priorSquares * prior.slope) / (estimateSquares + priorSquares), MinSlope, MaxSlope);
    return line;
}

void RunTimeLine::add(double logEstimate, double logTime, double expected, double limit, const LevelTerms &terms, BootTime now)
{
    if (weight > 0 && now > recordedAt) {
        scale(*this, std::exp2(-static_cast<double>((now - recordedAt).count()) / static_cast<double>(HistoryHalfLife.count())));
    }
    recordedAt = std::max(recordedAt, now);
    const double excess = logTime - expected;
    const int direction = excess > limit ? 1 : excess < -limit ? -1 : 0;
    outliers = direction == 0 ? 0 : outliers * direction > 0 ? outliers + direction : direction;
    const bool changed = terms.detectsChange && std::abs(outliers) >= ChangeOutliers;
    if (changed) {
        scale(*this, WeightAfterChange);
    }
    const double counted = changed ? logTime : expected + std::clamp(excess, -limit, limit);
    scale(*this, terms.decayFactor);
    weight += 1;
    const double estimateStep = logEstimate - estimate;
    const double timeStep = counted - time;
    estimate += estimateStep / weight;
    time += timeStep / weight;
    estimateSquares += estimateStep * (logEstimate - estimate);
    products += estimateStep * (counted - time);
}

}
