#include "scheduling/offeredload.h"

#include <algorithm>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// Shorter jobs are spread over this time, in which a dozen jobs of a surge come.
constexpr std::chrono::milliseconds MinJobLength = 700ms;
// Arrivals that a rate is taken from. Fewer take chance for a surge; more show it later.
constexpr std::size_t RateArrivalCount = 5;
// Gaps that say something of the rate: one of them, up to now, is still open, and one is the mean's bias.
constexpr std::int64_t RateGapCount = RateArrivalCount - 2;
// Arrivals that came in one batch of calls are no rate.
constexpr std::chrono::milliseconds MinRatePeriod = 100ms;
// A rate that is taken over a longer time is that of a calm queue, which what is there serves.
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
