#include "capacity/wave.h"
#include "fleet/fold.h"

#include <boost/test/unit_test.hpp>

using namespace Cornelquay;

namespace {

constexpr std::int64_t WaveStartedAt = 1000000;

/** Pools a (budget 2) and b (budget 1), where a depends on b, and c (budget 2) without dependencies, with @p perPool instances each. */
FleetState makeState(int perPool)
{
    FleetState state;
    auto configuration = std::make_shared<Configuration>();
    configuration->pools = {{"a", {"a", false}}, {"b", {"b", false}}, {"c", {"c", false}}};
    configuration->services["sa"] = {"sa", "a", {"sb"}, {}, {}, 2, perPool};
    configuration->services["sb"] = {"sb", "b", {}, {}, {}, 1, perPool};
    configuration->services["sc"] = {"sc", "c", {}, {}, {}, 2, perPool};
    state.parsedConfiguration = configuration;
    state.waveStartedAt = WaveStartedAt;
    for (const std::string pool : {"a", "b", "c"}) {
        for (int index = 0; index < perPool; ++index) {
            InstanceEntry instance;
            instance.incarnation = 1;
            instance.pool = pool;
            instance.zone = "z" + std::to_string(index % 3);
            instance.maintainedAtMs = index;
            state.instances[pool + std::to_string(index)] = instance;
        }
    }
    return state;
}

std::map<std::string, int> countByPool(const FleetState &state, const std::vector<WaveDecision> &decisions)
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
    const auto aware = countByPool(state, decideWave(state, DependencyAwareWaves{}));
    // One outage uses up the budget of pool b, so pool a has to wait.
    BOOST_TEST(aware.at("b") == 1);
    BOOST_TEST(!aware.contains("a"));
    BOOST_TEST(aware.at("c") == 2);
    const auto budgetOnly = countByPool(state, decideWave(state, BudgetOnlyWaves{}));
    BOOST_TEST(budgetOnly.at("a") == 2);
    const auto single = countByPool(state, decideWave(state, OneAtATimeWaves{}));
    BOOST_TEST(single.at("c") == 1);
}

BOOST_AUTO_TEST_CASE(decisionsDependOnInstanceStatesAndWaveState)
{
    struct WaveCase {
        const char *description;
        std::function<void(FleetState &)> change;
        std::size_t expectedInPoolC;
    };
    const WaveCase cases[] = {
        {"all instances in service", [](FleetState &) {}, 2},
        {"one failed instance uses budget",
         [](FleetState &state) {
             state.instances["c5"].state = InstanceState::Failed;
         },
         1},
        {"two failed instances block the pool",
         [](FleetState &state) {
             state.instances["c4"].state = state.instances["c5"].state = InstanceState::Failed;
         },
         0},
        {"one instance in a planned outage",
         [](FleetState &state) {
             state.instances["c0"].state = InstanceState::PlannedOutage;
         },
         1},
        {"an arriving instance is not a candidate",
         [](FleetState &state) {
             state.instances["c0"].state = InstanceState::Arriving;
         },
         2},
        {"paused",
         [](FleetState &state) {
             state.maintenancePaused = true;
         },
         0},
        {"no wave was started",
         [](FleetState &state) {
             state.waveStartedAt = 0;
         },
         0},
        {"all instances are maintained",
         [](FleetState &state) {
             for (auto &[name, instance] : state.instances) {
                 instance.maintainedAtMs = WaveStartedAt;
             }
         },
         0},
    };
    for (const WaveCase &entry : cases) {
        FleetState state = makeState(6);
        entry.change(state);
        const auto decided = countByPool(state, decideWave(state, DependencyAwareWaves{}));
        BOOST_TEST((decided.contains("c") ? decided.at("c") : 0) == static_cast<int>(entry.expectedInPoolC), entry.description);
    }
}

BOOST_AUTO_TEST_CASE(outagesAreConcentratedInOneZone)
{
    FleetState state = makeState(6);
    state.instances["c0"].state = InstanceState::PlannedOutage;
    const auto decisions = decideWave(state, DependencyAwareWaves{});
    const auto decisionInPoolC = std::find_if(decisions.begin(), decisions.end(), [](const WaveDecision &decision) {
        return decision.instance[0] == 'c';
    });
    BOOST_REQUIRE(decisionInPoolC != decisions.end());
    BOOST_TEST(state.instances.at(decisionInPoolC->instance).zone == state.instances.at("c0").zone);
}

BOOST_AUTO_TEST_CASE(alarmIsRaisedIfMaintainedInstancesFail)
{
    FleetState state = makeState(20);
    for (int index = 0; index < 10; ++index) {
        state.instances["c" + std::to_string(index)].maintainedAtMs = WaveStartedAt;
    }
    BOOST_TEST(!findWaveAlarm(state).has_value());
    state.instances["c0"].state = InstanceState::Failed;
    BOOST_TEST(!findWaveAlarm(state).has_value());
    state.instances["c1"].state = InstanceState::Failed;
    const auto alarm = findWaveAlarm(state);
    BOOST_REQUIRE(alarm.has_value());
    BOOST_TEST(alarm->reason == "2 of 10 instances failed after their maintenance, 0 of 50 others");
    // A zone failure affects maintained and other instances alike and raises no alarm.
    for (auto &[name, instance] : state.instances) {
        instance.state = instance.zone == "z0" ? InstanceState::Failed : InstanceState::InService;
    }
    BOOST_TEST(!findWaveAlarm(state).has_value());
}

BOOST_AUTO_TEST_CASE(waveIsDueAtFractionOfMaintenancePeriod)
{
    FleetState state = makeState(3);
    state.waveStartedAt = 0;
    const std::int64_t period = std::chrono::milliseconds(state.parsedConfiguration->policy.maintenancePeriod).count();
    BOOST_TEST(!isWaveDue(state, period / 2, 0.75));
    BOOST_TEST(isWaveDue(state, period * 8 / 10, 0.75));
    state.waveStartedAt = 5;
    BOOST_TEST(!isWaveDue(state, period * 8 / 10, 0.75));
}

BOOST_AUTO_TEST_CASE(progressReportsPoolsBlockedByFailures)
{
    FleetState state = makeState(6);
    state.instances["c4"].state = state.instances["c5"].state = InstanceState::Failed;
    state.instances["a0"].maintainedAtMs = WaveStartedAt;
    state.instances["b0"].state = InstanceState::PlannedOutage;
    const WaveProgress progress = waveProgress(state);
    BOOST_TEST(progress.done == 1);
    BOOST_TEST(progress.outOfService == 1);
    BOOST_TEST(progress.remaining == 16);
    BOOST_TEST(progress.blockedPools == std::vector<std::string>{"c"});
}
