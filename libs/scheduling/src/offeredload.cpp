#include "scheduling/offeredload.h"

#include <algorithm>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// Shorter jobs are spread over this time, in which a dozen jobs of a surge come.
constexpr std::chrono::milliseconds LengthLeast = 700ms;
// Arrivals that a rate is taken from. Fewer take chance for a surge; more show it later.
constexpr std::size_t RateArrivals = 5;
// Gaps that say something of the rate: one of them, up to now, is still open, and one is the mean's bias.
constexpr std::int64_t RateGaps = RateArrivals - 2;
// Arrivals that came in one batch of calls are no rate.
constexpr std::chrono::milliseconds SpanLeast = 100ms;
// A rate that is taken over a longer time is that of a calm queue, which what is there serves.
constexpr std::chrono::milliseconds SpanMost = 3s;

Resources divided(const Resources &sum, std::int64_t by)
{
    return {sum.cpu / by, sum.memory / by, sum.gpu / by};
}

Resources largerOf(const Resources &left, const Resources &right)
{
    return {std::max(left.cpu, right.cpu), std::max(left.memory, right.memory), std::max(left.gpu, right.gpu)};
}

}

void OfferedLoad::add(const Resources &work, std::chrono::milliseconds length, BootTime now)
{
    const std::chrono::milliseconds spread = std::max(LengthLeast, length);
    m_arrivals.push_back({now, now + spread, work, divided(work, spread.count())});
    while (m_arrivals.size() > RateArrivals && m_arrivals.front().until < now) {
        m_arrivals.pop_front();
    }
}

Resources OfferedLoad::at(BootTime now) const
{
    return largerOf(present(now), expected(now));
}

Resources OfferedLoad::present(BootTime now) const
{
    Resources sum;
    for (const Arrival &arrival : m_arrivals) {
        sum += arrival.until >= now ? arrival.load : Resources{};
    }
    return sum;
}

Resources OfferedLoad::expected(BootTime now) const
{
    if (m_arrivals.size() < RateArrivals) {
        return {};
    }
    const auto first = m_arrivals.end() - RateArrivals;
    const std::chrono::milliseconds span = std::max<std::chrono::milliseconds>(SpanLeast, now - first->at);
    if (span > SpanMost) {
        return {};
    }
    Resources work;
    for (auto arrival = first; arrival != m_arrivals.end(); ++arrival) {
        work += arrival->work;
    }
    return divided(divided(work, static_cast<std::int64_t>(RateArrivals)) * RateGaps, span.count());
}

}
