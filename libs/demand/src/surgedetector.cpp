#include "demand/surgedetector.h"

#include "details/resourcearithmetic.h"

#include <algorithm>
#include <cmath>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// Over this time, the noise of the projected load is smoothed, and a surge of a few seconds reaches its peak.
constexpr std::chrono::milliseconds RecentPeriod = 300ms;
// About one turn of all pools. Longer than any surge, so that a surge remains above the mean until it ends, and short enough for
// a day of a minute.
constexpr std::chrono::milliseconds LongTermPeriod = 20s;
// A load of this many times the mean is a surge. In its turn, a pool has five times its mean, of which 1.3 to 2.6 times its
// long-term mean are left because that mean includes former surges.
constexpr double MinBeginRatio = 2.0;
// Below this fraction of its peak, a surge has ended. Chance alone seldom halves the load.
constexpr double EndRatio = 0.4;
// A load that lasts longer is the new mean. Surges last 3 to 7 s.
constexpr std::chrono::milliseconds MaxSurgePeriod = 12s;

Resources approached(const Resources &mean, const Resources &load, std::chrono::milliseconds elapsed, std::chrono::milliseconds period)
{
    const double weight = 1.0 - std::exp(-static_cast<double>(elapsed.count()) / static_cast<double>(period.count()));
    return mean + scaled(load - mean, weight);
}

}

SurgeChange SurgeDetector::observe(const Resources &load, const Resources &minLoad, std::optional<BootTime> manyArrivalsSince, BootTime now)
{
    // The load before the first observation counts as zero, so that a surge with which a day begins is detected.
    const std::chrono::milliseconds elapsed = now - m_observedAt.value_or(now);
    m_observedAt = now;
    m_recent = approached(m_recent, load, elapsed, RecentPeriod);
    m_longTerm = approached(m_longTerm, load, elapsed, LongTermPeriod);
    if (!m_surging) {
        const Resources meanMultiple = scaled(m_longTerm, MinBeginRatio);
        const bool isSurge = manyArrivalsSince && load.cpu > 0 && load.cpu >= std::max(meanMultiple.cpu, minLoad.cpu);
        if (isSurge) {
            m_surging = true;
            m_surge = {*manyArrivalsSince, BootTime::max(), m_recent};
        }
        return isSurge ? SurgeChange::Begin : SurgeChange::None;
    }
    m_surge.peak = largerOf(m_surge.peak, m_recent);
    if (static_cast<double>(load.cpu) < EndRatio * static_cast<double>(m_surge.peak.cpu)) {
        m_surging = false;
        m_surge.end = now;
        return SurgeChange::End;
    }
    if (now - m_surge.begin > MaxSurgePeriod) {
        m_surging = false;
        m_longTerm = m_recent;
        return SurgeChange::Level;
    }
    return SurgeChange::None;
}

const Surge &SurgeDetector::surge() const
{
    return m_surge;
}

bool SurgeDetector::isSurging() const
{
    return m_surging;
}

}
