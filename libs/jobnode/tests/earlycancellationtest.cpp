#include "nodefleet.h"

using namespace Cornelquay;
using namespace Cornelquay::Testing;
using namespace std::chrono_literals;

namespace {

constexpr const char *Cancelled = "0000000000000001";
}

// Guards against a submission that a node had not read when its client's cancel was answered, and that takes effect afterwards.
BOOST_AUTO_TEST_CASE(aSubmissionThatArrivesAfterItsCancelIsRefused)
{
    NodeFixture fleet(2);
    JobNode &owner = fleet.owner();
    JobNode &other = fleet.nonOwner();
    fleet.callUntil(other, JobCallKind::Cancel, Cancelled, JobAnswerKind::UnknownJob);
    for (JobNode *node : {&other, &owner}) {
        const JobAnswer answer = fleet.call(*node, JobCallKind::Submit, Cancelled);
        BOOST_TEST((answer.kind == JobAnswerKind::NotRun));
        BOOST_TEST(answer.retryAfterMs > 0);
        BOOST_TEST((fleet.call(*node, JobCallKind::State, Cancelled).kind == JobAnswerKind::UnknownJob));
        // A client whose answer was lost sends its cancel again.
        BOOST_TEST((fleet.call(*node, JobCallKind::Cancel, Cancelled).kind == JobAnswerKind::UnknownJob));
    }
    // Other jobs of the client are accepted, also if their submission is sent again.
    fleet.callUntil(other, JobCallKind::Submit, "0000000000000002", JobAnswerKind::Done);
    fleet.callUntil(owner, JobCallKind::Submit, "0000000000000002", JobAnswerKind::Done);
    fleet.awaitState(owner, "0000000000000002", JobState::Completed);
    BOOST_TEST(fleet.platform.starts == static_cast<int>(fleet.taskCount));
}

// Guards against a cancel that was answered and that a new owner does not know of.
BOOST_AUTO_TEST_CASE(aNewOwnerRefusesASubmissionThatWasCancelledBefore)
{
    for (const bool isReleased : {true, false}) {
        NodeFixture fleet(2);
        JobNode &owner = fleet.owner();
        JobNode &successor = fleet.nonOwner();
        fleet.callUntil(owner, JobCallKind::Cancel, Cancelled, JobAnswerKind::UnknownJob);
        if (isReleased) {
            owner.release([] {});
        } else {
            owner.stop();
        }
        fleet.runUntil([&] {
            return successor.isOwner();
        });
        fleet.callUntil(successor, JobCallKind::Submit, "0000000000000002", JobAnswerKind::Done);
        BOOST_TEST((fleet.call(successor, JobCallKind::Submit, Cancelled).kind == JobAnswerKind::NotRun));
        BOOST_TEST((fleet.call(successor, JobCallKind::Cancel, Cancelled).kind == JobAnswerKind::UnknownJob));
        fleet.awaitState(successor, "0000000000000002", JobState::Completed);
        BOOST_TEST(fleet.platform.starts == static_cast<int>(fleet.taskCount));
    }
}

// Guards against a cancel that is answered although it is not stored, so that it is lost with the owner.
BOOST_AUTO_TEST_CASE(aCancelOfAnUnknownJobIsAnsweredOnceItIsStored)
{
    NodeFixture fleet(1);
    JobNode &owner = fleet.owner();
    fleet.callUntil(owner, JobCallKind::Submit, "0000000000000002", JobAnswerKind::Done);
    fleet.platform.isUnavailable = true;
    BOOST_TEST((fleet.call(owner, JobCallKind::Cancel, Cancelled).kind != JobAnswerKind::UnknownJob));
    BOOST_TEST((fleet.call(owner, JobCallKind::Cancel, Cancelled).kind != JobAnswerKind::UnknownJob));
    fleet.platform.isUnavailable = false;
    fleet.callUntil(owner, JobCallKind::Cancel, Cancelled, JobAnswerKind::UnknownJob);
    BOOST_TEST((fleet.call(owner, JobCallKind::Submit, Cancelled).kind == JobAnswerKind::NotRun));
}

// Guards against an account that keeps another one from submitting by cancels of its ids.
BOOST_AUTO_TEST_CASE(aCancelDoesNotRefuseTheJobsOfOtherAccounts)
{
    NodeFixture fleet(1);
    JobNode &owner = fleet.owner();
    fleet.account = "a";
    fleet.callUntil(owner, JobCallKind::Cancel, Cancelled, JobAnswerKind::UnknownJob);
    fleet.account = "b";
    // Two cancels of one id cannot be kept; this one is not acknowledged.
    BOOST_TEST((fleet.call(owner, JobCallKind::Cancel, Cancelled).kind == JobAnswerKind::NotRun));
    fleet.callUntil(owner, JobCallKind::Submit, Cancelled, JobAnswerKind::Done);
    fleet.awaitState(owner, Cancelled, JobState::Completed);
    fleet.account = "a";
    BOOST_TEST((fleet.call(owner, JobCallKind::Submit, Cancelled).kind == JobAnswerKind::NotRun));
}

// Guards against cancels of jobs that do not exist that take all memory, and against cancels that are answered without being kept.
BOOST_AUTO_TEST_CASE(theMemoryOfCancelsIsLimited)
{
    SchedulerOptions options;
    options.maxHeldBytes = 64 * memoryOf(JobSpec{});
    NodeFixture fleet(1, 0, options);
    JobNode &owner = fleet.owner();
    fleet.account = "a";
    fleet.callUntil(owner, JobCallKind::Cancel, "0000000000001000", JobAnswerKind::UnknownJob);
    std::string job;
    JobAnswer answer;
    int acknowledged = 0;
    do {
        job = "00000000000000" + std::to_string(10 + acknowledged);
        answer = fleet.call(owner, JobCallKind::Cancel, job);
        acknowledged += answer.kind == JobAnswerKind::UnknownJob ? 1 : 0;
    } while (answer.kind == JobAnswerKind::UnknownJob && acknowledged < 80);
    BOOST_TEST(acknowledged >= 16);
    BOOST_TEST(acknowledged < 64);
    BOOST_TEST((answer.kind == JobAnswerKind::OverShare));
    BOOST_TEST(answer.retryAfterMs > 0);
    fleet.account = "b";
    BOOST_TEST((fleet.call(owner, JobCallKind::Cancel, job).kind == JobAnswerKind::UnknownJob));
}
