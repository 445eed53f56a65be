#include "details/schedulerimpl.h"

#include <algorithm>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

constexpr auto MoveInterval = 200ms;
// Each search for a target looks at all workers of a pool, so their number is limited; the next decision continues with other
// workers. A zone with 1,000 long-running tasks of different steps is left in 13 s.
constexpr std::size_t MaxSearchesPerDecision = 16;

}

void Scheduler::awaitEvacuationView(BootTime ownerSince)
{
    m_impl->viewAwaitedSince = ownerSince;
}

void Scheduler::setEvacuation(const ZoneEvacuation &evacuation)
{
    const bool changed = evacuation.zones() != m_impl->evacuation.zones();
    m_impl->evacuation = evacuation;
    if (!changed) {
        return;
    }
    for (auto &[id, session] : m_impl->workers) {
        session.setEvacuated(evacuation.isEvacuated(session.facts().zone));
    }
    m_impl->placementNeeded = true;
}

const ZoneEvacuation &Scheduler::evacuation() const
{
    return m_impl->evacuation;
}

bool Scheduler::Impl::mayPlace(BootTime now) const
{
    return !viewAwaitedSince || evacuation.isUsable(*viewAwaitedSince, now);
}

bool Scheduler::mayPlace(BootTime now) const
{
    return m_impl->mayPlace(now);
}

bool Scheduler::mayStartOn(const WorkerId &worker) const
{
    const auto found = m_impl->workers.find(worker);
    return found != m_impl->workers.end() && !found->second.isEvacuated();
}

ZoneCounts Scheduler::zoneCounts(const std::string &zone) const
{
    ZoneCounts counts;
    for (const auto &[id, session] : m_impl->workers) {
        if (session.facts().zone == zone) {
            ++counts.workers;
            counts.runs += session.runs().size();
            counts.longRunningRuns += static_cast<std::size_t>(session.longRunningCount());
        }
    }
    return counts;
}

EvacuationCounts Scheduler::evacuationCounts() const
{
    return {m_impl->startsGivenUp, m_impl->evacuationMoves.begunCount()};
}

void Scheduler::Impl::applyEvacuation(PlacementCandidate &candidate, BootTime now) const
{
    const WorkerFacts &facts = candidate.session->facts();
    if (evacuation.hasReturnedZones()) {
        candidate.comesLast = evacuation.comesLast(facts.zone, candidate.session->isCold(now), now);
    }
    if (const MoveReservation *reservation = evacuationMoves.isEmpty() ? nullptr : evacuationMoves.reservationOn(facts.id, now)) {
        candidate.reserved = reservation->demand;
        candidate.reservedFor = reservation->task.job;
    }
}

bool Scheduler::Impl::isOnItsWay(const TaskName &task)
{
    const JobEntry *entry = findEntry(task.job);
    const Task *state = entry == nullptr || !entry->job.isOpen() ? nullptr : entry->job.findTask(task.ref);
    if (state == nullptr || state->phase != TaskPhase::Placed) {
        return state != nullptr && state->phase == TaskPhase::Waiting;
    }
    const auto session = workers.find(state->worker);
    if (session == workers.end() || !session->second.isEvacuated()) {
        return false;
    }
    const auto run = session->second.runs().find(task);
    return run != session->second.runs().end() && run->second.stop != StopProgress::NotWanted;
}

bool Scheduler::Impl::mayMove(const TaskName &task, const LiveRun &run)
{
    const JobEntry *entry = findEntry(task.job);
    const bool isRunning = run.longRunning && run.start == StartProgress::Accepted && run.stop == StopProgress::NotWanted;
    // The stop of one member of a gang would end the others, which run in other zones.
    return isRunning && entry != nullptr && entry->job.isOpen() && !entry->job.step(task.ref).gang && evacuationMoves.mayBegin(task)
        && isWithinDisruptionBudget(task);
}

PlacementCandidate *Scheduler::Impl::chooseMoveTarget(const TaskName &task, PoolCandidates &candidates)
{
    JobEntry &entry = *findEntry(task.job);
    PlacementRequest request = makeRequest(entry, *entry.job.findOccurrence(task.ref.occurrence), task.ref.step);
    std::vector<PlacementCandidate *> targets;
    for (PlacementCandidate *candidate : candidates.open) {
        const bool isReserved = !candidate->reservedFor.empty();
        if (!isReserved && !candidate->leaving && !candidate->comesLast && candidate->keptFor.empty()) {
            targets.push_back(candidate);
        }
    }
    return choosePlacement(request, targets);
}

std::vector<WorkerSession *> Scheduler::Impl::workersToLeave()
{
    std::vector<WorkerSession *> found;
    for (auto &[id, session] : workers) {
        if (session.isEvacuated() && session.longRunningCount() > 0 && session.isReachable()) {
            found.push_back(&session);
        }
    }
    const auto next = std::find_if(found.begin(), found.end(), [this](const WorkerSession *session) {
        return session->facts().id > lastLeftWorker;
    });
    std::rotate(found.begin(), next, found.end());
    return found;
}

void Scheduler::Impl::moveTask(WorkerSession &session, const TaskName &task, std::map<std::string, PoolCandidates> &candidatesByPool, BootTime now)
{
    if (candidatesByPool.empty()) {
        candidatesByPool = gatherCandidates(now);
    }
    PlacementCandidate *target = chooseMoveTarget(task, candidatesByPool[findEntry(task.job)->job.record().terms.pool]);
    if (target == nullptr) {
        return;
    }
    target->reserved = session.runs().at(task).demand;
    target->reservedFor = task.job;
    evacuationMoves.begin(task, target->session->facts().id, target->reserved, now);
    requestDisruption(session, task, "zone evacuated", now);
}

void Scheduler::Impl::moveFromEvacuatedZones(BootTime now)
{
    const bool idle = evacuation.zones().empty() && evacuationMoves.isEmpty();
    if (idle || now - lastMovesAt < MoveInterval) {
        return;
    }
    lastMovesAt = now;
    evacuationMoves.retain([&](const TaskName &task) {
        return isOnItsWay(task);
    });
    std::map<std::string, PoolCandidates> candidatesByPool;
    // The tasks of a step need the same and share a budget, so one that cannot move stands for the others.
    std::set<std::tuple<JobId, std::uint32_t, std::uint32_t>> examinedSteps;
    std::size_t searches = 0;
    for (WorkerSession *session : workersToLeave()) {
        for (const auto &[task, run] : session->runs()) {
            const bool isExamined = !run.longRunning || !examinedSteps.insert({task.job, task.ref.occurrence, task.ref.step}).second;
            if (isExamined || searches == MaxSearchesPerDecision || !mayMove(task, run)) {
                continue;
            }
            ++searches;
            moveTask(*session, task, candidatesByPool, now);
        }
        if (searches == MaxSearchesPerDecision) {
            lastLeftWorker = session->facts().id;
            break;
        }
    }
}

}
