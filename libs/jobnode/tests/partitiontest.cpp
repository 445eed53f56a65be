#include "nodefleet.h"

using namespace Cornelquay;
using namespace Cornelquay::Testing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(jobsMoveToAnotherPartitionWhileTheirsIsAway)
{
    NodeFixture fleet(2);
    fleet.platform.tasksEndAtOnce = false;
    JobNode &first = fleet.owner();
    JobNode &second = fleet.nonOwner();
    fleet.callUntil(first, JobCallKind::Submit, "0000000000000001", JobAnswerKind::Done);
    fleet.awaitState(first, "0000000000000001", JobState::Running);
    // Of an earlier time in which the jobs were there.
    fleet.platform.partitions[1].jobs["0000000000000009"] = fleet.platform.partitions[0].jobs.at("0000000000000001");
    fleet.platform.partitions[0].isUnavailable = true;
    // Answered by its own first call: nobody is sent isUnavailable.
    BOOST_TEST((fleet.call(first, JobCallKind::Submit, "0000000000000002").kind == JobAnswerKind::Done));
    fleet.awaitState(first, "0000000000000002", JobState::Running);
    BOOST_TEST(fleet.platform.ownership.back().jobsPartition == 1U);
    BOOST_TEST(fleet.platform.partitions[1].jobs.size() == 2U);
    // A successor goes on there, even after the former partition is back.
    fleet.platform.partitions[0].isUnavailable = false;
    first.stop();
    fleet.runUntil([&] {
        return second.isOwner();
    });
    fleet.awaitState(second, "0000000000000001", JobState::Running);
    fleet.awaitState(second, "0000000000000002", JobState::Running);
    BOOST_TEST((fleet.call(second, JobCallKind::State, "0000000000000009").kind == JobAnswerKind::UnknownJob));
    BOOST_TEST(fleet.platform.starts == 4);
}

BOOST_AUTO_TEST_CASE(jobsMoveOnWhileSeveralPartitionsAreAway)
{
    NodeFixture fleet(1);
    JobNode &owner = fleet.owner();
    fleet.callUntil(owner, JobCallKind::Submit, "0000000000000001", JobAnswerKind::Done);
    fleet.platform.partitions[0].isUnavailable = true;
    fleet.platform.partitions[1].isUnavailable = true;
    fleet.callUntil(owner, JobCallKind::Submit, "0000000000000002", JobAnswerKind::Done);
    BOOST_TEST(fleet.platform.ownership.back().jobsPartition == 2U);
    fleet.awaitState(owner, "0000000000000001", JobState::Completed);
    fleet.awaitState(owner, "0000000000000002", JobState::Completed);
    BOOST_TEST(fleet.platform.starts == 4);
}

BOOST_AUTO_TEST_CASE(aMoveThatDoesNotEndLeavesTheFormerPartitionInForce)
{
    NodeFixture fleet(2);
    fleet.platform.tasksEndAtOnce = false;
    JobNode &first = fleet.owner();
    JobNode &second = fleet.nonOwner();
    fleet.callUntil(first, JobCallKind::Submit, "0000000000000001", JobAnswerKind::Done);
    fleet.awaitState(first, "0000000000000001", JobState::Running);
    for (InMemoryPlatform::Partition &partition : fleet.platform.partitions) {
        partition.isUnavailable = true;
    }
    fleet.submitUntilRefused(first);
    BOOST_TEST(fleet.platform.ownership.back().jobsPartition == 0U);
    first.stop();
    for (InMemoryPlatform::Partition &partition : fleet.platform.partitions) {
        partition.isUnavailable = false;
    }
    fleet.runUntil([&] {
        return second.isOwner();
    });
    fleet.awaitState(second, "0000000000000001", JobState::Running);
    BOOST_TEST(fleet.platform.starts == 2);
}

BOOST_AUTO_TEST_CASE(theWholeStoreAwayMovesNothing)
{
    NodeFixture fleet(1);
    JobNode &owner = fleet.owner();
    fleet.callUntil(owner, JobCallKind::Submit, "0000000000000001", JobAnswerKind::Done);
    fleet.awaitState(owner, "0000000000000001", JobState::Completed);
    fleet.platform.isUnavailable = true;
    fleet.submitUntilRefused(owner);
    fleet.platform.isUnavailable = false;
    fleet.callUntil(owner, JobCallKind::Submit, "0000000000000099", JobAnswerKind::Done);
    BOOST_TEST(fleet.platform.ownership.back().jobsPartition == 0U);
    BOOST_TEST(fleet.platform.partitions[1].jobs.empty());
}
