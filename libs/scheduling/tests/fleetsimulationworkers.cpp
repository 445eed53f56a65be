#include "fleetsimulation.h"

#include <algorithm>

namespace Cornelquay::Testing {

using namespace std::chrono_literals;

std::int64_t FleetSimulation::clockOf(const SimulatedWorker &worker) const
{
    return worker.clockStart + static_cast<std::int64_t>(static_cast<double>((m_now - worker.startedAt).count()) * worker.clockRate);
}

template<typename Result>
std::optional<Result> FleetSimulation::refuse(SimulatedWorker &worker, std::uint64_t token)
{
    if (worker.down) {
        return OrderUnanswered{};
    }
    work(worker);
    if (token < worker.token) {
        return OrderRefusal::Fenced;
    }
    worker.token = token;
    return std::nullopt;
}

OrderResult FleetSimulation::start(SimulatedWorker &worker, const StartOrder &order)
{
    if (const std::optional<OrderResult> refused = refuse<OrderResult>(worker, order.fencingToken)) {
        return *refused;
    }
    const std::int64_t clock = clockOf(worker);
    const auto running = worker.running.find(order.task);
    if (running != worker.running.end() && running->second.run == order.run) {
        return OrderTaken{clock};
    }
    const auto closed = worker.closedRuns.find(order.task);
    if (closed != worker.closedRuns.end() && order.run <= closed->second) {
        return OrderRefusal::OldRun;
    }
    if (order.leaseUntilMs <= clock) {
        return OrderRefusal::Late;
    }
    worker.leaseMs = std::max(worker.leaseMs, std::min(order.leaseUntilMs, clock + LeaseMost.count()));
    const JobSpec &spec = m_specs.at(order.task.job);
    const StepSpec &step = spec.steps[order.task.ref.step];
    for (const auto &[id, other] : m_workers) {
        check(other.running.count(order.task) == 0, "two runs at once on " + id + " and " + worker.id, order.task);
    }
    check(m_notedDone.count(order.task) == 0, "a start after an end that was noted", order.task);
    for (const std::uint32_t earlier : step.after) {
        for (std::uint32_t index = 0; index < spec.steps[earlier].count; ++index) {
            check(m_done.count({order.task.job, {0, earlier, index}}) != 0, "a start before an earlier step was done", order.task);
        }
    }
    const auto cancelled = m_cancelled.find(order.task.job);
    check(cancelled == m_cancelled.end() || m_now - cancelled->second < 3s, "a start after the cancel", order.task);
    check((usedOf(worker) + step.demand).fitsInto(WorkerCapacity), "more than " + worker.id + " has room for", order.task);
    remember(order.task, worker.id + " starts run " + std::to_string(order.run) + " of epoch " + std::to_string(order.fencingToken / 1000000));
    const Resources account = m_accountRunning["account"] + step.demand;
    check(account.cpu <= AccountCap.cpu + step.demand.cpu, "more than the account may run", order.task);
    m_accountRunning["account"] += step.demand;
    worker.running[order.task] = {order.run, m_now + around(std::chrono::milliseconds(step.estimateMs)), chance(m_faults.failingTasks), step.demand};
    ++m_starts;
    return OrderTaken{clock};
}

HoldResult FleetSimulation::hold(SimulatedWorker &worker, const HoldOrder &order)
{
    if (const std::optional<HoldResult> refused = refuse<HoldResult>(worker, order.fencingToken)) {
        return *refused;
    }
    const std::int64_t clock = clockOf(worker);
    worker.leaseMs = std::max(worker.leaseMs, std::min(order.leaseUntilMs, clock + LeaseMost.count()));
    for (const ListedEnd &end : worker.ended) {
        if (end.number > order.acknowledgedEnd) {
            continue;
        }
        remember(end.task, worker.id + " forgets end " + std::to_string(end.number) + " of run " + std::to_string(end.run));
        check(worker.shown.count(end.number) != 0, "an end was acknowledged that nobody has seen", end.task);
        if (end.how == RunEnd::Done && worker.lapsedAfter.count(end.number) == 0) {
            m_notedDone.insert(end.task);
        }
    }
    std::erase_if(worker.ended, [&](const ListedEnd &end) {
        return end.number <= order.acknowledgedEnd;
    });
    Listing listing;
    listing.bornMs = worker.bornMs;
    listing.clockMs = clock;
    for (const auto &[task, run] : worker.running) {
        listing.running.push_back({task, run.run, "", 50, 0});
    }
    listing.ended = worker.ended;
    for (const ListedEnd &end : worker.ended) {
        worker.shown.insert(end.number);
    }
    return listing;
}

OrderResult FleetSimulation::stop(SimulatedWorker &worker, const StopOrder &order)
{
    if (const std::optional<OrderResult> refused = refuse<OrderResult>(worker, order.fencingToken)) {
        return *refused;
    }
    worker.closedRuns[order.task] = std::max(worker.closedRuns[order.task], order.run);
    const auto found = worker.running.find(order.task);
    if (found != worker.running.end() && found->second.run == order.run) {
        endRun(worker, order.task, RunEnd::Stopped);
    }
    return OrderTaken{clockOf(worker)};
}

void FleetSimulation::endRun(SimulatedWorker &worker, const TaskName &task, RunEnd how)
{
    const SimulatedRun run = worker.running.at(task);
    worker.running.erase(task);
    m_accountRunning["account"] -= run.demand;
    worker.closedRuns[task] = std::max(worker.closedRuns[task], run.run);
    worker.ended.push_back({++worker.lastEnd, task, run.run, how, ""});
    remember(task, worker.id + " ends run " + std::to_string(run.run) + " " + std::string(toName(how)));
    if (how == RunEnd::Done) {
        m_done.insert(task);
    }
}

void FleetSimulation::work(SimulatedWorker &worker)
{
    std::vector<std::pair<TaskName, RunEnd>> ends;
    if (worker.down) {
        return;
    }
    const bool lapsed = clockOf(worker) > worker.leaseMs;
    for (const auto &[task, run] : worker.running) {
        if (m_now >= run.endsAt) {
            ends.emplace_back(task, run.fails ? RunEnd::Failed : RunEnd::Done);
        } else if (lapsed) {
            ends.emplace_back(task, RunEnd::Lapsed);
        }
    }
    for (const auto &[task, how] : ends) {
        endRun(worker, task, how);
    }
    for (const ListedEnd &end : worker.ended) {
        if (lapsed) {
            worker.lapsedAfter.insert(end.number);
        }
    }
}

void FleetSimulation::crash(SimulatedWorker &worker)
{
    if (worker.down) {
        return;
    }
    for (const auto &[task, run] : worker.running) {
        m_accountRunning["account"] -= run.demand;
    }
    worker.running.clear();
    worker.down = true;
    at(between(1200, 6000), [this, &worker] {
        SimulatedWorker next;
        next.id = worker.id;
        next.startedAt = m_now;
        next.bornMs = wallMs();
        next.clockStart = std::uniform_int_distribution<std::int64_t>(1, 9000000)(m_random);
        next.cut = worker.cut;
        worker = std::move(next);
    });
}

Resources FleetSimulation::usedOf(const SimulatedWorker &worker) const
{
    Resources used;
    for (const auto &[task, run] : worker.running) {
        used += run.demand;
    }
    return used;
}

}
