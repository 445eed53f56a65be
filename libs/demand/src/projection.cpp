#include "details/projection.h"

#include "details/resourcearithmetic.h"

#include <algorithm>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// The rate is the number of gaps divided by the time since the first arrival. Of as many arrivals, the gap after the latest one
// has not ended, and one more is left out because the rate would otherwise be overestimated on average.
constexpr std::size_t UncountedGaps = 2;
// Prevents a batch of simultaneous arrivals from looking like a high rate.
constexpr std::chrono::milliseconds MinRatePeriod = 100ms;
// If the latest arrivals span more than this, they are too rare for a projection, and only the load of the jobs that have arrived counts.
constexpr std::chrono::milliseconds MaxRatePeriod = 3s;

}

Resources projectLoad(const Resources &meanWork, std::size_t arrivalCount, BootTime firstAt, BootTime now)
{
    const std::chrono::milliseconds span = std::max<std::chrono::milliseconds>(MinRatePeriod, now - firstAt);
    if (span > MaxRatePeriod) {
        return {};
    }
    return divided(meanWork * static_cast<std::int64_t>(arrivalCount - UncountedGaps), span.count());
}

}
