#pragma once

#include "scheduling/scheduler.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Cornelquay::Testing {

/** A scheduler with healthy workers on a virtual clock, for tests of single decisions. */
class ScriptedFleet
{
public:
    static constexpr BootTime Start{std::chrono::milliseconds(1000000)};

    explicit ScriptedFleet(const std::vector<WorkerId> &workers, Resources capacity = {4000, 4000, 0});

    void addWorker(const WorkerId &id);
    /** Hands in a job. */
    void submit(const JobId &job, std::vector<StepSpec> steps);
    /** Lets @p duration pass, with a round of work every 10 ms. */
    void run(std::chrono::milliseconds duration);
    /** Ends a run as its worker. */
    void end(const WorkerId &worker, const TaskName &task, RunEnd how);

    Scheduler scheduler;
    BootTime now = Start;
    std::shared_ptr<FleetPolicy> policy = std::make_shared<FleetPolicy>();
    std::map<WorkerId, std::map<TaskName, std::uint32_t>> running;
    std::vector<StartOrder> starts;
    std::vector<StopOrder> stops;
    std::vector<PaceOrder> paces;
    /** For the advice service; answered by the test. */
    std::vector<AdviceOrder> questions;
    /** What workers answer to a start. */
    std::function<OrderResult(const StartOrder &order)> onStart;
    /** How far a run is, in per cent, and its load figure. */
    std::function<std::pair<int, std::int64_t>(const TaskName &task)> onListed;
    /** Called between the storing of a round's records and its orders. */
    std::function<void()> beforeOrders;

private:
    void carryOut(const Order &order);
    Listing list(const HoldOrder &order);

    const Resources m_capacity;
    std::map<WorkerId, std::vector<ListedEnd>> m_ended;
};

}
