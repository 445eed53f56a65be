#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace Cornelquay {

/** An amount of what tasks need and workers have. */
struct Resources {
    /** Thousandths of a core. */
    std::int64_t cpu = 0;
    /** Mebibytes. */
    std::int64_t memory = 0;
    /** Whole devices. */
    std::int64_t gpu = 0;

    auto fields()
    {
        return std::tie(cpu, memory, gpu);
    }
    bool operator==(const Resources &) const = default;

    Resources &operator+=(const Resources &other);
    Resources &operator-=(const Resources &other);
    bool fitsInto(const Resources &available) const;
};

Resources operator+(Resources left, const Resources &right);
Resources operator-(Resources left, const Resources &right);
Resources operator*(Resources left, std::int64_t factor);

/** Tasks of a job that are alike. */
struct StepSpec {
    std::uint32_t count = 1;
    Resources demand;
    /** The submitter's rough estimate of a task's run time, in milliseconds; 0 if none was given. */
    std::int64_t estimateMs = 0;
    /** Numbers of earlier steps whose tasks must all be done first. */
    std::vector<std::uint32_t> after;
    bool savesProgress = false;
    /** The tasks work only while all of them run, with one run number. */
    bool gang = false;
    /** The tasks are slower when they run on more than one rack. */
    bool sameRack = false;
    /** A label that the worker must have; empty for none. */
    std::string requiredLabel;
    /** The rack where the data lies; other racks are slower. Empty for none. */
    std::string dataRack;
    /** Most tasks of the step on one worker; 0 for any number. */
    std::uint32_t perWorkerMax = 0;
    /** Copies of a task may run at once. */
    bool speculative = false;
    /** The tasks run until the job is cancelled, and are started again however they end. */
    bool lasting = false;
    /** Takes the capacity that other tasks leave unused; its cpu is not counted against a worker. */
    bool fills = false;
    /** What the tasks run; tasks of one image behave alike. */
    std::string image;
    /** Bound on the tail of the response times of the tasks' own users, in milliseconds; 0 for none. */
    std::int64_t tailTargetMs = 0;
    /** Lasting tasks that may be unavailable at once by the system's actions. */
    std::uint32_t outMax = 0;

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
                        perWorkerMax,
                        speculative,
                        lasting,
                        fills,
                        image,
                        tailTargetMs,
                        outMax);
    }
    bool operator==(const StepSpec &) const = default;
};

/** When a job's steps run again. */
struct Recurrence {
    /** Number of times in all; 0 if the steps run once, as soon as possible. */
    std::uint32_t count = 0;
    /** Wall-clock milliseconds since 1970 of the first time. */
    std::int64_t firstDueMs = 0;
    std::int64_t intervalMs = 0;

    auto fields()
    {
        return std::tie(count, firstDueMs, intervalMs);
    }
    bool operator==(const Recurrence &) const = default;
};

/** What a client account asked for. Never changes. */
struct JobSpec {
    /** Handed to each task as it is. */
    std::string payload;
    std::vector<StepSpec> steps;
    Recurrence recurrence;

    auto fields()
    {
        return std::tie(payload, steps, recurrence);
    }
    bool operator==(const JobSpec &) const = default;
};

/** Bounds on what may be asked for. */
struct JobLimits {
    static constexpr std::size_t MaxPayloadBytes = 4000;
    static constexpr std::size_t MaxSteps = 64;
    static constexpr std::uint32_t TasksMax = 4096;
};

/** Why @p spec cannot be accepted; empty if it can. Pure. */
std::string findFault(const JobSpec &spec);

/**
 * The longest chain of work from each step to the end of the job, in milliseconds.
 * @p runMs holds for each step how long a task of it runs.
 */
std::vector<std::int64_t> chainsFrom(const JobSpec &spec, const std::vector<std::int64_t> &runMs);

}
