#pragma once

#include "jobs/job.h"
#include "scheduling/joborder.h"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace Cornelquay {

/** Tasks of one step that have no run although the steps that they depend on are finished. */
struct ReadyTasks {
    /** Of one task, as it counts against a worker's capacity. */
    Resources demand;
    std::uint32_t count = 0;
};

/** A job with state of its owner that is not part of the record. */
struct JobEntry {
    explicit JobEntry(JobRecord record)
        : job(std::move(record))
    {
    }

    Job job;
    /** Changed since the latest batch that contains it. */
    bool dirty = false;
    /** A record of the job is stored. */
    bool stored = false;
    /** The state in the stored record. */
    JobState storedState = JobState::Queued;
    /** The latest batch that contains the job. */
    std::uint64_t batch = 0;
    /** Some task may be ready to be placed. */
    bool mayHaveReady = true;
    /** When the job was submitted, its client account exceeded the agreed submission rate. */
    bool overAgreedRate = false;
    /** A step of the job is long-running. */
    bool longRunning = false;
    /** An occurrence is due and waits, as too many tasks are open. */
    bool occurrenceWaits = false;
    JobEstimate estimate;
    /** Unset if it is not known since the job changed; see Scheduler::Impl::readyTasksOf(). */
    std::optional<std::vector<ReadyTasks>> readyTasks;
    /** See Scheduler::Impl::expectedRunMs(); as of the latest estimate. */
    std::vector<std::int64_t> stepRunMs;
    /** Workers on which each task failed. */
    std::map<TaskRef, std::set<WorkerId>> failedOn;
    /**
     * A suspect of the job that waits for a worker of its own may run beside others from then on. Set when one begins to wait, and
     * cleared only when one gets a worker of its own.
     */
    std::optional<BootTime> isolationDeadline;
};

}
