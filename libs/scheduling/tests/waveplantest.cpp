#include "scheduling/waveplan.h"
#include "planinstances.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace Cornelquay;
using namespace Cornelquay::Testing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(aWaveRespectsItsLimitOfInstancesOutOfService)
{
    WaveSpec spec{1, {}, 20000ms, 2};
    std::map<InstanceId, InstanceView> instances = makeInstances({{"pool", 6}});
    for (const auto &[id, view] : instances) {
        spec.instances.push_back(id);
    }
    WavePlan wave(spec, WaveTimes{}, Start);
    WaveDecision decision = wave.decide(instances, {}, Start);
    BOOST_TEST(decision.maintain.size() == 2U);
    for (const MaintainInstance &order : decision.maintain) {
        wave.noteDone(order.instance, Start);
    }
    BOOST_TEST(wave.decide(instances, {}, Start + 100ms).maintain.empty());
    // Instances with other pending orders count as out of service too.
    const WaveTimes times;
    const BootTime later = Start + times.maintenancePeriod + 1000ms;
    instances.at("pool5").hasPendingOrder = true;
    BOOST_TEST(wave.decide(instances, {}, later).maintain.size() == 1U);
}

BOOST_AUTO_TEST_CASE(aWaveBeginsWithLongRunningTasksAndEndsInTime)
{
    WaveSpec spec{1, {"pool0", "pool1", "pool2"}, 12000ms, 3};
    std::map<InstanceId, InstanceView> instances = makeInstances({{"pool", 9}});
    for (auto &[id, view] : instances) {
        view.runs = 4;
    }
    instances.at("pool1").longRunningRuns = 2;
    WavePlan wave(spec, WaveTimes{}, Start);
    const WaveDecision first = wave.decide(instances, {}, Start);
    BOOST_TEST(first.maintain.empty());
    BOOST_REQUIRE(!first.evacuate.empty());
    BOOST_TEST(first.evacuate.front() == "pool1");
    BOOST_TEST(first.due.size() == 3U);
    // Near its end, the wave waits only for long-running runs.
    const WaveDecision last = wave.decide(instances, {}, Start + 11000ms);
    BOOST_TEST(last.maintain.size() == 2U);
    for (const MaintainInstance &order : last.maintain) {
        BOOST_TEST(order.instance != "pool1");
    }
}

// Guards against instances that are given up halfway, because others of the wave have become empty meanwhile.
BOOST_AUTO_TEST_CASE(aWaveKeepsTheInstancesThatItHasBegunToEmpty)
{
    auto instances = makeInstances({{"pool", 12}});
    WaveSpec spec{1, {}, 12s, 4};
    for (auto &[id, view] : instances) {
        spec.instances.push_back(id);
        view.runs = 2;
        view.longRunningRuns = 2;
    }
    WavePlan plan(spec, WaveTimes{}, Start);
    const std::vector<InstanceId> begun = plan.decide(instances, {}, Start).cordon;
    BOOST_REQUIRE(begun.size() > 1U);
    for (auto &[id, view] : instances) {
        if (std::find(begun.begin(), begun.end(), id) == begun.end()) {
            view.runs = 0;
            view.longRunningRuns = 0;
        }
    }
    for (const MaintainInstance &order : plan.decide(instances, {}, Start + 100ms).maintain) {
        plan.noteDone(order.instance, Start + 100ms);
    }
    const std::vector<InstanceId> cordoned = plan.decide(instances, {}, Start + 200ms).cordon;
    for (const InstanceId &id : begun) {
        BOOST_TEST(std::count(cordoned.begin(), cordoned.end(), id) == 1, id);
    }
}

// Guards against an owner that leaves the instance which its predecessor was emptying, so that a stopped task is placed there again.
BOOST_AUTO_TEST_CASE(aWaveContinuesWithTheInstanceThatAFormerOwnerWasEmptying)
{
    auto instances = makeInstances({{"pool", 6}});
    WaveSpec spec{1, {}, 30s, 1};
    for (auto &[id, view] : instances) {
        spec.instances.push_back(id);
        view.runs = 2;
        view.longRunningRuns = 2;
    }
    instances.at("pool4").isBeingEmptied = true;
    WavePlan plan(spec, WaveTimes{}, Start);
    const WaveDecision decision = plan.decide(instances, {}, Start);
    BOOST_REQUIRE(decision.evacuate.size() == 1U);
    BOOST_TEST(decision.evacuate.front() == "pool4");
    BOOST_TEST(decision.cordon.front() == "pool4");
}

BOOST_AUTO_TEST_CASE(aWaveCompletesWithoutInstancesThatNoLongerExist)
{
    const WaveSpec spec{7, {"pool0", "gone"}, 12000ms, 1};
    const auto instances = makeInstances({{"pool", 1}});
    WavePlan wave(spec, WaveTimes{}, Start);
    BOOST_TEST(!wave.decide(instances, {}, Start).completed);
    wave.noteDone("pool0", Start);
    BOOST_TEST(wave.decide(instances, {}, Start + 100ms).completed);
    // A successor continues from the record.
    WavePlan next(spec, WaveTimes{}, Start + 5000ms);
    next.restore(wave.record());
    BOOST_TEST(next.decide(instances, {}, Start + 5000ms).completed);
}

// Guards against two waves that each empty as many instances of a pool as one may.
BOOST_AUTO_TEST_CASE(wavesShareTheLimitOfInstancesThatAreEmptied)
{
    auto instances = makeInstances({{"pool", 3}});
    for (auto &[id, view] : instances) {
        view.runs = 2;
        view.longRunningRuns = 2;
    }
    WavePlan first({1, {"pool0"}, 26s, 1}, WaveTimes{}, Start);
    WavePlan second({2, {"pool2"}, 26s, 1}, WaveTimes{}, Start);
    WaveSurroundings surroundings;
    surroundings.emptying = first.decide(instances, surroundings, Start).emptying;
    BOOST_TEST(surroundings.emptying.count("pool0") == 1U);
    BOOST_TEST(second.decide(instances, surroundings, Start).emptying.empty());
    BOOST_TEST(first.decide(instances, surroundings, Start + 100ms).emptying.count("pool0") == 1U);
}

// Guards against a long-running task that waits for good for a worker which is being emptied.
BOOST_AUTO_TEST_CASE(emptyingPausesForATaskThatWaits)
{
    auto instances = makeInstances({{"pool", 9}});
    for (auto &[id, view] : instances) {
        view.runs = 2;
        view.longRunningRuns = 2;
    }
    instances.at("pool1").isBeingEmptied = true;
    instances.at("pool2").longRunningRuns = 0;
    WavePlan wave({1, {"pool0", "pool1", "pool2"}, 8s, 3}, WaveTimes{}, Start);
    BOOST_TEST(wave.decide(instances, {}, Start).emptying.size() == 3U);
    WaveSurroundings surroundings;
    surroundings.displaced["pool"] = DisplacedWait::Long;
    BOOST_TEST(wave.decide(instances, surroundings, Start).emptying == (std::set<InstanceId>{"pool1", "pool2"}), boost::test_tools::per_element());
    surroundings.displaced["pool"] = DisplacedWait::TooLong;
    BOOST_TEST(wave.decide(instances, surroundings, Start).emptying == std::set<InstanceId>{"pool1"}, boost::test_tools::per_element());
    // Afterwards only one is emptied at a time.
    surroundings.displaced.clear();
    surroundings.crowded = {"pool"};
    surroundings.emptying = {"pool1"};
    BOOST_TEST(wave.decide(instances, surroundings, Start).emptying == std::set<InstanceId>{"pool1"}, boost::test_tools::per_element());
}
