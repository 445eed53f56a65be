#include "capacity/wave.h"
#include "fleet/fold.h"

#include <boost/test/unit_test.hpp>

using namespace Cornelquay;

namespace {

constexpr std::int64_t WaveStart = 1000000;

/** Pools a (budget 2) and b (budget 1), where a depends on b, and c (budget 2) on its own. */
FleetState makeState(int perPool)
{
    FleetState state;
    auto configuration = std::make_shared<Configuration>();
    configuration->pools = {{"a", {"a", false}}, {"b", {"b", false}}, {"c", {"c", false}}};
    configuration->services["sa"] = {"sa", "a", {"sb"}, {}, {}, 2, perPool};
    configuration->services["sb"] = {"sb", "b", {}, {}, {}, 1, perPool};
    configuration->services["sc"] = {"sc", "c", {}, {}, {}, 2, perPool};
    state.parsed = configuration;
    state.waveStartedAt = WaveStart;
    for (const std::string pool : {"a", "b", "c"}) {
        for (int index = 0; index < perPool; ++index) {
            InstanceEntry instance;
            instance.incarnation = 1;
            instance.pool = pool;
            instance.zone = "z" + std::to_string(index % 3);
            instance.maintainedAt = index;
            state.instances[pool + std::to_string(index)] = instance;
        }
    }
    return state;
}

std::map<std::string, int> byPool(const FleetState &state, const std::vector<WaveDecision> &decisions)
{
    std::map<std::string, int> result;
    for (const WaveDecision &decision : decisions) {
        result[state.instances.at(decision.instance).pool] += 1;
    }
    return result;
}

}

BOOST_AUTO_TEST_CASE(decisionsStayWithinBudgetsAndKeepDependenciesApart)
{
    const FleetState state = makeState(6);
    const auto aware = byPool(state, decideWave(state, DependencyAwareWaves{}));
    // Pool b is at its edge with one out, so pool a waits for it.
    BOOST_TEST(aware.at("b") == 1);
    BOOST_TEST(!aware.contains("a"));
    BOOST_TEST(aware.at("c") == 2);
    const auto budgetOnly = byPool(state, decideWave(state, BudgetOnlyWaves{}));
    BOOST_TEST(budgetOnly.at("a") == 2);
    const auto single = byPool(state, decideWave(state, OneAtATimeWaves{}));
    BOOST_TEST(single.at("c") == 1);
}

BOOST_AUTO_TEST_CASE(waveCasesAreDecided)
{
    struct WaveCase {
        const char *what;
        std::function<void(FleetState &)> change;
        std::size_t expectedInC;
    };
    const WaveCase cases[] = {
        {"nothing special", [](FleetState &) {}, 2},
        {"one failed instance counts",
         [](FleetState &state) {
             state.instances["c5"].state = InstanceState::Failed;
         },
         1},
        {"two failed instances hold the pool",
         [](FleetState &state) {
             state.instances["c4"].state = state.instances["c5"].state = InstanceState::Failed;
         },
         0},
        {"one is out already",
         [](FleetState &state) {
             state.instances["c0"].state = InstanceState::PlannedOutage;
         },
         1},
        {"an arriving instance is not taken",
         [](FleetState &state) {
             state.instances["c0"].state = InstanceState::Arriving;
         },
         2},
        {"paused",
         [](FleetState &state) {
             state.maintenancePaused = true;
         },
         0},
        {"no wave",
         [](FleetState &state) {
             state.waveStartedAt = 0;
         },
         0},
        {"all done",
         [](FleetState &state) {
             for (auto &[name, instance] : state.instances) {
                 instance.maintainedAt = WaveStart;
             }
         },
         0},
    };
    for (const WaveCase &entry : cases) {
        FleetState state = makeState(6);
        entry.change(state);
        const auto decided = byPool(state, decideWave(state, DependencyAwareWaves{}));
        BOOST_TEST((decided.contains("c") ? decided.at("c") : 0) == static_cast<int>(entry.expectedInC), entry.what);
    }
}

BOOST_AUTO_TEST_CASE(outagesGatherInOneZone)
{
    FleetState state = makeState(6);
    state.instances["c0"].state = InstanceState::PlannedOutage;
    const auto decisions = decideWave(state, DependencyAwareWaves{});
    const auto inC = std::find_if(decisions.begin(), decisions.end(), [](const WaveDecision &decision) {
        return decision.instance[0] == 'c';
    });
    BOOST_REQUIRE(inC != decisions.end());
    BOOST_TEST(state.instances.at(inC->instance).zone == state.instances.at("c0").zone);
}

BOOST_AUTO_TEST_CASE(aWaveWhoseInstancesFailStops)
{
    FleetState state = makeState(20);
    for (int index = 0; index < 10; ++index) {
        state.instances["c" + std::to_string(index)].maintainedAt = WaveStart;
    }
    BOOST_TEST(!findWaveAlarm(state).has_value());
    state.instances["c0"].state = InstanceState::Failed;
    BOOST_TEST(!findWaveAlarm(state).has_value());
    state.instances["c1"].state = InstanceState::Failed;
    const auto alarm = findWaveAlarm(state);
    BOOST_REQUIRE(alarm.has_value());
    BOOST_TEST(alarm->reason == "2 of 10 instances failed after their maintenance, 0 of 50 others");
    // A zone that fails takes maintained and other instances alike: no alarm.
    for (auto &[name, instance] : state.instances) {
        instance.state = instance.zone == "z0" ? InstanceState::Failed : InstanceState::InService;
    }
    BOOST_TEST(!findWaveAlarm(state).has_value());
}

BOOST_AUTO_TEST_CASE(aWaveIsDueBeforeThePeriodEnds)
{
    FleetState state = makeState(3);
    state.waveStartedAt = 0;
    const std::int64_t period = std::chrono::milliseconds(state.parsed->policy.maintenancePeriod).count();
    BOOST_TEST(!isWaveDue(state, period / 2, 0.75));
    BOOST_TEST(isWaveDue(state, period * 8 / 10, 0.75));
    state.waveStartedAt = 5;
    BOOST_TEST(!isWaveDue(state, period * 8 / 10, 0.75));
}

BOOST_AUTO_TEST_CASE(progressSaysWhatHoldsTheWaveUp)
{
    FleetState state = makeState(6);
    state.instances["c4"].state = state.instances["c5"].state = InstanceState::Failed;
    state.instances["a0"].maintainedAt = WaveStart;
    state.instances["b0"].state = InstanceState::PlannedOutage;
    const WaveProgress progress = waveProgress(state);
    BOOST_TEST(progress.done == 1);
    BOOST_TEST(progress.out == 1);
    BOOST_TEST(progress.left == 16);
    BOOST_TEST(progress.held == std::vector<std::string>{"c"});
}
