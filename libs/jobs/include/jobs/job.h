#pragma once

#include "jobs/jobspec.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace Cornelquay {

/** Identifies a worker's registration. A worker may keep its identifier across restarts. */
using WorkerId = std::string;

/** Identifies a job. Chosen by the submitter; unique among the jobs that the scheduler has a record of. */
using JobId = std::string;

/** Identifies a task within its job. */
struct TaskRef {
    /** Number of the occurrence of a recurring job, from 0; 0 for other jobs. */
    std::uint32_t occurrence = 0;
    /** Index of the step in JobSpec::steps. */
    std::uint32_t step = 0;
    /** Index of the task within its step, from 0. */
    std::uint32_t index = 0;

    bool operator==(const TaskRef &) const = default;
    bool operator<(const TaskRef &other) const
    {
        return std::tie(occurrence, step, index) < std::tie(other.occurrence, other.step, other.index);
    }
    auto fields()
    {
        return std::tie(occurrence, step, index);
    }
};

/** Identifies a task among the tasks of all jobs. */
struct TaskName {
    JobId job;
    TaskRef ref;

    bool operator==(const TaskName &) const = default;
    bool operator<(const TaskName &other) const
    {
        return std::tie(job, ref) < std::tie(other.job, other.ref);
    }
};

/** The state of a job as submitters see it. Completed, Failed and Cancelled are final. */
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
    /** The task or its worker failed. The only end that counts as a failed attempt; for a long-running task none does. */
    Failed,
    /** Stopped by an order of the owner of the jobs. */
    Stopped,
    /** The lease of its worker expired, so the worker ended the run. */
    LeaseExpired,
    /** Another member of its gang (see StepSpec::gang) ended, so that the gang could not continue. */
    GangMemberEnded,
    /** The other members of its gang did not start in time. */
    GangIncomplete,
};

std::string_view toName(RunEnd end);

/** Whether a task has a run. */
enum class TaskPhase : std::uint8_t {
    /** Has no run; may be placed once the steps that it depends on are finished. */
    Waiting,
    /** Has a run that was started, or may have been started, on a worker. */
    Placed,
    Finished,
};

/** The durable state of a task. */
struct Task {
    TaskPhase phase = TaskPhase::Waiting;
    /**
     * Number of the latest run, which increases with each run; 0 before the first. One more for the member of a gang of several whose failure
     * was counted, until the gang is placed again: so the failed run counts once, also if the owner changes between the ends of two members.
     */
    std::uint32_t run = 0;
    /** Number of runs that ended with RunEnd::Failed, for a gang only those in which no other member had failed; always 0 for a long-running task. */
    std::uint32_t failures = 0;
    /** The worker of the current run; empty unless the task is placed. */
    WorkerId worker;
    /** Saved progress from which the next run resumes; empty for none. */
    std::string checkpoint;

    auto fields()
    {
        return std::tie(phase, run, failures, worker, checkpoint);
    }
    bool operator==(const Task &) const = default;
};

/** When in a run its worker crashed. */
enum class CrashMoment : std::uint8_t {
    /** The worker fell silent right after it was told to start the task. */
    Startup,
    Later,
    /** A former owner placed the run, and its worker has not answered since. It may not even have been started. */
    Unknown,
};

/** What is known of a worker's crash while it ran a task. */
struct CrashEvidence {
    CrashMoment moment = CrashMoment::Unknown;
    /** The task was suspected, and the worker ran nothing else that may have caused the crash than tasks of the same job. */
    bool isolated = false;
    /** Apart from workers that crashed right after a start, no worker has fallen silent lately. */
    bool quietFleet = false;
};

/** Crashes of workers while they ran a task that is not finished. */
struct TaskCrashes {
    TaskRef task;
    /** Crashes right after a start of the task. */
    std::uint32_t duringStartup = 0;
    /** Crashes at other moments of a run. */
    std::uint32_t later = 0;
    /** The crashes of the two kinds with CrashEvidence::isolated, each of a worker that had not crashed under the task before. */
    std::uint32_t isolatedDuringStartup = 0;
    std::uint32_t isolatedLater = 0;
    /** Losses of runs of which it is not known whether they had been started, or whether their worker crashed. */
    std::uint32_t unconfirmed = 0;
    /** Runs of other tasks that ended with the same workers. */
    std::uint32_t runsLostBeside = 0;
    /** The workers that crashed, those that crashed repeatedly up to five times. */
    std::vector<WorkerId> workers;

    auto fields()
    {
        return std::tie(task, duringStartup, later, isolatedDuringStartup, isolatedLater, unconfirmed, runsLostBeside, workers);
    }
    bool operator==(const TaskCrashes &) const = default;
};

