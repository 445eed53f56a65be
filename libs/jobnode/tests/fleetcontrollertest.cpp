#include "jobnode/fleetcontroller.h"

#include <boost/test/unit_test.hpp>

#include <memory>

using namespace Cornelquay;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t ClockMs = 5000;

/** One instance, whose worker runs one task. The control plane answers orders with the given results, and accepts all later ones. */
struct SingleInstanceFixture {
    SingleInstanceFixture()
    {
        policy->version = 1;
        policy->queues["queue"].terms = {"pool", 0, 3, 2.0, 1000};
        policy->pools["pool"] = {};
        scheduler.setPolicy(policy);
        port.list = [this](const std::string &, const InstancePort::ListHandler &handler) {
            InstanceFacts facts;
            facts.id = "m1";
            facts.pool = "pool";
            facts.worker = worker;
            facts.capacity = {4000, 4000, 0};
            handler(InstancePage{{facts}, {}});
        };
        port.order = [this](const InstanceOrder &, std::uint64_t, const SendCondition &, std::chrono::milliseconds, const InstancePort::OrderHandler &handler) {
            ++orders;
            if (holdAnswers) {
                heldAnswers.push_back(handler);
                return;
            }
            handler(results.empty() ? InstanceResult(InstanceOrderAccepted{}) : results.front());
            if (!results.empty()) {
                results.erase(results.begin());
            }
        };
        port.reportWave = [](std::uint64_t, bool, const SendCondition &, const InstancePort::ReportHandler &handler) {
            handler(true);
        };
        takeOver({true, true, {}, {}});
    }

    /** Replaces the controller by one that follows a predecessor. */
    void takeOver(const InstanceHandOver &handOver)
    {
        const auto mayOrder = [] {
            return true;
        };
        controller = std::make_shared<FleetController>(port, scheduler, InstanceTimes{}, 1, handOver, mayOrder, metrics);
    }

    /** Advances the controller; the store stores its record at once. */
    void advance(BootTime now)
    {
        controller->advance(now, *policy);
        if (controller->takeAnnouncement(now)) {
            controller->handleAnnouncementStored(now);
        }
    }

    /** Registers a worker on the instance, submits a job and drives the scheduler until the job runs there. */
    void runJobOn(const WorkerId &id, BootTime now)
    {
        worker = id;
        WorkerFacts facts;
        facts.id = id;
        facts.startTimeMs = 1;
        facts.pool = "pool";
        facts.address = "192.0.2.1:1";
        facts.capacity = {4000, 4000, 0};
        scheduler.updateWorker(facts, now);
        JobRecord record;
        record.id = "job";
        record.queue = "queue";
        record.terms = policy->queues["queue"].terms;
        StepSpec step;
        step.demand = {1000, 100, 0};
        step.estimateMs = 500;
        record.spec.steps = {step};
        scheduler.submit(std::move(record), now, 1);
        for (int round = 0; round < 10; ++round) {
            work(now + round * 10ms);
        }
    }

    /** Advances the scheduler once; the worker and the store answer at once. */
    void work(BootTime now)
    {
        scheduler.advance(now, 1);
        const RecordBatch batch = scheduler.takeBatch();
        if (!batch.isEmpty()) {
            scheduler.handleBatchStored(batch.number, now);
        }
        for (const Order &order : scheduler.takeOrders(now, OrderScope::All)) {
            if (const StartOrder *start = std::get_if<StartOrder>(&order)) {
                ++starts;
                running[start->task] = start->run;
                scheduler.handleStartResult(*start, OrderAccepted{ClockMs}, now, 1);
            } else if (const RenewLeaseOrder *hold = std::get_if<RenewLeaseOrder>(&order)) {
                Listing listing;
                listing.startTimeMs = 1;
                listing.clockMs = ClockMs;
                for (const auto &[task, run] : running) {
                    listing.running.push_back({task, run, "", 50, 0});
                }
                scheduler.handleLeaseRenewalResult(*hold, now - 1ms, listing, now, 1);
            }
        }
    }

    Metrics metrics;
    Scheduler scheduler{SchedulerTimes{}, 1};
    std::shared_ptr<FleetPolicy> policy = std::make_shared<FleetPolicy>();
    InstancePort port;
    std::shared_ptr<FleetController> controller;
    WorkerId worker;
    std::vector<InstanceResult> results;
    /** While set, orders are not answered. */
    bool holdAnswers = false;
    std::vector<InstancePort::OrderHandler> heldAnswers;
    std::map<TaskName, std::uint32_t> running;
    int orders = 0;
    int starts = 0;
};

}

