#include "nodefleet.h"

#include <algorithm>
#include <random>

using namespace Cornelquay;
using namespace Cornelquay::Testing;
using namespace std::chrono_literals;

namespace {

constexpr const char *Cancelled = "0000000000000001";

/** What a client knows of its job, and the messages of it that are still under way, the next one at the back. */
struct ClientJob {
    std::string id;
    std::vector<JobCallKind> messages;
    bool isAccepted = false;
    bool isCancelAnswered = false;
    /** A cancel was answered although no submission had arrived. */
    bool isCancelledEarly = false;
};

/** Jobs with one to three copies of their submission and up to two of their cancel, in any order. */
std::vector<ClientJob> makeClientJobs(std::size_t count, std::mt19937 &random)
{
    std::vector<ClientJob> jobs(count);
    for (std::size_t number = 0; number < count; ++number) {
        ClientJob &job = jobs[number];
        const std::string digits = std::to_string(number + 1);
        job.id = std::string(16 - digits.size(), '0') + digits;
        job.messages.assign(1 + random() % 3, JobCallKind::Submit);
        job.messages.insert(job.messages.end(), random() % 3, JobCallKind::Cancel);
        std::shuffle(job.messages.begin(), job.messages.end(), random);
    }
    return jobs;
}

/** Lets the next message of the job arrive at @p node, again while the owner changes, and checks the answer. */
void deliverNext(NodeFixture &fleet, JobNode &node, ClientJob &job)
{
    const JobCallKind kind = job.messages.back();
    job.messages.pop_back();
    const bool isSubmission = kind == JobCallKind::Submit;
    const JobAnswerKind afterCancel = isSubmission ? JobAnswerKind::NotRun : JobAnswerKind::UnknownJob;
    const bool isUnknown = job.isCancelledEarly || (!isSubmission && !job.isAccepted);
    fleet.callUntil(node, kind, job.id, isUnknown ? afterCancel : JobAnswerKind::Done);
    job.isAccepted = job.isAccepted || (isSubmission && !isUnknown);
    job.isCancelAnswered = job.isCancelAnswered || !isSubmission;
    job.isCancelledEarly = job.isCancelledEarly || (!isSubmission && isUnknown);
}
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

// Guards against any order of a client's messages, at any nodes and over changes of the owner, in which a job runs after its cancel, and
// against submissions that are refused though they were not cancelled.
BOOST_AUTO_TEST_CASE(noOrderOfMessagesRunsAJobThatWasCancelledBefore)
{
    for (const std::uint32_t seed : {1U, 2U}) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            std::mt19937 random(seed);
            NodeFixture fleet(4);
            std::vector<ClientJob> jobs = makeClientJobs(40, random);
            // The first owner releases its ownership, the second one ends without.
            for (const bool isReleased : {true, false, false}) {
                JobNode &owner = fleet.owner();
                for (ClientJob &job : jobs) {
                    while (!job.messages.empty() && random() % 2 == 0) {
                        deliverNext(fleet, random() % 3 == 0 ? fleet.nonOwner() : owner, job);
                    }
                }
                bool isEnded = !isReleased;
                if (isReleased) {
                    owner.release([&] {
                        isEnded = true;
                    });
                }
                fleet.runUntil([&] {
                    return isEnded;
                });
                owner.stop();
                std::erase_if(fleet.nodes, [&](const auto &node) {
                    return node.get() == &owner;
                });
            }
            JobNode &last = fleet.owner();
            for (ClientJob &job : jobs) {
                while (!job.messages.empty()) {
                    deliverNext(fleet, last, job);
                }
                if (job.isAccepted && !job.isCancelAnswered) {
                    fleet.awaitState(last, job.id, JobState::Completed);
                }
            }
            for (const ClientJob &job : jobs) {
                const bool hasRun = std::any_of(fleet.platform.ended.begin(), fleet.platform.ended.end(), [&](const ListedEnd &end) {
                    return end.task.job == job.id;
                });
                BOOST_TEST(!(job.isCancelledEarly && hasRun), job.id);
            }
        }
    }
}
