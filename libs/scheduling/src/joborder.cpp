#include "scheduling/joborder.h"

#include <algorithm>

namespace Cornelquay {

namespace {

// A job is worth something however small it is: as much as this many core-milliseconds of work.
constexpr double BaseWork = 1500.0;
// Keeps nearly finished jobs from having boundless density.
constexpr double LeastWork = 200.0;

}

std::chrono::milliseconds objectiveAfter(const QueueTerms &terms, std::chrono::milliseconds chain)
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(terms.stretch * static_cast<double>(chain.count())) + terms.slackMs);
}

double valueDensity(const JobOutlook &outlook)
{
    return (BaseWork + outlook.workAll) / std::max(LeastWork, outlook.workLeft);
}

bool isLate(const JobOutlook &outlook, BootTime now)
{
    return now + std::chrono::milliseconds(outlook.chainLeftMs) > outlook.objective;
}

}
