#include "scheduling/crashattribution.h"
#include "scheduling/jobisolation.h"
#include "scriptedfleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace Cornelquay;
using namespace Cornelquay::Testing;
using namespace std::chrono_literals;

namespace {

constexpr BootTime CrashedAt{100s};
constexpr Resources Demand{500, 100, 0};

LiveRun makeRun(std::chrono::milliseconds age)
{
    LiveRun run;
    run.start = StartProgress::Accepted;
    run.placedOrAcceptedAt = CrashedAt - age;
    return run;
}

LiveRun makeSuspect(std::chrono::milliseconds age)
{
    LiveRun run = makeRun(age);
    run.suspect = true;
    return run;
}

StepSpec makeStep(std::uint32_t count)
{
    StepSpec step;
    step.count = count;
    step.demand = Demand;
    step.estimateMs = 500;
    return step;
}

/** Ends each run of a task that is sound @p runTime after its start. */
void endSoundRuns(ScriptedFleet &fleet, std::map<TaskName, BootTime> &startedAt, std::chrono::milliseconds runTime)
{
    std::vector<std::pair<WorkerId, TaskName>> ended;
    for (const auto &[worker, runs] : fleet.running) {
        for (const auto &[task, run] : runs) {
            const BootTime start = startedAt.try_emplace(task, fleet.now).first->second;
            if (fleet.crashingTasks.count(task) == 0 && fleet.now - start >= runTime) {
                ended.emplace_back(worker, task);
            }
        }
    }
    std::erase_if(startedAt, [&](const auto &item) {
        return std::none_of(fleet.running.begin(), fleet.running.end(), [&](const auto &worker) {
            return worker.second.count(item.first) != 0;
        });
    });
    for (const auto &[worker, task] : ended) {
        fleet.end(worker, task, RunEnd::Done);
        startedAt.erase(task);
    }
}

/** Runs the fleet while its sound tasks end @p runTime after their starts. */
void runWithEnds(ScriptedFleet &fleet, std::chrono::milliseconds duration, std::chrono::milliseconds runTime)
{
    std::map<TaskName, BootTime> startedAt;
    for (const BootTime until = fleet.now + duration; fleet.now < until;) {
        fleet.run(10ms);
        endSoundRuns(fleet, startedAt, runTime);
    }
}

std::size_t startsOf(const ScriptedFleet &fleet, const TaskName &task)
{
    return static_cast<std::size_t>(std::count_if(fleet.starts.begin(), fleet.starts.end(), [&](const StartOrder &start) {
        return start.task == task;
    }));
}

}

BOOST_AUTO_TEST_CASE(aCrashBesideOtherJobsProvesNothing)
{
    const std::map<TaskName, LiveRun> runs{{{"a", {0, 0, 0}}, makeSuspect(10ms)}, {{"b", {0, 0, 0}}, makeSuspect(20ms)}, {{"c", {0, 0, 0}}, makeRun(2s)}};
    const std::map<TaskName, CrashEvidence> evidence = attributeCrash(runs, CrashedAt, true);
    BOOST_REQUIRE(evidence.size() == 3U);
    BOOST_TEST((evidence.at({"a", {0, 0, 0}}).moment == CrashMoment::Startup));
    BOOST_TEST((evidence.at({"c", {0, 0, 0}}).moment == CrashMoment::Later));
    for (const auto &[task, ofTask] : evidence) {
        BOOST_TEST(!ofTask.isolated);
    }
}

BOOST_AUTO_TEST_CASE(aCrashUnderASingleSuspectedJobIsIsolated)
{
    LiveRun established = makeRun(10s);
    established.longRunning = true;
    LiveRun unsent = makeRun(0ms);
    unsent.start = StartProgress::Due;
    LiveRun unanswered = makeSuspect(10ms);
    unanswered.start = StartProgress::Unanswered;
    LiveRun stopping = makeSuspect(10ms);
    stopping.stop = StopProgress::Accepted;
    const std::map<TaskName, LiveRun> runs{
        {{"a", {0, 0, 0}}, makeSuspect(10ms)}, {{"a", {0, 0, 1}}, stopping}, {{"b", {0, 0, 0}}, established}, {{"c", {0, 0, 0}}, unsent}};
    const std::map<TaskName, CrashEvidence> evidence = attributeCrash(runs, CrashedAt, false);
    BOOST_REQUIRE(evidence.size() == 3U);
    BOOST_TEST(evidence.at({"a", {0, 0, 0}}).isolated);
    // The worker may have crashed before the start without an answer reached it.
    BOOST_TEST(evidence.count({"a", {0, 0, 2}}) == 0U);
    // It may have ended before the crash.
    BOOST_TEST(!evidence.at({"a", {0, 0, 1}}).isolated);
    BOOST_TEST(!evidence.at({"b", {0, 0, 0}}).isolated);
}

