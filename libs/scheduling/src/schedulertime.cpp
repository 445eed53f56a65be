#include "details/schedulerimpl.h"
#include "scheduling/throttling.h"

#include <algorithm>
#include <utility>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// Placement is also repeated without changes, because waiting jobs become late as time passes.
constexpr auto PlacingInterval = 100ms;
// A placement pass goes over all waiting jobs, and every end of a run asks for one. This minimum interval for each of these jobs keeps the
// passes at a few percent of a core while thousands of jobs wait; a pass takes 1 to 3 us for each of them.
constexpr std::chrono::microseconds PassIntervalPerJob = 50us;
constexpr auto HousekeepingInterval = 50ms;
// Each search for expired jobs goes over all jobs of the retention period, which is minutes.
constexpr auto DropInterval = 500ms;
constexpr auto EstimateRefreshInterval = 500ms;
// If a stop takes this much longer than allowed, the stop order is considered lost and sent again.
constexpr auto StopMargin = 600ms;
constexpr auto StopRetryInterval = 300ms;
// Workers report latency over the last half second, so an earlier decision would not see the effect of the previous one.
constexpr auto ThrottleInterval = 500ms;
constexpr int FullSpeedPercent = 100;
// Assumed of a run whose speed a former owner may have limited: full speed at once could harm the serving runs beside it.
constexpr int RestoredSpeedPercent = 40;
// After a takeover, the speeds of all best-effort runs are ordered anew. This bounds the orders of one pass, each 50 ms.
constexpr std::size_t MaxThrottlesPerPass = 32;
constexpr auto StalledWorkerAvoidPeriod = 4000ms;
// Answers of workers count as being lost for this time after one was missing.
constexpr auto AnswerLossMemory = 3s;
// Limits the size of a batch; the remaining closed jobs are dropped later.
constexpr std::size_t MaxDroppedJobsPerBatch = 100;

}

void Scheduler::advance(BootTime now, std::int64_t wallMs)
{
    Impl &impl = *m_impl;
    impl.lastWallMs = wallMs;
    if (!impl.silences) {
        impl.silences.emplace(now);
    }
    if (now - impl.lastHousekeepingAt >= HousekeepingInterval) {
        impl.lastHousekeepingAt = now;
        impl.openDueOccurrences(wallMs);
        impl.expireLeases(now, wallMs);
        impl.forgetSilentLosses(now);
        impl.checkRuns(now);
        impl.refreshEstimates(now);
    }
    if (now - impl.lastDropAt >= DropInterval) {
        impl.dropClosedJobs(wallMs);
        const bool mayHaveMore = impl.droppedJobs.size() >= MaxDroppedJobsPerBatch;
        impl.lastDropAt = mayHaveMore ? now - DropInterval + HousekeepingInterval : now;
    }
    std::visit(
        [now](auto &method) {
            method.advance(now);
        },
        impl.demand);
    if (!impl.mayPlace(now)) {
        return;
    }
    impl.moveFromEvacuatedZones(now);
    if (impl.isPlacementDue(now)) {
        impl.placeWaitingJobs(now);
        impl.placeCopies(now);
    }
}

bool Scheduler::Impl::isPlacementDue(BootTime now) const
{
    const auto elapsed = now - lastPlacementAt;
    return elapsed >= PlacingInterval || (placementNeeded && elapsed >= PassIntervalPerJob * waitingJobCount);
}

void Scheduler::Impl::openDueOccurrences(std::int64_t wallMs)
{
    for (JobEntry *entry : jobs.open()) {
        bool opened = false;
        for (std::optional<std::int64_t> due = entry->job.nextDueMs(); due && *due <= wallMs; due = entry->job.nextDueMs()) {
            if (!entry->job.openOccurrence()) {
                noteOccurrenceWaits(*entry, wallMs - *due);
                break;
            }
            opened = true;
            entry->occurrenceWaits = false;
        }
        if (opened) {
            refreshEstimate(*entry);
            markDirty(*entry);
        }
    }
}

