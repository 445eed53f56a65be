#include "jobs/job.h"
#include "jobs/jobcodec.h"

#include <boost/test/unit_test.hpp>

#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <numeric>
#include <optional>
#include <random>
#include <set>

using namespace Cornelquay;

namespace {

constexpr std::int64_t Now = 1000;

StepSpec makeStep(std::uint32_t count, std::vector<std::uint32_t> after = {})
{
    StepSpec step;
    step.count = count;
    step.demand = {500, 100, 0};
    step.estimateMs = 100;
    step.after = std::move(after);
    return step;
}

Job makeJob(std::vector<StepSpec> steps, std::uint32_t attempts = 3)
{
    JobRecord record;
    record.id = "0123456789abcdef";
    record.terms.attempts = attempts;
    record.spec.steps = std::move(steps);
    Job job(std::move(record));
    job.openOccurrence();
    return job;
}

}

BOOST_AUTO_TEST_CASE(aStepStartsAfterTheStepsThatItDependsOn)
{
    Job job = makeJob({makeStep(2), makeStep(1, {0})});
    const Occurrence &occurrence = *job.findOccurrence(0);
    BOOST_TEST(job.mayStart(occurrence, 0));
    BOOST_TEST(!job.mayStart(occurrence, 1));
    BOOST_CHECK_THROW(job.place({0, 1, 0}, "w"), std::logic_error);
    const std::uint32_t first = job.place({0, 0, 0}, "w");
    job.endRun({0, 0, 0}, first, RunEnd::Done, "", Now);
    BOOST_TEST(!job.mayStart(occurrence, 1));
    job.endRun({0, 0, 1}, job.place({0, 0, 1}, "w"), RunEnd::Done, "", Now);
    BOOST_TEST(job.mayStart(occurrence, 1));
    job.endRun({0, 1, 0}, job.place({0, 1, 0}, "w"), RunEnd::Done, "", Now);
    BOOST_TEST((job.record().state == JobState::Completed));
}

BOOST_AUTO_TEST_CASE(onlyFailuresUseUpAttempts)
{
    Job job = makeJob({makeStep(1)}, 2);
    const TaskRef task{0, 0, 0};
    for (const RunEnd runEnd : {RunEnd::Stopped, RunEnd::LeaseExpired, RunEnd::GangMemberEnded, RunEnd::GangIncomplete}) {
        BOOST_TEST((job.endRun(task, job.place(task, "w"), runEnd, "", Now) == EndOutcome::TaskWaiting));
    }
    BOOST_TEST((job.endRun(task, job.place(task, "w"), RunEnd::Failed, "", Now) == EndOutcome::TaskWaiting));
    BOOST_TEST((job.endRun(task, job.place(task, "w"), RunEnd::Failed, "", Now) == EndOutcome::JobFailed));
    BOOST_TEST((job.record().state == JobState::Failed));
    BOOST_CHECK_THROW(job.place(task, "w"), std::logic_error);
}

BOOST_AUTO_TEST_CASE(endsOfEarlierRunsAreIgnored)
{
    Job job = makeJob({makeStep(1)});
    const TaskRef task{0, 0, 0};
    const std::uint32_t first = job.place(task, "w1");
    job.loseRun(task, first, Now);
    const std::uint32_t second = job.place(task, "w2");
    BOOST_TEST(second > first);
    BOOST_TEST((job.endRun(task, first, RunEnd::Done, "", Now) == EndOutcome::Ignored));
    BOOST_TEST((job.findTask(task)->phase == TaskPhase::Placed));
}

BOOST_AUTO_TEST_CASE(aLostRunThatReportsSuccessLaterFinishesTheTask)
{
    Job job = makeJob({makeStep(1)});
    const TaskRef task{0, 0, 0};
    const std::uint32_t run = job.place(task, "w1");
    job.loseRun(task, run, Now);
    BOOST_TEST((job.endRun(task, run, RunEnd::Done, "", Now) == EndOutcome::TaskFinished));
    BOOST_TEST((job.record().state == JobState::Completed));
}

