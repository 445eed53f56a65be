#include "details/schedulerimpl.h"

#include <algorithm>
#include <utility>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// Once a lease is over, for how long it still matters whether its worker crashed. Longer than workers take to restart.
constexpr auto SilentLossMemory = 10s;
// A suspect that found no worker of its own for this time runs beside others that have been running for some time. Long-running
// tasks must not be missing for long.
constexpr auto MaxIsolationWait = 4s;
constexpr auto MaxIsolationWaitOfLongRunning = 2s;
// Limits the length of a log line.
constexpr std::size_t MaxNamedRuns = 20;

std::string describeRuns(const std::map<TaskName, LiveRun> &runs, BootTime crashedAt)
{
    std::string text;
    std::size_t named = 0;
    for (const auto &[task, run] : runs) {
        if (!run.mayHaveStarted()) {
            continue;
        }
        if (++named > MaxNamedRuns) {
            continue;
        }
        const std::int64_t ageMs = std::max<std::int64_t>(0, (crashedAt - run.placedOrAcceptedAt).count());
        text += (text.empty() ? "" : " ") + task.job + "/" + std::to_string(task.ref.occurrence) + "/" + std::to_string(task.ref.step) + "/"
            + std::to_string(task.ref.index) + ":" + std::to_string(ageMs);
    }
    return std::to_string(named) + " runs, with their age in ms: " + text;
}

}

bool Scheduler::Impl::isEndExpected(const WorkerSession &session) const
{
    // A cordoned worker is about to be moved or maintained, and may end before the control plane has answered the order.
    return session.isEndExpected() || cordoned.count(session.facts().id) != 0;
}

std::size_t Scheduler::Impl::countRegisteredInRack(const std::string &rack) const
{
    return static_cast<std::size_t>(std::count_if(workers.begin(), workers.end(), [&](const auto &item) {
        return item.second.facts().rack == rack && item.second.isRegistered();
    }));
}

void Scheduler::Impl::markUnreachable(WorkerSession &session, BootTime now, std::optional<BootTime> silentSince)
{
    const bool wasReachable = session.isReachable();
    session.markUnreachable(now, silentSince);
    if (wasReachable && silences && !isEndExpected(session) && !session.facts().address.empty()) {
        silences->note(session.facts(), session.runs(), session.aliveUntil(), countRegisteredInRack(session.facts().rack));
    }
}

void Scheduler::Impl::handleWorkerEnd(
    const WorkerSession &session, const std::map<TaskName, LiveRun> &runs, std::string_view sign, BootTime now, std::int64_t wallMs)
{
    const WorkerId worker = session.facts().id;
    const SilentLoss former = std::exchange(silentLosses[worker], {});
    silentLosses.erase(worker);
    const bool isExpected = isEndExpected(session);
    if (runs.empty() && former.evidence.empty()) {
        // Workers without runs are not asked, so nothing is known of when this one fell silent.
        if (silences && !isExpected) {
            silences->noteIdleEnd(now);
        }
        return;
    }
    const std::string silence = std::to_string((now - session.aliveUntil()).count());
    const bool isRackFailure = silences && silences->isRackFailure(worker, session.aliveUntil());
    emitEvent(isExpected ? "worker-left" : "worker-crashed",
              {},
              0,
              worker,
              std::string(sign) + ", silent for " + silence + " ms" + (isRackFailure ? " with others of its rack" : "") + ", "
                  + describeRuns(runs, session.aliveUntil()) + ", lost before: " + std::to_string(former.evidence.size()));
    std::map<TaskName, CrashEvidence> evidence = attributeCrash(runs, session.aliveUntil(), silences && silences->isQuietAt(session.aliveUntil()));
    evidence.insert(former.evidence.begin(), former.evidence.end());
    for (const auto &[task, runEvidence] : evidence) {
        if (former.evidence.count(task) != 0 && runEvidence.moment != CrashMoment::Later) {
            explainLoss(task, worker);
        }
        // The failure of a rack says nothing about the tasks that ran there. What was suspected before may have crashed its worker all the same.
        const JobEntry *entry = findEntry(task.job);
        const bool isSuspect = entry != nullptr && entry->job.isCrashSuspect(task.ref);
        if (!isExpected && (!isRackFailure || isSuspect)) {
            countCrash(worker, task, runEvidence, static_cast<std::uint32_t>(evidence.size() - 1), now, wallMs);
        }
    }
}

