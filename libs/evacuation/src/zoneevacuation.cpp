#include "evacuation/zoneevacuation.h"

#include <algorithm>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// The topic of the operators may be unavailable while the jobs can be read, so a new owner does not wait for it any longer.
constexpr auto MaxViewWait = 3s;
// Workers of a returned zone come last for this time, whatever they report: their reports may be older than the return.
constexpr auto ReturnPeriod = 3s;

}

bool ZoneEvacuation::setZones(const std::set<std::string> &zones, BootTime now)
{
    if (zones == m_zones) {
        return false;
    }
    for (const std::string &zone : m_zones) {
        if (zones.count(zone) == 0) {
            m_returningUntil[zone] = now + ReturnPeriod;
        }
    }
    for (const std::string &zone : zones) {
        m_returningUntil.erase(zone);
    }
    m_zones = zones;
    return true;
}

void ZoneEvacuation::noteRead(BootTime sentAt)
{
    m_readAt = std::max(m_readAt, sentAt);
}

const std::set<std::string> &ZoneEvacuation::zones() const
{
    return m_zones;
}

bool ZoneEvacuation::isEvacuated(const std::string &zone) const
{
    return m_zones.count(zone) != 0;
}

BootTime ZoneEvacuation::readAt() const
{
    return m_readAt;
}

bool ZoneEvacuation::isUsable(BootTime ownerSince, BootTime now) const
{
    return m_readAt >= ownerSince || now - ownerSince >= MaxViewWait;
}

bool ZoneEvacuation::hasReturnedZones() const
{
    return !m_returningUntil.empty();
}

bool ZoneEvacuation::comesLast(const std::string &zone, bool cold, BootTime now) const
{
    const auto returned = m_returningUntil.find(zone);
    return returned != m_returningUntil.end() && (cold || now < returned->second);
}

}