void Scheduler::Impl::noteOccurrenceWaits(JobEntry &entry, std::int64_t lateMs)
{
    if (!std::exchange(entry.occurrenceWaits, true)) {
        const JobRecord &record = entry.job.record();
        emitEvent("occurrence-waits",
                  {record.id, {record.nextOccurrence, 0, 0}},
                  0,
                  {},
                  std::to_string(record.occurrences.size()) + " occurrences open, due " + std::to_string(lateMs) + " ms ago");
    }
}

void Scheduler::Impl::expireLeases(BootTime now, std::int64_t wallMs)
{
    for (auto worker = workers.begin(); worker != workers.end();) {
        WorkerSession &session = worker->second;
        if (session.isLeaseExpired(now) && !session.runs().empty()) {
            noteSilentLoss(session, now, wallMs);
            markAllRunsLost(session, wallMs, "lease over");
        }
        // A worker that is known only from job records has no address and cannot be contacted.
        if (session.facts().address.empty() && session.isReachable()) {
            markUnreachable(session, now);
        }
        const bool isFateOpen = silentLosses.count(worker->first) != 0;
        const bool forgotten = !session.isRegistered() && session.runs().empty() && !session.hasUnacknowledgedEnds() && !isFateOpen;
        worker = forgotten ? workers.erase(worker) : std::next(worker);
    }
}

// Limits the speed of best-effort runs by the latency of the serving runs on their worker, and lifts the limit once there are none.
void Scheduler::Impl::throttleBestEffortRuns(WorkerSession &session, std::size_t &ordersLeft, BootTime now)
{
    if (session.bestEffortCount() == 0 || !session.isReachable() || now - session.throttledAt() < ThrottleInterval || ordersLeft == 0) {
        return;
    }
    session.recordThrottling(now);
    double worstTailRatio = -1;
    for (const auto &[task, run] : session.runs()) {
        if (run.tailTargetMs > 0 && run.load >= 0) {
            worstTailRatio = std::max(worstTailRatio, static_cast<double>(run.load) / static_cast<double>(run.tailTargetMs));
        }
    }
    for (auto &[task, run] : session.runs()) {
        // If the worker did not accept the latest limit, the run is assumed to be at full speed.
        const int assumedPercent = run.restored ? RestoredSpeedPercent : FullSpeedPercent;
        const int currentPercent = run.speedPercent < 0 ? assumedPercent : run.speedPercent;
        const int wantedPercent = session.servingCount() == 0 ? FullSpeedPercent : decideSpeedPercent(worstTailRatio, currentPercent);
        const bool isLoadUnknown = session.servingCount() > 0 && worstTailRatio < 0;
        if (!run.bestEffort || run.start != StartProgress::Accepted || wantedPercent == run.speedPercent || isLoadUnknown) {
            continue;
        }
        run.speedPercent = wantedPercent;
        ordersLeft -= ordersLeft > 0 ? 1 : 0;
        emitEvent("pace",
                  task,
                  run.run,
                  session.facts().id,
                  std::to_string(wantedPercent) + " %, worst tail at " + std::to_string(worstTailRatio) + " of its target");
        orders.emplace_back(ThrottleOrder{session.facts().id, task, run.run, wantedPercent, session.token()});
    }
}

