#include "details/schedulerimpl.h"

#include <algorithm>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// A worker that rejected a start for another reason than its fencing token gets no new work for this period.
constexpr auto RefusalAvoidPeriod = 400ms;
// A renewal that fails earlier than this after the end of its wait did not time out: its connection broke, which tells when the
// worker fell silent. Below OrderTimes::leaseRenewalMargin.
constexpr auto MaxBrokenRenewalTime = 200ms;

// A start order may reach the next incarnation of a worker before the owner knows of it. Such a run did not end with the former one.
std::map<TaskName, LiveRun> runsOfFormerIncarnation(const WorkerSession &session, const Listing &listing, BootTime listingSentAt)
{
    std::map<TaskName, LiveRun> runs = session.runs();
    std::erase_if(runs, [&](const auto &item) {
        return item.second.start == StartProgress::Accepted && item.second.placedOrAcceptedAt >= listingSentAt;
    });
    const auto eraseListed = [&](const auto &listed) {
        const auto run = runs.find(listed.task);
        if (run != runs.end() && run->second.run == listed.run) {
            runs.erase(run);
        }
    };
    std::for_each(listing.running.begin(), listing.running.end(), eraseListed);
    std::for_each(listing.ended.begin(), listing.ended.end(), eraseListed);
    return runs;
}

}

void Scheduler::Impl::addRun(WorkerSession &session, const TaskName &task, const JobEntry &entry, LiveRun run)
{
    const StepSpec &step = entry.job.step(task.ref);
    run.demand = step.demand;
    run.longRunning = step.longRunning;
    run.bestEffort = step.bestEffort;
    run.tailTargetMs = step.tailLatencyTargetMs;
    if (step.bestEffort) {
        run.demand.cpu = 0;
    }
    accountUsed[entry.job.record().account] += step.demand;
    run.pool = entry.job.record().terms.pool;
    if (!run.longRunning) {
        poolUsage.add(run.pool, entry.job.record().account, run.demand);
    }
    if (step.allowsCopies()) {
        speculativeRuns.emplace(session.facts().id, task);
    }
    predictEnd(run, entry, task.ref, session.facts().pool);
    session.addRun(task, std::move(run));
}

void Scheduler::Impl::removeRun(WorkerSession &session, const TaskName &task)
{
    const auto found = session.runs().find(task);
    if (found == session.runs().end()) {
        return;
    }
    forgetPredictedEnd(found->second, session.facts().pool);
    if (const JobEntry *entry = findEntry(task.job)) {
        accountUsed[entry->job.record().account] -= entry->job.step(task.ref).demand;
        if (const LiveRun &run = found->second; !run.longRunning) {
            poolUsage.remove(run.pool, entry->job.record().account, run.demand);
        }
    }
    speculativeRuns.erase({session.facts().id, task});
    session.removeRun(task);
    placementNeeded = true;
}

void Scheduler::Impl::markRunLost(WorkerSession &session, const TaskName &task, std::int64_t wallMs, std::string_view reason)
{
    const auto found = session.runs().find(task);
    if (found == session.runs().end()) {
        return;
    }
    const std::uint32_t run = found->second.run;
    JobEntry *entry = findEntry(task.job);
    const RunUse use = useOf(session, found->second);
    if (entry != nullptr) {
        learnUnfinishedRun(*entry, task.ref, found->second);
    }
    removeRun(session, task);
    emitEvent("run-lost", task, run, session.facts().id, std::string(reason));
    const EndOutcome outcome = entry == nullptr ? EndOutcome::Ignored : entry->job.loseRun(task.ref, run, wallMs);
    countCopyEnd(use, outcome);
    if (outcome != EndOutcome::Ignored) {
        refreshEstimate(*entry);
        markDirty(*entry);
        if (entry->job.isOpen() && outcome == EndOutcome::TaskWaiting && entry->job.step(task.ref).gang) {
            stopGangMembers(*entry, task, run, wallMs);
        }
    }
}

// Without this, the other members would wait for the lost one until they time out.
void Scheduler::Impl::stopGangMembers(const JobEntry &entry, const TaskName &task, std::uint32_t run, std::int64_t wallMs)
{
    const Occurrence *occurrence = entry.job.findOccurrence(task.ref.occurrence);
    if (occurrence == nullptr) {
        return;
    }
    const std::vector<Task> members = occurrence->steps[task.ref.step];
    for (std::uint32_t index = 0; index < members.size(); ++index) {
        const TaskName other{task.job, {task.ref.occurrence, task.ref.step, index}};
        const auto worker = workers.find(members[index].worker);
        if (members[index].phase != TaskPhase::Placed || members[index].run != run || worker == workers.end()) {
            continue;
        }
        const auto live = worker->second.runs().find(other);
        if (live == worker->second.runs().end() || live->second.run != run) {
            continue;
        }
        if (live->second.start == StartProgress::Unstored || live->second.start == StartProgress::Due) {
            markRunLost(worker->second, other, wallMs, "gang not complete");
        } else {
            requestStop(worker->second, other, "gang not complete");
        }
    }
}

