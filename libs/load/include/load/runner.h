#pragma once

#include "load/plan.h"

#include <atomic>
#include <map>

namespace Cornelquay {

/** What a caller learned from one copy of a request. */
enum class CallResult {
    Answered,
    NotRun,
    Unknown,
    /** No connection could be opened; nothing was sent. */
    NotSent,
    /** The connection broke or timed out after sending. */
    Cut,
};

/** The record of one copy of a request. */
struct CallRecord {
    std::size_t request = 0;
    std::size_t target = 0;
    CallResult result = CallResult::NotSent;
    /** Whether an answer was, byte for byte, the one to this request. */
    bool correct = true;
    int status = 0;
    std::string reason;
    std::chrono::microseconds startedAt{0};
    /** Unix milliseconds. */
    std::int64_t startedWall = 0;
    std::chrono::microseconds latency{0};
};

/** The name of @p result in reports. */
std::string_view toName(CallResult result);

/**
 * Sends the schedule and returns one record for each copy. Blocks until all are done, or until
 * @p stopping is true and those under way have ended.
 */
std::vector<CallRecord> runPlan(const LoadSettings &settings, const std::vector<PlannedRequest> &plan, const std::atomic<bool> &stopping);

}
