#include "nodefleet.h"

#include "jobnode/callerdirectory.h"
#include "jobs/jobcodec.h"

using namespace Cornelquay;
using namespace Cornelquay::Testing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(theNodeThatWasStartedLastFollowsAnOwnerThatStops)
{
    Nodes fleet(3);
    JobNode &first = fleet.owner();
    fleet.runUntil([&] {
        return std::all_of(fleet.nodes.begin(), fleet.nodes.end(), [](const auto &node) {
            return node->knowsOwner();
        });
    });
    fleet.io.run_for(5ms);
    fleet.add(3);
    JobNode &last = *fleet.nodes.back();
    fleet.io.run_for(5ms);
    // Started later still, but too weak to carry all work if others can.
    fleet.add(4, 0.1);
    for (const auto &node : fleet.nodes) {
        fleet.callUntil(*node, JobCallKind::Submit, "0000000000000001", JobAnswerKind::Done);
    }
    bool released = false;
    first.release([&] {
        released = true;
    });
    fleet.runUntil([&] {
        return released;
    });
    BOOST_TEST(&fleet.owner() == &last);
}

BOOST_AUTO_TEST_CASE(routesAreFoundByHostAndLongestPrefix)
{
    NodeConfiguration configuration;
    configuration.routes = {{"a", "/x/", "short", false}, {"a", "/x/y/", "long", false}, {"b", "/x/", "other", true}};
    BOOST_TEST(findRoute(configuration, "a", "/x/y/1")->route->queue == "long");
    BOOST_TEST(findRoute(configuration, "a:80", "/x/1")->route->queue == "short");
    BOOST_TEST(findRoute(configuration, "a", "/x/1")->rest == "1");
    BOOST_TEST(findRoute(configuration, "b", "/x/y/1")->route->queue == "other");
    BOOST_TEST(!findRoute(configuration, "c", "/x/1").has_value());
    BOOST_TEST(!findRoute(configuration, "a", "/z").has_value());
}

BOOST_AUTO_TEST_CASE(callsSurviveTheirCodec)
{
    JobCall call;
    call.kind = JobCallKind::Cancel;
    call.queue = "queue";
    call.job = "0123456789abcdef";
    call.deadlineMs = 77;
    const std::string bytes = encode(call);
    BOOST_TEST(decodeJobCall(bytes)->job == call.job);
    BOOST_TEST((decodeJobCall(bytes)->kind == JobCallKind::Cancel));
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        BOOST_TEST(!decodeJobCall(bytes.substr(0, length)).has_value());
    }
    BOOST_TEST(decodeJobAnswer(encode(JobAnswer::notRun("busy", 500)))->retryAfterMs == 500);
}

BOOST_AUTO_TEST_CASE(aJobRunsThroughAnyNode)
{
    Nodes fleet(3);
    JobNode &other = fleet.other();
    BOOST_TEST((fleet.callUntil(other, JobCallKind::Submit, "0000000000000001", JobAnswerKind::Done).kind == JobAnswerKind::Done));
    // A repeat is the same job.
    BOOST_TEST((fleet.call(fleet.owner(), JobCallKind::Submit, "0000000000000001").kind == JobAnswerKind::Done));
    fleet.awaitState(other, "0000000000000001", JobState::Completed);
    BOOST_TEST(fleet.world.starts == 2);
    BOOST_TEST((fleet.call(other, JobCallKind::State, "0000000000000002").kind == JobAnswerKind::UnknownJob));
    BOOST_TEST((fleet.call(other, JobCallKind::Cancel, "0000000000000002").kind == JobAnswerKind::UnknownJob));
    BOOST_TEST(fleet.call(other, JobCallKind::CountPending, "").pending == 0U);
}

BOOST_AUTO_TEST_CASE(aCancelledJobIsStopped)
{
    Nodes fleet(2);
    fleet.world.endsAtOnce = false;
    JobNode &owner = fleet.owner();
    fleet.callUntil(owner, JobCallKind::Submit, "0000000000000001", JobAnswerKind::Done);
    fleet.awaitState(owner, "0000000000000001", JobState::Running);
    fleet.runUntil([&] {
        return fleet.world.running.size() == 2;
    });
    BOOST_TEST((fleet.call(fleet.other(), JobCallKind::Cancel, "0000000000000001").kind == JobAnswerKind::Done));
    fleet.runUntil([&] {
        return fleet.world.running.empty();
    });
    fleet.awaitState(owner, "0000000000000001", JobState::Cancelled);
}

BOOST_AUTO_TEST_CASE(anOwnerThatLetsGoIsFollowedAtOnce)
{
    Nodes fleet(3);
    JobNode &first = fleet.owner();
    fleet.callUntil(first, JobCallKind::Submit, "0000000000000001", JobAnswerKind::Done);
    fleet.awaitState(first, "0000000000000001", JobState::Completed);
    bool released = false;
    first.release([&] {
        released = true;
    });
    fleet.runUntil([&] {
        return released && !first.isOwner();
    });
    JobNode &second = fleet.owner();
    BOOST_TEST(&second != &first);
    fleet.awaitState(first, "0000000000000001", JobState::Completed);
    fleet.callUntil(first, JobCallKind::Submit, "0000000000000002", JobAnswerKind::Done);
    fleet.awaitState(second, "0000000000000002", JobState::Completed);
    BOOST_TEST(fleet.world.starts == 4);
}

