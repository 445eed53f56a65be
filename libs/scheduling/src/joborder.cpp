#include "scheduling/joborder.h"

#include "jobadmission/admissiondecision.h"

#include <algorithm>

namespace Cornelquay {

namespace {

// The value of a job grows with its work from this base, so that small jobs have a value too.
constexpr double BaseJobWorkCoreMs = 1500.0;
// Limits the value density of nearly finished jobs.
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

bool isWorthless(const JobEstimate &estimate, BootTime now)
{
    const BootTime worthlessFrom = estimate.receivedAt + UsefulObjectiveMultiple * (estimate.objectiveDeadline - estimate.receivedAt);
    return now + std::chrono::milliseconds(estimate.remainingChainMs) > worthlessFrom;
}

}
