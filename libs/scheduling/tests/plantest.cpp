#include "planinstances.h"
#include "scheduling/joborder.h"
#include "scheduling/placement.h"
#include "scheduling/poolplan.h"
#include "scheduling/throttling.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace Cornelquay;
using namespace Cornelquay::Testing;
using namespace std::chrono_literals;

namespace {

std::size_t movesTo(const PoolDecision &decision, const std::string &pool)
{
    return static_cast<std::size_t>(std::count_if(decision.moves.begin(), decision.moves.end(), [&](const MoveInstance &move) {
        return move.pool == pool;
    }));
}

WorkerSession makeSession(const std::string &id, const std::string &rack)
{
    WorkerFacts facts;
    facts.id = id;
    facts.pool = "pool";
    facts.rack = rack;
    facts.labels = {"a", rack};
    facts.capacity = Capacity;
    return {facts, 1, LeaseTerms{}};
}

LiveRun makeRun(Resources demand, bool longRunning = false)
{
    LiveRun run;
    run.demand = demand;
    run.longRunning = longRunning;
    return run;
}

}

// One queue needs several times the capacity of its pool.
BOOST_AUTO_TEST_CASE(aSurgeIsServedByIdleInstancesAndThenByTheStandbyPool)
{
    PoolPlan plan{PoolTimes{}};
    const auto instances = makeInstances({{"surge", 2}, {"calm", 4}, {"rest", 4}});
    std::map<std::string, PoolDemand> pools;
    pools["surge"].used = {32000, 0, 0};
    pools["surge"].backlog = {48000, 0, 0};
    pools["calm"];
    pools["rest"].standby = true;
    // A backlog that has just begun does not count yet; the pool gets its spare instance.
    BOOST_TEST(movesTo(plan.decide(instances, pools, Start), "surge") == 1U);
    const PoolDecision decision = plan.decide(instances, pools, Start + 200ms);
    BOOST_TEST(movesTo(decision, "surge") == 4U);
    // The calm pool keeps its spare instance.
    BOOST_TEST(std::count_if(decision.moves.begin(),
                             decision.moves.end(),
                             [](const MoveInstance &move) {
                                 return move.instance.substr(0, 4) == "calm";
                             })
               == 3);
    BOOST_TEST(decision.moves.back().instance.substr(0, 4) == "rest");
}

// Any of the calm pools may be the next with a surge.
BOOST_AUTO_TEST_CASE(eachPoolKeepsSpareInstances)
{
    PoolPlan plan{PoolTimes{}};
    std::map<std::string, PoolDemand> pools;
    pools["one"].used = {16000, 0, 0};
    pools["two"].used = {16000, 0, 0};
    pools["rest"].standby = true;
    const PoolDecision large = plan.decide(makeInstances({{"one", 1}, {"two", 1}, {"rest", 46}}), pools, Start);
    BOOST_TEST(movesTo(large, "one") == 6U);
    BOOST_TEST(movesTo(large, "two") == 6U);
    const PoolDecision small = plan.decide(makeInstances({{"one", 1}, {"two", 1}, {"rest", 4}}), pools, Start);
    BOOST_TEST(movesTo(small, "one") == 1U);
    BOOST_TEST(movesTo(small, "two") == 1U);
}

// Each pool has long-running tasks that need little of their instances, which are spread over many of them.
BOOST_AUTO_TEST_CASE(freeCapacityBesideLongRunningTasksIsSpare)
{
    PoolPlan plan{PoolTimes{}};
    std::map<InstanceId, InstanceView> instances = makeInstances({{"one", 20}, {"two", 20}, {"rest", 40}});
    for (auto &[id, view] : instances) {
        view.longRunningRuns = view.runs = view.facts.pool == "rest" ? 0 : 1;
    }
    std::map<std::string, PoolDemand> pools;
    pools["one"].used = pools["two"].used = {64000, 0, 0};
    pools["rest"].standby = true;
    BOOST_TEST(plan.decide(instances, pools, Start).moves.empty());
    // More spare capacity than the instances with long-running tasks have.
    pools["one"].used = {256000, 0, 0};
    BOOST_TEST(movesTo(plan.decide(instances, pools, Start + 1s), "one") == 6U);
}

