#include "scheduling/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Cornelquay {

namespace {

// Weights of what speaks against a worker, in thousandths of one worker's whole load.
constexpr double FailureWeight = 2000;
constexpr double FailedTaskWeight = 3000;
constexpr double FarWeight = 1500;
constexpr double SameRackWeight = 60;
constexpr double SameWorkerWeight = 250;
constexpr double BoundBonus = 400;
constexpr double LeavingWeight = 2500;
constexpr double DisturbanceWeight = 600;

std::uint32_t countOf(const std::map<std::string, std::uint32_t> &counts, const std::string &key)
{
    const auto found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
}

bool hasLabel(const WorkerFacts &facts, const std::string &label)
{
    return label.empty() || std::find(facts.labels.begin(), facts.labels.end(), label) != facts.labels.end();
}

double objections(const PlacementRequest &request, const PlacementCandidate &candidate)
{
    const WorkerSession &session = *candidate.session;
    const WorkerFacts &facts = session.facts();
    double sum = FailureWeight * session.failureScore();
    if (request.failedOn.count(facts.id) != 0) {
        sum += FailedTaskWeight;
    }
    if (!request.nearRacks.empty() && request.nearRacks.count(facts.rack) == 0) {
        sum += FarWeight;
    }
    if (request.lasting) {
        sum += SameRackWeight * countOf(request.siblingsByRack, facts.rack) + SameWorkerWeight * std::pow(countOf(request.siblingsByWorker, facts.id), 2);
        sum += candidate.leaving ? LeavingWeight : 0;
    }
    // Workers that cannot be switched off anyway are used first.
    sum -= session.lastingCount() > 0 ? BoundBonus : 0;
    if (request.fills) {
        sum += DisturbanceWeight * session.servingCount();
    } else if (request.serves) {
        sum += DisturbanceWeight * session.fillingCount();
    }
    const double capacity = static_cast<double>(std::max<std::int64_t>(1, facts.capacity.cpu));
    const double used = 1000.0 * static_cast<double>(session.used().cpu) / capacity;
    return sum + 1000.0 - used;
}

}

PlacementCandidate *choosePlacement(const PlacementRequest &request, std::vector<PlacementCandidate *> &candidates)
{
    PlacementCandidate *best = nullptr;
    double least = std::numeric_limits<double>::max();
    for (PlacementCandidate *candidate : candidates) {
        const WorkerFacts &facts = candidate->session->facts();
        if (!request.demand.fitsInto(candidate->session->room()) || !hasLabel(facts, request.requiredLabel) || (candidate->reserved && !request.lasting)) {
            continue;
        }
        if (request.perWorkerMax != 0 && countOf(request.siblingsByWorker, facts.id) >= request.perWorkerMax) {
            continue;
        }
        const double against = objections(request, *candidate);
        if (against < least) {
            least = against;
            best = candidate;
        }
    }
    return best;
}

}
