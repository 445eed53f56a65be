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

/** The fields of a record of version 2, which has no copies. */
struct RecordVersion2 {
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
                        record.occurrences,
                        record.workers,
                        record.crashes);
    }
};

/** The fields of a record of version 1, which has neither workers, crashes nor copies. */
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

template<typename Record>
struct FormerVersion {
    std::uint32_t version = 0;
    Record record;

    auto fields()
    {
        return std::tie(version, record);
    }
};

template<typename Record>
std::optional<JobRecord> decodeFormer(std::string_view bytes, std::uint32_t version)
{
    std::optional<FormerVersion<Record>> former = Packing::fromBytes<FormerVersion<Record>>(bytes);
    if (!former || former->version != version) {
        return std::nullopt;
    }
    return std::move(former->record.record);
}

}

std::string encodeJob(const JobRecord &record)
{
    if (record.copies.empty()) {
        return Packing::toBytes(FormerVersion<RecordVersion2>{JobRecordVersionWithoutCopies, {record}});
    }
    return Packing::toBytes(VersionedJob{JobRecordVersion, record});
}

std::optional<JobRecord> decodeJob(std::string_view bytes)
{
    std::optional<VersionedJob> job = Packing::fromBytes<VersionedJob>(bytes);
    if (job && job->version == JobRecordVersion) {
        return std::move(job->record);
    }
    if (std::optional<JobRecord> former = decodeFormer<RecordVersion2>(bytes, JobRecordVersionWithoutCopies)) {
        return former;
    }
    return decodeFormer<RecordVersion1>(bytes, 1);
}

}