void Scheduler::noteWorkerReplaced(const WorkerId &worker, BootTime now, std::int64_t wallMs)
{
    const auto found = m_impl->workers.find(worker);
    if (found == m_impl->workers.end()) {
        return;
    }
    m_impl->handleWorkerEnd(found->second, found->second.runs(), "its instance has another worker or none", now, wallMs);
    m_impl->markAllRunsLost(found->second, wallMs, "worker replaced");
    found->second.setRegistered(false);
}

void Scheduler::Impl::countCrash(
    const WorkerId &worker, const TaskName &task, const CrashEvidence &evidence, std::uint32_t runsLostBeside, BootTime now, std::int64_t wallMs)
{
    JobEntry *entry = findEntry(task.job);
    if (entry == nullptr) {
        return;
    }
    entry->failedOn[task.ref].insert(worker);
    noteCrashCount(*entry, task.ref, worker, entry->job.countCrash(task.ref, worker, evidence, runsLostBeside, wallMs), now);
}

void Scheduler::Impl::noteCrashCount(JobEntry &entry, const TaskRef &ref, const WorkerId &worker, EndOutcome outcome, BootTime now)
{
    if (outcome == EndOutcome::Ignored) {
        return;
    }
    markDirty(entry);
    const TaskCrashes &crashes = *entry.job.findCrashes(ref);
    emitEvent("crash-counted",
              {entry.job.record().id, ref},
              entry.job.findTask(ref)->run,
              worker,
              std::to_string(crashes.duringStartup) + " at the start, " + std::to_string(crashes.later) + " later, "
                  + std::to_string(crashes.isolatedDuringStartup) + " and " + std::to_string(crashes.isolatedLater) + " of these isolated, "
                  + std::to_string(crashes.unconfirmed) + " unconfirmed");
    if (outcome == EndOutcome::JobFailed) {
        giveUpJob(entry, ref, now);
    }
}

void Scheduler::Impl::explainLoss(const TaskName &task, const WorkerId &worker)
{
    JobEntry *entry = findEntry(task.job);
    if (entry != nullptr && entry->job.explainLoss(task.ref, worker)) {
        markDirty(*entry);
    }
}

void Scheduler::Impl::giveUpJob(JobEntry &entry, const TaskRef &ref, BootTime now)
{
    const TaskCrashes &crashes = *entry.job.findCrashes(ref);
    std::string names;
    for (const WorkerId &worker : crashes.workers) {
        names += " " + worker;
    }
    SchedulerEvent event{"job-given-up", entry.job.record().id, ref, 0, {}, {}, crashes.runsLostBeside, now - entry.estimate.receivedAt};
    event.detail = "task " + std::to_string(ref.occurrence) + "/" + std::to_string(ref.step) + "/" + std::to_string(ref.index) + " crashed" + names + "; "
        + std::to_string(crashes.runsLostBeside) + " runs were lost beside it; received " + std::to_string(event.jobAge.count()) + " ms ago";
    events.push_back(std::move(event));
    emitEvent("job-closed", {entry.job.record().id, {}}, 0, {}, std::string(toName(entry.job.record().state)));
    stopRunsOfClosedJob(entry);
}

