#pragma once

#include "jobs/jobspec.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace Cornelquay {

/** Names a worker's registration; a restarted worker may keep it. */
using WorkerId = std::string;

/** Chosen by the submitter; unique for as long as the job is known. */
using JobId = std::string;

/** One task within its job. */
struct TaskRef {
    /** Which time of a recurring job, from 0. */
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    bool operator==(const TaskRef &) const = default;
    bool operator<(const TaskRef &other) const
    {
        return std::tie(occurrence, step, index) < std::tie(other.occurrence, other.step, other.index);
    }
};

/** One task of the fleet. */
struct TaskName {
    JobId job;
    TaskRef ref;

    bool operator==(const TaskName &) const = default;
    bool operator<(const TaskName &other) const
    {
        return std::tie(job, ref) < std::tie(other.job, other.ref);
    }
};

/** What submitters are told of a job. */
enum class JobState : std::uint8_t {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
};

std::string_view toName(JobState state);

/** How a run of a task ended. */
enum class RunEnd : std::uint8_t {
    Done,
    /** By the task's own fault or its worker's. */
    Failed,
    /** On request. */
    Stopped,
    /** Its worker's lease ran out. */
    Lapsed,
    /** Another member of its gang ended. */
    Broken,
    /** The other members of its gang did not come in time. */
    Alone,
};

std::string_view toName(RunEnd end);

/** Where a task is. */
enum class TaskPhase : std::uint8_t {
    /** Has no run. */
    Waiting,
    /** Has a run that was or may be started on a worker. */
    Placed,
    Finished,
};

/** The durable state of a task. */
struct Task {
    TaskPhase phase = TaskPhase::Waiting;
    /** Number of the latest run; 0 before the first. */
    std::uint32_t run = 0;
    std::uint32_t failures = 0;
    /** Where the latest run was placed, while it is. */
    WorkerId worker;
    /** From which the next run resumes; empty for none. */
    std::string checkpoint;

    auto fields()
    {
        return std::tie(phase, run, failures, worker, checkpoint);
    }
    bool operator==(const Task &) const = default;
};

/** The terms under which a job's queue was configured when it was last seen. */
struct QueueTerms {
    std::string pool;
    /** 0 comes first. */
    std::uint32_t priority = 0;
    /** Runs of a task that may fail. */
    std::uint32_t attempts = 1;
    /** Objective: this many times the longest chain of work, and the slack more. */
    double stretch = 1.0;
    std::int64_t slackMs = 0;

    auto fields()
    {
        return std::tie(pool, priority, attempts, stretch, slackMs);
    }
    bool operator==(const QueueTerms &) const = default;
};

/** One time that a job's steps run. */
struct Occurrence {
    std::uint32_t number = 0;
    /** Tasks by step and index. */
    std::vector<std::vector<Task>> steps;

    auto fields()
    {
        return std::tie(number, steps);
    }
    bool operator==(const Occurrence &) const = default;
};

/** All of a job that must outlive its owner. */
struct JobRecord {
    JobId id;
    std::string queue;
    std::string account;
    /** Wall-clock milliseconds since 1970 when it was first received. */
    std::int64_t submittedMs = 0;
    /** Wall-clock milliseconds since 1970 when it came to a final state; 0 before. */
    std::int64_t closedMs = 0;
    JobState state = JobState::Queued;
    /** A task has been started. */
    bool begun = false;
    QueueTerms terms;
    JobSpec spec;
    std::uint32_t nextOccurrence = 0;
    /** Those that are not finished; of a job without recurrence, its only one. */
    std::vector<Occurrence> occurrences;

    auto fields()
    {
        return std::tie(id, queue, account, submittedMs, closedMs, state, begun, terms, spec, nextOccurrence, occurrences);
    }
    bool operator==(const JobRecord &) const = default;
};

/** What came of the end of a run. */
enum class EndOutcome {
    /** Not the task's current run; nothing changed. */
    Ignored,
    /** The task is finished. */
    TaskFinished,
    /** The task will run again if its job is open. */
    TaskWaiting,
    /** The job failed, as the task has used up its attempts. */
    JobFailed,
};

/**
 * One job and the transitions of its tasks.
 *
 * A pure state machine: it is told what was decided and seen, and keeps that at most one run of
 * each task is placed, that run numbers rise, that steps start in their order, and that nothing is
 * placed once the job is closed. Wall-clock times are given by the caller. Not thread-safe.
 *
 * @code
 * Job job(record);
 * job.openOccurrence();
 * const std::uint32_t run = job.place({0, 0, 0}, "worker-1");
 * job.end({0, 0, 0}, run, RunEnd::Done, "", wallMs);
 * @endcode
 */
class Job
{
public:
    explicit Job(JobRecord record);

    // Commands.
    /** Creates the tasks of the next occurrence; false if there are no more. */
    bool openOccurrence();
    /** Places a new run of a waiting task whose step may start; the run's number. */
    std::uint32_t place(const TaskRef &ref, const WorkerId &worker);
    /** Places all tasks of a gang, one worker each, with one run number. */
    std::uint32_t placeGang(std::uint32_t occurrence, std::uint32_t step, const std::vector<WorkerId> &workers);
    EndOutcome end(const TaskRef &ref, std::uint32_t run, RunEnd runEnd, const std::string &checkpoint, std::int64_t wallMs);
    /** The run is known not to exist any more, without an end that says how. */
    EndOutcome lose(const TaskRef &ref, std::uint32_t run, std::int64_t wallMs);
    /** Keeps @p checkpoint for the next run, if the run is the current one. */
    bool saveProgress(const TaskRef &ref, std::uint32_t run, const std::string &checkpoint);
    void markBegun();
    /** False if the job was already closed. */
    bool cancel(std::int64_t wallMs);
    void setTerms(const QueueTerms &terms);

    // Queries.
    const JobRecord &record() const;
    bool isOpen() const;
    /** Whether the tasks of all earlier steps that @p step needs are finished. */
    bool mayStart(const Occurrence &occurrence, std::uint32_t step) const;
    const Occurrence *findOccurrence(std::uint32_t number) const;
    const Task *findTask(const TaskRef &ref) const;
    const StepSpec &step(const TaskRef &ref) const;
    /** Whether an open job waits for its next occurrence; when it is due. */
    std::optional<std::int64_t> nextDueMs() const;
    bool hasPlacedTasks() const;

private:
    Task *task(const TaskRef &ref);
    EndOutcome restart(Task &task, const std::string &checkpoint);
    EndOutcome fail(const TaskRef &ref, Task &task, std::int64_t wallMs);
    std::uint32_t countFailures(const TaskRef &ref) const;
    bool isGangDone(const TaskRef &ref, std::uint32_t run) const;
    void finish(const TaskRef &ref, Task &task, std::int64_t wallMs);

    JobRecord m_record;
};

}