BOOST_AUTO_TEST_CASE(longRunningTasksRestartAfterAnyEnd)
{
    StepSpec step = makeStep(1);
    step.longRunning = true;
    Job job = makeJob({step}, 1);
    const TaskRef task{0, 0, 0};
    for (const RunEnd runEnd : {RunEnd::Done, RunEnd::Failed, RunEnd::Stopped}) {
        BOOST_TEST((job.endRun(task, job.place(task, "w"), runEnd, "", Now) == EndOutcome::TaskWaiting));
    }
    BOOST_TEST(job.isOpen());
    BOOST_TEST(job.cancel(Now));
    BOOST_TEST(!job.cancel(Now));
    BOOST_TEST((job.record().state == JobState::Cancelled));
}

BOOST_AUTO_TEST_CASE(checkpointsAreKeptForTheNextRun)
{
    Job job = makeJob({makeStep(1)});
    const TaskRef task{0, 0, 0};
    const std::uint32_t run = job.place(task, "w");
    BOOST_TEST(job.saveProgress(task, run, "half"));
    BOOST_TEST(!job.saveProgress(task, run + 1, "other"));
    job.loseRun(task, run, Now);
    BOOST_TEST(job.findTask(task)->checkpoint == "half");
    job.endRun(task, job.place(task, "w"), RunEnd::Stopped, "more", Now);
    BOOST_TEST(job.findTask(task)->checkpoint == "more");
}

BOOST_AUTO_TEST_CASE(failuresOfAllGangMembersCountTogether)
{
    StepSpec step = makeStep(3);
    step.gang = true;
    Job job = makeJob({step}, 2);
    std::uint32_t run = job.placeGang(0, 0, {"a", "b", "c"});
    job.endRun({0, 0, 0}, run, RunEnd::Failed, "", Now);
    job.endRun({0, 0, 1}, run, RunEnd::GangMemberEnded, "", Now);
    job.endRun({0, 0, 2}, run, RunEnd::GangMemberEnded, "", Now);
    run = job.placeGang(0, 0, {"a", "b", "c"});
    BOOST_TEST((job.endRun({0, 0, 1}, run, RunEnd::Failed, "", Now) == EndOutcome::JobFailed));
}

// Guards against a gang that is given up after one run, because several of its members failed in it.
BOOST_AUTO_TEST_CASE(aRunOfAGangInWhichSeveralMembersFailCountsOnce)
{
    StepSpec step = makeStep(4);
    step.gang = true;
    Job job = makeJob({step}, 3);
    const std::vector<WorkerId> workers = {"a", "a", "a", "a"};
    for (std::uint32_t attempt = 1; attempt <= 3; ++attempt) {
        const std::uint32_t run = job.placeGang(0, 0, workers);
        BOOST_TEST(run == attempt);
        for (std::uint32_t member = 0; member < step.count; ++member) {
            // The owner may change between the ends of two members.
            job = Job(*decodeJob(encodeJob(job.record())));
            const EndOutcome outcome = job.endRun({0, 0, member}, run, RunEnd::Failed, "", Now);
            BOOST_TEST((outcome == EndOutcome::JobFailed) == (attempt == 3 && member == 0));
        }
        BOOST_TEST(job.isOpen() == (attempt < 3));
    }
}

BOOST_AUTO_TEST_CASE(aLostGangMemberIsFinishedIfAnotherMemberFinished)
{
    StepSpec step = makeStep(2);
    step.gang = true;
    Job job = makeJob({step});
    const std::uint32_t run = job.placeGang(0, 0, {"a", "b"});
    job.endRun({0, 0, 0}, run, RunEnd::Done, "", Now);
    BOOST_TEST((job.loseRun({0, 0, 1}, run, Now) == EndOutcome::TaskFinished));
    BOOST_TEST((job.record().state == JobState::Completed));
}

