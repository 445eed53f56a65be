#include "fleetsimulation.h"

#include <boost/test/unit_test.hpp>

using namespace Cornelquay;
using namespace Cornelquay::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t Seeds = 30;

void playSeeds(const FaultTable &faults, double completedLeast)
{
    std::size_t accepted = 0;
    std::size_t completed = 0;
    for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
        FleetSimulation fleet(seed, faults, 5);
        fleet.play(20s, 90s, 40);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(fleet.starts() > 0U);
            for (const std::string &violation : fleet.violations()) {
                BOOST_ERROR(violation);
            }
        }
        accepted += fleet.acceptedJobs();
        completed += fleet.completedJobs();
    }
    BOOST_TEST(static_cast<double>(completed) >= completedLeast * static_cast<double>(accepted));
}

}

BOOST_AUTO_TEST_CASE(fillingRunsArePacedByWhatServes)
{
    constexpr BootTime Start{std::chrono::milliseconds(1000000)};
    Scheduler scheduler(SchedulerTimes{}, 1);
    auto policy = std::make_shared<FleetPolicy>();
    policy->queues["queue"].terms = {"pool", 0, 3, 2.0, 1000};
    scheduler.setPolicy(policy);
    WorkerFacts facts;
    facts.id = "w";
    facts.bornMs = 1;
    facts.pool = "pool";
    facts.address = "192.0.2.1:1";
    facts.capacity = {4000, 4000, 0};
    scheduler.workerSeen(facts, Start);
    JobRecord record;
    record.id = "job";
    record.queue = "queue";
    record.terms = policy->queues["queue"].terms;
    StepSpec serves;
    serves.demand = {1000, 100, 0};
    serves.lasting = true;
    serves.tailTargetMs = 100;
    StepSpec fills = serves;
    fills.tailTargetMs = 0;
    fills.fills = true;
    record.spec.steps = {serves, fills};
    scheduler.submit(std::move(record), Start, 1);

    std::map<TaskName, std::uint32_t> running;
    std::int64_t tail = 95;
    std::vector<int> paces;
    BootTime now = Start;
    for (int step = 0; step < 400; ++step) {
        now += 10ms;
        scheduler.advance(now, 1);
        const RecordBatch batch = scheduler.takeBatch();
        if (!batch.isEmpty()) {
            scheduler.noteStored(batch.number, now);
        }
        for (const Order &order : scheduler.takeOrders(now, OrderScope::All)) {
            if (const StartOrder *start = std::get_if<StartOrder>(&order)) {
                running[start->task] = start->run;
                scheduler.noteStart(*start, OrderTaken{5000}, now, 1);
            } else if (const PaceOrder *pace = std::get_if<PaceOrder>(&order)) {
                paces.push_back(pace->percent);
                tail = 20;
            } else if (const HoldOrder *hold = std::get_if<HoldOrder>(&order)) {
                Listing listing;
                listing.bornMs = 1;
                listing.clockMs = 5000;
                for (const auto &[task, run] : running) {
                    listing.running.push_back({task, run, "", 100, task.ref.step == 0 ? tail : 500});
                }
                scheduler.noteHold(*hold, now - 1ms, listing, now, 1);
            }
        }
    }
    BOOST_REQUIRE(paces.size() >= 3U);
    BOOST_TEST(paces[0] == 40);
    BOOST_TEST(paces.back() == 100);
}

