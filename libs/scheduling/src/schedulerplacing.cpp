#include "details/schedulerimpl.h"

#include <algorithm>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// The reasons against all workers of a pool are gathered this often for each long-running task without a worker.
constexpr auto UnplacedCheckInterval = 500ms;

bool anyFitsInto(const std::vector<Resources> &refused, const Resources &demand)
{
    return std::any_of(refused.begin(), refused.end(), [&](const Resources &smaller) {
        return smaller.fitsInto(demand);
    });
}

}

JobUrgency Scheduler::Impl::urgencyOf(const JobEntry &entry, BootTime now) const
{
    JobUrgency urgency;
    urgency.longRunning = entry.longRunning;
    urgency.overAgreedRate = entry.overAgreedRate;
    urgency.priority = entry.job.record().terms.priority;
    urgency.late = isLate(entry.estimate, now);
    urgency.density = valueDensity(entry.estimate);
    urgency.receivedAt = entry.estimate.receivedAt;
    // The estimate of a recurring job counts from its submission, so it tells nothing about a later occurrence.
    const bool mayBeWorthless = options.admission == AdmissionMethod::Predicted && entry.job.record().spec.recurrence.count == 0;
    urgency.worthless = mayBeWorthless && isWorthless(entry.estimate, now);
    return urgency;
}

std::optional<CandidateRejection> Scheduler::Impl::reasonAgainstCandidate(const WorkerId &worker, const WorkerSession &session, BootTime now) const
{
    const std::optional<CandidateRejection> reason = session.reasonAgainstWork(now);
    return !reason && cordoned.count(worker) != 0 ? CandidateRejection::Cordoned : reason;
}

std::map<std::string, PoolCandidates> Scheduler::Impl::gatherCandidates(BootTime now)
{
    std::map<std::string, PoolCandidates> candidatesByPool;
    for (auto &[id, session] : workers) {
        if (!reasonAgainstCandidate(id, session, now)) {
            const JobId *keptFor = isolation.jobOf(id);
            PlacementCandidate candidate{&session, leaving.count(id) != 0, keptFor == nullptr ? JobId() : *keptFor};
            applyEvacuation(candidate, now);
            candidatesByPool[session.facts().pool].all.push_back(std::move(candidate));
        }
    }
    for (auto &[pool, candidates] : candidatesByPool) {
        for (PlacementCandidate &candidate : candidates.all) {
            candidates.open.push_back(&candidate);
        }
    }
    return candidatesByPool;
}

void Scheduler::Impl::placeWaitingJobs(BootTime now)
{
    lastPlacementAt = now;
    placementNeeded = false;
    releaseIsolation(now);
    backlog.clear();
    labelledBacklog.clear();
    accountShares.clear();
    beginForecasts(now);
    std::vector<WaitingJob> waiting;
    for (JobEntry *entry : jobs.open()) {
        if (entry->mayHaveReady) {
            waiting.emplace_back(urgencyOf(*entry, now), entry);
        }
    }
    waitingJobCount = static_cast<std::int64_t>(waiting.size());
    ++placementPasses;
    if (waiting.empty()) {
        forgetPlaced(now);
        return;
    }
    std::sort(waiting.begin(), waiting.end(), [](const auto &left, const auto &right) {
        return left.first < right.first;
    });
    std::map<std::string, PoolCandidates> candidatesByPool = gatherCandidates(now);
    if (options.accountOrder == AccountOrder::Weighted) {
        placeByShares(waiting, candidatesByPool, now);
    } else {
        for (const auto &[urgency, entry] : waiting) {
            placeJob(*entry, candidatesByPool[entry->job.record().terms.pool], now);
        }
    }
    for (const auto &[urgency, entry] : waiting) {
        addToForecast(urgency, *entry, now);
    }
    forgetPlaced(now);
}

