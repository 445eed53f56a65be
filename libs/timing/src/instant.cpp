#include "timing/instant.h"

#include <ctime>

#include <algorithm>

namespace Cornelquay {

BootTime BootClock::now()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return BootTime(std::chrono::duration_cast<duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

WallTime wallNow()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

SteadyTime steadyNow()
{
    return std::chrono::steady_clock::now();
}

std::int64_t toUnixMilliseconds(WallTime time)
{
    return time.time_since_epoch().count();
}

WallTime fromUnixMilliseconds(std::int64_t milliseconds)
{
    return WallTime(std::chrono::milliseconds(milliseconds));
}

std::chrono::milliseconds remaining(SteadyTime deadline, SteadyTime now)
{
    return std::max(std::chrono::milliseconds(0), std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now));
}

SteadyTime toSteady(WallTime deadline, WallTime wallTime, SteadyTime steadyTime)
{
    return steadyTime + (deadline - wallTime);
}

}
