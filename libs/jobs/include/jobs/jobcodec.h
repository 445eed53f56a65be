#pragma once

#include "jobs/job.h"

#include <optional>
#include <string>
#include <string_view>

namespace Cornelquay {

/** Version of the encoding that encodeJob() writes. */
constexpr std::uint32_t JobRecordVersion = 2;

/** Encodes a job's record for the store. Thread-safe. */
std::string encodeJob(const JobRecord &record);

/** Decodes the result of encodeJob(), of this version or of version 1; nothing if it is malformed or has another version. Thread-safe. */
std::optional<JobRecord> decodeJob(std::string_view bytes);

}