BOOST_AUTO_TEST_CASE(theMomentOfACrashUnderARunOfAFormerOwnerIsUnknown)
{
    LiveRun restored = makeRun(0ms);
    restored.start = StartProgress::Unanswered;
    restored.restored = true;
    const std::map<TaskName, CrashEvidence> evidence = attributeCrash({{{"a", {0, 0, 0}}, restored}}, CrashedAt, false);
    BOOST_TEST((evidence.at({"a", {0, 0, 0}}).moment == CrashMoment::Unknown));
}

BOOST_AUTO_TEST_CASE(aFleetIsNotQuietAfterAWorkerFellSilentWithoutAStart)
{
    SilenceHistory history(CrashedAt - 20s);
    WorkerFacts worker;
    worker.id = "w";
    history.note(worker, {{{"a", {0, 0, 0}}, makeRun(10ms)}}, CrashedAt, 1);
    BOOST_TEST(history.isQuietAt(CrashedAt));
    history.note(worker, {{{"a", {0, 0, 0}}, makeRun(3s)}}, CrashedAt - 2s, 1);
    BOOST_TEST(!history.isQuietAt(CrashedAt));
    BOOST_TEST(history.isQuietAt(CrashedAt + 7s));
}

// Guards against crashes that do not count although only some workers of the rack fell silent, or all of them after a start.
BOOST_AUTO_TEST_CASE(aRackHasFailedOnlyIfAllItsWorkersFellSilentAtOnce)
{
    SilenceHistory history(CrashedAt - 20s);
    const auto note = [&](const WorkerId &id, const std::string &rack, std::chrono::milliseconds runAge, BootTime at) {
        WorkerFacts worker;
        worker.id = id;
        worker.rack = rack;
        history.note(worker, {{{"job", {0, 0, 0}}, makeRun(runAge - (at - CrashedAt))}}, at, 3);
    };
    note("w1", "a", 3s, CrashedAt);
    note("w2", "a", 10ms, CrashedAt);
    note("w3", "b", 3s, CrashedAt);
    BOOST_TEST(!history.isRackFailure("w1", CrashedAt));
    note("w4", "a", 10ms, CrashedAt + RackFailureSpread + 1ms);
    BOOST_TEST(!history.isRackFailure("w1", CrashedAt));
    // The silence of both others is explained by starts.
    note("w4", "a", 10ms, CrashedAt + RackFailureSpread);
    BOOST_TEST(!history.isRackFailure("w1", CrashedAt));
    BOOST_TEST(history.isRackFailure("w2", CrashedAt));
    note("w4", "a", 3s, CrashedAt + RackFailureSpread);
    BOOST_TEST(history.isRackFailure("w1", CrashedAt));
    // It was heard again before it fell silent for good.
    BOOST_TEST(!history.isRackFailure("w1", CrashedAt + 1s));
}

BOOST_AUTO_TEST_CASE(onlyAPartOfAPoolIsKeptForSuspects)
{
    JobIsolation isolation;
    BOOST_TEST(isolation.mayKeepMore("pool", 1, true));
    isolation.keep("w1", "pool", "a");
    BOOST_TEST(!isolation.mayKeepMore("pool", 4, true));
    BOOST_TEST(isolation.mayKeepMore("pool", 4, false));
    BOOST_TEST(isolation.mayKeepMore("other", 4, true));
    BOOST_REQUIRE(isolation.jobOf("w1") != nullptr);
    BOOST_TEST(*isolation.jobOf("w1") == "a");
    isolation.retain([](const WorkerId &, const JobId &) {
        return false;
    });
    BOOST_TEST(isolation.isEmpty());
}