/** A run of a task beside its current one. */
struct ExtraRun {
    std::uint32_t run = 0;
    WorkerId worker;

    auto fields()
    {
        return std::tie(run, worker);
    }
    bool operator==(const ExtraRun &) const = default;
};

/** Copies and restarts of a task. Only a task that had a copy or was restarted for lack of progress has this. */
struct TaskCopies {
    TaskRef task;
    /** While the task is placed, its copy, if it has one. Once it is finished, its other runs whose end is not known: two at most. */
    std::vector<ExtraRun> extraRuns;
    /** The highest number of a copy. */
    std::uint32_t latestCopy = 0;
    /** Number of copies placed so far. */
    std::uint32_t copiesPlaced = 0;
    /** Number of runs that were stopped for lack of progress. */
    std::uint32_t restarts = 0;

    auto fields()
    {
        return std::tie(task, extraRuns, latestCopy, copiesPlaced, restarts);
    }
    bool operator==(const TaskCopies &) const = default;
};

/** The incarnation of a worker in which tasks were placed on it. */
struct WorkerIncarnation {
    WorkerId worker;
    /** Where the worker took orders; a later worker at this address shows that the incarnation is over. */
    std::string address;
    /** Start of the incarnation in milliseconds since 1970; 0 if unknown. A later start under the same id shows that the incarnation is over. */
    std::int64_t startTimeMs = 0;

    auto fields()
    {
        return std::tie(worker, address, startTimeMs);
    }
    bool operator==(const WorkerIncarnation &) const = default;
};

/** The settings that a job takes from its queue, as of the latest configuration that contains the queue. */
struct QueueTerms {
    /** The pool whose workers run the tasks. */
    std::string pool;
    /** Jobs with a lower number are placed first. */
    std::uint32_t priority = 0;
    /** The job fails once a task, or a gang as a whole, has this many failed runs. */
    std::uint32_t attempts = 1;
    /** The target for the time in which the job is completed is (stretch * critical path) + slackMs. */
    double stretch = 1.0;
    /** In milliseconds; see stretch. */
    std::int64_t slackMs = 0;

    auto fields()
    {
        return std::tie(pool, priority, attempts, stretch, slackMs);
    }
    bool operator==(const QueueTerms &) const = default;
};

/** One execution of all steps of a job; a recurring job has several. */
struct Occurrence {
    /** Counts the occurrences of the job from 0. */
    std::uint32_t number = 0;
    /** Tasks by index of their step and by index within the step. */
    std::vector<std::vector<Task>> steps;

    auto fields()
    {
        return std::tie(number, steps);
    }
    bool operator==(const Occurrence &) const = default;
};

/** The durable state of a job; the next owner of the jobs continues from it. */
struct JobRecord {
    JobId id;
    std::string queue;
    /** The client account that submitted the job. */
    std::string account;
    /** When the job was first received, in wall-clock milliseconds since 1970. */
    std::int64_t submittedMs = 0;
    /** When the job reached a final state, in wall-clock milliseconds since 1970; 0 before. */
    std::int64_t closedMs = 0;
    JobState state = JobState::Queued;
    /** Whether a task of the job has ever been started. */
    bool hasStarted = false;
    QueueTerms terms;
    JobSpec spec;
    /** Number of the occurrence that is opened next; equals the number of occurrences opened so far. */
    std::uint32_t nextOccurrence = 0;
    /** Occurrences that are opened and not finished. A job without recurrence keeps its only one when it is finished. */
    std::vector<Occurrence> occurrences;
    /** The workers of the placed tasks, and possibly of some that are not placed any more. */
    std::vector<WorkerIncarnation> workers;
    /** Tasks under which workers crashed. */
    std::vector<TaskCrashes> crashes;
    /** Tasks with copies or restarts, also finished ones of whose runs some may still be in progress. */
    std::vector<TaskCopies> copies;

    auto fields()
    {
        return std::tie(id, queue, account, submittedMs, closedMs, state, hasStarted, terms, spec, nextOccurrence, occurrences, workers, crashes, copies);
    }
    bool operator==(const JobRecord &) const = default;

    /** Whether the job was received. Otherwise the record is that of a cancellation only, see Scheduler::cancelEarly(). */
    bool isSubmitted() const
    {
        return !spec.steps.empty();
    }

    /** The incarnation of @p worker in which tasks of the job were placed, without address and start if it is not known. */
    WorkerIncarnation incarnationOf(const WorkerId &worker) const;
};