// An order that was carried out, but whose answer was lost, is repeated; the control plane accepts the repeat without an
// effect. The controller must not conclude that the runs of the instance's next worker have ended.
BOOST_AUTO_TEST_CASE(aRepeatedOrderDoesNotEndTheRunsOfTheNextWorker)
{
    SingleInstanceFixture fleet;
    const BootTime begin = BootClock::now();
    fleet.worker = "w1";
    fleet.results = {OrderUnanswered{}};
    fleet.controller->addWave({1, {"m1"}, 500ms, 1}, begin - 10s);
    fleet.advance(begin);
    BOOST_REQUIRE(fleet.orders == 1);
    // The order was carried out: the instance is up again with its next worker, which runs a job.
    fleet.runJobOn("w2", begin + 500ms);
    BOOST_REQUIRE(fleet.starts == 1);
    const BootTime repeated = BootClock::now() + 2s;
    fleet.advance(repeated);
    BOOST_REQUIRE(fleet.orders == 2);
    for (int round = 0; round < 20; ++round) {
        fleet.work(repeated + round * 10ms);
    }
    BOOST_TEST(fleet.starts == 1);
    BOOST_TEST(fleet.scheduler.findWorker("w2")->runs().size() == 1U);
}

// The predecessor lost its contact but not its process: orders that it sent until its permission expired may arrive until
// their timeout. The worker of the instance was started long ago, so the predecessor's orders have not reached it yet.
BOOST_AUTO_TEST_CASE(theFirstOrderWaitsForThoseOfAPredecessorThatHasNotEnded)
{
    SingleInstanceFixture fleet;
    const BootTime begin = BootClock::now();
    const InstanceTimes times;
    const std::chrono::milliseconds permission = 600ms;
    fleet.runJobOn("w1", begin);
    fleet.takeOver({false, false, {}, permission});
    fleet.controller->notePredecessorFenced(begin);
    fleet.controller->addWave({1, {"m1"}, 500ms, 1}, begin - 10s);
    fleet.advance(begin);
    fleet.advance(begin + permission + times.orderTimeout - 1ms);
    BOOST_TEST(fleet.orders == 0);
    fleet.advance(begin + permission + times.orderTimeout + 100ms);
    BOOST_TEST(fleet.orders == 1);
}

// With thousands of instances, orders wait for their turn at the control plane for longer than a decision takes. The worker of an
// instance with such an order must get no run meanwhile, because the order would end it.
BOOST_AUTO_TEST_CASE(nothingIsPlacedWhileAnOrderIsUnderWay)
{
    SingleInstanceFixture fleet;
    const BootTime begin = BootClock::now();
    fleet.worker = "w1";
    fleet.holdAnswers = true;
    fleet.controller->addWave({1, {"m1"}, 500ms, 1}, begin - 10s);
    fleet.advance(begin);
    BOOST_REQUIRE(fleet.orders == 1);
    fleet.advance(begin + 200ms);
    fleet.runJobOn("w1", begin + 210ms);
    BOOST_TEST(fleet.starts == 0);
    // Without an answer the order may have taken effect, so the worker stays cordoned until a later list shows it.
    fleet.heldAnswers.front()(OrderUnanswered{});
    fleet.advance(BootClock::now() + 400ms);
    fleet.runJobOn("w1", begin + 500ms);
    BOOST_TEST(fleet.starts == 0);
}

// Guards against a run that ends with its worker, because the order of a predecessor that was cut off takes effect after the takeover.
BOOST_AUTO_TEST_CASE(nothingIsPlacedWhereAnOrderOfThePredecessorMayArrive)
{
    constexpr std::uint64_t PredecessorEpoch = 7;
    constexpr auto Permission = 600ms;
    SingleInstanceFixture fleet;
    const BootTime begin = BootClock::now();
    fleet.worker = "w1";
    InstanceHandOver handOver{false, false, {}, Permission};
    handOver.predecessorEpoch = PredecessorEpoch;
    fleet.takeOver(handOver);
    fleet.controller->notePredecessorFenced(begin);
    fleet.controller->restoreOrders(encode(InstanceOrderRecord{PredecessorEpoch, true, {"m1"}, {}}));
    fleet.advance(begin);
    fleet.runJobOn("w1", begin + 10ms);
    BOOST_TEST(fleet.starts == 0);
    const BootTime end = begin + Permission + InstanceTimes{}.orderTimeout + 100ms;
    fleet.advance(end);
    fleet.work(end + 110ms);
    fleet.work(end + 220ms);
    BOOST_TEST(fleet.starts == 1);
}

