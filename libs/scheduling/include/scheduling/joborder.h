#pragma once

#include "jobs/job.h"
#include "timing/instant.h"

#include <cstdint>
#include <tuple>

namespace Cornelquay {

/**
 * The position of a job in the placement order of its pool.
 *
 * Long-running jobs come first, then jobs of higher priority, then jobs within the agreed submission rate.
 * Among jobs that are equal in these, the order depends on their objectives, because not all jobs can meet
 * them while a queue needs several times the capacity of its pool for some seconds: jobs that still can
 * are placed first, ordered by value for each unit of remaining work, and late jobs follow, oldest first.
 * Jobs that will complete too late to be of any value come behind all others of their priority, oldest first:
 * they are carried out, but must not delay jobs whose result is still of use.
 */
struct JobUrgency {
    /** The job has long-running tasks, which serve their users only while they run. */
    bool longRunning = false;
    /** When the job was submitted, its client account exceeded the agreed submission rate. */
    bool overAgreedRate = false;
    /** Priority of the queue; 0 is the highest. */
    std::uint32_t priority = 0;
    /** The objective cannot be met any more. */
    bool late = false;
    /** Value for each unit of remaining work; see valueDensity(). */
    double density = 0;
    BootTime receivedAt{};
    /** The job will complete too late to be of any value to its caller; see isWorthless(). */
    bool worthless = false;

    /** Orders the most urgent job first. */
    bool operator<(const JobUrgency &other) const
    {
        const auto key = [](const JobUrgency &urgency) {
            const bool ordersByAge = urgency.worthless;
            return std::tuple(!urgency.longRunning,
                              urgency.priority,
                              urgency.worthless,
                              !ordersByAge && urgency.overAgreedRate,
                              ordersByAge || urgency.late,
                              ordersByAge || urgency.late ? 0.0 : -urgency.density,
                              urgency.receivedAt);
        };
        return key(*this) < key(other);
    }
};

/** Estimated work and deadline of a job, from which its JobUrgency is computed. */
struct JobEstimate {
    BootTime receivedAt{};
    /** The time by which the job should be complete. */
    BootTime objectiveDeadline{};
    /** Longest chain of dependent tasks that are not finished, in milliseconds. */
    std::int64_t remainingChainMs = 0;
    /** Work of all tasks and of the unfinished ones, in core-milliseconds. */
    double totalWork = 0;
    double remainingWork = 0;
};

/** How long a job with the critical path @p chain may take under its queue's @p terms. */
std::chrono::milliseconds objectiveDuration(const QueueTerms &terms, std::chrono::milliseconds chain);

/** Value of a job divided by its remaining work, without a unit. Jobs with larger values are placed first. */
double valueDensity(const JobEstimate &estimate);

/** Whether the job misses its objective even if its tasks start at @p now. */
bool isLate(const JobEstimate &estimate, BootTime now);

/** Whether the job misses UsefulObjectiveMultiple times its objective even if its tasks start at @p now. */
bool isWorthless(const JobEstimate &estimate, BootTime now);

}