void Scheduler::Impl::checkRuns(BootTime now)
{
    std::size_t throttlesLeft = MaxThrottlesPerPass;
    for (auto &[id, session] : workers) {
        throttleBestEffortRuns(session, throttlesLeft, now);
        const bool draining = session.facts().state == WorkerState::Draining;
        for (auto &[task, run] : session.runs()) {
            if (run.expectedEndAt != BootTime{} && run.expectedEndAt <= now) {
                updateExpectedEnd(task, run, now);
            }
            if (run.stop == StopProgress::Accepted && now - run.stopSentAt > times.stopGrace + StopMargin) {
                run.stop = StopProgress::Due;
                mayHaveDueStops = true;
            }
            const bool stalled = !run.longRunning && run.percent >= 0 && session.listedAt() - run.percentChangedAt >= StalledRunTimeout;
            const bool mayStop = stalled && run.start == StartProgress::Accepted && run.stop == StopProgress::NotWanted;
            JobEntry *entry = mayStop ? findEntry(task.job) : nullptr;
            if (entry != nullptr && !entry->job.step(task.ref).gang && beginRestart(*entry, session, task, run, now)) {
                requestStop(session, task, "stands still at " + std::to_string(run.percent) + " %");
                session.noteFailure();
                session.avoidUntil(now + StalledWorkerAvoidPeriod);
            }
            if (run.hasCrashes && run.percent == ReadyPercent && isProven(run, now)) {
                clearCrashes(task, run);
            }
            if (draining && run.longRunning && run.start == StartProgress::Accepted) {
                requestDisruption(session, task, "worker leaves", now);
            }
        }
    }
}

void Scheduler::Impl::refreshEstimates(BootTime now)
{
    if (now - lastEstimatesAt < EstimateRefreshInterval) {
        return;
    }
    lastEstimatesAt = now;
    for (JobEntry *entry : jobs.open()) {
        if (entry->mayHaveReady) {
            refreshEstimate(*entry);
        }
    }
}

void Scheduler::Impl::dropClosedJobs(std::int64_t wallMs)
{
    nextForgottenMs = std::numeric_limits<std::int64_t>::max();
    for (auto job = jobs.begin(); job != jobs.end() && droppedJobs.size() < MaxDroppedJobsPerBatch;) {
        const JobRecord &record = job->second.job.record();
        if (record.closedMs != 0) {
            nextForgottenMs = std::min(nextForgottenMs, record.closedMs + times.closedJobRetentionPeriod.count());
        }
        const bool expired
            = record.closedMs != 0 && wallMs - record.closedMs > times.closedJobRetentionPeriod.count() && job->second.stored && !job->second.dirty;
        if (expired && !job->second.job.hasPlacedTasks()) {
            droppedJobs.push_back(job->first);
            std::erase_if(advice, [&](const auto &entry) {
                return entry.first.first == job->first;
            });
            job = jobs.erase(job);
        } else {
            ++job;
        }
    }
}

std::vector<Order> Scheduler::takeOrders(BootTime now, OrderScope scope)
{
    std::vector<Order> released;
    if (scope == OrderScope::All) {
        m_impl->releaseStarts(now);
        m_impl->releaseStops(now);
        released = std::exchange(m_impl->orders, {});
    }
    m_impl->releaseLeaseRenewals(now, released);
    return released;
}

StartReadiness Scheduler::Impl::startReadiness(const WorkerId &worker, const TaskName &task, BootTime now)
{
    const auto found = workers.find(worker);
    const JobEntry *entry = findEntry(task.job);
    if (found == workers.end() || entry == nullptr) {
        return StartReadiness::Obsolete;
    }
    const WorkerSession &session = found->second;
    const auto live = session.runs().find(task);
    if (live == session.runs().end() || live->second.start != StartProgress::Due) {
        return StartReadiness::Obsolete;
    }
    const bool unusable = !session.isReachable() || !session.isRegistered() || session.facts().state != WorkerState::Ready || session.isEvacuated();
    if (!entry->job.isOpen() || live->second.stop != StopProgress::NotWanted || unusable || cordoned.count(worker) != 0) {
        return StartReadiness::Never;
    }
    if (!session.used().fitsInto(session.facts().capacity)) {
        return StartReadiness::NoRoom;
    }
    const bool ready = session.isConfirmed() && !session.isLeaseExtensionSuspended() && session.leaseUntil(now);
    return ready ? StartReadiness::Now : StartReadiness::Later;
}

