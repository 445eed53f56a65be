#include "details/schedulerimpl.h"

#include <algorithm>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// All speculative runs are examined at this interval. Shorter than the time that a copy needs to start, and long enough that 6,000 runs
// cost little.
constexpr auto CopyInterval = 100ms;
// A worker that a new owner has not heard of since its takeover is not taken for silent earlier than this.
constexpr auto TakeoverGracePeriod = 2000ms;

bool isExtraRun(const TaskCopies &copies, std::uint32_t run)
{
    return std::any_of(copies.extraRuns.begin(), copies.extraRuns.end(), [run](const ExtraRun &extra) {
        return extra.run == run;
    });
}

std::string describeProposal(const CopyProposal &proposal, const RunFacts &facts, const CopyBudget &budget)
{
    return std::string(CopyCauseNames.at(static_cast<std::size_t>(proposal.cause))) + ", age " + std::to_string(facts.age.count()) + " ms, "
        + std::to_string(facts.percent) + " %, reported " + std::to_string(facts.reportAge.count()) + " ms ago, needs "
        + std::to_string(remainingTime(facts).count()) + " ms more, expected of a new run " + std::to_string(facts.expected.count()) + " ms, copies use "
        + std::to_string(budget.copiesCpu) + " of " + std::to_string(budget.runningCpu) + " cpu";
}

}

void Scheduler::Impl::restoreRun(const JobEntry &entry, const TaskRef &ref, const ExtraRun &placed, bool extra, BootTime now)
{
    const Task *task = entry.job.findTask(ref);
    const bool isPlaced = task != nullptr && task->phase == TaskPhase::Placed;
    // Whether the run was started is known once the worker answers a request with a higher token.
    LiveRun run;
    run.run = placed.run;
    run.start = StartProgress::Unanswered;
    run.restored = true;
    run.speedPercent = -1;
    run.copy = extra && isPlaced;
    run.suspect = entry.job.isCrashSuspect(ref);
    run.hasCrashes = entry.job.findCrashes(ref) != nullptr;
    run.placedOrAcceptedAt = now;
    const bool disrupted = isDisrupted({entry.job.record().id, ref}, placed.run);
    const bool isWanted = entry.job.isOpen() && isPlaced && !disrupted;
    run.stop = isWanted ? StopProgress::NotWanted : StopProgress::Due;
    mayHaveDueStops = mayHaveDueStops || !isWanted;
    const WorkerIncarnation incarnation = entry.job.record().incarnationOf(placed.worker);
    WorkerFacts facts;
    facts.id = placed.worker;
    facts.address = incarnation.address;
    const auto [worker, added] = workers.try_emplace(placed.worker, facts, firstToken, times.lease);
    if (added) {
        const auto unreachable = predecessor.unreachable.find(placed.worker);
        worker->second.setRegistered(false);
        worker->second.assumeLease(now + (unreachable == predecessor.unreachable.end() ? predecessor.otherWorkers : unreachable->second));
    }
    worker->second.assumeIncarnation(incarnation.startTimeMs);
    if (disrupted) {
        cordoned.insert(placed.worker);
    }
    addRun(worker->second, {entry.job.record().id, ref}, entry, std::move(run));
}

void Scheduler::Impl::placeCopies(BootTime now)
{
    if (options.slowRuns != SlowRunMethod::Copies || speculativeRuns.empty() || now - lastCopiesAt < CopyInterval) {
        return;
    }
    lastCopiesAt = now;
    std::map<std::string, CopyBudget> budgets;
    const std::vector<RunFacts> runs = gatherCopyFacts(budgets, now);
    const std::vector<CopyProposal> proposals = proposeCopies(runs);
    if (proposals.empty()) {
        return;
    }
    completeBudgets(budgets);
    std::map<std::string, PoolCandidates> candidatesByPool;
    for (const CopyProposal &proposal : proposals) {
        CopyBudget &budget = budgets[proposal.pool];
        if (!budget.allows(proposal.demand)) {
            continue;
        }
        if (candidatesByPool.empty()) {
            candidatesByPool = gatherCandidates(now);
        }
        if (placeCopy(proposal, runs[proposal.run], budget, candidatesByPool[proposal.pool], now)) {
            budget.copiesCpu += proposal.demand.cpu;
        }
    }
}

