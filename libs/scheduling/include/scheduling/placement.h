#pragma once

#include "jobs/job.h"
#include "scheduling/workersession.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Cornelquay {

/** Requirements of a task to be placed. */
struct PlacementRequest {
    JobId job;
    Resources demand;
    std::string requiredLabel;
    /** Racks where the task runs at full speed; empty if any rack is as good. */
    std::set<std::string> preferredRacks;
    /** The task runs until its job is cancelled. */
    bool longRunning = false;
    /** The task is best-effort: it uses CPU that other tasks leave unused. */
    bool bestEffort = false;
    /** The task serves users and has a tail latency target. */
    bool serving = false;
    /** Maximum number of tasks of the same step on one worker; 0 for no limit. */
    std::uint32_t maxTasksPerWorker = 0;
    /** Number of placed tasks of the same step, by worker and by rack. */
    std::map<WorkerId, std::uint32_t> siblingsByWorker;
    std::map<std::string, std::uint32_t> siblingsByRack;
    /** Workers on which an earlier run of the task failed. */
    std::set<WorkerId> failedOn;
};

/** A worker that may receive a task. */
struct PlacementCandidate {
    WorkerSession *session = nullptr;
    /** Its instance is to be maintained soon. */
    bool leaving = false;
    /** The only job whose tasks may be placed on the worker, see JobIsolation; empty if all may. */
    JobId keptFor;
    /** The worker is used only for what fits on no other one, as its zone has returned from an evacuation; see ZoneEvacuation::comesLast(). */
    bool comesLast = false;
    /** Capacity that only tasks of one job may use, see EvacuationMoves. */
    Resources reserved{};
    JobId reservedFor{};
    /** Capacity that a task of @p job may use. */
    Resources freeCapacityFor(const JobId &job) const
    {
        const Resources free = session->freeCapacity();
        return reservedFor == job ? free : free - reserved;
    }
};

/** Why a task with @p request must not be placed on @p candidate; std::nullopt if it may. Pure. */
std::optional<CandidateRejection> rejectionOf(const PlacementRequest &request, const PlacementCandidate &candidate);

/** The same for when all present runs of @p candidate have ended that are not long-running. */
std::optional<CandidateRejection> rejectionOnceVacated(const PlacementRequest &request, const PlacementCandidate &candidate);

/**
 * Returns the best of @p candidates for @p request, or nullptr if none of them fits.
 *
 * - Recent failures weigh more than load, because a worker that fails every task always has free capacity
 *   and would receive one task after another.
 * - Tasks of a long-running step are spread over workers and racks, so that the loss of one worker
 *   affects few of them.
 * - Workers in use are filled first, in particular those with long-running tasks, so that the others
 *   can be switched off when demand shifts between pools.
 */
PlacementCandidate *choosePlacement(const PlacementRequest &request, std::vector<PlacementCandidate *> &candidates);

}