// Load: a job that crashes the worker that starts it arrives on workers that are busy with short tasks of many jobs.
BOOST_AUTO_TEST_CASE(soundTasksBesideATaskThatCrashesWorkersComplete)
{
    ScriptedFleet fleet({"w1", "w2", "w3", "w4"});
    fleet.run(9s);
    const TaskName crashing{"crashing", {0, 0, 0}};
    fleet.crashingTasks = {crashing};
    for (int number = 0; number < 6; ++number) {
        fleet.submit("sound" + std::to_string(number), {makeStep(2)});
    }
    fleet.submit("crashing", {makeStep(2)});
    runWithEnds(fleet, 20s, 500ms);
    BOOST_TEST((*fleet.scheduler.stateOf("crashing") == JobState::Failed));
    BOOST_TEST(fleet.crashes == 2U);
    BOOST_TEST(startsOf(fleet, crashing) == 2U);
    for (int number = 0; number < 6; ++number) {
        BOOST_TEST((*fleet.scheduler.stateOf("sound" + std::to_string(number)) == JobState::Completed));
    }
}

// Load: within seconds, as many jobs that crash workers as there are workers arrive among sound ones.
BOOST_AUTO_TEST_CASE(aFloodOfTasksThatCrashWorkersLeavesNoSoundJobBehind)
{
    ScriptedFleet fleet({"w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8", "w9", "w10"});
    fleet.run(9s);
    std::map<TaskName, BootTime> startedAt;
    for (int number = 0; number < 40; ++number) {
        const JobId job = "job" + std::to_string(number);
        if (number % 4 == 0) {
            fleet.crashingTasks.insert({job, {0, 0, 0}});
        }
        fleet.submit(job, {makeStep(3)});
        fleet.run(100ms);
        endSoundRuns(fleet, startedAt, 600ms);
    }
    runWithEnds(fleet, 40s, 600ms);
    std::size_t crashes = 0;
    for (int number = 0; number < 40; ++number) {
        const JobId job = "job" + std::to_string(number);
        const JobState expected = number % 4 == 0 ? JobState::Failed : JobState::Completed;
        BOOST_TEST_CONTEXT(job)
        {
            BOOST_TEST((*fleet.scheduler.stateOf(job) == expected));
        }
        crashes += startsOf(fleet, {job, {0, 0, 0}}) * (number % 4 == 0 ? 1 : 0);
    }
    BOOST_TEST(crashes <= 3U * 10U);
}

// Load: workers go down and up by turns under tasks that are sound.
BOOST_AUTO_TEST_CASE(soundTasksAreNotGivenUpWhileWorkersCrashByThemselves)
{
    ScriptedFleet fleet({"w1", "w2", "w3", "w4", "w5", "w6"});
    fleet.run(9s);
    std::map<TaskName, BootTime> startedAt;
    for (int number = 0; number < 40; ++number) {
        fleet.submit("sound" + std::to_string(number), {makeStep(3)});
        for (int step = 0; step < 50; ++step) {
            fleet.run(10ms);
            endSoundRuns(fleet, startedAt, 1s);
        }
        const auto busiest = std::max_element(fleet.running.begin(), fleet.running.end(), [](const auto &left, const auto &right) {
            return left.second.size() < right.second.size();
        });
        if (number % 2 == 0 && !busiest->second.empty()) {
            fleet.crash(busiest->first, 1500ms);
        }
    }
    runWithEnds(fleet, 20s, 1s);
    BOOST_TEST(fleet.crashes >= 15U);
    for (int number = 0; number < 40; ++number) {
        BOOST_TEST((*fleet.scheduler.stateOf("sound" + std::to_string(number)) == JobState::Completed));
    }
}

// Guards against a verdict on a sound task after two crashes, in a fleet in which workers without runs crash, too.
BOOST_AUTO_TEST_CASE(aFleetIsNotQuietWhileIdleWorkersCrash)
{
    ScriptedFleet fleet({"w1", "w2", "w3", "w4", "w5"});
    fleet.run(9s);
    fleet.submit("sound", {makeStep(1)});
    for (std::size_t crashes = 1; crashes <= 2; ++crashes) {
        while (fleet.starts.size() < crashes) {
            fleet.run(10ms);
        }
        fleet.run(20ms);
        const WorkerId crashed = fleet.starts.back().worker;
        fleet.crash(crashed, 1500ms);
        fleet.scheduler.noteWorkerReplaced(crashed == "w5" ? "w4" : "w5", fleet.now, 1);
    }
    fleet.run(3s);
    BOOST_TEST(fleet.scheduler.findJob("sound")->crashes.front().duringStartup == 2U);
    BOOST_TEST((*fleet.scheduler.stateOf("sound") == JobState::Running));
}

