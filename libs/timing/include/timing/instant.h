#pragma once

#include <chrono>
#include <cstdint>

namespace Cornelquay {

/** Wall-clock time in milliseconds; the form in which time crosses processes and lies in records. */
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/** Monotonic time of this process; the form of every local deadline. */
using SteadyTime = std::chrono::steady_clock::time_point;

/**
 * Monotonic time that also counts while the machine is suspended, in milliseconds. For leases and
 * for what other processes do meanwhile; comparable only within one process.
 */
struct BootClock {
    using duration = std::chrono::milliseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    // The standard names it so.
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    static time_point now();
};
using BootTime = BootClock::time_point;

WallTime wallNow();
SteadyTime steadyNow();

/** Milliseconds since the Unix epoch. */
std::int64_t toUnixMilliseconds(WallTime time);
WallTime fromUnixMilliseconds(std::int64_t milliseconds);

/** What is left until @p deadline, never negative. */
std::chrono::milliseconds remaining(SteadyTime deadline, SteadyTime now);

/** The local deadline that corresponds to the wall-clock deadline @p deadline. */
SteadyTime toSteady(WallTime deadline, WallTime wall, SteadyTime steady);

}
