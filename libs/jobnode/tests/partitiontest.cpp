#include "nodefleet.h"

using namespace Cornelquay;
using namespace Cornelquay::Testing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(jobsMoveWhenTheirPartitionIsUnavailable)
{
    NodeFixture fleet(2);
    fleet.platform.tasksEndAtOnce = false;
    JobNode &first = fleet.owner();
    JobNode &second = fleet.nonOwner();
    fleet.callUntil(first, JobCallKind::Submit, "0000000000000001", JobAnswerKind::Done);
    fleet.awaitState(first, "0000000000000001", JobState::Running);
    // A stale record, from an earlier time at which the jobs were in this partition; the move must remove it.
    fleet.platform.partitions[1].jobs["0000000000000009"] = fleet.platform.partitions[0].jobs.at("0000000000000001");
    fleet.platform.partitions[0].isUnavailable = true;
    // The first submit succeeds: the call waits for the move and is not refused.
    BOOST_TEST((fleet.call(first, JobCallKind::Submit, "0000000000000002").kind == JobAnswerKind::Done));
    fleet.awaitState(first, "0000000000000002", JobState::Running);
    BOOST_TEST(fleet.platform.ownership.back().jobsPartition == 1U);
    // The two jobs and the record of instances with orders.
    BOOST_TEST(fleet.platform.partitions[1].jobs.size() == 3U);
    BOOST_TEST(fleet.platform.partitions[1].jobs.count(InstanceOrdersKey) == 1U);
    // A successor reads the new partition, even if the former one is available again.
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

BOOST_AUTO_TEST_CASE(jobsMoveUntilAPartitionIsAvailable)
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

// Guards against jobs that are acknowledged and not stored: batches in a partition to which the jobs return counted as repeats of former ones.
BOOST_AUTO_TEST_CASE(jobsAreStoredInAPartitionToWhichTheyReturn)
{
    NodeFixture fleet(2);
    fleet.platform.tasksEndAtOnce = false;
    JobNode &first = fleet.owner();
    JobNode &second = fleet.nonOwner();
    std::vector<std::string> jobs;
    const auto submit = [&] {
        jobs.push_back("000000000000000" + std::to_string(jobs.size() + 1));
        fleet.callUntil(first, JobCallKind::Submit, jobs.back(), JobAnswerKind::Done);
    };
    submit();
    const std::uint64_t formerEpoch = fleet.platform.partitions[0].epoch;
    for (std::size_t outage = 0; outage < fleet.platform.partitions.size(); ++outage) {
        fleet.platform.partitions[outage].isUnavailable = true;
        submit();
        fleet.platform.partitions[outage].isUnavailable = false;
    }
    BOOST_TEST(fleet.platform.ownership.back().jobsPartition == 0U);
    BOOST_TEST(fleet.platform.repeatedBatches == 0);
    for (const std::string &job : jobs) {
        BOOST_TEST(fleet.platform.partitions[0].jobs.count(job) == 1U);
    }
    // A batch of the former stay that arrives now must have no effect.
    std::optional<StoreFailure> failure;
    fleet.platform.store(fleet.platform.partitions[0], formerEpoch, *fleet.platform.partitions[0].sequence + 1, {}, {jobs.front()}, [&](const auto &result) {
        failure = result ? std::nullopt : std::optional(result.error());
    });
    BOOST_TEST((failure == StoreFailure::Fenced));
    fleet.platform.nodesWithoutStore.insert("node-0");
    fleet.runUntil([&] {
        return second.isOwner();
    });
    for (const std::string &job : jobs) {
        fleet.awaitState(second, job, JobState::Running);
    }
}

BOOST_AUTO_TEST_CASE(anUnfinishedMoveLeavesTheFormerPartitionInForce)
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

BOOST_AUTO_TEST_CASE(jobsDoNotMoveWhileTheWholeStoreIsUnavailable)
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