// A surge needs the same fraction of any fleet, and must not take longer to be met in a larger one.
BOOST_AUTO_TEST_CASE(aSurgeIsMetInAsManyDecisionsInALargeFleet)
{
    for (const std::size_t count : {10U, 49U, 349U, 540U, 9100U}) {
        PoolPlan plan{PoolTimes{}};
        std::map<InstanceId, InstanceView> instances = makeInstances({{"surge", count / 5}, {"rest", count - count / 5}});
        std::map<std::string, PoolDemand> pools;
        pools["surge"].outlook.load = Capacity * static_cast<std::int64_t>(count / 2);
        pools["rest"].standby = true;
        std::size_t moved = 0;
        for (int round = 0; round < 7; ++round) {
            for (const MoveInstance &move : plan.decide(instances, pools, Start + round * 100ms).moves) {
                InstanceView &view = instances.at(move.instance);
                view.hasPendingOrder = true;
                view.movingTo = move.pool;
                ++moved;
            }
        }
        BOOST_TEST(moved + count / 5 >= count / 2);
    }
}

// A pool needs a little more than it has, and moves appear late in the control plane's list.
BOOST_AUTO_TEST_CASE(movingInstancesAreNotOrderedAgain)
{
    PoolPlan plan{PoolTimes{}};
    std::map<InstanceId, InstanceView> instances = makeInstances({{"small", 2}, {"rest", 8}});
    std::map<std::string, PoolDemand> pools;
    pools["small"].used = {32000, 0, 0};
    pools["rest"].standby = true;
    std::size_t moved = 0;
    for (int round = 0; round < 7; ++round) {
        for (const MoveInstance &move : plan.decide(instances, pools, Start + round * 100ms).moves) {
            InstanceView &view = instances.at(move.instance);
            view.hasPendingOrder = true;
            view.movingTo = move.pool;
            ++moved;
        }
    }
    // A quarter of the ten instances is spare.
    BOOST_TEST(moved == 2U);
}

// Tasks that require a label wait although instances without that label are idle.
BOOST_AUTO_TEST_CASE(backlogWithALabelGetsInstancesWithThatLabel)
{
    PoolPlan plan{PoolTimes{}};
    std::map<InstanceId, InstanceView> instances = makeInstances({{"pool", 6}, {"rest", 6}});
    for (auto &[id, view] : instances) {
        view.facts.labels = {id == "rest4" || id == "rest5" ? "b" : "a"};
    }
    std::map<std::string, PoolDemand> pools;
    pools["pool"].backlog = {30000, 0, 0};
    pools["pool"].labelledBacklog["b"] = {30000, 0, 0};
    pools["rest"].standby = true;
    plan.decide(instances, pools, Start);
    const PoolDecision decision = plan.decide(instances, pools, Start + 200ms);
    BOOST_REQUIRE(decision.moves.size() == 2U);
    BOOST_TEST(decision.moves[0].instance == "rest4");
    BOOST_TEST(decision.moves[1].instance == "rest5");
    // Instances that are already moving are not ordered again.
    for (const MoveInstance &move : decision.moves) {
        instances.at(move.instance).hasPendingOrder = true;
        instances.at(move.instance).movingTo = move.pool;
    }
    BOOST_TEST(plan.decide(instances, pools, Start + 300ms).moves.empty());
}

// The surge of one queue follows that of another at once.
BOOST_AUTO_TEST_CASE(idleInstancesOfOtherPoolsServeASurge)
{
    PoolPlan plan{PoolTimes{}};
    const auto instances = makeInstances({{"surge", 1}, {"calm", 6}});
    std::map<std::string, PoolDemand> pools;
    pools["surge"].used = {16000, 0, 0};
    pools["surge"].backlog = {64000, 0, 0};
    pools["calm"];
    plan.decide(instances, pools, Start);
    const PoolDecision decision = plan.decide(instances, pools, Start + 200ms);
    BOOST_TEST(movesTo(decision, "surge") == 5U);
}

