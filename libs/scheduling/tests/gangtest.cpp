#include "fleetsimulation.h"
#include "scriptedfleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>

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

namespace {

/** A job whose first step is a gang of @p members on workers of their own, and whose second step follows it. */
std::vector<StepSpec> gangAndNextStep(std::uint32_t members)
{
    StepSpec next;
    next.count = 1;
    next.demand = {1000, 100, 0};
    next.estimateMs = 500;
    next.after = {0};
    return {makeGang(members), next};
}

bool hasStartedNextStep(const ScriptedFleet &fleet)
{
    return std::any_of(fleet.starts.begin(), fleet.starts.end(), [](const StartOrder &start) {
        return start.task.ref.step == 1;
    });
}

}

// Guards against a gang that never runs again, because the end of one member is heard of after another one's worker came back empty.
BOOST_AUTO_TEST_CASE(aGangThatEndedUnseenIsFinishedByTheFirstEndThatIsHeardOf)
{
    for (const std::uint32_t members : {2U, 3U, 5U}) {
        for (const bool isOwnerReplaced : {false, true}) {
            BOOST_TEST_CONTEXT(members << " members, " << (isOwnerReplaced ? "a new owner" : "one owner"))
            {
                const std::vector<WorkerId> workers = {"w1", "w2", "w3", "w4", "w5"};
                ScriptedFleet former(workers);
                former.run(100ms);
                former.submit("job", gangAndNextStep(members));
                former.run(300ms);
                BOOST_REQUIRE(former.starts.size() == members);
                // All workers but the last one crash after the end of their members, which nobody has heard of.
                std::optional<ScriptedFleet> successor;
                if (isOwnerReplaced) {
                    successor.emplace(workers, Resources{4000, 4000, 0}, SchedulerOptions{}, &former);
                }
                ScriptedFleet &fleet = successor ? *successor : former;
                const StartOrder last = former.starts.back();
                fleet.cutOff(last.worker, 2s);
                for (const StartOrder &start : former.starts) {
                    if (start.worker != last.worker) {
                        fleet.crash(start.worker, 500ms);
                    }
                }
                fleet.end(last.worker, last.task, RunEnd::Done);
                fleet.run(1500ms);
                BOOST_TEST(!hasStartedNextStep(fleet));
                fleet.run(1s);
                BOOST_TEST(hasStartedNextStep(fleet));
                BOOST_TEST(startsOf(fleet, 2) == 0U);
            }
        }
    }
}

// Guards against a job that waits for the worker of a member although another member has shown that its gang is done.
BOOST_AUTO_TEST_CASE(aGangIsDoneWhileAMemberCannotBeReached)
{
    for (const RunEnd otherEnd : {RunEnd::Done, RunEnd::Stopped, RunEnd::LeaseExpired, RunEnd::GangMemberEnded, RunEnd::GangIncomplete, RunEnd::Failed}) {
        ScriptedFleet fleet({"w1", "w2", "w3"});
        fleet.run(100ms);
        fleet.submit("job", gangAndNextStep(2));
        fleet.run(200ms);
        BOOST_REQUIRE(fleet.starts.size() == 2U);
        const StartOrder first = fleet.starts[0];
        const StartOrder second = fleet.starts[1];
        fleet.cutOff(second.worker, 2s);
        fleet.end(first.worker, first.task, RunEnd::Done);
        fleet.end(second.worker, second.task, otherEnd);
        fleet.run(500ms);
        BOOST_REQUIRE(hasStartedNextStep(fleet));
        const StartOrder next = fleet.starts.back();
        fleet.end(next.worker, next.task, RunEnd::Done);
        fleet.run(3s);
        BOOST_TEST((fleet.scheduler.stateOf("job") == JobState::Completed));
        BOOST_TEST(fleet.starts.size() == 3U);
        BOOST_TEST(fleet.stops.empty());
        BOOST_TEST(fleet.scheduler.counts().runs == 0U);
        BOOST_TEST(fleet.acknowledged[second.worker] == 1U);
    }
}

// Guards against gangs that never go on, or that run again after an end that was acknowledged, in whatever order their members are heard of.
BOOST_AUTO_TEST_CASE(gangsEndUnderCrashesPartitionsAndChangesOfTheOwner)
{
    FaultTable faults;
    faults.gangFraction = 0.7;
    faults.cutOffGangFraction = 0.2;
    faults.crashInterval = 1500ms;
    faults.partitionInterval = 1000ms;
    faults.ownerChangeInterval = 3s;
    faults.lostAnswerFraction = 0.03;
    faults.period = 40s;
    std::size_t completed = 0;
    const SeedRange seeds = simulationSeeds();
    for (const double newIdFraction : {0.0, 0.3}) {
        faults.newIdFraction = newIdFraction;
        for (std::uint32_t seed = seeds.first; seed <= seeds.last; ++seed) {
            FleetSimulation fleet(seed, faults, 5);
            fleet.simulate(38s, 150s, 40);
            BOOST_TEST_CONTEXT("new ids " << newIdFraction << ", seed " << seed)
            {
                for (const std::string &violation : fleet.violations()) {
                    BOOST_ERROR(violation);
                }
                for (const std::string &job : fleet.openJobs()) {
                    BOOST_ERROR(job);
                }
            }
            completed += fleet.completedJobs();
        }
    }
    BOOST_TEST(completed > 0U);
}
