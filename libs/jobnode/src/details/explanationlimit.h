#pragma once

#include "timing/instant.h"

#include <array>
#include <chrono>
#include <cstddef>

namespace Cornelquay {

/** Bounds the number of explanations in any period of one second. Not thread-safe. */
class ExplanationLimit
{
public:
    /** The requirement on explanations allows no more than this number in a Period. */
    static constexpr std::size_t MaxPerPeriod = 5;
    static constexpr std::chrono::milliseconds Period{1000};

    /** Whether another explanation may be answered at @p now. If so, it counts. */
    bool admit(BootTime now)
    {
        BootTime &freeFrom = m_freeFrom.at(m_next);
        if (now < freeFrom) {
            return false;
        }
        freeFrom = now + Period;
        m_next = (m_next + 1) % MaxPerPeriod;
        return true;
    }

private:
    /** When the places of the latest explanations are free again, the earliest one at m_next. */
    std::array<BootTime, MaxPerPeriod> m_freeFrom{};
    std::size_t m_next = 0;
};

}
