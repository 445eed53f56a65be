#pragma once

#include "jobs/jobcodec.h"
#include "scheduling/scheduler.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Cornelquay::Testing {

/**
 * A scheduler with healthy simulated workers on a virtual clock, for tests of single decisions. With a predecessor, it is the next
 * owner of that one's stored jobs and runs.
 */
class ScriptedFleet
{
public:
    static constexpr BootTime Start{std::chrono::milliseconds(1000000)};

    explicit ScriptedFleet(const std::vector<WorkerId> &workers,
                           Resources capacity = {4000, 4000, 0},
                           SchedulerOptions options = {},
                           const ScriptedFleet *predecessor = nullptr);

    void addWorker(const WorkerId &id, const std::string &pool = "pool");
    /** Submits a job to the queue "queue". */
    void submit(const JobId &job, std::vector<StepSpec> steps);
    /** Advances the clock by @p duration. Every 10 ms, the scheduler runs, its batch is stored and its orders are executed. */
    void run(std::chrono::milliseconds duration);
    /** Makes a worker report the end of a run. */
    void end(const WorkerId &worker, TaskName task, RunEnd how);
    /** Ends all runs of the worker, which answers nothing for @p downtime and then continues as another worker at the same address. */
    void crash(const WorkerId &worker, std::chrono::milliseconds downtime);
    /** The worker answers nothing for @p duration, while its runs continue. */
    void cutOff(const WorkerId &worker, std::chrono::milliseconds duration);

    Scheduler scheduler;
    BootTime now = Start;
    std::shared_ptr<FleetPolicy> policy = std::make_shared<FleetPolicy>();
    std::map<WorkerId, std::map<TaskName, std::uint32_t>> running;
    /** The rack of each worker that has one; set before the worker is added. */
    std::map<WorkerId, std::string> racks;
    /** The labels of each worker that has some; set before the worker is added. */
    std::map<WorkerId, std::vector<std::string>> labels;
    /** The highest end of each worker that was acknowledged to it. */
    std::map<WorkerId, std::uint64_t> acknowledged;
    std::vector<StartOrder> starts;
    std::vector<StopOrder> stops;
    std::vector<ThrottleOrder> throttles;
    /** Requests to the advice service that the test has not answered. */
    std::vector<AdviceOrder> adviceRequests;
    /** Returns the answer to a start order; if the function is empty, all orders are accepted. */
    std::function<OrderResult(const StartOrder &order)> onStart;
    /** Returns percentage and load of a run for listings; if the function is empty, these are 100 and 0. */
    std::function<std::pair<int, std::int64_t>(const TaskName &task)> onListed;
    /** Called after the batch is stored and before orders are taken. */
    std::function<void()> beforeOrders;
    /** Called with each stop order before the worker executes it. */
    std::function<void(const StopOrder &order)> onStop;
    /** Tasks that crash each worker 10 ms after it has started them. */
    std::set<TaskName> crashingTasks;
    std::size_t crashes = 0;
    /** While false, batches stay unconfirmed; they are confirmed once it is true again. */
    bool isStoreAvailable = true;
    /** Encoded records by their keys. */
    std::map<std::string, std::string> stored;
    /** The saved progress of all runs, for listings. */
    std::string checkpoint;
    /** The ends in a listing at most; the others follow once these are acknowledged. */
    std::size_t maxListedEnds = 500;
    /** Time that a worker takes to stop a run. */
    std::chrono::milliseconds stopDelay{0};

private:
    void execute(const Order &order);
    Listing makeListing(const RenewLeaseOrder &order);

    void executeStart(const StartOrder &order);
    void executeStop(const StopOrder &order);
    /** Ends the runs whose stop has taken stopDelay. */
    void endStoppedRuns();
    void executeRenewal(const RenewLeaseOrder &order);

    /** A run that a worker was told to stop. */
    struct StoppingRun {
        WorkerId worker;
        TaskName task;
        std::uint32_t run = 0;
        BootTime endsAt{};
    };

    const Resources m_capacity;
    const std::uint64_t m_epoch;
    std::vector<std::pair<BootTime, std::function<void()>>> m_scheduled;
    std::vector<StoppingRun> m_stopping;
    std::set<WorkerId> m_silent;
    std::set<WorkerId> m_replaced;
    std::uint64_t m_latestBatch = 0;
    std::map<WorkerId, std::vector<ListedEnd>> m_ended;
};

}