// Guards against a gang that never goes on, because a member was heard of in an order that leaves it waiting behind one that has finished.
BOOST_AUTO_TEST_CASE(aGangIsFinishedWhateverTheOrderInWhichItsMembersAreHeardOf)
{
    const bool isSatisfied = rc::check("one member's success finishes the gang, in any order and over changes of the owner", [] {
        constexpr std::uint32_t Attempts = 100;
        const std::uint32_t members = *rc::gen::inRange(1U, 7U);
        StepSpec gang = makeStep(members);
        gang.gang = true;
        Job job = makeJob({gang, makeStep(1, {0})}, Attempts);
        // The members of a former run may each have failed, been stopped or lost.
        const auto otherEnd = rc::gen::element<std::optional<RunEnd>>(
            std::nullopt, RunEnd::Failed, RunEnd::Stopped, RunEnd::LeaseExpired, RunEnd::GangMemberEnded, RunEnd::GangIncomplete);
        const auto report = [&](std::uint32_t member, std::uint32_t run, std::optional<RunEnd> end) {
            if (*rc::gen::arbitrary<bool>()) {
                job = Job(*decodeJob(encodeJob(job.record())));
                RC_ASSERT(!job.finishGangs(Now));
            }
            return end ? job.endRun({0, 0, member}, run, *end, "", Now) : job.loseRun({0, 0, member}, run, Now);
        };
        std::uint32_t run = 0;
        for (int former = *rc::gen::inRange(0, 3); former >= 0; --former) {
            run = job.placeGang(0, 0, std::vector<WorkerId>(members, "w"));
            for (std::uint32_t member = 0; former > 0 && member < members; ++member) {
                report(member, run, *otherEnd);
                RC_ASSERT(!job.isGangDone({0, 0, 0}));
            }
        }
        std::vector<std::uint32_t> order(members);
        std::iota(order.begin(), order.end(), 0U);
        std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
        std::shuffle(order.begin(), order.end(), random);
        const std::uint32_t successful = *rc::gen::inRange(0U, members);
        bool isDone = false;
        for (const std::uint32_t member : order) {
            const bool isSuccess = member == successful || *rc::gen::arbitrary<bool>();
            const EndOutcome outcome = report(member, run, isSuccess ? std::optional(RunEnd::Done) : *otherEnd);
            isDone = isDone || isSuccess;
            RC_ASSERT(job.isGangDone({0, 0, 0}) == isDone);
            RC_ASSERT((outcome == EndOutcome::TaskFinished) == isDone);
            RC_ASSERT(job.mayStart(*job.findOccurrence(0), 1) == isDone);
        }
        RC_ASSERT(job.isOpen());
        RC_ASSERT(!job.hasPlacedTasks());
        job.endRun({0, 1, 0}, job.place({0, 1, 0}, "w"), RunEnd::Done, "", Now);
        RC_ASSERT(job.record().state == JobState::Completed);
    });
    BOOST_TEST(isSatisfied);
}

// Guards against a gang that never goes on because an earlier release stored it with a member that waits behind one that has finished.
BOOST_AUTO_TEST_CASE(aGangThatAnEarlierReleaseLeftUnfinishedIsFinished)
{
    StepSpec gang = makeStep(2);
    gang.gang = true;
    Job job = makeJob({gang, makeStep(1, {0})});
    job.placeGang(0, 0, {"a", "b"});
    JobRecord record = job.record();
    record.occurrences[0].steps[0][0].phase = TaskPhase::Finished;
    record.occurrences[0].steps[0][1].phase = TaskPhase::Waiting;
    Job restored(record);
    BOOST_TEST(restored.finishGangs(Now));
    BOOST_TEST(!restored.finishGangs(Now));
    BOOST_TEST(restored.mayStart(*restored.findOccurrence(0), 1));
    BOOST_TEST((restored.findTask({0, 0, 1})->phase == TaskPhase::Finished));
    BOOST_TEST(restored.isOpen());
}

BOOST_AUTO_TEST_CASE(occurrencesAreDueAtTheirIntervalAndMayOverlap)
{
    JobRecord record;
    record.id = "0123456789abcdef";
    record.spec.steps = {makeStep(1)};
    record.spec.recurrence = {2, 5000, 1000};
    Job job(std::move(record));
    BOOST_TEST(job.nextDueMs().value() == 5000);
    BOOST_TEST(job.openOccurrence());
    BOOST_TEST(job.nextDueMs().value() == 6000);
    BOOST_TEST(job.openOccurrence());
    BOOST_TEST(!job.openOccurrence());
    BOOST_TEST(!job.nextDueMs().has_value());
    job.endRun({1, 0, 0}, job.place({1, 0, 0}, "w"), RunEnd::Done, "", Now);
    BOOST_TEST(job.isOpen());
    job.endRun({0, 0, 0}, job.place({0, 0, 0}, "w"), RunEnd::Done, "", Now);
    BOOST_TEST((job.record().state == JobState::Completed));
}

