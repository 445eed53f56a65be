#pragma once

#include "jobs/jobspec.h"
#include "timing/instant.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace Cornelquay {

/** What an outlook is based on. */
enum class OutlookReason : std::uint8_t {
    /** Jobs that have arrived, and the rate at which they arrive. */
    Arrivals,
    /** The former surges of the pools. */
    Recurrence,
    /** Nothing is known to arrive. */
    Quiet,
};
constexpr std::array<std::string_view, 3> OutlookReasonNames = {"arrivals", "recurrence", "quiet"};

/** A load that is expected although its jobs have not begun to arrive. */
struct ExpectedLoad {
    Resources load;
    BootTime begin{};
    /** Nothing is expected any more from then on. */
    BootTime until{};
};

/** What the jobs that arrive for one pool are expected to need. */
struct PoolOutlook {
    /** Resources that jobs keep busy if they keep arriving as they do now. */
    Resources load;
    /** For how long these jobs may wait on average without missing their objectives; unset if work that waits does not count. */
    std::optional<std::chrono::milliseconds> slack;
    std::optional<ExpectedLoad> expected;
    /** Fraction, between 0 and 1, of the usual spare capacity of the pool that is needed. */
    double spareFraction = 1.0;
    OutlookReason reason = OutlookReason::Quiet;
};

/**
 * The load that a pool needs beside @p load so that work that arrives before instances ordered now are usable, @p movePeriod
 * from now, is done within the time that jobs may wait, @p slack. @p capacity is that of the pool until then, in the unit of
 * @p load. Thread-safe.
 */
double catchUpLoad(double load, double capacity, std::chrono::milliseconds movePeriod, std::chrono::milliseconds slack);

}