void Scheduler::Impl::markAllRunsLost(WorkerSession &session, std::int64_t wallMs, std::string_view reason)
{
    std::vector<TaskName> tasks;
    for (const auto &[task, run] : session.runs()) {
        tasks.push_back(task);
    }
    for (const TaskName &task : tasks) {
        markRunLost(session, task, wallMs, reason);
    }
}

void Scheduler::handleLeaseRenewalResult(const RenewLeaseOrder &order, BootTime sentAt, const RenewLeaseResult &result, BootTime now, std::int64_t wallMs)
{
    Impl &impl = *m_impl;
    const auto found = impl.workers.find(order.worker);
    if (found == impl.workers.end()) {
        return;
    }
    WorkerSession &session = found->second;
    session.handleLeaseRenewalEnded(order);
    if (const Listing *listing = std::get_if<Listing>(&result)) {
        impl.applyListing(session, order, sentAt, *listing, now, wallMs);
        return;
    }
    if (const OrderRefusal *refusal = std::get_if<OrderRefusal>(&result)) {
        if (*refusal == OrderRefusal::Fenced) {
            // A renewal is also refused if this owner raised its own token in the meantime.
            impl.ownershipLost = impl.ownershipLost || order.fencingToken >= session.token();
            session.requestListing(now);
            return;
        }
        if (*refusal == OrderRefusal::OtherInstance) {
            impl.handleWorkerEnd(session, session.runs(), "another worker answers at its address", now, wallMs);
            impl.markAllRunsLost(session, wallMs, "other-instance");
            session.setRegistered(false);
        }
    }
    if (std::holds_alternative<OrderUnanswered>(result) && session.isReachable()) {
        impl.answerLostAt = now;
    }
    if (session.isReachable()) {
        impl.emitEvent("worker-unreachable", {}, 0, order.worker, std::to_string(session.runs().size()) + " runs");
    }
    const bool connectionBroke = std::holds_alternative<OrderUnanswered>(result) && now - sentAt < order.wait + MaxBrokenRenewalTime;
    impl.markUnreachable(session, now, connectionBroke ? std::optional(now) : std::nullopt);
}

void Scheduler::Impl::applyListing(
    WorkerSession &session, const RenewLeaseOrder &order, BootTime sentAt, const Listing &listing, BootTime now, std::int64_t wallMs)
{
    if (!session.isReachable() || !session.isConfirmed()) {
        emitEvent("worker-reached", {}, 0, order.worker, "start time " + std::to_string(listing.startTimeMs));
        placementNeeded = true;
    }
    if (session.isLaterIncarnation(listing)) {
        handleWorkerEnd(session, runsOfFormerIncarnation(session, listing, sentAt), "restarted under its id", now, wallMs);
    } else {
        resolveSilentLoss(session.facts().id);
    }
    session.handleListing(listing, order.fencingToken, now);
    for (const ListedEnd &end : listing.ended) {
        applyEnd(session, end, now, wallMs);
    }
    for (const ListedRun &run : listing.running) {
        applyRunning(session, run, now);
    }
    applyUnknownRuns(session, listing);
    applyAbsent(session, order, sentAt, listing, wallMs);
    if (!listing.ended.empty()) {
        acknowledgeEnds(session, listing.ended, now);
    } else if (!session.runs().empty()) {
        session.requestListing(now);
    }
}

// Uses only representative runs: successful, observed from their start, without a checkpoint, and of ordinary steps.
void Scheduler::Impl::recordRunTime(const JobEntry &entry, const ListedEnd &end, const LiveRun &run, BootTime now)
{
    const StepSpec &step = entry.job.step(end.task.ref);
    if (end.runEnd == RunEnd::Done && run.observedFromStart && isTypicalOfQueue(step)) {
        runTimes.record(entry.job.record().queue, std::chrono::milliseconds(step.estimateMs), now - run.placedOrAcceptedAt);
    }
}

