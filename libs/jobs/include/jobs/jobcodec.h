#pragma once

#include "jobs/job.h"

#include <optional>
#include <string>
#include <string_view>

namespace Cornelquay {

/** Version of the encoding that encodeJob() writes for records with copies or restarts. */
constexpr std::uint32_t JobRecordVersion = 3;
/** Version that it writes for all others, so that nodes of the former version read them. */
constexpr std::uint32_t JobRecordVersionWithoutCopies = 2;

/** Encodes a job's record for the store. Thread-safe. */
std::string encodeJob(const JobRecord &record);

/** Decodes the result of encodeJob(), of version 1, 2 or 3; nothing if it is malformed or has another version. Thread-safe. */
std::optional<JobRecord> decodeJob(std::string_view bytes);

}