BOOST_AUTO_TEST_CASE(invalidSpecificationsAreRejected)
{
    JobSpec spec;
    BOOST_TEST(!findSpecError(spec).empty());
    spec.steps = {makeStep(1)};
    BOOST_TEST(findSpecError(spec).empty());
    spec.steps.push_back(makeStep(1, {1}));
    BOOST_TEST(findSpecError(spec).find("step 1") != std::string::npos);
    spec.steps = {makeStep(JobLimits::MaxTasks), makeStep(1)};
    BOOST_TEST(!findSpecError(spec).empty());
    spec.steps = {makeStep(1)};
    spec.payload = std::string(JobLimits::MaxPayloadBytes + 1, 'x');
    BOOST_TEST(!findSpecError(spec).empty());
}

BOOST_AUTO_TEST_CASE(criticalPathsFollowTheLongestChain)
{
    JobSpec spec;
    spec.steps = {makeStep(1), makeStep(1, {0}), makeStep(1), makeStep(1, {1, 2})};
    const std::vector<std::int64_t> chains = criticalPathsMs(spec, {100, 100, 500, 100});
    BOOST_TEST(chains[0] == 300);
    BOOST_TEST(chains[2] == 600);
    BOOST_TEST(chains[3] == 100);
}

BOOST_AUTO_TEST_CASE(crashesOfIsolatedTasksFailTheJob)
{
    const TaskRef task{0, 0, 0};
    const auto crashesUntilFailure = [&](const CrashEvidence &evidence, std::uint32_t before) {
        Job job = makeJob({makeStep(1)});
        for (std::uint32_t crash = 0; crash < before; ++crash) {
            job.countCrash(task, "w", {CrashMoment::Startup, false, false}, 0, Now);
        }
        std::uint32_t crashes = before;
        while (job.isOpen() && crashes < 20) {
            ++crashes;
            job.countCrash(task, "w" + std::to_string(crashes), evidence, 0, Now);
        }
        return crashes;
    };
    BOOST_TEST(crashesUntilFailure({CrashMoment::Startup, true, true}, 1) == 2U);
    BOOST_TEST(crashesUntilFailure({CrashMoment::Startup, true, false}, 1) == 3U);
    BOOST_TEST(crashesUntilFailure({CrashMoment::Later, true, true}, 1) == 4U);
    BOOST_TEST(crashesUntilFailure({CrashMoment::Startup, false, true}, 0) == 4U);
    BOOST_TEST(crashesUntilFailure({CrashMoment::Unknown, false, false}, 0) == 5U);
    // One crash is never enough, and neither are losses of runs that may not have been started.
    BOOST_TEST(crashesUntilFailure({CrashMoment::Startup, true, true}, 0) == 2U);
    BOOST_TEST(crashesUntilFailure({CrashMoment::Unknown, true, true}, 1) == 5U);
}

BOOST_AUTO_TEST_CASE(aWorkerThatCrashesAgainProvesNothing)
{
    Job job = makeJob({makeStep(1)});
    for (int crash = 0; crash < 3; ++crash) {
        job.countCrash({0, 0, 0}, "w", {CrashMoment::Startup, true, true}, 0, Now);
    }
    BOOST_TEST(job.isOpen());
    job.countCrash({0, 0, 0}, "w", {CrashMoment::Startup, true, true}, 0, Now);
    BOOST_TEST((job.record().state == JobState::Failed));
}

// Guards against a sound job that fails because the only worker that can run it goes down and up.
BOOST_AUTO_TEST_CASE(crashesOfOneWorkerDoNotFailAJob)
{
    for (const CrashMoment moment : {CrashMoment::Later, CrashMoment::Unknown}) {
        Job job = makeJob({makeStep(1)});
        std::size_t bytes = 0;
        for (int crash = 0; crash < 100; ++crash) {
            job.countCrash({0, 0, 0}, "w", {moment, true, true}, 0, Now);
            job.countUnconfirmedLoss({0, 0, 0}, "w", Now);
            bytes = crash == 10 ? encodeJob(job.record()).size() : bytes;
        }
        BOOST_TEST(job.isOpen());
        BOOST_TEST(encodeJob(job.record()).size() <= bytes + 16);
        job.countCrash({0, 0, 0}, "x", {moment, false, false}, 0, Now);
        BOOST_TEST((job.record().state == JobState::Failed));
    }
}

