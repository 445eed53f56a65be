#include "scheduling/joborder.h"

#include <algorithm>

namespace Cornelquay {

namespace {

// A job is worth something however small it is: as much as this many core-milliseconds of work.
constexpr double BaseJobWorkCoreMs = 1500.0;
// Keeps nearly finished jobs from having boundless density.
constexpr double MinRemainingWorkCoreMs = 200.0;

}

std::chrono::milliseconds objectiveDuration(const QueueTerms &terms, std::chrono::milliseconds chain)
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(terms.stretch * static_cast<double>(chain.count())) + terms.slackMs);
}

double valueDensity(const JobEstimate &estimate)
{
    return (BaseJobWorkCoreMs + estimate.totalWork) / std::max(MinRemainingWorkCoreMs, estimate.remainingWork);
}

bool isLate(const JobEstimate &estimate, BootTime now)
{
    return now + std::chrono::milliseconds(estimate.remainingChainMs) > estimate.objectiveDeadline;
}

}
