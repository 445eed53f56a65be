#include "scriptedfleet.h"

#include "jobs/disruptedruns.h"

#include <algorithm>
#include <utility>

namespace Cornelquay::Testing {

namespace {

using namespace std::chrono_literals;

constexpr std::int64_t ClockMs = 5000;

}

ScriptedFleet::ScriptedFleet(const std::vector<WorkerId> &workers, Resources capacity, SchedulerOptions options, const ScriptedFleet *predecessor)
    : scheduler(SchedulerTimes{}, predecessor == nullptr ? 1 : predecessor->m_epoch + 1, options)
    , m_capacity(capacity)
    , m_epoch(predecessor == nullptr ? 1 : predecessor->m_epoch + 1)
{
    if (predecessor != nullptr) {
        now = predecessor->now;
        running = predecessor->running;
        racks = predecessor->racks;
        labels = predecessor->labels;
        stored = predecessor->stored;
        m_ended = predecessor->m_ended;
        m_silent = predecessor->m_silent;
        m_stopping = predecessor->m_stopping;
        scheduler.setPredecessor({6370ms, {}});
        for (const auto &[key, bytes] : stored) {
            if (key == DisruptedRunsKey) {
                scheduler.restoreDisruptions(bytes);
            } else {
                scheduler.restore(*decodeJob(bytes), now, 1);
            }
        }
    }
    policy->queues["queue"].terms = {"pool", 0, 3, 2.0, 1000};
    scheduler.setPolicy(policy);
    for (const WorkerId &id : workers) {
        addWorker(id);
    }
}

void ScriptedFleet::addWorker(const WorkerId &id, const std::string &pool)
{
    WorkerFacts facts;
    facts.id = id;
    facts.startTimeMs = 1;
    facts.pool = pool;
    facts.address = "192.0.2.1:1";
    facts.capacity = m_capacity;
    facts.rack = racks[id];
    facts.labels = labels[id];
    scheduler.updateWorker(facts, now);
}

void ScriptedFleet::submit(const JobId &job, std::vector<StepSpec> steps)
{
    JobRecord record;
    record.id = job;
    record.queue = "queue";
    record.terms = policy->queues["queue"].terms;
    record.spec.steps = std::move(steps);
    scheduler.submit(std::move(record), now, 1);
}

void ScriptedFleet::run(std::chrono::milliseconds duration)
{
    for (const BootTime until = now + duration; now < until;) {
        now += 10ms;
        for (const auto &[at, action] : std::exchange(m_scheduled, {})) {
            if (at <= now) {
                action();
            } else {
                m_scheduled.emplace_back(at, action);
            }
        }
        endStoppedRuns();
        scheduler.advance(now, 1);
        const RecordBatch batch = scheduler.takeBatch();
        for (const auto &[key, bytes] : batch.records) {
            stored[key] = bytes;
        }
        m_latestBatch = batch.isEmpty() ? m_latestBatch : batch.number;
        if (isStoreAvailable && !scheduler.isStored(m_latestBatch)) {
            scheduler.handleBatchStored(m_latestBatch, now);
        }
        if (beforeOrders) {
            beforeOrders();
        }
        for (const Order &order : scheduler.takeOrders(now, OrderScope::All)) {
            execute(order);
        }
    }
}

void ScriptedFleet::end(const WorkerId &worker, TaskName task, RunEnd how)
{
    const std::uint32_t run = running[worker].at(task);
    running[worker].erase(task);
    m_ended[worker].push_back({m_ended[worker].size() + 1, task, run, how, ""});
}

void ScriptedFleet::crash(const WorkerId &worker, std::chrono::milliseconds downtime)
{
    ++crashes;
    running[worker].clear();
    m_silent.insert(worker);
    m_scheduled.emplace_back(now + downtime, [this, worker] {
        m_silent.erase(worker);
        m_replaced.insert(worker);
        scheduler.unregisterWorker(worker);
        addWorker(worker + "'");
    });
}

void ScriptedFleet::cutOff(const WorkerId &worker, std::chrono::milliseconds duration)
{
    m_silent.insert(worker);
    m_scheduled.emplace_back(now + duration, [this, worker] {
        m_silent.erase(worker);
    });
}

void ScriptedFleet::executeStart(const StartOrder &order)
{
    starts.push_back(order);
    OrderResult result = onStart ? onStart(order) : OrderResult(OrderAccepted{ClockMs});
    if (m_silent.count(order.worker) != 0) {
        result = OrderRefusal::NotSent;
    } else if (m_replaced.count(order.worker) != 0) {
        result = OrderRefusal::OtherInstance;
    }
    if (std::holds_alternative<OrderAccepted>(result)) {
        running[order.worker][order.task] = order.run;
        if (crashingTasks.count(order.task) != 0) {
            m_scheduled.emplace_back(now + 10ms, [this, worker = order.worker] {
                crash(worker, 3s);
            });
        }
    }
    scheduler.handleStartResult(order, result, now, 1);
}

void ScriptedFleet::executeStop(const StopOrder &order)
{
    stops.push_back(order);
    if (onStop) {
        onStop(order);
    }
    m_stopping.push_back({order.worker, order.task, order.run, now + stopDelay});
    scheduler.handleStopResult(order, OrderAccepted{ClockMs}, now);
}

void ScriptedFleet::endStoppedRuns()
{
    for (const StoppingRun &stopping : std::exchange(m_stopping, {})) {
        if (now < stopping.endsAt) {
            m_stopping.push_back(stopping);
            continue;
        }
        const auto run = running[stopping.worker].find(stopping.task);
        if (run != running[stopping.worker].end() && run->second == stopping.run) {
            end(stopping.worker, stopping.task, RunEnd::Stopped);
        }
    }
}

void ScriptedFleet::executeRenewal(const RenewLeaseOrder &order)
{
    RenewLeaseResult result = makeListing(order);
    if (m_silent.count(order.worker) != 0) {
        result = OrderUnanswered{};
    } else if (m_replaced.count(order.worker) != 0) {
        result = OrderRefusal::OtherInstance;
    } else {
        acknowledged[order.worker] = std::max(acknowledged[order.worker], order.acknowledgedEnd);
    }
    scheduler.handleLeaseRenewalResult(order, now - 1ms, result, now, 1);
}

void ScriptedFleet::execute(const Order &order)
{
    if (const StartOrder *start = std::get_if<StartOrder>(&order)) {
        executeStart(*start);
    } else if (const StopOrder *stop = std::get_if<StopOrder>(&order)) {
        executeStop(*stop);
    } else if (const ThrottleOrder *throttle = std::get_if<ThrottleOrder>(&order)) {
        throttles.push_back(*throttle);
        scheduler.handleThrottleResult(*throttle, OrderAccepted{ClockMs});
    } else if (const AdviceOrder *request = std::get_if<AdviceOrder>(&order)) {
        adviceRequests.push_back(*request);
    } else if (const RenewLeaseOrder *renewal = std::get_if<RenewLeaseOrder>(&order)) {
        executeRenewal(*renewal);
    }
}

Listing ScriptedFleet::makeListing(const RenewLeaseOrder &order)
{
    Listing listing;
    listing.startTimeMs = 1;
    listing.clockMs = ClockMs;
    for (const auto &[task, run] : running[order.worker]) {
        const auto [percent, load] = onListed ? onListed(task) : std::pair<int, std::int64_t>(100, 0);
        listing.running.push_back({task, run, checkpoint, percent, load});
    }
    for (const ListedEnd &end : m_ended[order.worker]) {
        if (end.number > order.acknowledgedEnd && listing.ended.size() < maxListedEnds) {
            listing.ended.push_back(end);
        }
    }
    listing.mayHaveMoreEnds = listing.ended.size() >= maxListedEnds;
    return listing;
}

}