BOOST_AUTO_TEST_CASE(aTaskIsSuspectedAfterACrashAtItsStartOrTwoOthers)
{
    Job job = makeJob({makeStep(3)});
    job.countCrash({0, 0, 0}, "w", {CrashMoment::Startup, false, false}, 0, Now);
    job.countCrash({0, 0, 1}, "w", {CrashMoment::Later, false, false}, 0, Now);
    BOOST_TEST(job.isCrashSuspect({0, 0, 0}));
    BOOST_TEST(!job.isCrashSuspect({0, 0, 1}));
    job.countUnconfirmedLoss({0, 0, 1}, "x", Now);
    BOOST_TEST(job.isCrashSuspect({0, 0, 1}));
    job.explainLoss({0, 0, 1}, "x");
    BOOST_TEST(!job.isCrashSuspect({0, 0, 1}));
    BOOST_TEST(!job.isCrashSuspect({0, 0, 2}));
}

BOOST_AUTO_TEST_CASE(aFinishedTaskIsFreeOfSuspicion)
{
    Job job = makeJob({makeStep(2)});
    job.countCrash({0, 0, 0}, "w", {CrashMoment::Startup, false, false}, 0, Now);
    job.endRun({0, 0, 0}, job.place({0, 0, 0}, "w"), RunEnd::Done, "", Now);
    BOOST_TEST(job.record().crashes.empty());
    BOOST_TEST((job.countCrash({0, 0, 0}, "w", {CrashMoment::Startup, true, true}, 0, Now) == EndOutcome::Ignored));
}

BOOST_AUTO_TEST_CASE(aJobThatWasGivenUpOpensNoFurtherOccurrence)
{
    JobRecord record;
    record.spec.steps = {makeStep(1)};
    record.spec.recurrence = {5, 0, 100};
    Job job(record);
    BOOST_REQUIRE(job.openOccurrence());
    job.countCrash({0, 0, 0}, "w1", {CrashMoment::Startup, false, true}, 0, Now);
    job.countCrash({0, 0, 0}, "w2", {CrashMoment::Startup, true, true}, 0, Now);
    BOOST_TEST((job.record().state == JobState::Failed));
    BOOST_TEST(!job.openOccurrence());
    BOOST_TEST(!job.nextDueMs().has_value());
}

BOOST_AUTO_TEST_CASE(onlyWorkersOfPlacedTasksAreKept)
{
    Job job = makeJob({makeStep(2)});
    const std::uint32_t run = job.place({0, 0, 0}, "w1");
    job.noteWorker({"w1", "192.0.2.1:1", 7});
    job.endRun({0, 0, 0}, run, RunEnd::Done, "", Now);
    job.place({0, 0, 1}, "w2");
    job.noteWorker({"w2", "192.0.2.2:1", 8});
    BOOST_REQUIRE(job.record().workers.size() == 1U);
    BOOST_TEST(job.record().incarnationOf("w2").startTimeMs == 8);
    BOOST_TEST(job.record().incarnationOf("w1").address.empty());
}

BOOST_AUTO_TEST_CASE(recordsSurviveEncodingAndDecoding)
{
    Job job = makeJob({makeStep(2), makeStep(1, {0})});
    job.place({0, 0, 1}, "worker");
    job.saveProgress({0, 0, 1}, 1, "saved");
    job.noteWorker({"worker", "192.0.2.1:1", 7});
    job.countCrash({0, 0, 0}, "worker", {CrashMoment::Startup, true, false}, 4, Now);
    const std::string bytes = encodeJob(job.record());
    const std::optional<JobRecord> read = decodeJob(bytes);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((*read == job.record()));
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        BOOST_TEST(!decodeJob(bytes.substr(0, length)).has_value());
    }
}