void Scheduler::Impl::applyEnd(WorkerSession &session, const ListedEnd &end, BootTime now, std::int64_t wallMs)
{
    JobEntry *entry = findEntry(end.task.job);
    const auto live = session.runs().find(end.task);
    RunUse use;
    if (live != session.runs().end() && live->second.run == end.run) {
        use = useOf(session, live->second);
        if (entry != nullptr) {
            learnRunTime(*entry, end, live->second, now);
            recordRunTime(*entry, end, live->second, now);
        }
        removeRun(session, end.task);
    }
    if (entry == nullptr) {
        return;
    }
    const bool wasOpen = entry->job.isOpen();
    const EndOutcome outcome = entry->job.endRun(end.task.ref, end.run, end.runEnd, end.checkpoint, wallMs);
    countCopyEnd(use, outcome);
    if (outcome == EndOutcome::Ignored) {
        // A run that was lost with its silent worker has ended otherwise, so the worker did not crash under it.
        explainLoss(end.task, session.facts().id);
        return;
    }
    if (outcome == EndOutcome::ExtraRunEnded) {
        markDirty(*entry);
        emitEvent("run-ended", end.task, end.run, session.facts().id, std::string(toName(end.runEnd)) + ", after the end of the task");
        return;
    }
    if (end.runEnd == RunEnd::Done) {
        session.noteSuccess();
    } else if (end.runEnd == RunEnd::Failed && !entry->job.step(end.task.ref).longRunning) {
        session.noteFailure();
        entry->failedOn[end.task.ref].insert(session.facts().id);
    }
    entry->job.markStarted();
    refreshEstimate(*entry);
    markDirty(*entry);
    emitEvent("run-ended", end.task, end.run, session.facts().id, std::string(toName(end.runEnd)));
    if (end.runEnd == RunEnd::Failed && !entry->job.step(end.task.ref).longRunning) {
        const JobRecord &record = entry->job.record();
        emitEvent("failure-counted",
                  end.task,
                  end.run,
                  session.facts().id,
                  std::to_string(entry->job.failedRuns(end.task.ref)) + " of " + std::to_string(record.terms.attempts) + " attempts, "
                      + std::to_string(entry->job.findTask(end.task.ref)->failures) + " failures of the task");
    }
    if (outcome == EndOutcome::TaskFinished) {
        stopExtraRuns(*entry, end.task.ref, "task finished");
    }
    if (wasOpen && !entry->job.isOpen()) {
        emitEvent("job-closed", {end.task.job, {}}, 0, {}, std::string(toName(entry->job.record().state)));
    }
    if (!entry->job.isOpen()) {
        stopRunsOfClosedJob(*entry);
    }
}

void Scheduler::Impl::applyRunning(WorkerSession &session, const ListedRun &listed, BootTime now)
{
    const auto found = session.runs().find(listed.task);
    if (found == session.runs().end() || found->second.run != listed.run) {
        return;
    }
    LiveRun &run = found->second;
    if (run.start == StartProgress::Unanswered || run.start == StartProgress::InFlight) {
        run.start = StartProgress::Accepted;
        run.placedOrAcceptedAt = now;
        run.percentChangedAt = now;
    }
    if (listed.percent != run.percent) {
        run.percentChangedAt = now;
    }
    if (run.firstPercent < 0 && listed.percent >= 0) {
        run.firstPercent = listed.percent;
        run.firstPercentAt = now;
    }
    const bool hasProgressed = listed.percent != run.percent;
    run.percent = listed.percent;
    if (hasProgressed) {
        updateExpectedEnd(listed.task, run, now);
    }
    run.load = listed.load;
    if (JobEntry *entry = findEntry(listed.task.job)) {
        entry->job.markStarted();
        entry->job.saveProgress(listed.task.ref, listed.run, listed.checkpoint);
    }
}

// Such a run is obsolete: its job was closed or its task was placed again.
void Scheduler::Impl::applyUnknownRuns(WorkerSession &session, const Listing &listing)
{
    std::size_t count = 0;
    Resources demand;
    for (const ListedRun &listed : listing.running) {
        const auto known = session.runs().find(listed.task);
        if (known != session.runs().end() && known->second.run == listed.run) {
            continue;
        }
        ++count;
        const JobEntry *entry = findEntry(listed.task.job);
        if (entry == nullptr || listed.task.ref.step >= entry->job.record().spec.steps.size()) {
            // The demand of a run of a job that was dropped is not known, so the worker counts as full.
            demand += session.facts().capacity;
        } else if (const StepSpec &step = entry->job.step(listed.task.ref); step.bestEffort) {
            demand += Resources{0, step.demand.memory, step.demand.gpu};
        } else {
            demand += step.demand;
        }
        emitEvent("stop-wanted", listed.task, listed.run, session.facts().id, "unknown run");
        orders.emplace_back(StopOrder{session.facts().id, listed.task, listed.run, session.token()});
    }
    session.setUnknownRuns(count, demand);
}