// An order of a predecessor, or one whose answer was lost, replaced the worker. Its runs must not wait for the end of a lease of up
// to 10 s.
BOOST_AUTO_TEST_CASE(runsOfAReplacedWorkerEndWithTheList)
{
    SingleInstanceFixture fleet;
    const BootTime begin = BootClock::now();
    fleet.runJobOn("w1", begin);
    BOOST_REQUIRE(fleet.starts == 1);
    fleet.advance(begin + 200ms);
    fleet.worker = "w2";
    fleet.advance(begin + 1200ms);
    BOOST_TEST(fleet.scheduler.findWorker("w1")->runs().empty());
}

// The control plane refuses orders beyond its rate. A plan that moves hundreds of instances at once must not send them all.
BOOST_AUTO_TEST_CASE(ordersKeepToTheRateOfTheControlPlane)
{
    SingleInstanceFixture fleet;
    fleet.policy->pools["standby"].standby = true;
    fleet.port.list = [](const std::string &, const InstancePort::ListHandler &handler) {
        InstancePage page;
        for (int index = 0; index < 200; ++index) {
            InstanceFacts facts;
            facts.id = "m" + std::to_string(index);
            facts.pool = "pool";
            facts.worker = "w" + std::to_string(index);
            facts.capacity = {4000, 4000, 0};
            page.instances.push_back(facts);
        }
        handler(page);
    };
    InstanceTimes times;
    times.maxOrdersPerSecond = 10;
    times.pools.idleTimeout = 0ms;
    const auto mayOrder = [] {
        return true;
    };
    fleet.controller = std::make_shared<FleetController>(fleet.port, fleet.scheduler, times, 1, InstanceHandOver{true, true, {}, {}}, mayOrder, fleet.metrics);
    const BootTime begin = BootClock::now();
    for (int step = 0; step <= 10; ++step) {
        WorkerFacts facts;
        facts.pool = "pool";
        for (int index = 0; index < 200; ++index) {
            facts.id = "w" + std::to_string(index);
            fleet.scheduler.updateWorker(facts, begin);
        }
        fleet.advance(begin + step * 100ms);
    }
    BOOST_TEST(fleet.orders > 0);
    BOOST_TEST(fleet.orders <= 15);
}

// Guards against standby instances of an evacuated zone that are moved into a pool, by a fresh view, a stale one, or from a queue
// of orders.
BOOST_AUTO_TEST_CASE(instancesOfAnEvacuatedZoneAreMaintainedButNotMoved)
{
    SingleInstanceFixture fleet;
    fleet.policy->pools["standby"].standby = true;
    fleet.port.list = [](const std::string &, const InstancePort::ListHandler &handler) {
        InstanceFacts facts;
        facts.id = "m1";
        facts.pool = "standby";
        facts.zone = "a";
        facts.capacity = {4000, 4000, 0};
        handler(InstancePage{{facts}, {}});
    };
    std::vector<std::pair<InstanceOrder, SendCondition>> orders;
    fleet.port.order = [&](const InstanceOrder &order, std::uint64_t, const SendCondition &maySend, auto, const InstancePort::OrderHandler &handler) {
        orders.emplace_back(order, maySend);
        handler(InstanceRefusal::Later);
    };
    const BootTime begin = BootClock::now();
    ZoneEvacuation evacuation;
    evacuation.setZones({"a"}, begin);
    fleet.scheduler.awaitEvacuationView(begin);
    fleet.advance(begin + 100ms);
    BOOST_TEST(orders.empty());
    evacuation.noteRead(begin);
    fleet.scheduler.setEvacuation(evacuation);
    fleet.advance(begin + 200ms);
    BOOST_TEST(orders.empty());
    fleet.controller->addWave({1, {"m1"}, 500ms, 1}, begin - 10s);
    fleet.advance(begin + 300ms);
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST(std::holds_alternative<MaintainInstance>(orders[0].first));
    BOOST_TEST(orders[0].second());
    fleet.takeOver({true, true, {}, {}});
    evacuation.setZones({}, begin);
    fleet.scheduler.setEvacuation(evacuation);
    fleet.advance(begin + 400ms);
    BOOST_REQUIRE(orders.size() == 2U);
    BOOST_TEST(std::holds_alternative<MoveInstance>(orders[1].first));
    BOOST_TEST(orders[1].second());
    evacuation.setZones({"a"}, begin);
    fleet.scheduler.setEvacuation(evacuation);
    BOOST_TEST(!orders[1].second());
}
