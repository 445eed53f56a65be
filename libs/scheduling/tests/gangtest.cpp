#include "scriptedfleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace Cornelquay;
using namespace Cornelquay::Testing;
using namespace std::chrono_literals;

namespace {

StepSpec makeGang(std::uint32_t count)
{
    StepSpec step;
    step.count = count;
    step.demand = {3000, 100, 0};
    step.estimateMs = 500;
    step.gang = true;
    return step;
}

std::size_t startsOf(const ScriptedFleet &fleet, std::uint32_t run)
{
    return static_cast<std::size_t>(std::count_if(fleet.starts.begin(), fleet.starts.end(), [&](const StartOrder &start) {
        return start.run == run;
    }));
}

}

// A member that was started alone would occupy its worker while waiting for the others.
BOOST_AUTO_TEST_CASE(noMemberOfAGangIsStartedWithoutTheOthers)
{
    ScriptedFleet fleet({"w1", "w2", "w3", "w4"});
    fleet.run(100ms);
    fleet.submit("job", {makeGang(3)});
    bool cordoned = false;
    fleet.beforeOrders = [&] {
        // A maintenance wave cordons a worker after the placement and before the start order.
        if (!cordoned && fleet.scheduler.findWorker("w2")->freeCapacity().cpu < 4000) {
            fleet.scheduler.setCordoned({"w2"});
            cordoned = true;
        }
    };
    fleet.run(300ms);
    BOOST_REQUIRE(cordoned);
    BOOST_TEST(startsOf(fleet, 1) == 0U);
    BOOST_TEST(startsOf(fleet, 2) == 3U);
    BOOST_TEST(fleet.stops.empty());
}

BOOST_AUTO_TEST_CASE(theOtherMembersOfAGangAreStoppedWhenOneIsRejected)
{
    ScriptedFleet fleet({"w1", "w2", "w3"});
    fleet.run(100ms);
    fleet.submit("job", {makeGang(3)});
    bool refused = false;
    fleet.onStart = [&](const StartOrder &order) -> OrderResult {
        if (!refused && order.task.ref.index == 1) {
            refused = true;
            return OrderRefusal::NotEnoughCapacity;
        }
        return OrderAccepted{5000};
    };
    fleet.run(200ms);
    BOOST_TEST(fleet.stops.size() == 2U);
    fleet.run(1s);
    BOOST_TEST(startsOf(fleet, 2) == 3U);
    BOOST_TEST(fleet.running["w1"].size() + fleet.running["w2"].size() + fleet.running["w3"].size() == 3U);
}

BOOST_AUTO_TEST_CASE(aGangIsStartedAgainAsAWhole)
{
    ScriptedFleet fleet({"w1", "w2", "w3"});
    fleet.run(100ms);
    fleet.submit("job", {makeGang(2)});
    fleet.run(200ms);
    BOOST_REQUIRE(fleet.starts.size() == 2U);
    const StartOrder first = fleet.starts[0];
    const StartOrder second = fleet.starts[1];
    fleet.end(first.worker, first.task, RunEnd::Failed);
    fleet.run(500ms);
    // The gang is not restarted while its second member still runs.
    BOOST_TEST(startsOf(fleet, 2) == 0U);
    fleet.end(second.worker, second.task, RunEnd::GangMemberEnded);
    fleet.run(500ms);
    BOOST_TEST(startsOf(fleet, 2) == 2U);
}
