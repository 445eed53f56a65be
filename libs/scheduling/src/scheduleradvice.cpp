#include "details/schedulerimpl.h"

#include <algorithm>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// With more workers, a call of the advice service takes longer than tasks should wait.
constexpr std::size_t MaxWorkersPerAdviceRequest = 30;
// A further request for a step covers at least this many workers with free capacity, or is delayed.
constexpr std::size_t MinFollowUpWorkers = 3;
constexpr auto FollowUpDelay = 1000ms;
// A ticket must remain valid while the start order is under way.
constexpr auto TicketMargin = 400ms;
constexpr auto AdviceRetryDelay = 500ms;

}

StepAdvice *Scheduler::Impl::adviceFor(JobEntry &entry, const Occurrence &occurrence, std::uint32_t step, PoolCandidates &candidates, BootTime now)
{
    const auto queue = policy->queues.find(entry.job.record().queue);
    if (queue == policy->queues.end() || !queue->second.advice) {
        return nullptr;
    }
    StepAdvice &stepAdvice = advice[{entry.job.record().id, {occurrence.number, step}}];
    if (stepAdvice.inFlight || adviceInFlight >= adviceSlots || now < stepAdvice.retryAt) {
        return &stepAdvice;
    }
    AdviceOrder order{entry.job.record().id, occurrence.number, step, workersToQuery(stepAdvice, entry.job.record().spec.steps[step].demand, candidates, now)};
    if (!order.workers.empty()) {
        stepAdvice.inFlight = true;
        ++adviceInFlight;
        emitEvent("advice-asked", {order.job, {occurrence.number, step, 0}}, 0, {}, std::to_string(order.workers.size()) + " workers");
        orders.emplace_back(std::move(order));
    }
    return &stepAdvice;
}

std::vector<WorkerId>
Scheduler::Impl::workersToQuery(const StepAdvice &stepAdvice, const Resources &demand, const PoolCandidates &candidates, BootTime now) const
{
    std::vector<WorkerId> withCapacity;
    std::vector<WorkerId> full;
    for (const PlacementCandidate *candidate : candidates.open) {
        const WorkerId &worker = candidate->session->facts().id;
        const bool hasCapacity = demand.fitsInto(candidate->session->freeCapacity());
        if (stepAdvice.usableTicket(worker, now) != nullptr) {
            // A permitted worker has free capacity, so no further permission is needed.
            if (hasCapacity) {
                return {};
            }
        } else if (stepAdvice.refused.count(worker) == 0) {
            (hasCapacity ? withCapacity : full).push_back(worker);
        }
    }
    // After the first request for a step, the service is not called at once for a few additional workers.
    const bool queried = !stepAdvice.refused.empty() || !stepAdvice.tickets.empty();
    if (queried && withCapacity.size() < MinFollowUpWorkers && now < stepAdvice.followUpAt) {
        return {};
    }
    withCapacity.insert(withCapacity.end(), full.begin(), full.end());
    withCapacity.resize(std::min(withCapacity.size(), MaxWorkersPerAdviceRequest));
    return withCapacity;
}

void Scheduler::setAdviceSlots(std::size_t slots)
{
    m_impl->placementNeeded = m_impl->placementNeeded || slots > m_impl->adviceSlots;
    m_impl->adviceSlots = slots;
}

void Scheduler::handleAdviceResult(const AdviceOrder &order, const AdviceResult &result, BootTime now)
{
    Impl &impl = *m_impl;
    impl.adviceInFlight -= impl.adviceInFlight > 0 ? 1 : 0;
    impl.placementNeeded = true;
    JobEntry *entry = impl.findEntry(order.job);
    if (entry == nullptr || !entry->job.isOpen()) {
        impl.advice.erase({order.job, {order.occurrence, order.step}});
        return;
    }
    entry->mayHaveReady = true;
    StepAdvice &stepAdvice = impl.advice[{order.job, {order.occurrence, order.step}}];
    stepAdvice.inFlight = false;
    const auto queue = impl.policy->queues.find(entry->job.record().queue);
    const TaskName step{order.job, {order.occurrence, order.step, 0}};
    if (!result || queue == impl.policy->queues.end() || !queue->second.advice) {
        impl.emitEvent("advice-missing", step, 0, {});
        stepAdvice.retryAt = now + AdviceRetryDelay;
        return;
    }
    impl.emitEvent("advice", step, 0, {}, std::to_string(result->size()) + " of " + std::to_string(order.workers.size()) + " workers");
    stepAdvice.followUpAt = now + FollowUpDelay;
    stepAdvice.refused.insert(order.workers.begin(), order.workers.end());
    for (const Permission &permission : *result) {
        stepAdvice.refused.erase(permission.worker);
        stepAdvice.tickets[permission.worker] = {permission.ticket, now + queue->second.advice->validity - TicketMargin};
    }
}

std::size_t Scheduler::Impl::pendingAdviceRequests() const
{
    std::size_t pending = 0;
    for (const JobEntry *entry : jobs.open()) {
        const auto queue = policy->queues.find(entry->job.record().queue);
        if (queue == policy->queues.end() || !queue->second.advice) {
            continue;
        }
        for (const Occurrence &occurrence : entry->job.record().occurrences) {
            pending += static_cast<std::size_t>(std::count_if(occurrence.steps.begin(), occurrence.steps.end(), [](const std::vector<Task> &tasks) {
                return std::any_of(tasks.begin(), tasks.end(), [](const Task &task) {
                    return task.phase == TaskPhase::Waiting;
                });
            }));
        }
    }
    return pending;
}

std::optional<std::chrono::milliseconds> Scheduler::adviceRetryDelay(const JobRecord &record) const
{
    const auto queue = m_impl->policy->queues.find(record.queue);
    const bool longRunning = std::any_of(record.spec.steps.begin(), record.spec.steps.end(), [](const StepSpec &step) {
        return step.longRunning;
    });
    if (queue == m_impl->policy->queues.end() || !queue->second.advice || longRunning || record.spec.recurrence.count > 0 || record.spec.steps.empty()) {
        return std::nullopt;
    }
    const AdvicePolicy &policy = *queue->second.advice;
    const std::chrono::milliseconds requestDuration = policy.timePerCall + policy.timePerWorker * static_cast<int>(MaxWorkersPerAdviceRequest);
    const std::chrono::milliseconds backlogDuration
        = requestDuration * static_cast<int>(m_impl->pendingAdviceRequests()) / static_cast<int>(m_impl->adviceSlots);
    const std::vector<std::int64_t> chains = criticalPathsMs(record.spec, m_impl->expectedRunMs(record));
    const std::chrono::milliseconds chain(*std::max_element(chains.begin(), chains.end()));
    const std::chrono::milliseconds usefulDuration = objectiveDuration(record.terms, chain) * UsefulObjectiveMultiple - chain;
    if (backlogDuration <= usefulDuration) {
        return std::nullopt;
    }
    return backlogDuration - usefulDuration;
}

}