void Scheduler::Impl::noteUnplaced(const TaskName &task, const std::string &pool, const PlacementRequest &request, BootTime now)
{
    const auto [found, isNew] = unplacedLongRunning.try_emplace(task);
    UnplacedTask &unplaced = found->second;
    unplaced.since = isNew ? now : unplaced.since;
    unplaced.pass = placementPasses;
    if (!isNew && now - unplaced.checkedAt < UnplacedCheckInterval) {
        return;
    }
    unplaced.checkedAt = now;
    unplaced.pool = pool;
    unplaced.fitsCordoned = false;
    std::map<CandidateRejection, std::size_t> counts;
    for (auto &[id, session] : workers) {
        if (session.facts().pool != pool) {
            continue;
        }
        const JobId *keptFor = isolation.jobOf(id);
        const std::optional<CandidateRejection> inGeneral = reasonAgainstCandidate(id, session, now);
        const std::optional<CandidateRejection> forTask = rejectionOf(request, {&session, false, keptFor == nullptr ? JobId() : *keptFor});
        const std::optional<CandidateRejection> reason = inGeneral ? inGeneral : forTask;
        unplaced.fitsCordoned = unplaced.fitsCordoned || (inGeneral == CandidateRejection::Cordoned && !forTask);
        ++counts[reason.value_or(CandidateRejection::NotPermitted)];
    }
    std::string reasons;
    for (const auto &[reason, count] : counts) {
        reasons += (reasons.empty() ? "" : ", ") + std::string(toName(reason)) + " " + std::to_string(count);
    }
    if (reasons != unplaced.reasons || isNew) {
        unplaced.reasons = std::move(reasons);
        emitEvent("task-unplaced", task, 0, {}, std::to_string((now - unplaced.since).count()) + " ms, workers: " + unplaced.reasons);
    }
}

std::map<std::string, std::chrono::milliseconds> Scheduler::displacedTasks(BootTime now) const
{
    std::map<std::string, std::chrono::milliseconds> waits;
    for (const auto &[task, unplaced] : m_impl->unplacedLongRunning) {
        if (unplaced.fitsCordoned) {
            std::chrono::milliseconds &wait = waits[unplaced.pool];
            wait = std::max(wait, std::chrono::duration_cast<std::chrono::milliseconds>(now - unplaced.since));
        }
    }
    return waits;
}

void Scheduler::Impl::forgetPlaced(BootTime now)
{
    std::erase_if(unplacedLongRunning, [&](const auto &item) {
        if (item.second.pass == placementPasses) {
            return false;
        }
        emitEvent("task-unplaced-over", item.first, 0, {}, std::to_string((now - item.second.since).count()) + " ms");
        return true;
    });
}

void Scheduler::Impl::placeJob(JobEntry &entry, PoolCandidates &candidates, BootTime now)
{
    entry.mayHaveReady = false;
    const std::vector<Occurrence> &occurrences = entry.job.record().occurrences;
    for (const Occurrence &occurrence : occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            if (entry.job.mayStart(occurrence, step)) {
                placeStep(entry, occurrence, step, candidates, now);
            }
        }
    }
}

PlacementRequest Scheduler::Impl::makeRequest(const JobEntry &entry, const Occurrence &occurrence, std::uint32_t step) const
{
    const StepSpec &spec = entry.job.record().spec.steps[step];
    PlacementRequest request;
    request.job = entry.job.record().id;
    request.demand = spec.demand;
    if (spec.bestEffort) {
        request.demand.cpu = 0;
    }
    request.requiredLabel = spec.requiredLabel;
    request.longRunning = spec.longRunning;
    request.bestEffort = spec.bestEffort;
    request.serving = spec.tailLatencyTargetMs > 0;
    request.maxTasksPerWorker = spec.maxTasksPerWorker;
    if (!spec.dataRack.empty()) {
        request.preferredRacks.insert(spec.dataRack);
    }
    for (const Task &task : occurrence.steps[step]) {
        const auto worker = workers.find(task.worker);
        if (task.phase != TaskPhase::Placed || worker == workers.end()) {
            continue;
        }
        ++request.siblingsByWorker[task.worker];
        ++request.siblingsByRack[worker->second.facts().rack];
        if (spec.sameRack && request.preferredRacks.empty()) {
            request.preferredRacks.insert(worker->second.facts().rack);
        }
    }
    countExtraRuns(entry, {occurrence.number, step, 0}, request);
    return request;
}

bool Scheduler::Impl::isWithinCap(const JobEntry &entry, const Resources &demand) const
{
    const auto account = policy->accounts.find(entry.job.record().account);
    if (account == policy->accounts.end()) {
        return true;
    }
    const auto used = accountUsed.find(account->first);
    const Resources sum = (used == accountUsed.end() ? Resources{} : used->second) + demand;
    const Resources &cap = account->second.cap;
    return (cap.cpu == 0 || sum.cpu <= cap.cpu) && (cap.memory == 0 || sum.memory <= cap.memory) && (cap.gpu == 0 || sum.gpu <= cap.gpu);
}