BOOST_AUTO_TEST_CASE(aTaskThatStandsStillIsStoppedAndRunElsewhere)
{
    constexpr BootTime Start{std::chrono::milliseconds(1000000)};
    Scheduler scheduler(SchedulerTimes{}, 1);
    auto policy = std::make_shared<FleetPolicy>();
    policy->queues["queue"].terms = {"pool", 0, 3, 2.0, 1000};
    scheduler.setPolicy(policy);
    for (const char *id : {"w1", "w2"}) {
        WorkerFacts facts;
        facts.id = id;
        facts.bornMs = 1;
        facts.pool = "pool";
        facts.address = "192.0.2.1:1";
        facts.capacity = {4000, 4000, 0};
        scheduler.workerSeen(facts, Start);
    }
    JobRecord record;
    record.id = "job";
    record.queue = "queue";
    record.terms = policy->queues["queue"].terms;
    StepSpec step;
    step.demand = {1000, 100, 0};
    step.estimateMs = 500;
    record.spec.steps = {step};
    scheduler.submit(std::move(record), Start, 1);

    std::map<WorkerId, std::map<TaskName, std::uint32_t>> running;
    std::map<WorkerId, std::vector<ListedEnd>> ended;
    std::vector<WorkerId> starts;
    BootTime now = Start;
    for (int tick = 0; tick < 600; ++tick) {
        now += 10ms;
        scheduler.advance(now, 1);
        const RecordBatch batch = scheduler.takeBatch();
        if (!batch.isEmpty()) {
            scheduler.noteStored(batch.number, now);
        }
        for (const Order &order : scheduler.takeOrders(now, OrderScope::All)) {
            if (const StartOrder *start = std::get_if<StartOrder>(&order)) {
                running[start->worker][start->task] = start->run;
                starts.push_back(start->worker);
                scheduler.noteStart(*start, OrderTaken{5000}, now, 1);
            } else if (const StopOrder *stop = std::get_if<StopOrder>(&order)) {
                running[stop->worker].erase(stop->task);
                ended[stop->worker].push_back({ended[stop->worker].size() + 1, stop->task, stop->run, RunEnd::Stopped, ""});
                scheduler.noteStop(*stop, OrderTaken{5000}, now);
            } else if (const HoldOrder *hold = std::get_if<HoldOrder>(&order)) {
                Listing listing;
                listing.bornMs = 1;
                listing.clockMs = 5000;
                for (const auto &[task, run] : running[hold->worker]) {
                    listing.running.push_back({task, run, "", 30, 0});
                }
                for (const ListedEnd &end : ended[hold->worker]) {
                    if (end.number > hold->acknowledgedEnd) {
                        listing.ended.push_back(end);
                    }
                }
                scheduler.noteHold(*hold, now - 1ms, listing, now, 1);
            }
        }
        if (starts.size() == 2) {
            break;
        }
    }
    BOOST_REQUIRE(starts.size() == 2U);
    BOOST_TEST(starts[0] != starts[1]);
    BOOST_TEST((now - Start).count() > 1800);
    BOOST_TEST((now - Start).count() < 4000);
}

BOOST_AUTO_TEST_CASE(aCalmFleetCompletesItsJobs)
{
    // One job in six is cancelled.
    playSeeds({}, 0.75);
}

BOOST_AUTO_TEST_CASE(lostAnswersStartNothingTwice)
{
    FaultTable faults;
    faults.lostAnswers = 0.1;
    playSeeds(faults, 0.7);
}

BOOST_AUTO_TEST_CASE(ordersCarriedOutLateStartNothingTwice)
{
    FaultTable faults;
    faults.lateOrders = 0.06;
    playSeeds(faults, 0.7);
}

BOOST_AUTO_TEST_CASE(workersThatStartAgainUnderTheirIdAreAskedAnew)
{
    FaultTable faults;
    faults.crashEvery = 3s;
    playSeeds(faults, 0.7);
}

BOOST_AUTO_TEST_CASE(workersCutOffKeepTheirRunsUntilTheirLeasesEnd)
{
    FaultTable faults;
    faults.cutEvery = 4s;
    playSeeds(faults, 0.7);
}

BOOST_AUTO_TEST_CASE(aNewOwnerKnowsWhereEachRunMayBe)
{
    FaultTable faults;
    faults.ownerEvery = 5s;
    playSeeds(faults, 0.6);
}

BOOST_AUTO_TEST_CASE(failingTasksUseUpTheirAttempts)
{
    FaultTable faults;
    faults.failingTasks = 0.1;
    playSeeds(faults, 0.6);
}

BOOST_AUTO_TEST_CASE(allFaultsTogetherBreakNoPromise)
{
    FaultTable faults;
    faults.lostAnswers = 0.05;
    faults.lateOrders = 0.03;
    faults.notSent = 0.03;
    faults.failingTasks = 0.03;
    faults.crashEvery = 8s;
    faults.cutEvery = 8s;
    faults.ownerEvery = 9s;
    faults.storeEvery = 10s;
    playSeeds(faults, 0.5);
}
