#pragma once

#include "jobs/job.h"
#include "scheduling/workersession.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Cornelquay {

/** What a task asks of a worker. */
struct PlacementRequest {
    Resources demand;
    std::string requiredLabel;
    /** Racks where the task runs at full speed; empty for any. */
    std::set<std::string> preferredRacks;
    bool lasting = false;
    bool fills = false;
    bool serving = false;
    /** Most tasks of its step on one worker; 0 for any number. */
    std::uint32_t perWorkerMax = 0;
    /** Tasks of its step by worker and by rack. */
    std::map<WorkerId, std::uint32_t> siblingsByWorker;
    std::map<std::string, std::uint32_t> siblingsByRack;
    /** Workers on which the task failed. */
    std::set<WorkerId> failedOn;
};

/** A worker as a place for work. */
struct PlacementCandidate {
    WorkerSession *session = nullptr;
    /** Kept free for a task that found no room. */
    bool reserved = false;
    /** Its instance is to be maintained soon. */
    bool leaving = false;
};

/**
 * The best of @p candidates for @p request, null if it fits none.
 *
 * Answers three load patterns: "workers that fail everything look the least loaded" by counting
 * recent failures before load; "one worker is lost" by spreading the tasks of a lasting step; "demand
 * comes by turns" by filling workers that are in use first, those with lasting tasks before all, so
 * that the others can be switched off.
 */
PlacementCandidate *choosePlacement(const PlacementRequest &request, std::vector<PlacementCandidate *> &candidates);

}