void Scheduler::Impl::noteSilentLoss(WorkerSession &session, BootTime now, std::int64_t wallMs)
{
    if (isEndExpected(session)) {
        return;
    }
    const WorkerId &worker = session.facts().id;
    SilentLoss loss{attributeCrash(session.runs(), session.aliveUntil(), silences && silences->isQuietAt(session.aliveUntil())), now + SilentLossMemory};
    for (const auto &[task, evidence] : loss.evidence) {
        JobEntry *entry = findEntry(task.job);
        if (entry != nullptr && evidence.moment != CrashMoment::Later) {
            noteCrashCount(*entry, task.ref, worker, entry->job.countUnconfirmedLoss(task.ref, worker, wallMs), now);
        }
    }
    if (!session.facts().address.empty()) {
        silentLosses[worker] = std::move(loss);
        // Without runs, the worker would not be asked any more.
        session.raiseToken();
    }
}

void Scheduler::Impl::resolveSilentLoss(const WorkerId &worker)
{
    const auto loss = silentLosses.find(worker);
    if (loss == silentLosses.end()) {
        return;
    }
    for (const auto &[task, evidence] : loss->second.evidence) {
        if (evidence.moment != CrashMoment::Later) {
            explainLoss(task, worker);
        }
    }
    silentLosses.erase(loss);
}

void Scheduler::Impl::forgetSilentLosses(BootTime now)
{
    std::erase_if(silentLosses, [&](const auto &item) {
        return now >= item.second.forgetAt;
    });
}

void Scheduler::Impl::clearCrashes(const TaskName &task, LiveRun &run)
{
    run.suspect = false;
    run.hasCrashes = false;
    if (JobEntry *entry = findEntry(task.job)) {
        entry->job.clearCrashes(task.ref);
        markDirty(*entry);
    }
}

// Whether a suspect of the job runs on the worker or waits for it.
bool Scheduler::Impl::needsIsolation(const WorkerId &worker, const JobId &job, BootTime now)
{
    const auto session = workers.find(worker);
    JobEntry *entry = findEntry(job);
    if (session == workers.end() || entry == nullptr || !entry->job.isOpen()) {
        return false;
    }
    const bool usable = session->second.canTakeWork(now) && cordoned.count(worker) == 0;
    const auto isNeededFor = [&](const TaskRef &ref) {
        const Task *task = entry->job.findTask(ref);
        if (task == nullptr || !entry->job.isCrashSuspect(ref)) {
            return false;
        }
        return task->phase == TaskPhase::Waiting ? usable : task->phase == TaskPhase::Placed && task->worker == worker;
    };
    const std::vector<TaskCrashes> &crashes = entry->job.record().crashes;
    return std::any_of(crashes.begin(), crashes.end(), [&](const TaskCrashes &ofTask) {
        return isNeededFor(ofTask.task);
    });
}

void Scheduler::Impl::releaseIsolation(BootTime now)
{
    isolation.retain([&](const WorkerId &worker, const JobId &job) {
        return needsIsolation(worker, job, now);
    });
}

void Scheduler::Impl::keepForSuspects(const JobEntry &entry, PlacementCandidate &candidate)
{
    const WorkerFacts &facts = candidate.session->facts();
    candidate.keptFor = entry.job.record().id;
    isolation.keep(facts.id, facts.pool, candidate.keptFor);
    emitEvent("worker-kept", {candidate.keptFor, {}}, 0, facts.id, std::to_string(candidate.session->runs().size()) + " runs at present");
}

void Scheduler::Impl::releaseRejecting(const JobId &job, PlacementCandidate &candidate, CandidateRejection reason)
{
    const std::map<TaskName, LiveRun> &runs = candidate.session->runs();
    const bool hasRunOfJob = std::any_of(runs.begin(), runs.end(), [&](const auto &item) {
        return item.first.job == job;
    });
    if (!hasRunOfJob) {
        const WorkerId &worker = candidate.session->facts().id;
        emitEvent("worker-released", {job, {}}, 0, worker, "suspect rejected: " + std::string(toName(reason)));
        isolation.release(worker);
        candidate.keptFor.clear();
    }
}