std::vector<RunFacts> Scheduler::Impl::gatherCopyFacts(std::map<std::string, CopyBudget> &budgets, BootTime now) const
{
    // Expected run times of the steps of each job, computed once for all of its runs.
    std::unordered_map<const JobEntry *, std::vector<std::int64_t>> expected;
    std::vector<RunFacts> runs;
    for (const auto &[worker, task] : speculativeRuns) {
        const auto session = workers.find(worker);
        const auto entry = jobs.find(task.job);
        if (session == workers.end() || entry == jobs.end()) {
            continue;
        }
        const LiveRun &run = session->second.runs().at(task);
        const TaskCopies *copies = entry->second.job.findCopies(task.ref);
        if (copies != nullptr && isExtraRun(*copies, run.run)) {
            budgets[entry->second.job.record().terms.pool].copiesCpu += run.demand.cpu;
        } else if (mayGetCopy(entry->second, session->second, task, run)) {
            runs.push_back(factsOf(entry->second, session->second, task, run, now));
            const auto [known, added] = expected.try_emplace(&entry->second);
            if (added) {
                known->second = expectedRunMs(entry->second.job.record());
            }
            runs.back().expected = std::chrono::milliseconds(known->second[task.ref.step]);
        }
    }
    return runs;
}

bool Scheduler::Impl::mayGetCopy(const JobEntry &entry, const WorkerSession &session, const TaskName &task, const LiveRun &run) const
{
    const Task *state = entry.job.findTask(task.ref);
    const TaskCopies *copies = entry.job.findCopies(task.ref);
    const bool isOnlyRun = state != nullptr && state->phase == TaskPhase::Placed && state->run == run.run && (copies == nullptr || copies->extraRuns.empty());
    const bool maySurvive = run.start == StartProgress::Accepted || (run.start == StartProgress::Unanswered && !session.isReachable());
    return entry.job.isOpen() && isOnlyRun && maySurvive && run.stop == StopProgress::NotWanted && !entry.job.isCrashSuspect(task.ref);
}

RunFacts Scheduler::Impl::factsOf(const JobEntry &entry, const WorkerSession &session, const TaskName &task, const LiveRun &run, BootTime now) const
{
    const JobRecord &record = entry.job.record();
    RunFacts facts;
    facts.task = task;
    facts.pool = record.terms.pool;
    facts.demand = run.demand;
    facts.age = now - run.placedOrAcceptedAt;
    facts.percent = run.percent;
    facts.basePercent = run.observedFromStart ? 0 : std::max(0, run.firstPercent);
    facts.reportAge = std::clamp(now - session.listedAt(), 0ms, facts.age);
    facts.unchangedFor = session.listedAt() - run.percentChangedAt;
    if (!session.isReachable()) {
        const bool isUnheardOf = run.restored && run.start != StartProgress::Accepted;
        const BootTime heardOf = std::max(session.aliveUntil(), isUnheardOf ? run.placedOrAcceptedAt + TakeoverGracePeriod : BootTime{});
        facts.silence = std::max(0ms, now - heardOf);
        facts.leaseLeft = std::max(0ms, session.maxLeaseUntil() - now);
    }
    if (const TaskCopies *copies = entry.job.findCopies(task.ref)) {
        facts.copiesPlaced = copies->copiesPlaced;
        facts.restarts = copies->restarts;
    }
    facts.attemptsLeft = record.terms.attempts - std::min(record.terms.attempts, entry.job.findTask(task.ref)->failures);
    return facts;
}

