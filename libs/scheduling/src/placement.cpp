#include "scheduling/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Cornelquay {

namespace {

// Penalties of a worker; the worker with the lowest sum is chosen. On this scale, an idle worker is 1000 worse than one whose CPU is
// fully used. FailurePenalty is multiplied by the failure score, SameRackPenalty and InterferencePenalty by the number of tasks
// concerned, and SameWorkerPenalty by the square of that number.
constexpr double FailurePenalty = 2000;
constexpr double FailedTaskPenalty = 3000;
constexpr double FarRackPenalty = 1500;
constexpr double SameRackPenalty = 60;
constexpr double SameWorkerPenalty = 250;
constexpr double LongRunningWorkerBonus = 400;
constexpr double LeavingPenalty = 2500;
constexpr double InterferencePenalty = 600;
// Exceeds any sum of the other penalties: 2000 failures, or 60 tasks of a step on one worker.
constexpr double ComesLastPenalty = 1e6;

std::uint32_t countOf(const std::map<std::string, std::uint32_t> &counts, const std::string &key)
{
    const auto found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
}

bool hasLabel(const WorkerFacts &facts, const std::string &label)
{
    return label.empty() || std::find(facts.labels.begin(), facts.labels.end(), label) != facts.labels.end();
}

double penaltyOf(const PlacementRequest &request, const PlacementCandidate &candidate)
{
    const WorkerSession &session = *candidate.session;
    const WorkerFacts &facts = session.facts();
    double penalty = FailurePenalty * session.failureScore();
    if (request.failedOn.count(facts.id) != 0) {
        penalty += FailedTaskPenalty;
    }
    if (!request.preferredRacks.empty() && request.preferredRacks.count(facts.rack) == 0) {
        penalty += FarRackPenalty;
    }
    if (request.longRunning) {
        penalty += SameRackPenalty * countOf(request.siblingsByRack, facts.rack) + SameWorkerPenalty * std::pow(countOf(request.siblingsByWorker, facts.id), 2);
        penalty += candidate.leaving ? LeavingPenalty : 0;
    }
    penalty += candidate.comesLast ? ComesLastPenalty : 0;
    // Workers with long-running tasks cannot be switched off, so they are filled first.
    penalty -= session.longRunningCount() > 0 ? LongRunningWorkerBonus : 0;
    if (request.bestEffort) {
        penalty += InterferencePenalty * session.servingCount();
    } else if (request.serving) {
        penalty += InterferencePenalty * session.bestEffortCount();
    }
    const double capacity = static_cast<double>(std::max<std::int64_t>(1, facts.capacity.cpu));
    const double used = 1000.0 * static_cast<double>(session.used().cpu) / capacity;
    return penalty + 1000.0 - used;
}

std::optional<CandidateRejection> rejectionWithin(const Resources &available, const PlacementRequest &request, const PlacementCandidate &candidate)
{
    const WorkerFacts &facts = candidate.session->facts();
    if (!request.demand.fitsInto(available)) {
        return CandidateRejection::NoCapacity;
    }
    if (!hasLabel(facts, request.requiredLabel)) {
        return CandidateRejection::LabelMissing;
    }
    if (!candidate.keptFor.empty() && candidate.keptFor != request.job) {
        return CandidateRejection::KeptForSuspect;
    }
    if (request.maxTasksPerWorker != 0 && countOf(request.siblingsByWorker, facts.id) >= request.maxTasksPerWorker) {
        return CandidateRejection::StepLimit;
    }
    return std::nullopt;
}

}

std::optional<CandidateRejection> rejectionOf(const PlacementRequest &request, const PlacementCandidate &candidate)
{
    return rejectionWithin(candidate.freeCapacityFor(request.job), request, candidate);
}

std::optional<CandidateRejection> rejectionOnceVacated(const PlacementRequest &request, const PlacementCandidate &candidate)
{
    Resources available = candidate.freeCapacityFor(request.job);
    for (const auto &[task, run] : candidate.session->runs()) {
        if (!run.longRunning) {
            available += run.demand;
        }
    }
    return rejectionWithin(available, request, candidate);
}

PlacementCandidate *choosePlacement(const PlacementRequest &request, std::vector<PlacementCandidate *> &candidates)
{
    PlacementCandidate *best = nullptr;
    double lowestPenalty = std::numeric_limits<double>::max();
    for (PlacementCandidate *candidate : candidates) {
        if (rejectionOf(request, *candidate)) {
            continue;
        }
        const double penalty = penaltyOf(request, *candidate);
        if (penalty < lowestPenalty) {
            lowestPenalty = penalty;
            best = candidate;
        }
    }
    return best;
}

}
