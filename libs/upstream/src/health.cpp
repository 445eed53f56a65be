#include "details/health.h"

#include <algorithm>

namespace Cornelquay::Details {

namespace {

/** Weight of the latest attempt in the moving averages. */
constexpr double AverageWeight = 0.2;
/** Lower bound of the success rate in the score, so that the score of a worker without any success stays finite. */
constexpr double MinSuccessRate = 0.05;
/** Workers at or above this rate count as equally healthy, so that a single old failure does not affect the choice. */
constexpr double HealthySuccessRate = 0.9;

}

bool hasFreeSlot(const Health &health, int slots, SteadyTime now)
{
    if (health.noSlotUntil > now) {
        return false;
    }
    const int otherInFlight = health.slotReportValidUntil > now ? health.otherNodesInFlight : 0;
    return health.inFlight + otherInFlight < slots;
}

double score(const Health &health, int slots, SteadyTime now)
{
    const int otherInFlight = health.slotReportValidUntil > now ? health.otherNodesInFlight : 0;
    const double load = (health.inFlight + otherInFlight + 1.0) / slots;
    const double rate = health.successRate >= HealthySuccessRate ? 1.0 : health.successRate;
    return load / std::max(rate, MinSuccessRate);
}

void record(Health &health, AttemptResult result, double seconds)
{
    if (result == AttemptResult::NoSlot || result == AttemptResult::Refused) {
        return;
    }
    const bool succeeded = result == AttemptResult::Succeeded;
    health.successRate += AverageWeight * ((succeeded ? 1.0 : 0.0) - health.successRate);
    health.latencySeconds += AverageWeight * (seconds - health.latencySeconds);
    health.failuresInRow = succeeded ? 0 : health.failuresInRow + 1;
    if (succeeded) {
        health.ejections = 0;
        health.probing = false;
    }
}

bool shouldEject(const Health &health, const UpstreamLimits &limits)
{
    return health.probing ? health.failuresInRow > 0 : health.failuresInRow >= limits.failuresBeforeEjection;
}

void eject(Health &health, const UpstreamLimits &limits, SteadyTime now)
{
    // Keeps the shift small enough for an int.
    constexpr int MaxDoublings = 10;
    const auto period = limits.minEjectionPeriod * (1 << std::min(health.ejections, MaxDoublings));
    health.ejectedUntil = now + std::min(period, limits.maxEjectionPeriod);
    health.ejections += 1;
    health.probing = true;
    health.failuresInRow = 0;
}

}
