#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace Cornelquay {

/** An amount of resources: the demand of a task or the capacity of a worker. */
struct Resources {
    /** In thousandths of a core. */
    std::int64_t cpu = 0;
    /** In mebibytes. */
    std::int64_t memory = 0;
    /** In whole devices. */
    std::int64_t gpu = 0;

    auto fields()
    {
        return std::tie(cpu, memory, gpu);
    }
    bool operator==(const Resources &) const = default;

    Resources &operator+=(const Resources &other);
    Resources &operator-=(const Resources &other);
    /** Whether no resource exceeds that of @p available. */
    bool fitsInto(const Resources &available) const;
};

Resources operator+(Resources left, const Resources &right);
Resources operator-(Resources left, const Resources &right);
Resources operator*(Resources left, std::int64_t factor);

/** A step of a job: one or more tasks with the same properties. */
struct StepSpec {
    /** Number of tasks; at least 1. */
    std::uint32_t count = 1;
    /** Resources that each task needs; not negative. */
    Resources demand;
    /** The submitter's rough estimate of a task's run time, in milliseconds; 0 if none was given. */
    std::int64_t estimateMs = 0;
    /** Indices of the earlier steps that this step depends on: all their tasks must be finished before it starts. */
    std::vector<std::uint32_t> after;
    /** The tasks save checkpoints, from which a later run resumes. */
    bool savesProgress = false;
    /** The tasks can work only while all of them run. They are placed together and share their run numbers. */
    bool gang = false;
    /** The tasks are slower when they are spread over several racks, so one rack for all of them is preferred. */
    bool sameRack = false;
    /** A label that the worker must have; empty for none. */
    std::string requiredLabel;
    /** The rack that holds the input data; the tasks are slower on other racks. Empty for none. */
    std::string dataRack;
    /** Maximum number of tasks of the step on one worker; 0 for no limit. */
    std::uint32_t maxTasksPerWorker = 0;
    /** The submitter allows several runs of a task at the same time. See allowsCopies(). */
    bool speculative = false;
    /** Long-running: the tasks run until the job is cancelled, and are restarted whenever they end. */
    bool longRunning = false;
    /** Best effort: the tasks use capacity that other tasks leave idle, and their cpu does not count against a worker's capacity. */
    bool bestEffort = false;
    /** Program image of the tasks; tasks with the same image are expected to behave alike. */
    std::string image;
    /** Target for the tail latency that the users of the tasks see, in milliseconds; 0 for none. */
    std::int64_t tailLatencyTargetMs = 0;
    /**
     * Evacuation of a worker stops a long-running task of the step only while fewer other tasks of the step than this are
     * unavailable; 0 if it must not stop any.
     */
    std::uint32_t maxUnavailableTasks = 0;

    auto fields()
    {
        return std::tie(count,
                        demand,
                        estimateMs,
                        after,
                        savesProgress,
                        gang,
                        sameRack,
                        requiredLabel,
                        dataRack,
                        maxTasksPerWorker,
                        speculative,
                        longRunning,
                        bestEffort,
                        image,
                        tailLatencyTargetMs,
                        maxUnavailableTasks);
    }
    bool operator==(const StepSpec &) const = default;

    /** Whether a task may have a second run. Gangs, long-running and best-effort tasks have none, whatever the submitter allows. */
    bool allowsCopies() const
    {
        return speculative && !gang && !longRunning && !bestEffort;
    }
};

/** The schedule of a recurring job. */
struct Recurrence {
    /** Number of occurrences; 0 for a job without recurrence, whose steps run once and as soon as possible. */
    std::uint32_t count = 0;
    /** When the first occurrence is due, in wall-clock milliseconds since 1970. */
    std::int64_t firstDueMs = 0;
    /** Time from one occurrence to the next, in milliseconds; must be positive if count exceeds 1. */
    std::int64_t intervalMs = 0;

    auto fields()
    {
        return std::tie(count, firstDueMs, intervalMs);
    }
    bool operator==(const Recurrence &) const = default;
};

/** A job as its client account specified it. Never changes after the submission. */
struct JobSpec {
    /** Passed unchanged to each task. */
    std::string payload;
    std::vector<StepSpec> steps;
    Recurrence recurrence;

    auto fields()
    {
        return std::tie(payload, steps, recurrence);
    }
    bool operator==(const JobSpec &) const = default;
};

/** Limits on the specification of a job. */
struct JobLimits {
    static constexpr std::size_t MaxPayloadBytes = 4000;
    static constexpr std::size_t MaxSteps = 64;
    /** Tasks of all steps together. */
    static constexpr std::uint32_t MaxTasks = 4096;
    /**
     * Tasks of all occurrences that are open at a time; a further one that is due is opened once others have finished. Bounds what one
     * job occupies in memory and in the store, where a task takes up to some 100 bytes.
     */
    static constexpr std::uint32_t MaxOpenTasks = 8192;
};

/**
 * Estimate of the memory that a job with @p spec takes in the process of its owner, in bytes. Counts all tasks that may be open, so
 * that it does not grow while the job runs. Pure.
 */
std::size_t memoryOf(const JobSpec &spec);

/** The reason why @p spec is invalid, as a text for the submitter; empty if it is valid. Pure. */
std::string findSpecError(const JobSpec &spec);

/**
 * The critical path from the start of each step to the end of the job, in milliseconds: the longest chain of
 * dependent steps. @p runMs holds the run time of one task of each step, in milliseconds, and must have one
 * entry for each step. Pure.
 */
std::vector<std::int64_t> criticalPathsMs(const JobSpec &spec, const std::vector<std::int64_t> &runMs);

}
