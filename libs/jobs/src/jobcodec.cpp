#include "jobs/jobcodec.h"

#include "records/packing.h"

namespace Cornelquay {

namespace {

/** A job's record with the version of its encoding. */
struct VersionedJob {
    std::uint32_t version = JobRecordVersion;
    JobRecord record;

    auto fields()
    {
        return std::tie(version, record);
    }
};

}

std::string encodeJob(const JobRecord &record)
{
    return Packing::toBytes(VersionedJob{JobRecordVersion, record});
}

std::optional<JobRecord> decodeJob(std::string_view bytes)
{
    std::optional<VersionedJob> job = Packing::fromBytes<VersionedJob>(bytes);
    if (!job || job->version != JobRecordVersion) {
        return std::nullopt;
    }
    return std::move(job->record);
}

}