PlacementCandidate *Scheduler::Impl::chooseCandidate(const PlacementRequest &request, PoolCandidates &candidates, const StepAdvice *permissions, BootTime now)
{
    if (permissions == nullptr) {
        return choosePlacement(request, candidates.open);
    }
    std::vector<PlacementCandidate *> permitted;
    for (PlacementCandidate *candidate : candidates.open) {
        if (permissions->usableTicket(candidate->session->facts().id, now) != nullptr) {
            permitted.push_back(candidate);
        }
    }
    return choosePlacement(request, permitted);
}

void Scheduler::Impl::placeStep(JobEntry &entry, const Occurrence &occurrence, std::uint32_t step, PoolCandidates &candidates, BootTime now)
{
    const std::vector<Task> &tasks = occurrence.steps[step];
    const bool anyWaiting = std::any_of(tasks.begin(), tasks.end(), [](const Task &task) {
        return task.phase == TaskPhase::Waiting;
    });
    if (!anyWaiting) {
        return;
    }
    StepAdvice *permissions = adviceFor(entry, occurrence, step, candidates, now);
    PlacementRequest request = makeRequest(entry, occurrence, step);
    const StepSpec &spec = entry.job.record().spec.steps[step];
    if (spec.gang) {
        placeGang(entry, occurrence, step, std::move(request), candidates, now);
        return;
    }
    // A task that does not fit rules out larger tasks of the pool only if free capacity was the sole condition.
    const bool unconstrained = request.requiredLabel.empty() && request.maxTasksPerWorker == 0 && permissions == nullptr && !request.longRunning;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        if (tasks[index].phase != TaskPhase::Waiting) {
            continue;
        }
        if (candidates.turn != nullptr && !candidates.turn->admits(request.demand)) {
            entry.mayHaveReady = true;
            break;
        }
        const TaskRef ref{occurrence.number, step, index};
        const auto failedOn = entry.failedOn.find(ref);
        request.failedOn = failedOn == entry.failedOn.end() ? std::set<WorkerId>{} : failedOn->second;
        const bool mayUseMore = isWithinCap(entry, spec.demand);
        PlacementCandidate *chosen = mayUseMore ? chooseForTask(entry, ref, request, candidates, permissions, now, unconstrained) : nullptr;
        noteDecision({entry, step, request, candidates, permissions, chosen, mayUseMore}, now);
        if (chosen == nullptr) {
            entry.mayHaveReady = true;
            if (spec.longRunning && mayUseMore) {
                noteUnplaced({entry.job.record().id, ref}, entry.job.record().terms.pool, request, now);
            }
            if (isDemand(entry, now)) {
                addToBacklog(entry, request, 1);
            }
            continue;
        }
        const WorkerFacts &facts = chosen->session->facts();
        const std::string ticket = permissions == nullptr ? std::string() : permissions->tickets[facts.id].text;
        const std::uint32_t run = entry.job.place(ref, facts.id);
        commitPlacement(entry, ref, run, *chosen, ticket, now);
        ++request.siblingsByWorker[facts.id];
        ++request.siblingsByRack[facts.rack];
        if (spec.sameRack && request.preferredRacks.empty()) {
            request.preferredRacks.insert(facts.rack);
        }
    }
}

PlacementCandidate *Scheduler::Impl::chooseForTask(JobEntry &entry,
                                                   const TaskRef &ref,
                                                   const PlacementRequest &request,
                                                   PoolCandidates &candidates,
                                                   const StepAdvice *permissions,
                                                   BootTime now,
                                                   bool unconstrained)
{
    if (entry.job.isCrashSuspect(ref)) {
        if (PlacementCandidate *isolated = chooseIsolated(entry, request, candidates, permissions, now)) {
            entry.isolationDeadline.reset();
            return isolated;
        }
        return hasWaitedForIsolation(entry, now) ? chooseAmongEstablished(entry, request, candidates, permissions, now) : nullptr;
    }
    const bool knownNotToFit = unconstrained && anyFitsInto(candidates.unplacedDemands, request.demand);
    PlacementCandidate *chosen = knownNotToFit ? nullptr : chooseCandidate(request, candidates, permissions, now);
    if (chosen == nullptr && unconstrained) {
        if (!knownNotToFit) {
            candidates.unplacedDemands.push_back(request.demand);
        }
        if (candidates.turn != nullptr) {
            candidates.turn->noteUnplaced(request.demand);
        }
    }
    return chosen;
}

