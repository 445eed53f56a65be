#include "jobs/disruptedruns.h"

#include "records/packing.h"

#include <tuple>
#include <vector>

namespace Cornelquay {

namespace {

struct RunName {
    JobId job;
    TaskRef task;
    std::uint32_t run = 0;

    auto fields()
    {
        return std::tie(job, task, run);
    }
};

struct DisruptionRecord {
    std::vector<RunName> runs;

    auto fields()
    {
        return std::tie(runs);
    }
};

}

std::string encode(const DisruptedRuns &runs)
{
    DisruptionRecord record;
    record.runs.reserve(runs.size());
    for (const auto &[task, run] : runs) {
        record.runs.push_back({task.job, task.ref, run});
    }
    return Packing::toBytes(record);
}

std::optional<DisruptedRuns> decodeDisruptedRuns(std::string_view bytes)
{
    const std::optional<DisruptionRecord> record = Packing::fromBytes<DisruptionRecord>(bytes);
    if (!record) {
        return std::nullopt;
    }
    DisruptedRuns runs;
    for (const RunName &name : record->runs) {
        runs[{name.job, name.task}] = name.run;
    }
    return runs;
}

}