void Scheduler::Impl::applyAbsent(WorkerSession &session, const RenewLeaseOrder &order, BootTime sentAt, const Listing &listing, std::int64_t wallMs)
{
    std::set<TaskName> present;
    for (const ListedRun &run : listing.running) {
        present.insert(run.task);
    }
    std::vector<TaskName> lostTasks;
    for (const auto &[task, run] : session.runs()) {
        if (present.count(task) != 0) {
            continue;
        }
        const bool hasVanished = run.start == StartProgress::Accepted && run.placedOrAcceptedAt < sentAt;
        const bool neverStarted = run.start == StartProgress::Unanswered && order.fencingToken > run.startToken;
        if (hasVanished || neverStarted) {
            lostTasks.push_back(task);
        }
    }
    if (listing.mayHaveMoreEnds) {
        // Each of these runs may have ended, with its end among those that the listing leaves out.
        if (!lostTasks.empty()) {
            const std::string detail = std::to_string(lostTasks.size()) + " runs not listed beside " + std::to_string(listing.ended.size()) + " ends";
            emitEvent("listing-incomplete", {}, 0, session.facts().id, detail);
        }
        return;
    }
    const std::string reason = "not listed, " + std::to_string(listing.ended.size()) + " ends listed";
    for (const TaskName &task : lostTasks) {
        markRunLost(session, task, wallMs, reason);
    }
}

void Scheduler::handleStartResult(const StartOrder &order, const OrderResult &result, BootTime now, std::int64_t wallMs)
{
    Impl &impl = *m_impl;
    const auto found = impl.workers.find(order.worker);
    if (found == impl.workers.end()) {
        return;
    }
    WorkerSession &session = found->second;
    const auto live = session.runs().find(order.task);
    const bool current = live != session.runs().end() && live->second.run == order.run;
    if (const OrderAccepted *accepted = std::get_if<OrderAccepted>(&result)) {
        session.updateClock(accepted->clockMs, now);
        if (current) {
            live->second.start = StartProgress::Accepted;
            live->second.observedFromStart = order.checkpoint.empty();
            live->second.placedOrAcceptedAt = now;
            live->second.percentChangedAt = now;
            impl.noteStartAccepted(order.task, live->second, now);
            session.requestListing(now);
        }
        JobEntry *entry = impl.findEntry(order.task.job);
        if (entry != nullptr) {
            entry->job.markStarted();
        }
        impl.emitEvent("run-started", order.task, order.run, order.worker, "token " + std::to_string(order.fencingToken));
        return;
    }
    const OrderRefusal *refusal = std::get_if<OrderRefusal>(&result);
    if (refusal == nullptr) {
        impl.answerLostAt = now;
        impl.emitEvent("start-unanswered", order.task, order.run, order.worker, "token " + std::to_string(order.fencingToken));
        if (current && live->second.start == StartProgress::InFlight) {
            live->second.start = StartProgress::Unanswered;
        }
        if (session.token() == order.fencingToken) {
            session.raiseToken();
        }
        session.requestListing(now);
        return;
    }
    impl.markRunLost(session, order.task, wallMs, toName(*refusal));
    switch (*refusal) {
    case OrderRefusal::NotSent:
        if (session.isEvacuated()) {
            // The order was held back; that says nothing about the worker.
            ++impl.startsGivenUp;
        } else {
            impl.markUnreachable(session, now);
        }
        break;
    case OrderRefusal::OtherInstance:
        impl.handleWorkerEnd(session, session.runs(), "another worker answers at its address", now, wallMs);
        impl.markAllRunsLost(session, wallMs, "other-instance");
        session.setRegistered(false);
        impl.markUnreachable(session, now);
        break;
    case OrderRefusal::Unhealthy:
        session.noteFailure();
        session.avoidUntil(now + RefusalAvoidPeriod);
        break;
    case OrderRefusal::Fenced:
        // Usually this owner raised its own token while the order was under way; the listing shows whether a later owner did.
        session.requestListing(now);
        break;
    case OrderRefusal::NotEnoughCapacity:
    case OrderRefusal::InvalidTicket:
    case OrderRefusal::LeaseExpired:
    case OrderRefusal::OldRun:
    case OrderRefusal::Invalid:
        session.avoidUntil(now + RefusalAvoidPeriod);
        session.requestListing(now);
        break;
    }
}

void Scheduler::handleThrottleResult(const ThrottleOrder &order, const OrderResult &result)
{
    const auto found = m_impl->workers.find(order.worker);
    if (found == m_impl->workers.end()) {
        return;
    }
    const auto live = found->second.runs().find(order.task);
    if (live != found->second.runs().end() && live->second.run == order.run && !std::holds_alternative<OrderAccepted>(result)) {
        // The order was rejected, or it is unknown whether it took effect; the next decision sends a new one.
        live->second.speedPercent = -1;
    }
}

}