BOOST_AUTO_TEST_CASE(aReleaseThatMeetsAHeartbeatIsStoredAgain)
{
    Nodes fleet(2);
    JobNode &first = fleet.owner();
    fleet.other();
    fleet.world.conflicts = 2;
    bool released = false;
    first.release([&] {
        released = true;
    });
    fleet.runUntil([&] {
        return released;
    });
    BOOST_TEST(fleet.world.conflicts == 0);
    const auto stored = std::find_if(fleet.world.ownership.begin(), fleet.world.ownership.end(), [](const OwnershipRecord &record) {
        return record.released;
    });
    BOOST_TEST((stored != fleet.world.ownership.end()));
}

BOOST_AUTO_TEST_CASE(theNextLifeOfAnOwnerFollowsAtOnce)
{
    Nodes fleet(1);
    fleet.owner();
    fleet.nodes.front()->stop();
    fleet.nodes.clear();
    const SteadyTime restarted = steadyNow();
    // The same name: another life of the node.
    fleet.add(0);
    fleet.owner();
    BOOST_TEST((steadyNow() - restarted < OwnershipTimes{}.silence));
}

BOOST_AUTO_TEST_CASE(aSilentOwnerIsFollowedAndItsRunsAreAdopted)
{
    Nodes fleet(2);
    fleet.world.endsAtOnce = false;
    JobNode &first = fleet.owner();
    fleet.callUntil(first, JobCallKind::Submit, "0000000000000001", JobAnswerKind::Done);
    fleet.runUntil([&] {
        return fleet.world.running.size() == 2;
    });
    JobNode &second = fleet.other();
    first.stop();
    fleet.runUntil([&] {
        return second.isOwner();
    });
    fleet.awaitState(second, "0000000000000001", JobState::Running);
    for (const auto &[task, run] : std::map<TaskName, std::uint32_t>(fleet.world.running)) {
        fleet.world.running.erase(task);
        fleet.world.ended.push_back({fleet.world.ended.size() + 1, task, run, RunEnd::Done, ""});
    }
    fleet.awaitState(second, "0000000000000001", JobState::Completed);
    BOOST_TEST(fleet.world.starts == 2);
}

BOOST_AUTO_TEST_CASE(lostAnswersOfTheStoreRepeatTheSameBatch)
{
    Nodes fleet(1);
    JobNode &owner = fleet.owner();
    fleet.callUntil(owner, JobCallKind::Submit, "0000000000000001", JobAnswerKind::Done);
    fleet.awaitState(owner, "0000000000000001", JobState::Completed);
    fleet.world.lostAnswers = 2;
    BOOST_TEST((fleet.call(owner, JobCallKind::Submit, "0000000000000002").kind == JobAnswerKind::Done));
    fleet.awaitState(owner, "0000000000000002", JobState::Completed);
    BOOST_TEST(fleet.world.repeatedBatches == 2);
    BOOST_TEST(fleet.world.starts == 4);
}

BOOST_AUTO_TEST_CASE(nothingIsAcceptedWhileTheStoreIsAway)
{
    Nodes fleet(1);
    JobNode &owner = fleet.owner();
    fleet.callUntil(owner, JobCallKind::Submit, "0000000000000001", JobAnswerKind::Done);
    fleet.world.away = true;
    const auto [refused, answer] = fleet.submitUntilRefused(owner);
    BOOST_TEST(answer.retryAfterMs > 0);
    // What was refused is not kept.
    fleet.world.away = false;
    fleet.callUntil(owner, JobCallKind::Submit, "0000000000000099", JobAnswerKind::Done);
    BOOST_TEST((fleet.call(owner, JobCallKind::State, refused).kind == JobAnswerKind::UnknownJob));
}

BOOST_AUTO_TEST_CASE(allNodesAskTheAdviceService)
{
    Nodes fleet(3);
    auto policy = std::make_shared<FleetPolicy>(*fleet.configuration->policy);
    policy->queues["queue"].advice = AdvicePolicy{50ms, 1ms, 3000ms};
    auto configuration = std::make_shared<NodeConfiguration>(*fleet.configuration);
    configuration->policy = policy;
    fleet.owner();
    for (const auto &node : fleet.nodes) {
        node->setConfiguration(configuration);
    }
    fleet.other();
    const std::vector<std::string> jobs
        = {"0000000000000001", "0000000000000002", "0000000000000003", "0000000000000004", "0000000000000005", "0000000000000006"};
    int round = 0;
    // Until the other nodes have offered themselves the owner asks alone.
    fleet.runUntil([&] {
        ++round;
        for (const std::string &job : jobs) {
            fleet.callUntil(fleet.owner(), JobCallKind::Submit, std::to_string(round) + job, JobAnswerKind::Done);
        }
        for (const std::string &job : jobs) {
            fleet.awaitState(fleet.owner(), std::to_string(round) + job, JobState::Completed);
        }
        return fleet.world.questionsAtOnce == 3;
    });
    // The service serves one call of each machine at a time.
    BOOST_TEST(fleet.world.mostOfOneNode == 1);
}
