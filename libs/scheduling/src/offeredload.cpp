#include "scheduling/offeredload.h"

#include <algorithm>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// Shorter jobs are treated as this long, because their load would otherwise be high for a moment only. About a dozen jobs of a
// surge arrive in this time.
constexpr std::chrono::milliseconds MinJobLength = 700ms;
// Number of latest arrivals from which the rate is computed. With fewer, chance looks like a surge; more detect a surge later.
constexpr std::size_t RateArrivalCount = 5;
// Number of gaps that are divided by the time since the first of these arrivals. The gap after the latest arrival has not ended, and
// one more is left out because the rate would otherwise be overestimated on average.
constexpr std::int64_t RateGapCount = RateArrivalCount - 2;
// Prevents a batch of simultaneous arrivals from looking like a high rate.
constexpr std::chrono::milliseconds MinRatePeriod = 100ms;
// If the latest arrivals span more than this, they are too rare for a projection, and only the load of the jobs that have arrived counts.
constexpr std::chrono::milliseconds MaxRatePeriod = 3s;

Resources divided(const Resources &sum, std::int64_t by)
{
    return {sum.cpu / by, sum.memory / by, sum.gpu / by};
}

Resources largerOf(const Resources &left, const Resources &right)
{
    return {std::max(left.cpu, right.cpu), std::max(left.memory, right.memory), std::max(left.gpu, right.gpu)};
}

}

void OfferedLoad::add(const Resources &work, std::chrono::milliseconds chainLength, BootTime now)
{
    const std::chrono::milliseconds jobLength = std::max(MinJobLength, chainLength);
    m_arrivals.push_back({now, now + jobLength, work, divided(work, jobLength.count())});
    while (m_arrivals.size() > RateArrivalCount && m_arrivals.front().until < now) {
        m_arrivals.pop_front();
    }
}

Resources OfferedLoad::at(BootTime now) const
{
    return largerOf(currentLoad(now), projectedLoad(now));
}

Resources OfferedLoad::currentLoad(BootTime now) const
{
    Resources sum;
    for (const Arrival &arrival : m_arrivals) {
        sum += arrival.until >= now ? arrival.load : Resources{};
    }
    return sum;
}

Resources OfferedLoad::projectedLoad(BootTime now) const
{
    if (m_arrivals.size() < RateArrivalCount) {
        return {};
    }
    const auto first = m_arrivals.end() - RateArrivalCount;
    const std::chrono::milliseconds span = std::max<std::chrono::milliseconds>(MinRatePeriod, now - first->at);
    if (span > MaxRatePeriod) {
        return {};
    }
    Resources work;
    for (auto arrival = first; arrival != m_arrivals.end(); ++arrival) {
        work += arrival->work;
    }
    return divided(divided(work, static_cast<std::int64_t>(RateArrivalCount)) * RateGapCount, span.count());
}

}