void Scheduler::Impl::completeBudgets(std::map<std::string, CopyBudget> &budgets) const
{
    for (const auto &[id, session] : workers) {
        budgets[session.facts().pool].runningCpu += session.used().cpu;
    }
    // A placement pass has just left this mark at each job of which a task waits.
    for (const auto &[id, entry] : jobs) {
        if (entry.mayHaveReady && entry.job.isOpen()) {
            budgets[entry.job.record().terms.pool].anyTaskWaits = true;
        }
    }
}

bool Scheduler::Impl::placeCopy(const CopyProposal &proposal, const RunFacts &facts, const CopyBudget &budget, PoolCandidates &candidates, BootTime now)
{
    JobEntry &entry = *findEntry(proposal.task.job);
    const TaskRef &ref = proposal.task.ref;
    const auto queue = policy->queues.find(entry.job.record().queue);
    const StepAdvice *permissions = nullptr;
    if (queue != policy->queues.end() && queue->second.advice) {
        // Only permissions that the step's tasks have got before are used, since the service is slow.
        const auto known = advice.find({entry.job.record().id, {ref.occurrence, ref.step}});
        if (known == advice.end()) {
            return false;
        }
        permissions = &known->second;
    }
    PlacementCandidate *chosen = isWithinCap(entry, proposal.demand) ? chooseForCopy(entry, ref, candidates, permissions, now) : nullptr;
    if (chosen == nullptr) {
        return false;
    }
    const WorkerId worker = chosen->session->facts().id;
    const std::string ticket = permissions == nullptr ? std::string() : permissions->usableTicket(worker, now)->text;
    const std::uint32_t run = entry.job.placeCopy(ref, worker);
    commitPlacement(entry, ref, run, *chosen, ticket, now);
    chosen->session->runs().at(proposal.task).copy = true;
    emitEvent("copy-placed", proposal.task, run, worker, describeProposal(proposal, facts, budget));
    return true;
}

PlacementCandidate *
Scheduler::Impl::chooseForCopy(const JobEntry &entry, const TaskRef &ref, const PoolCandidates &candidates, const StepAdvice *permissions, BootTime now) const
{
    PlacementRequest request = makeRequest(entry, *entry.job.findOccurrence(ref.occurrence), ref.step);
    const auto failedOn = entry.failedOn.find(ref);
    request.failedOn = failedOn == entry.failedOn.end() ? std::set<WorkerId>{} : failedOn->second;
    const WorkerId &first = entry.job.findTask(ref)->worker;
    const auto firstSession = workers.find(first);
    const std::string rack = firstSession == workers.end() ? std::string() : firstSession->second.facts().rack;
    std::vector<PlacementCandidate *> otherRacks;
    std::vector<PlacementCandidate *> sameRack;
    for (PlacementCandidate *candidate : candidates.open) {
        const WorkerFacts &facts = candidate->session->facts();
        const bool isPermitted = permissions == nullptr || permissions->usableTicket(facts.id, now) != nullptr;
        if (facts.id != first && isPermitted && candidate->session->runs().count({request.job, ref}) == 0) {
            (facts.rack == rack ? sameRack : otherRacks).push_back(candidate);
        }
    }
    PlacementCandidate *chosen = choosePlacement(request, otherRacks);
    return chosen == nullptr ? choosePlacement(request, sameRack) : chosen;
}

void Scheduler::Impl::countExtraRuns(const JobEntry &entry, const TaskRef &ref, PlacementRequest &request) const
{
    for (const TaskCopies &copies : entry.job.record().copies) {
        if (copies.task.occurrence != ref.occurrence || copies.task.step != ref.step) {
            continue;
        }
        for (const ExtraRun &extra : copies.extraRuns) {
            const auto worker = workers.find(extra.worker);
            ++request.siblingsByWorker[extra.worker];
            request.siblingsByRack[worker == workers.end() ? std::string() : worker->second.facts().rack] += 1;
        }
    }
}

