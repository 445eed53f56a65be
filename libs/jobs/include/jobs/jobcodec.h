#pragma once

#include "jobs/job.h"

#include <optional>
#include <string>
#include <string_view>

namespace Cornelquay {

/** Version of the form that encodeJob() writes. */
constexpr std::uint32_t JobRecordVersion = 1;

/** The bytes in which a job is stored. Thread-safe. */
std::string encodeJob(const JobRecord &record);

/** Reads what encodeJob() wrote; nothing if it is malformed or of a newer version. Thread-safe. */
std::optional<JobRecord> decodeJob(std::string_view bytes);

}
