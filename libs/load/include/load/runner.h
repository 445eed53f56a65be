#pragma once

#include "load/plan.h"

#include <atomic>
#include <map>

namespace Cornelquay {

/** The result of one copy of a request, as the caller sees it. */
enum class CallResult {
    Answered,
    /** The node reports that the task did not run. */
    NotRun,
    /** The node does not know whether the task ran. */
    Unknown,
    /** No connection could be opened; nothing was sent. */
    NotSent,
    /** The connection broke or timed out after the request was sent. */
    ConnectionLost,
};

/** The record of one copy of a request. */
struct CallRecord {
    /** Index of the request in the schedule. */
    std::size_t request = 0;
    /** Index into LoadSettings::targets. */
    std::size_t target = 0;
    CallResult result = CallResult::NotSent;
    /** False if an answer is not, byte for byte, the expected answer to this request. */
    bool correct = true;
    /** HTTP status code; 0 if there is no answer. */
    int status = 0;
    /** The node's reason for not answering; empty if it answered. */
    std::string reason;
    /** From the start of the run. */
    std::chrono::microseconds startOffset{0};
    /** Unix time in milliseconds. */
    std::int64_t startedAtUnixMs = 0;
    std::chrono::microseconds latency{0};
};

/** The name of @p result in reports. */
std::string_view toName(CallResult result);

/**
 * Sends the schedule and returns one record for each copy, in the order in which they ended. Blocks
 * until all requests have ended. Once @p stopping is true, no new requests are sent.
 */
std::vector<CallRecord> runPlan(const LoadSettings &settings, const std::vector<PlannedRequest> &plan, const std::atomic<bool> &stopping);

}