// A run whose start order was not sent is given up by releaseStarts().
void Scheduler::Impl::stopExtraRuns(const JobEntry &entry, const TaskRef &ref, std::string_view reason)
{
    const TaskCopies *copies = entry.job.findCopies(ref);
    if (copies == nullptr) {
        return;
    }
    const TaskName task{entry.job.record().id, ref};
    for (const ExtraRun &extra : copies->extraRuns) {
        const auto worker = workers.find(extra.worker);
        if (worker == workers.end()) {
            continue;
        }
        const auto live = worker->second.runs().find(task);
        if (live != worker->second.runs().end() && live->second.run == extra.run && live->second.stop == StopProgress::NotWanted) {
            requestStop(worker->second, task, reason);
            // Until the end of the task is stored, a successor may need this run.
            live->second.stopBatch = durableBatch();
        }
    }
}

bool Scheduler::Impl::beginRestart(JobEntry &entry, const WorkerSession &session, const TaskName &task, LiveRun &run, BootTime now)
{
    if (options.slowRuns != SlowRunMethod::Copies) {
        return true;
    }
    if (entry.job.findTask(task.ref) == nullptr || !isRestartDue(factsOf(entry, session, task, run, now), entry.job.step(task.ref).allowsCopies())) {
        return false;
    }
    entry.job.countRestart(task.ref);
    markDirty(entry);
    // The bound on restarts holds across owners only if each is stored before it happens.
    run.stopBatch = durableBatch();
    return true;
}

// The acknowledgement of such an end waits until the other start order was answered or cannot take effect any more, since no run of the
// task may start later than 1 s after it.
void Scheduler::Impl::acknowledgeEnds(WorkerSession &session, const std::vector<ListedEnd> &ended, BootTime now)
{
    const auto held = std::find_if(ended.begin(), ended.end(), [&](const ListedEnd &end) {
        return mayOtherRunStart(end);
    });
    if (held != ended.begin()) {
        session.deferAcknowledgement(std::prev(held)->number, durableBatch(), now);
    }
    if (held != ended.end()) {
        session.holdEnds(now);
    }
    session.handleBatchStored(storedBatch, now);
}

// Whether the end may be the last one of a task, and a start order of another run of the task is on its way.
bool Scheduler::Impl::mayOtherRunStart(const ListedEnd &end)
{
    const JobEntry *entry = findEntry(end.task.job);
    const TaskCopies *copies = entry == nullptr ? nullptr : entry->job.findCopies(end.task.ref);
    if (copies == nullptr || copies->copiesPlaced == 0 || (end.runEnd != RunEnd::Done && end.runEnd != RunEnd::Failed)) {
        return false;
    }
    std::vector<ExtraRun> runs = copies->extraRuns;
    if (const Task *task = entry->job.findTask(end.task.ref)) {
        runs.push_back({task->run, task->worker});
    }
    return std::any_of(runs.begin(), runs.end(), [&](const ExtraRun &other) {
        const auto worker = workers.find(other.worker);
        if (worker == workers.end() || other.run == end.run) {
            return false;
        }
        const auto live = worker->second.runs().find(end.task);
        return live != worker->second.runs().end() && live->second.run == other.run
            && (live->second.start == StartProgress::InFlight || live->second.start == StartProgress::Unanswered);
    });
}

RunUse Scheduler::Impl::useOf(const WorkerSession &session, const LiveRun &run)
{
    const std::chrono::milliseconds age = std::max(0ms, session.aliveUntil() - run.placedOrAcceptedAt);
    return {run.copy, run.mayHaveStarted() ? static_cast<std::uint64_t>(age.count() * run.demand.cpu / 1000) : 0};
}

void Scheduler::Impl::countCopyEnd(const RunUse &use, EndOutcome outcome)
{
    const bool isWasted = outcome == EndOutcome::ExtraRunEnded || (use.copy && outcome == EndOutcome::OtherRunContinues);
    copyCounts.won += use.copy && outcome == EndOutcome::TaskFinished ? 1 : 0;
    copyCounts.wastedCoreMs += isWasted ? use.coreMs : 0;
}

}
