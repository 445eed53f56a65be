#include "nodefleet.h"

using namespace Cornelquay;
using namespace Cornelquay::Testing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(jobsMoveToAnotherPartitionWhileTheirsIsAway)
{
    Nodes fleet(2);
    fleet.world.endsAtOnce = false;
    JobNode &first = fleet.owner();
    JobNode &second = fleet.other();
    fleet.callUntil(first, JobCallKind::Submit, "0000000000000001", JobAnswerKind::Done);
    fleet.awaitState(first, "0000000000000001", JobState::Running);
    // Of an earlier time in which the jobs were there.
    fleet.world.partitions[1].jobs["0000000000000009"] = fleet.world.partitions[0].jobs.at("0000000000000001");
    fleet.world.partitions[0].away = true;
    // Answered by its own first call: nobody is sent away.
    BOOST_TEST((fleet.call(first, JobCallKind::Submit, "0000000000000002").kind == JobAnswerKind::Done));
    fleet.awaitState(first, "0000000000000002", JobState::Running);
    BOOST_TEST(fleet.world.ownership.back().jobsPartition == 1U);
    BOOST_TEST(fleet.world.partitions[1].jobs.size() == 2U);
    // A successor goes on there, even after the former partition is back.
    fleet.world.partitions[0].away = false;
    first.stop();
    fleet.runUntil([&] {
        return second.isOwner();
    });
    fleet.awaitState(second, "0000000000000001", JobState::Running);
    fleet.awaitState(second, "0000000000000002", JobState::Running);
    BOOST_TEST((fleet.call(second, JobCallKind::State, "0000000000000009").kind == JobAnswerKind::UnknownJob));
    BOOST_TEST(fleet.world.starts == 4);
}

BOOST_AUTO_TEST_CASE(jobsMoveOnWhileSeveralPartitionsAreAway)
{
    Nodes fleet(1);
    JobNode &owner = fleet.owner();
    fleet.callUntil(owner, JobCallKind::Submit, "0000000000000001", JobAnswerKind::Done);
    fleet.world.partitions[0].away = true;
    fleet.world.partitions[1].away = true;
    fleet.callUntil(owner, JobCallKind::Submit, "0000000000000002", JobAnswerKind::Done);
    BOOST_TEST(fleet.world.ownership.back().jobsPartition == 2U);
    fleet.awaitState(owner, "0000000000000001", JobState::Completed);
    fleet.awaitState(owner, "0000000000000002", JobState::Completed);
    BOOST_TEST(fleet.world.starts == 4);
}

BOOST_AUTO_TEST_CASE(aMoveThatDoesNotEndLeavesTheFormerPartitionInForce)
{
    Nodes fleet(2);
    fleet.world.endsAtOnce = false;
    JobNode &first = fleet.owner();
    JobNode &second = fleet.other();
    fleet.callUntil(first, JobCallKind::Submit, "0000000000000001", JobAnswerKind::Done);
    fleet.awaitState(first, "0000000000000001", JobState::Running);
    for (SharedWorld::Partition &partition : fleet.world.partitions) {
        partition.away = true;
    }
    fleet.submitUntilRefused(first);
    BOOST_TEST(fleet.world.ownership.back().jobsPartition == 0U);
    first.stop();
    for (SharedWorld::Partition &partition : fleet.world.partitions) {
        partition.away = false;
    }
    fleet.runUntil([&] {
        return second.isOwner();
    });
    fleet.awaitState(second, "0000000000000001", JobState::Running);
    BOOST_TEST(fleet.world.starts == 2);
}

BOOST_AUTO_TEST_CASE(theWholeStoreAwayMovesNothing)
{
    Nodes fleet(1);
    JobNode &owner = fleet.owner();
    fleet.callUntil(owner, JobCallKind::Submit, "0000000000000001", JobAnswerKind::Done);
    fleet.awaitState(owner, "0000000000000001", JobState::Completed);
    fleet.world.away = true;
    fleet.submitUntilRefused(owner);
    fleet.world.away = false;
    fleet.callUntil(owner, JobCallKind::Submit, "0000000000000099", JobAnswerKind::Done);
    BOOST_TEST(fleet.world.ownership.back().jobsPartition == 0U);
    BOOST_TEST(fleet.world.partitions[1].jobs.empty());
}
