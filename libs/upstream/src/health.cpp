#include "details/health.h"

#include <algorithm>

namespace Cornelquay::Details {

namespace {

constexpr double AverageWeight = 0.2;
/** Keeps a worker that failed everything comparable instead of infinitely bad. */
constexpr double SuccessRateFloor = 0.05;
/** From here on workers count as equally healthy, so that one failure long ago does not decide. */
constexpr double SuccessRateGood = 0.9;

}

bool hasFreeSlot(const Health &health, int slots, SteadyTime now)
{
    if (health.fullUntil > now) {
        return false;
    }
    const int others = health.othersUntil > now ? health.othersInFlight : 0;
    return health.inFlight + others < slots;
}

double score(const Health &health, int slots, SteadyTime now)
{
    const int others = health.othersUntil > now ? health.othersInFlight : 0;
    const double load = (health.inFlight + others + 1.0) / slots;
    const double rate = health.successRate >= SuccessRateGood ? 1.0 : health.successRate;
    return load / std::max(rate, SuccessRateFloor);
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
    constexpr int DoublingsMax = 10;
    const auto length = limits.ejectionLeast * (1 << std::min(health.ejections, DoublingsMax));
    health.ejectedUntil = now + std::min(length, limits.ejectionMost);
    health.ejections += 1;
    health.probing = true;
    health.failuresInRow = 0;
}

}