// A pool keeps many half-used instances while another has a backlog.
BOOST_AUTO_TEST_CASE(busyInstancesOfAPoolWithASurplusAreEmptied)
{
    PoolPlan plan{PoolTimes{}};
    std::map<InstanceId, InstanceView> instances = makeInstances({{"surge", 1}, {"holder", 8}});
    for (auto &[id, view] : instances) {
        view.runs = 2;
        view.emptyAfter = id == "holder7" ? 100ms : 900ms;
    }
    std::map<std::string, PoolDemand> pools;
    pools["surge"].used = {16000, 0, 0};
    pools["surge"].backlog = {40000, 0, 0};
    pools["holder"].used = {32000, 0, 0};
    plan.decide(instances, pools, Start);
    const PoolDecision decision = plan.decide(instances, pools, Start + 200ms);
    BOOST_TEST(decision.moves.empty());
    BOOST_REQUIRE(!decision.cordon.empty());
    BOOST_TEST(decision.cordon.front() == "holder7");
    BOOST_TEST(decision.cordon.size() <= 5U);
}

// All queues together need more than the fleet has.
BOOST_AUTO_TEST_CASE(poolsShareAShortage)
{
    PoolPlan plan{PoolTimes{}};
    std::map<InstanceId, InstanceView> instances = makeInstances({{"one", 8}, {"two", 2}});
    for (auto &[id, view] : instances) {
        view.runs = 3;
    }
    std::map<std::string, PoolDemand> pools;
    pools["one"].used = {128000, 0, 0};
    pools["one"].backlog = {160000, 0, 0};
    pools["two"].used = {32000, 0, 0};
    pools["two"].backlog = {256000, 0, 0};
    plan.decide(instances, pools, Start);
    const PoolDecision decision = plan.decide(instances, pools, Start + 200ms);
    BOOST_TEST(decision.cordon.size() >= 2U);
    BOOST_TEST(decision.cordon.size() <= 4U);
}

BOOST_AUTO_TEST_CASE(unneededInstancesMoveToTheStandbyPool)
{
    PoolPlan plan{PoolTimes{}};
    const auto instances = makeInstances({{"calm", 4}, {"rest", 1}});
    std::map<std::string, PoolDemand> pools;
    pools["calm"];
    pools["rest"].standby = true;
    BOOST_TEST(plan.decide(instances, pools, Start).moves.empty());
    const PoolTimes times;
    BOOST_TEST(movesTo(plan.decide(instances, pools, Start + times.idleTimeout + 100ms), "rest") == 3U);
}

BOOST_AUTO_TEST_CASE(instancesWithLongRunningTasksStay)
{
    PoolPlan plan{PoolTimes{}};
    std::map<InstanceId, InstanceView> instances = makeInstances({{"surge", 1}, {"calm", 3}});
    for (auto &[id, view] : instances) {
        view.runs = 1;
        view.longRunningRuns = view.facts.pool == "calm" ? 1 : 0;
    }
    std::map<std::string, PoolDemand> pools;
    pools["surge"].backlog = {64000, 0, 0};
    pools["calm"];
    plan.decide(instances, pools, Start);
    const PoolDecision decision = plan.decide(instances, pools, Start + 200ms);
    BOOST_TEST(decision.moves.empty());
    BOOST_TEST(decision.cordon.empty());
}

BOOST_AUTO_TEST_CASE(anInvalidMoveIsNotRepeated)
{
    PoolPlan plan{PoolTimes{}};
    const auto instances = makeInstances({{"surge", 1}, {"rest", 1}});
    std::map<std::string, PoolDemand> pools;
    pools["surge"].backlog = {64000, 0, 0};
    pools["rest"].standby = true;
    plan.handleInvalidMove({"rest0", "surge"});
    plan.decide(instances, pools, Start);
    BOOST_TEST(plan.decide(instances, pools, Start + 200ms).moves.empty());
}

