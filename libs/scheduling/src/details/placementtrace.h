#pragma once

#include "scheduling/explanation.h"

#include <map>
#include <string>
#include <vector>

namespace Cornelquay {

/** What a dry run of the placement finds out about one job beside its placement. */
struct PlacementTrace {
    JobId job;
    /** Why the tasks of the first step without a worker have none. */
    PlacementOutcome reason = PlacementOutcome::NoWorker;
    /** The rejections concern a task that got no worker. */
    bool concernsUnplaced = false;
    /** See PlacementExplanation::rejections; by reason, in the order in which the workers were examined. */
    std::map<CandidateRejection, std::vector<RejectedCandidate>> rejections;
};

}
