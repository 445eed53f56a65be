#include "fleetsimulation.h"
#include "scriptedfleet.h"

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
    ScriptedFleet fleet({"w"});
    StepSpec serves;
    serves.demand = {1000, 100, 0};
    serves.lasting = true;
    serves.tailTargetMs = 100;
    StepSpec fills = serves;
    fills.tailTargetMs = 0;
    fills.fills = true;
    fleet.submit("job", {serves, fills});
    fleet.onListed = [&](const TaskName &task) {
        const bool slowed = !fleet.paces.empty();
        return std::pair<int, std::int64_t>(100, task.ref.step == 1 ? 500 : slowed ? 20 : 95);
    };
    fleet.run(4s);
    BOOST_REQUIRE(fleet.paces.size() >= 3U);
    BOOST_TEST(fleet.paces.front().percent == 40);
    BOOST_TEST(fleet.paces.back().percent == 100);
}

BOOST_AUTO_TEST_CASE(aTaskThatStandsStillIsStoppedAndRunElsewhere)
{
    ScriptedFleet fleet({"w1", "w2"});
    StepSpec step;
    step.demand = {1000, 100, 0};
    step.estimateMs = 500;
    fleet.submit("job", {step});
    fleet.onListed = [](const TaskName &) {
        return std::pair<int, std::int64_t>(30, 0);
    };
    fleet.run(1800ms);
    BOOST_TEST(fleet.starts.size() == 1U);
    fleet.run(2200ms);
    BOOST_REQUIRE(fleet.starts.size() == 2U);
    BOOST_TEST(fleet.starts[0].worker != fleet.starts[1].worker);
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