// A worker that fails every task always has free capacity.
BOOST_AUTO_TEST_CASE(failingWorkersAreChosenLast)
{
    WorkerSession good = makeSession("good", "r1-1");
    WorkerSession bad = makeSession("bad", "r1-1");
    good.addRun({"job", {}}, makeRun({12000, 1000, 0}));
    bad.noteFailure();
    bad.noteFailure();
    std::vector<PlacementCandidate> candidates{{&bad, false, {}}, {&good, false, {}}};
    std::vector<PlacementCandidate *> open{&candidates[0], &candidates[1]};
    PlacementRequest request;
    request.demand = {2000, 1000, 0};
    BOOST_TEST(choosePlacement(request, open)->session->facts().id == "good");
    request.demand = {6000, 1000, 0};
    BOOST_TEST(choosePlacement(request, open)->session->facts().id == "bad");
}

// Guards against workers that are kept for a task which cannot run on them even once their runs have ended.
BOOST_AUTO_TEST_CASE(onlyRunsThatEndMakeRoomOnAVacatedWorker)
{
    WorkerSession session = makeSession("worker", "r1-1");
    LiveRun lasting = makeRun({6000, 1000, 0});
    lasting.longRunning = true;
    session.addRun({"lasting", {}}, lasting);
    session.addRun({"short", {}}, makeRun({6000, 1000, 0}));
    const PlacementCandidate candidate{&session, false, {}};
    PlacementRequest request;
    request.demand = {10000, 1000, 0};
    BOOST_TEST((rejectionOf(request, candidate) == CandidateRejection::NoCapacity));
    BOOST_TEST(!rejectionOnceVacated(request, candidate));
    request.demand = {10001, 1000, 0};
    BOOST_TEST((rejectionOnceVacated(request, candidate) == CandidateRejection::NoCapacity));
    request.demand = {1000, 1000, 0};
    request.requiredLabel = "none";
    BOOST_TEST((rejectionOnceVacated(request, candidate) == CandidateRejection::LabelMissing));
}

BOOST_AUTO_TEST_CASE(placementRespectsLabelsSpreadAndCapacity)
{
    WorkerSession one = makeSession("one", "r1-1");
    WorkerSession two = makeSession("two", "r1-2");
    std::vector<PlacementCandidate> candidates{{&one, false, {}}, {&two, false, {}}};
    std::vector<PlacementCandidate *> open{&candidates[0], &candidates[1]};
    PlacementRequest request;
    request.demand = {1000, 1000, 0};
    request.requiredLabel = "r1-2";
    BOOST_TEST(choosePlacement(request, open)->session->facts().id == "two");
    request.requiredLabel = "none";
    BOOST_TEST((choosePlacement(request, open) == nullptr));
    request.requiredLabel = "";
    request.maxTasksPerWorker = 1;
    request.siblingsByWorker["one"] = 1;
    BOOST_TEST(choosePlacement(request, open)->session->facts().id == "two");
    request.siblingsByWorker["two"] = 1;
    BOOST_TEST((choosePlacement(request, open) == nullptr));
    request.maxTasksPerWorker = 0;
    request.preferredRacks = {"r1-2"};
    BOOST_TEST(choosePlacement(request, open)->session->facts().id == "two");
    request.demand = {17000, 1000, 0};
    BOOST_TEST((choosePlacement(request, open) == nullptr));
}

