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

/** The fields of a record of version 1, which has neither workers nor crashes. */
struct RecordVersion1 {
    JobRecord record;

    auto fields()
    {
        return std::tie(record.id,
                        record.queue,
                        record.account,
                        record.submittedMs,
                        record.closedMs,
                        record.state,
                        record.hasStarted,
                        record.terms,
                        record.spec,
                        record.nextOccurrence,
                        record.occurrences);
    }
};

struct VersionedJobVersion1 {
    std::uint32_t version = 1;
    RecordVersion1 record;

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
    if (job && job->version == JobRecordVersion) {
        return std::move(job->record);
    }
    std::optional<VersionedJobVersion1> former = Packing::fromBytes<VersionedJobVersion1>(bytes);
    if (former && former->version == 1) {
        return std::move(former->record.record);
    }
    return std::nullopt;
}

}