/** Effect of the end of a run on its task and its job. */
enum class EndOutcome {
    /** The run is neither the task's current one nor a copy; nothing changed. */
    Ignored,
    /** The task is finished. */
    TaskFinished,
    /** The task waits for its next run; it gets one if its job is open. */
    TaskWaiting,
    /** The job failed, because the task or its gang has used up its attempts or crashes its workers. */
    JobFailed,
    /** The task goes on with its other run. */
    OtherRunContinues,
    /** The task was finished before by another run. */
    ExtraRunEnded,
};

/**
 * One job and the transitions of its tasks.
 *
 * A pure state machine. The caller reports placements and ends of runs, and the class guarantees that
 * each task has at most one placed run, or two if its step allows copies, that run numbers increase, that
 * a step starts only after the steps that it depends on are finished, and that no task is placed once it
 * is finished or the job is closed. The caller passes wall-clock times, in milliseconds since 1970. Not
 * thread-safe.
 *
 * @code
 * Job job(record);
 * job.openOccurrence();
 * const std::uint32_t run = job.place({0, 0, 0}, "worker-1");
 * job.endRun({0, 0, 0}, run, RunEnd::Done, "", wallMs);
 * @endcode
 */
class Job
{
public:
    explicit Job(JobRecord record);

    // Commands.
    /**
     * Creates the tasks of the next occurrence. Returns false if the job is closed, all its occurrences were opened, or too many
     * tasks are open, see JobLimits::MaxOpenTasks.
     */
    bool openOccurrence();
    /**
     * Places a new run of a task on @p worker and returns the run's number.
     * Throws std::logic_error unless the job is open, the task is waiting and its step may start.
     */
    std::uint32_t place(const TaskRef &ref, const WorkerId &worker);
    /**
     * Places all tasks of a gang step, task i on @p workers[i], and returns the run number that they share.
     * @p workers must have one entry for each task. Throws like place(); the tasks before the one that could not be
     * placed then stay placed.
     */
    std::uint32_t placeGang(std::uint32_t occurrence, std::uint32_t step, const std::vector<WorkerId> &workers);
    /**
     * Places a copy of a task beside its current run, on another @p worker, and returns the copy's number.
     * Throws std::logic_error unless the job is open, the task is placed, its step allows copies, and it has no copy.
     */
    std::uint32_t placeCopy(const TaskRef &ref, const WorkerId &worker);
    /** A run of the task is to be stopped for lack of progress, which counts towards TaskCopies::restarts. */
    void countRestart(const TaskRef &ref);
    /**
     * Finishes what a record of an earlier release may leave open: members of a gang that wait although another one has finished.
     * Returns whether there were any.
     */
    bool finishGangs(std::int64_t wallMs);
    /**
     * Reports how a run ended. @p checkpoint replaces the saved one unless it is empty. A run whose task waits again,
     * for instance because the run was reported lost, may still end with RunEnd::Done as long as no later run was
     * placed. A long-running task waits for its next run after every end. Once a task has had a copy, each of its runs
     * may finish it; if another one ends, the task goes on with the other run. RunEnd::Done of one member of a gang finishes the gang,
     * whatever is heard of the other members before or afterwards.
     */
    EndOutcome endRun(const TaskRef &ref, std::uint32_t run, RunEnd runEnd, const std::string &checkpoint, std::int64_t wallMs);
    /**
     * Reports that the run does not exist any more, but that it is unknown how it ended. The task waits for its next run;
     * a member of a gang that is done is finished instead, see isGangDone().
     */
    EndOutcome loseRun(const TaskRef &ref, std::uint32_t run, std::int64_t wallMs);
    /**
     * Counts a crash of @p worker under a run of the task. The job fails, also if the task is long-running, once the crashes
     * show that the task causes them, but never before there were two: two while it was isolated and had just been started, or
     * one such after another crash while the fleet was quiet, three while it was isolated, or four right after its start.
     * Sound tasks that ran beside it are not blamed, since their later runs are isolated from it. After five crashes or
     * unconfirmed losses the job fails in any case.
     */
    EndOutcome countCrash(const TaskRef &ref, const WorkerId &worker, const CrashEvidence &evidence, std::uint32_t runsLostBeside, std::int64_t wallMs);
    /** A worker fell silent for good, maybe right after it was told to start the task, and may have crashed. See countCrash(). */
    EndOutcome countUnconfirmedLoss(const TaskRef &ref, const WorkerId &worker, std::int64_t wallMs);
    /** What became of @p worker is known now, so its unconfirmed loss does not count any more. Returns whether it had counted. */
    bool explainLoss(const TaskRef &ref, const WorkerId &worker);
    /** Keeps @p incarnation for the next owner, which needs it to learn what became of the worker. To be called with each placement. */
    void noteWorker(const WorkerIncarnation &incarnation);
    /** Forgets the crashes under the task, because it has proved to be sound. */
    void clearCrashes(const TaskRef &ref);
    /**
     * Keeps @p checkpoint for the next run. Returns false, without a change, if the run is not the current one
     * or @p checkpoint is empty or already kept.
     */
    bool saveProgress(const TaskRef &ref, std::uint32_t run, const std::string &checkpoint);
    /** Records that a task of the job has been started; a queued job is running from then on. */
    void markStarted();
    /** Closes the job as cancelled; its placed tasks stay placed until their runs end. Returns false if it was already closed. */
    bool cancel(std::int64_t wallMs);
    /** Forgets the saved progress of all tasks, which then start anew. Returns whether there was any. */
    bool dropProgress();
    /** Forgets all tasks, because their state cannot be stored. A job that is open fails. */
    void giveUp(std::int64_t wallMs);
    void setTerms(const QueueTerms &terms);