// Demand shifts between pools, and instances in active pools incur cost.
BOOST_AUTO_TEST_CASE(workersInUseAreFilledFirst)
{
    WorkerSession idle = makeSession("idle", "r1-1");
    WorkerSession used = makeSession("used", "r1-1");
    WorkerSession withLongRunningTask = makeSession("bound", "r1-1");
    used.addRun({"job", {}}, makeRun({8000, 1000, 0}));
    withLongRunningTask.addRun({"lasts", {}}, makeRun({6000, 1000, 0}, true));
    std::vector<PlacementCandidate> candidates{{&idle, false, {}}, {&used, false, {}}, {&withLongRunningTask, false, {}}};
    std::vector<PlacementCandidate *> open{&candidates[0], &candidates[1], &candidates[2]};
    PlacementRequest request;
    request.demand = {1000, 1000, 0};
    BOOST_TEST(choosePlacement(request, open)->session->facts().id == "bound");
    open.pop_back();
    BOOST_TEST(choosePlacement(request, open)->session->facts().id == "used");
}

BOOST_AUTO_TEST_CASE(longRunningTasksAreSpreadAndKeptOffLeavingInstances)
{
    WorkerSession one = makeSession("one", "r1-1");
    WorkerSession two = makeSession("two", "r1-2");
    std::vector<PlacementCandidate> candidates{{&one, false, {}}, {&two, false, {}}};
    std::vector<PlacementCandidate *> open{&candidates[0], &candidates[1]};
    PlacementRequest request;
    request.demand = {1000, 1000, 0};
    request.longRunning = true;
    request.siblingsByWorker["one"] = 1;
    request.siblingsByRack["r1-1"] = 1;
    BOOST_TEST(choosePlacement(request, open)->session->facts().id == "two");
    candidates[1].leaving = true;
    BOOST_TEST(choosePlacement(request, open)->session->facts().id == "one");
}

// There are more jobs than can meet their objectives.
BOOST_AUTO_TEST_CASE(jobsInTimePrecedeLateOnesAndAreOrderedByValueDensity)
{
    JobEstimate small{Start, Start + 2000ms, 500, 1000, 1000};
    JobEstimate large{Start, Start + 2000ms, 500, 9000, 9000};
    BOOST_TEST(valueDensity(small) > valueDensity(large));
    JobEstimate nearlyDone = large;
    nearlyDone.remainingWork = 500;
    BOOST_TEST(valueDensity(nearlyDone) > valueDensity(small));
    BOOST_TEST(!isLate(small, Start + 1000ms));
    BOOST_TEST(isLate(small, Start + 1600ms));

    JobUrgency inTime{false, false, 0, false, 1.0, Start + 500ms};
    JobUrgency late{false, false, 0, true, 9.0, Start};
    JobUrgency older{false, false, 0, true, 0.1, Start - 100ms};
    JobUrgency beyond{false, true, 0, false, 9.0, Start};
    JobUrgency longRunning{true, false, 0, true, 0.1, Start + 900ms};
    JobUrgency lowPriority{false, false, 1, false, 9.0, Start};
    std::vector<JobUrgency> order{lowPriority, beyond, late, older, inTime, longRunning};
    std::sort(order.begin(), order.end());
    BOOST_TEST(order[0].longRunning);
    BOOST_TEST((order[1].receivedAt == inTime.receivedAt));
    // Late jobs are ordered by age, whatever their value density.
    BOOST_TEST((order[2].receivedAt == older.receivedAt));
    BOOST_TEST((order[3].receivedAt == late.receivedAt && order[3].late));
    BOOST_TEST(order[4].overAgreedRate);
    BOOST_TEST(order[5].priority == 1U);
}

// Best-effort tasks slow down serving tasks by amounts that change within seconds.
BOOST_AUTO_TEST_CASE(bestEffortTasksAreSlowedBeforeAServingTaskExceedsItsTarget)
{
    BOOST_TEST(decideSpeedPercent(-1, 100) == 100);
    BOOST_TEST(decideSpeedPercent(0.85, 100) < 100);
    BOOST_TEST(decideSpeedPercent(1.2, 100) == 0);
    BOOST_TEST(decideSpeedPercent(0.7, 40) == 40);
    int percent = 0;
    for (int step = 0; step < 5; ++step) {
        const int next = decideSpeedPercent(0.3, percent);
        BOOST_TEST(next > percent);
        percent = next;
    }
    BOOST_TEST(percent == 100);
}