PlacementCandidate *
Scheduler::Impl::chooseIsolated(JobEntry &entry, const PlacementRequest &request, PoolCandidates &candidates, const StepAdvice *permissions, BootTime now)
{
    const JobId &job = entry.job.record().id;
    const std::string &pool = entry.job.record().terms.pool;
    std::vector<PlacementCandidate *> kept;
    std::vector<PlacementCandidate *> notPermitted;
    std::vector<PlacementCandidate *> idle;
    std::vector<PlacementCandidate *> vacant;
    PlacementCandidate *leastUsed = nullptr;
    bool awaitsVacancy = false;
    for (PlacementCandidate *candidate : candidates.open) {
        const WorkerSession &session = *candidate->session;
        const bool isPermitted = permissions == nullptr || permissions->usableTicket(session.facts().id, now) != nullptr;
        if (candidate->keptFor == job) {
            const bool isVacant = isIsolatedFor(job, session.runs(), now);
            awaitsVacancy = awaitsVacancy || (isPermitted && !isVacant && !rejectionOnceVacated(request, *candidate));
            if (isVacant) {
                (isPermitted ? kept : notPermitted).push_back(candidate);
            }
        } else if (!isPermitted) {
            continue;
        } else if (candidate->keptFor.empty() && session.runs().empty()) {
            idle.push_back(candidate);
        } else if (candidate->keptFor.empty() && isIsolatedFor(job, session.runs(), now)) {
            vacant.push_back(candidate);
        } else if (candidate->keptFor.empty() && !rejectionOnceVacated(request, *candidate)
                   && (leastUsed == nullptr || session.used().cpu < leastUsed->session->used().cpu)) {
            leastUsed = candidate;
        }
    }
    PlacementCandidate *chosen = choosePlacement(request, kept);
    for (PlacementCandidate *candidate : notPermitted) {
        releaseRejecting(job, *candidate, CandidateRejection::NotPermitted);
    }
    for (PlacementCandidate *candidate : kept) {
        if (const std::optional<CandidateRejection> reason = rejectionOf(request, *candidate)) {
            releaseRejecting(job, *candidate, *reason);
        }
    }
    if (chosen == nullptr && isolation.mayKeepMore(pool, candidates.all.size(), backlog.count(pool) != 0)) {
        chosen = choosePlacement(request, idle);
        chosen = chosen == nullptr ? choosePlacement(request, vacant) : chosen;
        if (chosen != nullptr) {
            keepForSuspects(entry, *chosen);
        } else if (leastUsed != nullptr && !awaitsVacancy) {
            keepForSuspects(entry, *leastUsed);
        }
    }
    return chosen;
}

PlacementCandidate *Scheduler::Impl::chooseAmongEstablished(
    const JobEntry &entry, const PlacementRequest &request, PoolCandidates &candidates, const StepAdvice *permissions, BootTime now)
{
    std::vector<PlacementCandidate *> established;
    for (PlacementCandidate *candidate : candidates.open) {
        const WorkerSession &session = *candidate->session;
        const bool isPermitted = permissions == nullptr || permissions->usableTicket(session.facts().id, now) != nullptr;
        if (isPermitted && isAloneInStartup(request.job, session.runs(), now)) {
            established.push_back(candidate);
        }
    }
    PlacementCandidate *chosen = choosePlacement(request, established);
    if (chosen != nullptr && chosen->keptFor.empty()) {
        keepForSuspects(entry, *chosen);
    }
    return chosen;
}

bool Scheduler::Impl::hasWaitedForIsolation(JobEntry &entry, BootTime now)
{
    const std::chrono::milliseconds maxWait = entry.longRunning ? MaxIsolationWaitOfLongRunning : MaxIsolationWait;
    entry.isolationDeadline = entry.isolationDeadline.value_or(now + maxWait);
    return now >= *entry.isolationDeadline;
}

}
