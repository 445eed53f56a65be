#pragma once

#include "jobs/job.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Cornelquay {

/** Key of the record of disrupted runs, which is stored beside those of jobs. Names of jobs contain no slash. */
constexpr const char *DisruptedRunsKey = "runs/disrupted";

/**
 * The number of the run of each long-running task that an owner decided to stop while its job is open. Stored before a stop is sent,
 * because a worker lists a run unchanged until it has stopped it. Runs that have ended may still be named.
 */
using DisruptedRuns = std::map<TaskName, std::uint32_t>;

std::string encode(const DisruptedRuns &runs);
/** Returns std::nullopt if @p bytes are malformed. */
std::optional<DisruptedRuns> decodeDisruptedRuns(std::string_view bytes);

}