void Scheduler::Impl::sendStart(const WorkerId &worker, const TaskName &task, BootTime now)
{
    WorkerSession &session = workers.at(worker);
    LiveRun &run = session.runs().at(task);
    run.start = StartProgress::InFlight;
    run.startToken = session.token();
    copyCounts.started += run.copy ? 1 : 0;
    const std::int64_t lease = *session.leaseUntil(now);
    session.recordLeaseExtension(now);
    const Task *state = findEntry(task.job)->job.findTask(task.ref);
    orders.emplace_back(StartOrder{worker, task, run.run, lease, run.startToken, state->checkpoint, run.ticket});
}

void Scheduler::Impl::releaseStarts(BootTime now)
{
    const std::vector<std::pair<WorkerId, TaskName>> due = std::exchange(dueStarts, {});
    // All members of a gang are started together. One batch stores their placements, so they become due together.
    using GangName = std::tuple<JobId, std::uint32_t, std::uint32_t>;
    std::set<GangName> waitingGangs;
    const auto gangOf = [](const TaskName &task) {
        return GangName{task.job, task.ref.occurrence, task.ref.step};
    };
    for (const auto &[worker, task] : due) {
        const StartReadiness readiness = startReadiness(worker, task, now);
        const JobEntry *entry = findEntry(task.job);
        if (readiness == StartReadiness::Never || readiness == StartReadiness::NoRoom) {
            // The start order was not sent, so the run never existed.
            const std::string_view reason = readiness == StartReadiness::Never ? "not sent" : "capacity shrank";
            startsGivenUp += workers.at(worker).isEvacuated() ? 1 : 0;
            markRunLost(workers.at(worker), task, entry->job.record().closedMs, reason);
        } else if (readiness == StartReadiness::Later && entry->job.step(task.ref).gang) {
            waitingGangs.insert(gangOf(task));
        }
    }
    for (const auto &[worker, task] : due) {
        // Checked again, because giving up one member of a gang gives up the others.
        const StartReadiness readiness = startReadiness(worker, task, now);
        if (readiness == StartReadiness::Later || (readiness == StartReadiness::Now && waitingGangs.count(gangOf(task)) != 0)) {
            dueStarts.emplace_back(worker, task);
        } else if (readiness == StartReadiness::Now) {
            sendStart(worker, task, now);
        }
    }
}

void Scheduler::Impl::releaseStops(BootTime now)
{
    if (!mayHaveDueStops) {
        return;
    }
    mayHaveDueStops = false;
    for (auto &[id, session] : workers) {
        for (auto &[task, run] : session.runs()) {
            mayHaveDueStops = mayHaveDueStops || run.stop == StopProgress::Due;
            if (!session.isReachable()) {
                continue;
            }
            const bool sent = run.start == StartProgress::Accepted || run.start == StartProgress::Unanswered;
            if (run.stop != StopProgress::Due || !sent || now - run.stopSentAt < StopRetryInterval || run.stopBatch > storedBatch) {
                continue;
            }
            const JobEntry *entry = findEntry(task.job);
            // Until the closing of the job is stored, a successor may still treat the job as open.
            if (entry != nullptr && !entry->job.isOpen() && entry->batch > storedBatch) {
                continue;
            }
            if (entry != nullptr && !entry->job.isOpen() && entry->dirty) {
                continue;
            }
            if (mustHoldStop(session, task, run)) {
                continue;
            }
            run.stop = StopProgress::InFlight;
            run.stopSentAt = now;
            orders.emplace_back(StopOrder{id, task, run.run, session.token()});
            if (run.longRunning) {
                emitEvent("stop-sent", task, run.run, id, "token " + std::to_string(session.token()));
            }
        }
    }
}

void Scheduler::Impl::releaseLeaseRenewals(BootTime now, std::vector<Order> &released)
{
    const std::chrono::milliseconds maxWait = now - answerLostAt < AnswerLossMemory ? LossyPollPeriod : LongPollPeriod;
    for (auto &[id, session] : workers) {
        if (session.facts().address.empty()) {
            continue;
        }
        if (std::optional<RenewLeaseOrder> renewal = session.nextLeaseRenewal(now, maxWait)) {
            released.emplace_back(std::move(*renewal));
        }
    }
}

}