    // Queries.
    const JobRecord &record() const;
    /** Whether the job is queued or running, so not in a final state. */
    bool isOpen() const;
    /** Whether all steps that @p step depends on are finished in @p occurrence. */
    bool mayStart(const Occurrence &occurrence, std::uint32_t step) const;
    /** Whether the task belongs to a gang that is finished. Members of it whose end is not known yet may still be placed. */
    bool isGangDone(const TaskRef &ref) const;
    /** Null if the occurrence is not opened, or is finished and the job recurs. Valid until the next command. */
    const Occurrence *findOccurrence(std::uint32_t number) const;
    /** Null if there is no such task. Valid until the next command. */
    const Task *findTask(const TaskRef &ref) const;
    /** Throws std::out_of_range if there is no such step. */
    const StepSpec &step(const TaskRef &ref) const;
    /** When the next occurrence is due, in wall-clock milliseconds since 1970; nothing if the job is closed or does not recur, or if none remains. */
    std::optional<std::int64_t> nextDueMs() const;
    bool hasPlacedTasks() const;
    /** Null if no worker crashed under the task. Valid until the next command. */
    const TaskCrashes *findCrashes(const TaskRef &ref) const;
    /** The failed runs of an existing task, or those of its gang as a whole, that count towards QueueTerms::attempts. */
    std::uint32_t failedRuns(const TaskRef &ref) const;
    /** Whether the task may crash its next worker too, so that it should not run beside others. */
    bool isCrashSuspect(const TaskRef &ref) const;
    /** Null if the task had neither a copy nor a restart, or is finished without another run. Valid until the next command. */
    const TaskCopies *findCopies(const TaskRef &ref) const;

private:
    bool hasRoomForOccurrence() const;
    Task *task(const TaskRef &ref);
    TaskCopies *copiesOf(const TaskRef &ref);
    /** The entry of the task, which is added if there is none. */
    TaskCopies &addCopies(const TaskRef &ref);
    std::uint32_t nextRun(const TaskRef &ref) const;
    /** Applies the end of a run, or its loss without @p runEnd, of a task with copies; std::nullopt if no copy is concerned. */
    std::optional<EndOutcome>
    endWithCopies(const TaskRef &ref, std::uint32_t run, std::optional<RunEnd> runEnd, const std::string &checkpoint, std::int64_t wallMs);
    EndOutcome finishWithCopies(const TaskRef &ref, std::uint32_t run, std::int64_t wallMs);
    EndOutcome continueWithOtherRun(const TaskRef &ref, std::uint32_t run, bool failed, const std::string &checkpoint, std::int64_t wallMs);
    /** Forgets the entry of a finished task once none of its runs is left. */
    void dropCopies(const TaskRef &ref);
    EndOutcome restart(Task &task, const std::string &checkpoint);
    EndOutcome fail(const TaskRef &ref, Task &task, std::int64_t wallMs);
    void countFailure(const TaskRef &ref, Task &task);
    /** The crashes under an unfinished task of an open job, counted from now on if there were none; null if there is no such task. */
    TaskCrashes *crashesOf(const TaskRef &ref);
    EndOutcome judgeCrashes(const TaskCrashes &crashes, bool isCertainCause, std::int64_t wallMs);
    bool isStepFinished(const Occurrence &occurrence, std::uint32_t step) const;
    bool isFinished(const Occurrence &occurrence) const;
    /** Finishes the task, and with a member of a gang the gang. */
    void finish(const TaskRef &ref, Task &task, std::int64_t wallMs);
    void finishTask(const TaskRef &ref, Task &task);
    /** Finishes the members of a finished gang that have no run; returns whether there were any. */
    bool finishWaitingMembers(const TaskRef &ref);
    /** Drops the occurrence if it is finished and the job recurs, and completes the job if it was the last one. */
    void closeFinished(std::uint32_t number, std::int64_t wallMs);

    JobRecord m_record;
};

}
