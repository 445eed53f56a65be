#include "details/schedulerimpl.h"

#include <algorithm>
#include <utility>

namespace Cornelquay {

namespace {

std::string resultText(const OrderResult &result)
{
    if (const OrderRefusal *refusal = std::get_if<OrderRefusal>(&result)) {
        return std::string(toName(*refusal));
    }
    return std::holds_alternative<OrderAccepted>(result) ? "accepted" : "unanswered";
}

}

void Scheduler::Impl::requestStop(WorkerSession &session, const TaskName &task, std::string_view reason)
{
    const auto found = session.runs().find(task);
    if (found == session.runs().end() || found->second.stop != StopProgress::NotWanted) {
        return;
    }
    found->second.stop = StopProgress::Due;
    mayHaveDueStops = true;
    emitEvent("stop-wanted", task, found->second.run, session.facts().id, std::string(reason));
}

std::optional<StepAvailability> Scheduler::Impl::availabilityBeside(const TaskName &task)
{
    const JobEntry *entry = findEntry(task.job);
    if (entry == nullptr || !entry->job.isOpen() || !entry->job.step(task.ref).longRunning) {
        return std::nullopt;
    }
    StepAvailability availability;
    availability.maxUnavailable = entry->job.step(task.ref).maxUnavailableTasks;
    const Occurrence *occurrence = entry->job.findOccurrence(task.ref.occurrence);
    for (std::uint32_t index = 0; occurrence != nullptr && index < occurrence->steps[task.ref.step].size(); ++index) {
        if (index == task.ref.index) {
            continue;
        }
        const Task &other = occurrence->steps[task.ref.step][index];
        const auto worker = workers.find(other.worker);
        bool ready = false;
        if (other.phase == TaskPhase::Placed && worker != workers.end() && worker->second.isReachable()) {
            const auto run = worker->second.runs().find({task.job, {task.ref.occurrence, task.ref.step, index}});
            ready = run != worker->second.runs().end() && run->second.percent == ReadyPercent && run->second.stop == StopProgress::NotWanted;
        }
        if (ready) {
            availability.oldestListingAt = std::min(availability.oldestListingAt, worker->second.listedAt());
        } else {
            ++availability.unavailable;
        }
    }
    return availability;
}

bool Scheduler::Impl::isWithinDisruptionBudget(const TaskName &task)
{
    const std::optional<StepAvailability> availability = availabilityBeside(task);
    return !availability || availability->allowsDisruption();
}

void Scheduler::Impl::requestDisruption(WorkerSession &session, const TaskName &task, std::string_view reason, BootTime now)
{
    const auto found = session.runs().find(task);
    if (found == session.runs().end() || found->second.stop != StopProgress::NotWanted) {
        return;
    }
    std::string detail(reason);
    if (const std::optional<StepAvailability> availability = availabilityBeside(task)) {
        detail += ", " + std::to_string(availability->unavailable) + " others unavailable of " + std::to_string(availability->maxUnavailable) + " allowed";
        if (availability->oldestListingAt != BootTime::max()) {
            detail += ", oldest list " + std::to_string((now - availability->oldestListingAt).count()) + " ms ago";
        }
    }
    requestStop(session, task, detail);
    disruptedRuns[task] = found->second.run;
    disruptionsChanged = true;
    found->second.stopBatch = durableBatch();
}

bool Scheduler::Impl::isDisrupted(const TaskName &task, std::uint32_t run) const
{
    const auto found = disruptedRuns.find(task);
    return found != disruptedRuns.end() && found->second == run;
}

bool Scheduler::isDisrupted(const TaskName &task, std::uint32_t run) const
{
    return m_impl->isDisrupted(task, run);
}

void Scheduler::Impl::addDisruptions(RecordBatch &batch)
{
    if (!std::exchange(disruptionsChanged, false)) {
        return;
    }
    std::erase_if(disruptedRuns, [this](const auto &disrupted) {
        const JobEntry *entry = findEntry(disrupted.first.job);
        const Task *task = entry == nullptr || !entry->job.isOpen() ? nullptr : entry->job.findTask(disrupted.first.ref);
        return task == nullptr || task->phase != TaskPhase::Placed || task->run != disrupted.second;
    });
    batch.records.emplace_back(DisruptedRunsKey, encode(disruptedRuns));
}

bool Scheduler::Impl::mustHoldStop(const WorkerSession &session, const TaskName &task, const LiveRun &run)
{
    return session.facts().state != WorkerState::Draining && isDisrupted(task, run.run) && !isWithinDisruptionBudget(task);
}

bool Scheduler::mayStop(const StopOrder &order) const
{
    const auto session = m_impl->workers.find(order.worker);
    if (session == m_impl->workers.end()) {
        return true;
    }
    const auto run = session->second.runs().find(order.task);
    return run == session->second.runs().end() || run->second.run != order.run || !m_impl->mustHoldStop(session->second, order.task, run->second);
}

bool Scheduler::restoreDisruptions(std::string_view bytes)
{
    std::optional<DisruptedRuns> runs = decodeDisruptedRuns(bytes);
    if (!runs) {
        return false;
    }
    m_impl->disruptedRuns = std::move(*runs);
    for (auto &[id, session] : m_impl->workers) {
        for (auto &[task, run] : session.runs()) {
            if (m_impl->isDisrupted(task, run.run)) {
                run.stop = StopProgress::Due;
                m_impl->mayHaveDueStops = true;
                m_impl->cordoned.insert(id);
            }
        }
    }
    return true;
}

void Scheduler::evacuate(const WorkerId &worker, BootTime now)
{
    const auto found = m_impl->workers.find(worker);
    if (found == m_impl->workers.end()) {
        return;
    }
    for (auto &[task, run] : found->second.runs()) {
        if (run.longRunning && run.start == StartProgress::Accepted && run.stop == StopProgress::NotWanted && m_impl->isWithinDisruptionBudget(task)) {
            m_impl->requestDisruption(found->second, task, "evacuation", now);
        }
    }
}

void Scheduler::handleStopResult(const StopOrder &order, const OrderResult &result, BootTime now)
{
    Impl &impl = *m_impl;
    const auto found = impl.workers.find(order.worker);
    if (found == impl.workers.end()) {
        return;
    }
    const auto live = found->second.runs().find(order.task);
    if (live == found->second.runs().end() || live->second.run != order.run) {
        return;
    }
    live->second.stop = std::holds_alternative<OrderAccepted>(result) ? StopProgress::Accepted : StopProgress::Due;
    live->second.stopSentAt = now;
    impl.mayHaveDueStops = true;
    found->second.requestListing(now);
    if (live->second.longRunning) {
        impl.emitEvent("stop-answered", order.task, order.run, order.worker, resultText(result) + ", token " + std::to_string(order.fencingToken));
    }
}

}
