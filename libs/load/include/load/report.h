#pragma once

#include "load/runner.h"

#include <optional>
#include <string>

namespace Cornelquay {

/** The number of runs of each request, by request id, as counted by the workers. */
using RunCounts = std::map<std::string, std::int64_t>;

/** Results of one team; counts each copy of a request. Latencies are those of answered copies. */
struct TeamSummary {
    std::size_t submitted = 0;
    std::size_t answered = 0;
    /** Not run or not sent. */
    std::size_t notRun = 0;
    /** Unknown, or the connection was lost. */
    std::size_t unknown = 0;
    std::chrono::microseconds latencyMedian{0};
    std::chrono::microseconds latencyP99{0};
};

/** Results of a run. The counts from wrongAnswers on are violations of guarantees and must be 0. */
struct LoadSummary {
    /** Copies by the name of their result. */
    std::map<std::string, std::size_t> results;
    /** Copies by the reason for which they were not answered. */
    std::map<std::string, std::size_t> reasons;
    std::map<std::string, TeamSummary> teams;
    std::chrono::microseconds latencyMedian{0};
    std::chrono::microseconds latencyP99{0};
    std::chrono::microseconds maxLatency{0};
    std::chrono::microseconds maxUrgentLatency{0};
    /** Answers that are not, byte for byte, the expected answer to their request. */
    std::size_t wrongAnswers = 0;
    /** Requests whose copies were all reported as not run or not sent although a worker ran them. */
    std::size_t falseRefusals = 0;
    /** Non-idempotent requests that ran more than once. */
    std::size_t doubleRuns = 0;
    /** Requests answered although no worker ran them. */
    std::size_t answersWithoutRun = 0;
};

/**
 * Summarizes @p records. Without the workers' @p runs, falseRefusals, doubleRuns and answersWithoutRun
 * stay 0. Pure.
 */
LoadSummary
summarize(const LoadSettings &settings, const std::vector<PlannedRequest> &plan, const std::vector<CallRecord> &records, const std::optional<RunCounts> &runs);

/** The summary as one line of JSON, without a line end. */
std::string toJson(const LoadSummary &summary);

/** The records as JSON lines, one for each copy. */
std::string toJsonLines(const LoadSettings &settings, const std::vector<PlannedRequest> &plan, const std::vector<CallRecord> &records);

/** Reads the list of workers from a platform stand-in; empty if it does not answer. */
std::vector<DirectTarget> readWorkers(const Address &standin);

/** The summary as a readable table. */
std::string toText(const LoadSummary &summary);

/** Reads the run counts from a platform stand-in; std::nullopt if it gives no valid answer. */
std::optional<RunCounts> readRunCounts(const Address &standin);

}