void Scheduler::Impl::addToBacklog(const JobEntry &entry, const PlacementRequest &request, std::uint32_t count)
{
    const std::string &pool = entry.job.record().terms.pool;
    backlog[pool] += request.demand * count;
    if (!request.requiredLabel.empty()) {
        labelledBacklog[pool][request.requiredLabel] += request.demand * count;
    }
}

// Places all members of a gang or none; each member takes into account the capacity used by those before it.
void Scheduler::Impl::placeGang(
    JobEntry &entry, const Occurrence &occurrence, std::uint32_t step, PlacementRequest request, PoolCandidates &candidates, BootTime now)
{
    const std::vector<Task> &tasks = occurrence.steps[step];
    const bool allWaiting = std::all_of(tasks.begin(), tasks.end(), [](const Task &task) {
        return task.phase == TaskPhase::Waiting;
    });
    const StepSpec &spec = entry.job.record().spec.steps[step];
    const auto count = static_cast<std::uint32_t>(tasks.size());
    if (!allWaiting) {
        return;
    }
    entry.mayHaveReady = true;
    if (!isWithinCap(entry, spec.demand * count)) {
        noteReason(entry, step, PlacementOutcome::AccountAtCap);
        return;
    }
    if (candidates.turn != nullptr && !candidates.turn->admits(request.demand * count)) {
        return;
    }
    const bool hasWaited = entry.isolationDeadline && now >= *entry.isolationDeadline;
    const bool isSuspect = !hasWaited && std::any_of(tasks.begin(), tasks.end(), [&](const Task &task) {
        return entry.job.isCrashSuspect({occurrence.number, step, static_cast<std::uint32_t>(&task - tasks.data())});
    });
    // Temporary runs reserve the capacity of the members placed so far; they are removed below.
    std::vector<PlacementCandidate *> chosen;
    for (std::uint32_t index = 0; index < count; ++index) {
        PlacementCandidate *candidate = isSuspect ? chooseIsolated(entry, request, candidates, nullptr, now) : choosePlacement(request, candidates.open);
        noteDecision({entry, step, request, candidates, nullptr, candidate}, now);
        if (candidate == nullptr) {
            break;
        }
        chosen.push_back(candidate);
        LiveRun reservation;
        reservation.demand = request.demand;
        candidate->session->addRun({entry.job.record().id, {occurrence.number, step, index}}, reservation);
        ++request.siblingsByWorker[candidate->session->facts().id];
        if (spec.sameRack && request.preferredRacks.empty()) {
            request.preferredRacks.insert(candidate->session->facts().rack);
        }
    }
    for (std::uint32_t index = 0; index < chosen.size(); ++index) {
        chosen[index]->session->removeRun({entry.job.record().id, {occurrence.number, step, index}});
    }
    if (chosen.size() < count && isSuspect) {
        hasWaitedForIsolation(entry, now);
    }
    if (chosen.size() < count) {
        noteReason(entry, step, PlacementOutcome::GangDoesNotFit);
        addToBacklog(entry, request, count);
        return;
    }
    entry.isolationDeadline.reset();
    std::vector<WorkerId> ids;
    ids.reserve(chosen.size());
    for (const PlacementCandidate *candidate : chosen) {
        ids.push_back(candidate->session->facts().id);
    }
    const std::uint32_t run = entry.job.placeGang(occurrence.number, step, ids);
    for (std::uint32_t index = 0; index < count; ++index) {
        commitPlacement(entry, {occurrence.number, step, index}, run, *chosen[index], {}, now);
    }
    entry.mayHaveReady = false;
}

void Scheduler::Impl::commitPlacement(
    JobEntry &entry, const TaskRef &ref, std::uint32_t run, PlacementCandidate &candidate, const std::string &ticket, BootTime now)
{
    const bool readyLeft = entry.mayHaveReady;
    markDirty(entry);
    entry.mayHaveReady = readyLeft;
    LiveRun live;
    live.run = run;
    live.batch = nextBatch;
    live.placedOrAcceptedAt = now;
    live.ticket = ticket;
    live.suspect = entry.job.isCrashSuspect(ref);
    live.hasCrashes = live.suspect || entry.job.findCrashes(ref) != nullptr;
    const WorkerFacts &facts = candidate.session->facts();
    entry.job.noteWorker({facts.id, facts.address, candidate.session->startTimeMs()});
    const TaskName task{entry.job.record().id, ref};
    addRun(*candidate.session, task, entry, std::move(live));
    ++placements;
    batchStarts[nextBatch].emplace_back(candidate.session->facts().id, task);
    emitEvent("task-placed", task, run, candidate.session->facts().id, candidate.session->facts().pool);
}

}
