#pragma once

#include "timing/instant.h"

#include <chrono>

namespace Cornelquay {

/**
 * For how long a worker remains slow after its start, by the remaining times in its repeated registrations. A registration
 * that repeats the former value does not prolong the period; a higher value begins a new one. Not thread-safe.
 */
class ColdPeriod
{
public:
    /** A registration that was read at @p now reports @p left; 0 or less if the worker is not slow. */
    void note(std::chrono::milliseconds left, BootTime now);
    bool isOver(BootTime now) const;

private:
    std::chrono::milliseconds m_reported{0};
    BootTime m_until{};
};

}
