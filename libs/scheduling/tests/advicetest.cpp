#include "scriptedfleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace Cornelquay;
using namespace Cornelquay::Testing;
using namespace std::chrono_literals;

namespace {

StepSpec makeStep(std::uint32_t count)
{
    StepSpec step;
    step.count = count;
    step.demand = {1000, 100, 0};
    step.estimateMs = 500;
    return step;
}

/** A fleet whose only queue needs permissions of the advice service, which are valid for 3 s. */
struct AdvisedFleet : public ScriptedFleet {
    explicit AdvisedFleet(const std::vector<WorkerId> &workers)
        : ScriptedFleet(workers)
    {
        policy->queues["queue"].advice = AdvicePolicy{300ms, 2ms, 3000ms};
        scheduler.setPolicy(policy);
        run(100ms);
    }

    void answer(const AdviceResult &result)
    {
        const AdviceOrder order = adviceRequests.front();
        adviceRequests.erase(adviceRequests.begin());
        scheduler.handleAdviceResult(order, result, now);
    }
};

}

BOOST_AUTO_TEST_CASE(onlyPermittedWorkersAreUsedWithTheirTickets)
{
    AdvisedFleet fleet({"w1", "w2", "w3"});
    fleet.submit("job", {makeStep(3)});
    fleet.run(100ms);
    BOOST_REQUIRE(fleet.adviceRequests.size() == 1U);
    BOOST_TEST(fleet.adviceRequests.front().workers.size() == 3U);
    BOOST_TEST(fleet.starts.empty());
    fleet.answer(std::vector<Permission>{{"w2", "ticket-2"}});
    fleet.run(100ms);
    BOOST_REQUIRE(fleet.starts.size() == 3U);
    for (const StartOrder &start : fleet.starts) {
        BOOST_TEST(start.worker == "w2");
        BOOST_TEST(start.ticket == "ticket-2");
    }
    BOOST_TEST(fleet.adviceRequests.empty());
}

// Requests are sent in parallel up to the number of slots, which is the number of nodes that can call the service.
BOOST_AUTO_TEST_CASE(adviceRequestsInFlightAreLimited)
{
    AdvisedFleet fleet({"w1", "w2"});
    for (int number = 0; number < 6; ++number) {
        fleet.submit("job-" + std::to_string(number), {makeStep(1)});
    }
    fleet.run(100ms);
    BOOST_TEST(fleet.adviceRequests.size() == 1U);
    fleet.scheduler.setAdviceSlots(4);
    fleet.run(100ms);
    BOOST_TEST(fleet.adviceRequests.size() == 4U);
    fleet.answer(std::vector<Permission>{{"w1", "t"}});
    fleet.run(100ms);
    BOOST_TEST(fleet.adviceRequests.size() == 4U);
    BOOST_TEST(fleet.starts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(unansweredAdviceRequestsAreRepeated)
{
    AdvisedFleet fleet({"w1"});
    fleet.submit("job", {makeStep(1)});
    fleet.run(100ms);
    BOOST_REQUIRE(fleet.adviceRequests.size() == 1U);
    fleet.answer(std::nullopt);
    fleet.run(300ms);
    BOOST_TEST(fleet.adviceRequests.empty());
    fleet.run(400ms);
    BOOST_TEST(fleet.adviceRequests.size() == 1U);
}

// If no worker is permitted to run a step, a single worker that joins later is still included in a further request.
BOOST_AUTO_TEST_CASE(workersThatJoinLaterAreIncludedInAFurtherRequest)
{
    AdvisedFleet fleet({"w1", "w2", "w3"});
    fleet.submit("job", {makeStep(1)});
    fleet.run(100ms);
    fleet.answer(std::vector<Permission>{});
    fleet.run(3s);
    BOOST_TEST(fleet.adviceRequests.empty());
    fleet.addWorker("w4");
    fleet.run(1500ms);
    BOOST_REQUIRE(fleet.adviceRequests.size() == 1U);
    BOOST_TEST((fleet.adviceRequests.front().workers == std::vector<WorkerId>{"w4"}));
    fleet.answer(std::vector<Permission>{{"w4", "t"}});
    fleet.run(100ms);
    BOOST_TEST(fleet.starts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(expiredPermissionsAreRequestedAgain)
{
    AdvisedFleet fleet({"w1"});
    fleet.onListed = [&](const TaskName &) {
        return std::pair<int, std::int64_t>((fleet.now - ScriptedFleet::Start) / 100ms, 0);
    };
    fleet.submit("first", {makeStep(5)});
    fleet.run(100ms);
    fleet.answer(std::vector<Permission>{{"w1", "t1"}});
    fleet.run(100ms);
    // The worker has capacity for four tasks; the permission expires before the fifth can start.
    BOOST_REQUIRE(fleet.starts.size() == 4U);
    fleet.run(4s);
    BOOST_REQUIRE(!fleet.adviceRequests.empty());
    fleet.end("w1", fleet.starts.front().task, RunEnd::Done);
    fleet.run(500ms);
    BOOST_TEST(fleet.starts.size() == 4U);
    fleet.answer(std::vector<Permission>{{"w1", "t2"}});
    fleet.run(500ms);
    BOOST_REQUIRE(fleet.starts.size() == 5U);
    BOOST_TEST(fleet.starts.back().ticket == "t2");
}

// More jobs of a queue arrive than the advice service can handle.
BOOST_AUTO_TEST_CASE(jobsAreDeferredWhenTheServiceIsTooFarBehind)
{
    AdvisedFleet fleet({"w1"});
    JobRecord next;
    next.id = "next";
    next.queue = "queue";
    next.terms = fleet.policy->queues["queue"].terms;
    next.spec.steps = {makeStep(1)};
    for (int number = 0; number < 10; ++number) {
        fleet.submit("job-" + std::to_string(number), {makeStep(1)});
    }
    fleet.run(100ms);
    BOOST_TEST(!fleet.scheduler.adviceRetryDelay(next).has_value());
    for (int number = 10; number < 30; ++number) {
        fleet.submit("job-" + std::to_string(number), {makeStep(1)});
    }
    fleet.run(100ms);
    // Thirty requests of 0.36 s take 10.8 s, and the result of a job is useful for three times its objective of 2 s.
    BOOST_REQUIRE(fleet.scheduler.adviceRetryDelay(next).has_value());
    BOOST_TEST((*fleet.scheduler.adviceRetryDelay(next) > 4s));
    BOOST_TEST((*fleet.scheduler.adviceRetryDelay(next) < 6s));
    fleet.scheduler.setAdviceSlots(4);
    BOOST_TEST(!fleet.scheduler.adviceRetryDelay(next).has_value());
    // Long-running tasks are useful whenever they start.
    next.spec.steps.front().longRunning = true;
    fleet.scheduler.setAdviceSlots(1);
    BOOST_TEST(!fleet.scheduler.adviceRetryDelay(next).has_value());
}