BOOST_AUTO_TEST_CASE(endsOfWorkersThatWereToLeaveAreNoCrashes)
{
    ScriptedFleet fleet({"draining", "moved", "crashed"}, {500, 100, 0});
    fleet.run(9s);
    fleet.submit("job", {makeStep(3)});
    fleet.run(200ms);
    BOOST_REQUIRE(fleet.starts.size() == 3U);
    WorkerFacts facts = fleet.scheduler.findWorker("draining")->facts();
    facts.state = WorkerState::Draining;
    fleet.scheduler.updateWorker(facts, fleet.now);
    fleet.scheduler.suspendWorker("moved", fleet.now);
    for (const char *worker : {"draining", "moved", "crashed"}) {
        fleet.crash(worker, 2s);
    }
    fleet.run(3s);
    const JobRecord *job = fleet.scheduler.findJob("job");
    BOOST_REQUIRE(job->crashes.size() == 1U);
    BOOST_TEST(job->crashes.front().workers == std::vector<WorkerId>{"crashed"}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(aWorkerThatWasOnlyCutOffHasNotCrashed)
{
    ScriptedFleet fleet({"w1"});
    fleet.run(9s);
    fleet.submit("job", {makeStep(1)});
    fleet.run(60ms);
    BOOST_REQUIRE(fleet.starts.size() == 1U);
    fleet.cutOff("w1", 8s);
    fleet.run(7s);
    // The lease of the silent worker is over, and it may have crashed.
    BOOST_REQUIRE(fleet.scheduler.findJob("job")->crashes.size() == 1U);
    BOOST_TEST(fleet.scheduler.findJob("job")->crashes.front().unconfirmed == 1U);
    fleet.run(2s);
    BOOST_TEST(fleet.scheduler.findJob("job")->crashes.front().unconfirmed == 0U);
    BOOST_TEST(fleet.scheduler.findJob("job")->crashes.front().duringStartup == 0U);
}

BOOST_AUTO_TEST_CASE(aWorkerThatReturnsAfterItsLeaseHasCrashed)
{
    ScriptedFleet fleet({"w1", "w2", "w3", "w4", "w5"});
    fleet.run(9s);
    fleet.submit("job", {makeStep(1)});
    fleet.run(60ms);
    BOOST_REQUIRE(fleet.starts.size() == 1U);
    fleet.crash(fleet.starts.front().worker, 8s);
    fleet.run(9s);
    BOOST_REQUIRE(fleet.scheduler.findJob("job")->crashes.size() == 1U);
    BOOST_TEST(fleet.scheduler.findJob("job")->crashes.front().unconfirmed == 0U);
    BOOST_TEST(fleet.scheduler.findJob("job")->crashes.front().duringStartup == 1U);
    // The worker is counted once, although its loss was counted before its crash was known.
    BOOST_TEST(fleet.scheduler.findJob("job")->crashes.front().workers.size() == 1U);
}

BOOST_AUTO_TEST_CASE(longRunningTasksThatCrashWorkersAreGivenUp)
{
    ScriptedFleet fleet({"w1", "w2", "w3", "w4", "w5"});
    fleet.run(9s);
    StepSpec step = makeStep(2);
    step.longRunning = true;
    const TaskName crashing{"crashing", {0, 0, 1}};
    fleet.crashingTasks = {crashing};
    fleet.submit("sound", {step});
    fleet.submit("crashing", {step});
    fleet.run(30s);
    BOOST_TEST((*fleet.scheduler.stateOf("crashing") == JobState::Failed));
    BOOST_TEST((*fleet.scheduler.stateOf("sound") == JobState::Running));
    BOOST_TEST(startsOf(fleet, crashing) <= 3U);
    // The tasks of the sound job are at work and free of suspicion.
    BOOST_TEST(fleet.scheduler.findJob("sound")->crashes.empty());
}

// Guards against sound tasks that wait for workers of their own, because they were on two racks that failed one after the other.
BOOST_AUTO_TEST_CASE(tasksOfAFailedRackAreNotSuspected)
{
    ScriptedFleet fleet({});
    fleet.racks = {{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"b2", "b"}};
    fleet.addWorker("b1");
    fleet.addWorker("b2");
    // Runs that make no progress would be moved.
    fleet.onListed = [&fleet](const TaskName &) {
        return std::pair<int, std::int64_t>((fleet.now - ScriptedFleet::Start) / 100ms % 100, 0);
    };
    fleet.run(9s);
    constexpr int Jobs = 16;
    for (int number = 0; number < Jobs; ++number) {
        fleet.submit("job" + std::to_string(number), {makeStep(1)});
    }
    fleet.run(1s);
    fleet.addWorker("a1");
    fleet.addWorker("a2");
    fleet.run(1s);
    for (const std::string &rack : {std::string("b"), std::string("a")}) {
        BOOST_TEST(fleet.running[rack + "1"].size() + fleet.running[rack + "2"].size() == static_cast<std::size_t>(Jobs));
        fleet.crash(rack + "1", 3s);
        fleet.crash(rack + "2", 3s);
        fleet.run(4s);
    }
    for (int number = 0; number < Jobs; ++number) {
        BOOST_TEST(fleet.scheduler.findJob("job" + std::to_string(number))->crashes.empty());
    }
    runWithEnds(fleet, 2s, 500ms);
    for (int number = 0; number < Jobs; ++number) {
        BOOST_TEST((*fleet.scheduler.stateOf("job" + std::to_string(number)) == JobState::Completed));
    }
}

namespace {

/**
 * The worker w6 of @p suspect crashes and is lost for good, while the other five start small tasks. After 8 s a job arrives with
 * a long-running task for each of them. Returns how many of its tasks were started 3 s later.
 */
std::size_t placedBesideSuspect(ScriptedFleet &fleet, const StepSpec &suspect)
{
    fleet.submit("suspect", {suspect});
    fleet.run(100ms);
    fleet.crash("w6", 10ms);
    fleet.run(20ms);
    fleet.scheduler.unregisterWorker("w6'");
    std::map<TaskName, BootTime> startedAt;
    for (int number = 0; number < 40; ++number) {
        fleet.submit("small" + std::to_string(number), {makeStep(2)});
        fleet.run(200ms);
        endSoundRuns(fleet, startedAt, 600ms);
    }
    StepSpec step = makeStep(5);
    step.longRunning = true;
    step.maxTasksPerWorker = 1;
    fleet.submit("lasting", {step});
    fleet.run(3s);
    std::size_t placed = 0;
    for (std::uint32_t index = 0; index < step.count; ++index) {
        placed += startsOf(fleet, {"lasting", {0, 0, index}});
    }
    return placed;
}

}

// Guards against workers that are kept for a suspect which cannot run on them, as they lack its label, while long-running tasks wait.
BOOST_AUTO_TEST_CASE(noWorkerWithoutTheLabelOfASuspectIsKeptForIt)
{
    ScriptedFleet fleet({"w1", "w2", "w3", "w4", "w5"});
    fleet.labels["w6"] = {"b"};
    fleet.addWorker("w6");
    fleet.run(9s);
    StepSpec suspect = makeStep(1);
    suspect.requiredLabel = "b";
    BOOST_TEST(placedBesideSuspect(fleet, suspect) == 5U);
}

BOOST_AUTO_TEST_CASE(gangsThatCrashWorkersAreGivenUp)
{
    ScriptedFleet fleet({"w1", "w2", "w3", "w4", "w5", "w6"});
    fleet.run(9s);
    StepSpec step = makeStep(3);
    step.gang = true;
    step.demand = {3000, 100, 0};
    const TaskName crashing{"crashing", {0, 0, 1}};
    fleet.crashingTasks = {crashing};
    fleet.submit("crashing", {step});
    fleet.run(60s);
    BOOST_TEST((*fleet.scheduler.stateOf("crashing") == JobState::Failed));
    BOOST_TEST(startsOf(fleet, crashing) <= 5U);
}

BOOST_AUTO_TEST_CASE(crashesUnderACancelledJobChangeNothing)
{
    ScriptedFleet fleet({"w1", "w2"});
    fleet.run(9s);
    const TaskName crashing{"crashing", {0, 0, 0}};
    fleet.crashingTasks = {crashing};
    fleet.submit("crashing", {makeStep(1)});
    fleet.run(20ms);
    fleet.scheduler.cancel("crashing", 1);
    fleet.run(10s);
    BOOST_TEST((*fleet.scheduler.stateOf("crashing") == JobState::Cancelled));
    BOOST_TEST(startsOf(fleet, crashing) <= 1U);
}

// The owner is replaced while each run of the task is under way, so no owner sees both a start and the crash that follows it.
BOOST_AUTO_TEST_CASE(crashesAreCountedByASuccessor)
{
    JobRecord record;
    record.id = "job";
    record.queue = "queue";
    record.spec.steps = {makeStep(1)};
    record.terms.pool = "pool";
    Job job(record);
    job.openOccurrence();
    std::uint64_t epoch = 1;
    std::uint32_t starts = 0;
    while (job.isOpen() && starts < 10) {
        const WorkerId worker = "w" + std::to_string(++starts);
        job.place({0, 0, 0}, worker);
        job.noteWorker({worker, "192.0.2.1:1", 1});
        Scheduler successor(SchedulerTimes{}, ++epoch);
        successor.restore(job.record(), BootTime(100s), 1);
        std::vector<Order> orders = successor.takeOrders(BootTime(100s), OrderScope::Leases);
        BOOST_REQUIRE(orders.size() == 1U);
        const RenewLeaseOrder &renewal = std::get<RenewLeaseOrder>(orders.front());
        // The worker is not registered any more, and another one answers at its address.
        successor.handleLeaseRenewalResult(renewal, BootTime(100s), OrderRefusal::OtherInstance, BootTime(100010ms), 1);
        job = Job(*successor.findJob("job"));
    }
    BOOST_TEST((job.record().state == JobState::Failed));
    BOOST_TEST(starts <= 5U);
}

// Guards against a loss that counts for good because the owner that counted it is gone when the worker answers.
BOOST_AUTO_TEST_CASE(aListedEndExplainsALossThatAFormerOwnerCounted)
{
    ScriptedFleet fleet({"w1", "w2"});
    fleet.run(9s);
    fleet.submit("job", {makeStep(1)});
    fleet.run(60ms);
    const TaskName task{"job", {0, 0, 0}};
    const WorkerId first = fleet.starts.front().worker;
    fleet.cutOff(first, 1min);
    fleet.run(8s);
    BOOST_REQUIRE(fleet.starts.size() == 2U);
    BOOST_TEST(fleet.scheduler.findJob("job")->crashes.front().unconfirmed == 1U);
    fleet.end(first, task, RunEnd::Stopped);
    ScriptedFleet successor({"w1", "w2"}, {4000, 4000, 0}, {}, &fleet);
    successor.cutOff(first, 100ms);
    successor.run(2s);
    BOOST_TEST(successor.scheduler.findJob("job")->crashes.front().unconfirmed == 0U);
}

// Guards against a crash that is held against a run of the next incarnation, which accepted the start before the owner knew of it.
BOOST_AUTO_TEST_CASE(aRunThatTheNextIncarnationStartedHasNotCrashedIt)
{
    constexpr std::int64_t NextStartMs = 5000;
    ScriptedFleet fleet({"w1"});
    fleet.run(9s);
    fleet.submit("job", {makeStep(1)});
    fleet.run(20ms);
    BOOST_REQUIRE(fleet.starts.size() == 1U);
    const TaskName task{"job", {0, 0, 0}};
    const Listing next{NextStartMs, NextStartMs, {{task, 1, "", 10, 0}}, {}};
    const RenewLeaseOrder renewal{"w1", fleet.starts.front().fencingToken, 0, 0, 0ms};
    fleet.scheduler.handleLeaseRenewalResult(renewal, fleet.now, next, fleet.now + 5ms, 1);
    BOOST_TEST(fleet.scheduler.findJob("job")->crashes.empty());
    BOOST_TEST(fleet.scheduler.findWorker("w1")->runs().count(task) == 1U);
}
