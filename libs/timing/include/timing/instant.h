#pragma once

#include <chrono>
#include <cstdint>

namespace Cornelquay {

/** Wall-clock time in milliseconds, used between processes and in stored records. */
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/** Monotonic time, used for deadlines within this process. Does not count while the machine is suspended. */
using SteadyTime = std::chrono::steady_clock::time_point;

/**
 * Monotonic time in milliseconds that also counts while the machine is suspended. Used for leases
 * and for timeouts of other processes, which continue to run during a suspension. Comparable only
 * within one process.
 */
struct BootClock {
    using duration = std::chrono::milliseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    // Name required by the Clock requirements of the standard library.
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    static time_point now();
};
using BootTime = BootClock::time_point;

WallTime wallNow();
SteadyTime steadyNow();

/** Milliseconds since the Unix epoch. */
std::int64_t toUnixMilliseconds(WallTime time);
WallTime fromUnixMilliseconds(std::int64_t milliseconds);

/** Time from @p now until @p deadline, rounded down to milliseconds; 0 if the deadline has passed. */
std::chrono::milliseconds remaining(SteadyTime deadline, SteadyTime now);

/** Converts a wall-clock deadline to a local one, given both clocks' current times @p wallTime and @p steadyTime. */
SteadyTime toSteady(WallTime deadline, WallTime wallTime, SteadyTime steadyTime);

}
