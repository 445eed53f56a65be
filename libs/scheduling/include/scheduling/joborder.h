#pragma once

#include "jobs/job.h"
#include "timing/instant.h"

#include <cstdint>
#include <tuple>

namespace Cornelquay {

/**
 * Where a job stands in line for its pool.
 *
 * Answers the load pattern "a queue asks for several times its pool's room for some seconds": not
 * all jobs can meet their objectives, so those that still can go first, and among them those that
 * bring most for the work that they still need. Jobs that are too late wait behind them, but are
 * not given up: the oldest of them go first.
 */
struct JobUrgency {
    /** Has lasting tasks, which serve their users only while they run. */
    bool lasting = false;
    /** The account sent more jobs a second than agreed. */
    bool overAgreedRate = false;
    /** 0 comes first. */
    std::uint32_t priority = 0;
    /** Cannot meet its objective any more. */
    bool late = false;
    /** Value for each unit of work that is left. */
    double density = 0;
    BootTime receivedAt{};

    /** Sorts the most urgent first. */
    bool operator<(const JobUrgency &other) const
    {
        const auto key = [](const JobUrgency &urgency) {
            return std::tuple(
                !urgency.lasting, urgency.priority, urgency.overAgreedRate, urgency.late, urgency.late ? 0.0 : -urgency.density, urgency.receivedAt);
        };
        return key(*this) < key(other);
    }
};

/** What is known of a job when its place in line is worked out. */
struct JobEstimate {
    BootTime receivedAt{};
    /** When its objective is over. */
    BootTime objectiveDeadline{};
    /** Longest chain of work that is left, in milliseconds. */
    std::int64_t remainingChainMs = 0;
    /** Core-milliseconds of all its work, and of what is left. */
    double totalWork = 0;
    double remainingWork = 0;
};

/** How long a job whose longest chain of work is @p chain may take by its queue's terms. */
std::chrono::milliseconds objectiveDuration(const QueueTerms &terms, std::chrono::milliseconds chain);

/** Value of a job against the work that it still needs; larger is better. */
double valueDensity(const JobEstimate &estimate);

/** Whether the objective can still be met if the job's tasks start now. */
bool isLate(const JobEstimate &estimate, BootTime now);

}
