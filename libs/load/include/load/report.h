#pragma once

#include "load/runner.h"

#include <optional>
#include <string>

namespace Cornelquay {

/** How often each request ran, as the workers counted. */
using RunCounts = std::map<std::string, std::int64_t>;

/** Counts of one team. */
struct TeamSummary {
    std::size_t submitted = 0;
    std::size_t answered = 0;
    std::size_t notRun = 0;
    std::size_t unknown = 0;
    std::chrono::microseconds latencyMedian{0};
    std::chrono::microseconds latencyP99{0};
};

/** What a run showed. The last counts are the promises that were broken; all should be 0. */
struct LoadSummary {
    std::map<std::string, std::size_t> results;
    std::map<std::string, std::size_t> reasons;
    std::map<std::string, TeamSummary> teams;
    std::chrono::microseconds latencyMedian{0};
    std::chrono::microseconds latencyP99{0};
    std::chrono::microseconds latencyMost{0};
    std::chrono::microseconds urgentLatencyMost{0};
    /** Answers that are not, byte for byte, those to their request. */
    std::size_t wrongAnswers = 0;
    /** Requests reported as not run by every copy although a worker ran them. */
    std::size_t falseRefusals = 0;
    /** Requests that are not idempotent and ran more than once. */
    std::size_t doubleRuns = 0;
    /** Requests answered although no worker ran them. */
    std::size_t answersWithoutRun = 0;
};

/** Adds up @p records; @p runs from the workers if they could be asked. Pure. */
LoadSummary
summarize(const LoadSettings &settings, const std::vector<PlannedRequest> &plan, const std::vector<CallRecord> &records, const std::optional<RunCounts> &runs);

/** The summary as one line of JSON. */
std::string toJson(const LoadSummary &summary);

/** The records as lines of JSON, one for each copy. */
std::string toJsonLines(const LoadSettings &settings, const std::vector<PlannedRequest> &plan, const std::vector<CallRecord> &records);

/** The workers that a stand-in lists; empty if it does not answer. */
std::vector<DirectTarget> readWorkers(const Address &standin);

/** The summary as a table for a person. */
std::string toText(const LoadSummary &summary);

/** Reads the run counts from a stand-in; nothing if it does not answer. */
std::optional<RunCounts> readRunCounts(const Address &standin);

}