// Applies placements, ends and losses of runs, cancellations and reloads from the record in random order. Run numbers must
// increase, a task must have at most one run at a time, and a finished task must not run again.
// Written by the former version: a queued job "a" of queue "q" without steps.
BOOST_AUTO_TEST_CASE(recordsOfTheFormerVersionAreRead)
{
    using namespace std::string_literals;
    const std::string bytes = "\x92\x01\x9b\xa1\x61\xa1\x71\xa0\x00\x00\x00\xc2\x95\xa0\x00\x01\x01\x00\x93\xa0\x90\x93\x00\x00\x00\x00\x90"s;
    const std::optional<JobRecord> read = decodeJob(bytes);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->id == "a");
    BOOST_TEST(read->queue == "q");
    BOOST_TEST(read->workers.empty());
    BOOST_TEST(read->crashes.empty());
}

BOOST_AUTO_TEST_CASE(randomEventsKeepTheInvariantsOfJobs)
{
    const bool isSatisfied = rc::check("run numbers increase, one run at a time, none after the task finished", [](const std::vector<std::uint16_t> &choices) {
        Job job = makeJob({makeStep(2), makeStep(2, {0})}, 3);
        std::map<TaskRef, std::uint32_t> highest;
        std::set<TaskRef> done;
        for (const std::uint16_t choice : choices) {
            const TaskRef ref{0, (choice >> 1) & 1U, choice & 1U};
            const Task before = *job.findTask(ref);
            switch ((choice >> 2) % 5) {
            case 0:
                if (job.isOpen() && before.phase == TaskPhase::Waiting && job.mayStart(*job.findOccurrence(0), ref.step)) {
                    RC_ASSERT(done.count(ref) == 0);
                    const std::uint32_t run = job.place(ref, "w" + std::to_string(choice % 3));
                    RC_ASSERT(run > highest[ref]);
                    highest[ref] = run;
                    RC_ASSERT(ref.step == 0 || (done.count({0, 0, 0}) == 1 && done.count({0, 0, 1}) == 1));
                }
                break;
            case 1: {
                const auto runEnd = static_cast<RunEnd>((choice >> 5) % 6);
                const std::uint32_t run = (choice >> 8) % 4;
                const EndOutcome outcome = job.endRun(ref, run, runEnd, "", Now);
                if (outcome == EndOutcome::TaskFinished) {
                    RC_ASSERT(run == highest[ref]);
                    done.insert(ref);
                }
                break;
            }
            case 2:
                job.loseRun(ref, before.run, Now);
                break;
            case 3:
                if ((choice >> 9) == 0) {
                    job.cancel(Now);
                }
                break;
            default: {
                // Reloads the job from its stored record, as a new owner does.
                job = Job(*decodeJob(encodeJob(job.record())));
                break;
            }
            }
            const Task &after = *job.findTask(ref);
            RC_ASSERT(after.failures <= 3U);
            RC_ASSERT((after.phase == TaskPhase::Placed) == !after.worker.empty());
            RC_ASSERT(done.count(ref) == 0 || after.phase == TaskPhase::Finished);
            if (job.record().state == JobState::Completed) {
                RC_ASSERT(done.size() == 4U);
            }
        }
    });
    BOOST_TEST(isSatisfied);
}

// Guards against a recurring job whose overlapping occurrences grow without a bound.
BOOST_AUTO_TEST_CASE(occurrencesWaitWhileTooManyTasksAreOpen)
{
    JobRecord record;
    StepSpec step;
    step.count = 3000;
    record.spec.steps = {step};
    record.spec.recurrence = {4, 1000, 1};
    record.terms.attempts = 1;
    Job job(record);
    BOOST_TEST(job.openOccurrence());
    BOOST_TEST(job.openOccurrence());
    BOOST_TEST(!job.openOccurrence());
    BOOST_TEST(job.record().nextOccurrence == 2U);
    for (std::uint32_t index = 0; index < step.count; ++index) {
        const std::uint32_t run = job.place({0, 0, index}, "w");
        job.endRun({0, 0, index}, run, RunEnd::Done, "", 1);
    }
    BOOST_TEST(job.openOccurrence());
    BOOST_TEST(!job.openOccurrence());
}
