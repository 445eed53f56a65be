#include "evacuation/coldperiod.h"

#include <algorithm>

namespace Cornelquay {

void ColdPeriod::note(std::chrono::milliseconds left, BootTime now)
{
    m_until = left > m_reported ? now + left : std::min(m_until, now + left);
    m_reported = left;
}

bool ColdPeriod::isOver(BootTime now) const
{
    return now >= m_until;
}

}
