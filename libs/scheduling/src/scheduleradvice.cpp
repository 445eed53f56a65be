#include "details/schedulerimpl.h"

#include <algorithm>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// Workers asked about in one call of the advice service; more would take longer than a task waits.
constexpr std::size_t AdvisedWorkersMax = 30;
// A further question about a step is about at least this many workers, or comes after a pause.
constexpr std::size_t FollowUpWorkersLeast = 3;
constexpr auto FollowUpPause = 1000ms;
// A permission must outlive the way of the start order.
constexpr auto TicketMargin = 400ms;
constexpr auto AdviceRetry = 500ms;
// Beyond this many times its objective a job is of no use to its submitter.
constexpr int UsefulFactor = 3;

}

StepAdvice *Scheduler::Impl::adviceFor(JobEntry &entry, const Occurrence &occurrence, std::uint32_t step, PoolRoom &room, BootTime now)
{
    const auto queue = policy->queues.find(entry.job.record().queue);
    if (queue == policy->queues.end() || !queue->second.advice) {
        return nullptr;
    }
    StepAdvice &known = advice[{entry.job.record().id, {occurrence.number, step}}];
    if (known.inFlight || adviceInFlight >= adviceSlots || now < known.askAgainAt) {
        return &known;
    }
    AdviceOrder order{entry.job.record().id, occurrence.number, step, workersToAsk(known, entry.job.record().spec.steps[step].demand, room, now)};
    if (!order.workers.empty()) {
        known.inFlight = true;
        ++adviceInFlight;
        notice("advice-asked", {order.job, {occurrence.number, step, 0}}, 0, {}, std::to_string(order.workers.size()) + " workers");
        orders.emplace_back(std::move(order));
    }
    return &known;
}

std::vector<WorkerId> Scheduler::Impl::workersToAsk(const StepAdvice &known, const Resources &demand, const PoolRoom &room, BootTime now) const
{
    std::vector<WorkerId> withRoom;
    std::vector<WorkerId> full;
    for (const PlacementCandidate *candidate : room.open) {
        const WorkerId &worker = candidate->session->facts().id;
        const bool hasRoom = demand.fitsInto(candidate->session->room());
        if (known.usableTicket(worker, now) != nullptr) {
            // While a permitted worker has room nobody else needs to be asked about.
            if (hasRoom) {
                return {};
            }
        } else if (known.refused.count(worker) == 0) {
            (hasRoom ? withRoom : full).push_back(worker);
        }
    }
    // The first question is about all; after it the service is not troubled at once for the few that came since.
    const bool asked = !known.refused.empty() || !known.good.empty();
    if (asked && withRoom.size() < FollowUpWorkersLeast && now < known.askFewAt) {
        return {};
    }
    withRoom.insert(withRoom.end(), full.begin(), full.end());
    withRoom.resize(std::min(withRoom.size(), AdvisedWorkersMax));
    return withRoom;
}

void Scheduler::setAdviceSlots(std::size_t slots)
{
    m_impl->placingWanted = m_impl->placingWanted || slots > m_impl->adviceSlots;
    m_impl->adviceSlots = slots;
}

void Scheduler::noteAdvice(const AdviceOrder &order, const AdviceResult &result, BootTime now)
{
    Impl &impl = *m_impl;
    impl.adviceInFlight -= impl.adviceInFlight > 0 ? 1 : 0;
    impl.placingWanted = true;
    JobEntry *entry = impl.findEntry(order.job);
    if (entry == nullptr || !entry->job.isOpen()) {
        impl.advice.erase({order.job, {order.occurrence, order.step}});
        return;
    }
    entry->mayHaveReady = true;
    StepAdvice &known = impl.advice[{order.job, {order.occurrence, order.step}}];
    known.inFlight = false;
    const auto queue = impl.policy->queues.find(entry->job.record().queue);
    const TaskName step{order.job, {order.occurrence, order.step, 0}};
    if (!result || queue == impl.policy->queues.end() || !queue->second.advice) {
        impl.notice("advice-missing", step, 0, {});
        known.askAgainAt = now + AdviceRetry;
        return;
    }
    impl.notice("advice", step, 0, {}, std::to_string(result->size()) + " of " + std::to_string(order.workers.size()) + " workers");
    known.askFewAt = now + FollowUpPause;
    known.refused.insert(order.workers.begin(), order.workers.end());
    for (const Permission &permission : *result) {
        known.refused.erase(permission.worker);
        known.good[permission.worker] = {permission.ticket, now + queue->second.advice->validity - TicketMargin};
    }
}

std::size_t Scheduler::Impl::questionsLeft() const
{
    std::size_t left = 0;
    for (const auto &[id, entry] : jobs) {
        const auto queue = policy->queues.find(entry.job.record().queue);
        if (!entry.job.isOpen() || queue == policy->queues.end() || !queue->second.advice) {
            continue;
        }
        for (const Occurrence &occurrence : entry.job.record().occurrences) {
            left += static_cast<std::size_t>(std::count_if(occurrence.steps.begin(), occurrence.steps.end(), [](const std::vector<Task> &tasks) {
                return std::any_of(tasks.begin(), tasks.end(), [](const Task &task) {
                    return task.phase == TaskPhase::Waiting;
                });
            }));
        }
    }
    return left;
}

std::optional<std::chrono::milliseconds> Scheduler::adviceBehind(const JobRecord &record) const
{
    const auto queue = m_impl->policy->queues.find(record.queue);
    const bool lasting = std::any_of(record.spec.steps.begin(), record.spec.steps.end(), [](const StepSpec &step) {
        return step.lasting;
    });
    if (queue == m_impl->policy->queues.end() || !queue->second.advice || lasting || record.spec.recurrence.count > 0 || record.spec.steps.empty()) {
        return std::nullopt;
    }
    const AdvicePolicy &policy = *queue->second.advice;
    const std::chrono::milliseconds question = policy.perCall + policy.perWorker * static_cast<int>(AdvisedWorkersMax);
    const std::chrono::milliseconds behind = question * static_cast<int>(m_impl->questionsLeft()) / static_cast<int>(m_impl->adviceSlots);
    const std::vector<std::int64_t> chains = chainsFrom(record.spec, m_impl->expectedRunMs(record));
    const std::chrono::milliseconds chain(*std::max_element(chains.begin(), chains.end()));
    const std::chrono::milliseconds useful = objectiveAfter(record.terms, chain) * UsefulFactor - chain;
    if (behind <= useful) {
        return std::nullopt;
    }
    return behind - useful;
}

}
