#include "upstream/upstreams.h"

#include <boost/test/unit_test.hpp>

using namespace Cornelquay;
using namespace std::chrono_literals;

namespace {

std::vector<UpstreamInstance> instances(int count)
{
    std::vector<UpstreamInstance> result;
    for (int index = 0; index < count; ++index) {
        result.push_back({"w" + std::to_string(index), 1, "pool", {"127.0.0.1", 1}, true});
    }
    return result;
}

/**
 * Runs @p rounds attempts, each of which ends at once, on the simulated clock @p now; those on the workers in @p failing fail.
 * Returns the number of attempts on @p counted.
 */
int runAttempts(Upstreams &upstreams, const std::string &counted, const std::set<std::string> &failing, int rounds, SteadyTime &now)
{
    int picks = 0;
    for (int round = 0; round < rounds; ++round) {
        now += 1ms;
        const std::optional<UpstreamSlot> slot = upstreams.pick("pool", {}, now);
        BOOST_REQUIRE(slot.has_value());
        picks += slot->instance == counted ? 1 : 0;
        upstreams.giveBack(*slot, failing.contains(slot->instance) ? AttemptResult::Failed : AttemptResult::Succeeded, {}, now);
    }
    return picks;
}

}

BOOST_AUTO_TEST_CASE(failingWorkerIsEjectedAndProbed)
{
    Metrics metrics;
    Upstreams upstreams({}, 1, metrics);
    upstreams.update(instances(10));
    SteadyTime now = steadyNow();
    // A worker that fails at once always looks least loaded; without ejection it would attract most tasks.
    const int failures = runAttempts(upstreams, "w3", {"w3"}, 2000, now);
    BOOST_TEST(failures <= 10);
    now += 60s;
    BOOST_TEST(runAttempts(upstreams, "w3", {"w3"}, 100, now) <= 1);
    now += 60s;
    runAttempts(upstreams, "w3", {}, 2000, now);
    BOOST_TEST(runAttempts(upstreams, "w3", {}, 1000, now) > 20);
}

BOOST_AUTO_TEST_CASE(ejectedFractionOfPoolIsLimited)
{
    Metrics metrics;
    Upstreams upstreams({}, 1, metrics);
    upstreams.update(instances(10));
    std::set<std::string> all;
    for (const UpstreamInstance &instance : instances(10)) {
        all.insert(instance.name);
    }
    SteadyTime now = steadyNow();
    runAttempts(upstreams, "w0", all, 500, now);
    int ejected = 0;
    for (const UpstreamStatus &status : upstreams.status(now)) {
        ejected += status.ejected ? 1 : 0;
    }
    BOOST_TEST(ejected == 3);
}

BOOST_AUTO_TEST_CASE(pickSkipsFullExcludedAndLeavingWorkers)
{
    Metrics metrics;
    UpstreamLimits limits;
    limits.slotsPerInstance = 2;
    Upstreams upstreams(limits, 1, metrics);
    std::vector<UpstreamInstance> two = instances(2);
    two[1].acceptsWork = false;
    upstreams.update(two);
    const SteadyTime now = steadyNow();
    const auto first = upstreams.pick("pool", {}, now);
    const auto second = upstreams.pick("pool", {}, now);
    BOOST_REQUIRE(first && second);
    BOOST_TEST(first->instance == "w0");
    BOOST_TEST(!upstreams.pick("pool", {}, now).has_value());
    WorkerReport full;
    full.slotsFree = 0;
    upstreams.giveBack(*first, AttemptResult::Succeeded, full, now);
    BOOST_TEST(!upstreams.pick("pool", {}, now).has_value());
    BOOST_TEST(upstreams.pick("pool", {}, now + 1s).has_value());
    BOOST_TEST(!upstreams.pick("pool", {"w0"}, now + 1s).has_value());
    BOOST_TEST(!upstreams.pick("other", {}, now).has_value());
}

BOOST_AUTO_TEST_CASE(replacedWorkerStartsWithFreshHealth)
{
    Metrics metrics;
    Upstreams upstreams({}, 1, metrics);
    upstreams.update(instances(1));
    const SteadyTime now = steadyNow();
    const auto slot = upstreams.pick("pool", {}, now);
    std::vector<UpstreamInstance> replaced = instances(1);
    replaced[0].incarnation = 2;
    upstreams.update(replaced);
    upstreams.giveBack(*slot, AttemptResult::Failed, {}, now);
    BOOST_TEST(upstreams.status(now)[0].inFlight == 0);
    BOOST_TEST(upstreams.status(now)[0].failuresInRow == 0);
    BOOST_TEST(upstreams.exchange("w0", 1) == nullptr);
    BOOST_TEST(upstreams.exchange("w0", 2) != nullptr);
}
