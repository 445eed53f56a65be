#include "demand/offeredload.h"

#include "details/projection.h"
#include "details/resourcearithmetic.h"

namespace Cornelquay {

namespace {

// Number of latest arrivals from which the rate is computed. With fewer, chance looks like a surge; more detect a surge later.
constexpr std::size_t RateArrivalCount = 5;

}

void OfferedLoad::add(const JobArrival &arrival, BootTime now)
{
    m_arrived.add(arrival, now);
    m_latest.push_back({now, arrival.work});
    if (m_latest.size() > RateArrivalCount) {
        m_latest.pop_front();
    }
}

Resources OfferedLoad::at(BootTime now) const
{
    return largerOf(m_arrived.at(now), projectedLoad(now));
}

Resources OfferedLoad::projectedLoad(BootTime now) const
{
    if (m_latest.size() < RateArrivalCount) {
        return {};
    }
    Resources work;
    for (const LatestArrival &arrival : m_latest) {
        work += arrival.work;
    }
    return projectLoad(divided(work, static_cast<std::int64_t>(RateArrivalCount)), RateArrivalCount, m_latest.front().at, now);
}

}
