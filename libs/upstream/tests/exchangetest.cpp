#include "standin/workerstandin.h"
#include "upstream/taskexchange.h"

#include <boost/test/unit_test.hpp>

#include <future>

using namespace Cornelquay;
using namespace std::chrono_literals;

namespace {

ExchangeLimits shortLimits()
{
    ExchangeLimits limits;
    limits.responseTimeout = 150ms;
    limits.pollInterval = 50ms;
    limits.leaseLifetime = 2000ms;
    limits.deadlineMargin = 100ms;
    return limits;
}

/** One worker and an exchange with it. */
struct Setup {
    RunLedger ledger;
    WorkerStandin worker{{"w", 5, 2, 1}, ledger};
    TaskExchange exchange{worker.address(), 5, 64, shortLimits()};

    TaskOutcome run(const std::string &id, const std::string &payload, std::chrono::milliseconds timeout, WorkerReport &report)
    {
        return exchange.run(task(id, payload), steadyNow() + timeout, report);
    }

    static Task task(const std::string &id, const std::string &payload)
    {
        return {id, "request-" + id, "team", "service", payload, wallNow(), [] {
                    return true;
                }};
    }
};

std::string describe(const TaskOutcome &outcome)
{
    if (const auto *answered = std::get_if<TaskAnswered>(&outcome)) {
        return answered->succeeded ? "answered" : "failed";
    }
    return std::holds_alternative<TaskNotRun>(outcome) ? "not-run" : "unknown";
}

}

BOOST_AUTO_TEST_CASE(completeAnswerDespiteEveryKindOfAnswerFault)
{
    struct FaultCase {
        const char *name;
        WorkerFaults faults;
    };
    std::vector<FaultCase> cases{{"none", {}}, {"lose", {}}, {"silent", {}}, {"cross", {}}, {"truncate", {}}, {"duplicate", {}}, {"delay", {}}, {"damage", {}}};
    cases[1].faults.loseAnswer = 1;
    cases[2].faults.silent = 1;
    cases[3].faults.cross = 1;
    cases[4].faults.truncate = 1;
    cases[5].faults.duplicate = 1;
    cases[6].faults.delay = 300ms;
    cases[7].faults.damage = 1;
    for (const FaultCase &faultCase : cases) {
        Setup setup;
        WorkerReport report;
        BOOST_TEST(describe(setup.run("aa", "first", 3s, report)) == "answered");
        setup.worker.setFaults(faultCase.faults);
        for (const std::string id : {"b1", "b2", "b3"}) {
            const TaskOutcome outcome = setup.run(id, "payload " + id, 4s, report);
            BOOST_REQUIRE_MESSAGE(describe(outcome) == "answered", faultCase.name);
            BOOST_TEST(std::get<TaskAnswered>(outcome).body == answerFor("request-" + id, "payload " + id), faultCase.name);
        }
        for (const auto &[request, runs] : setup.ledger.runsByRequest()) {
            BOOST_TEST(runs == 1, faultCase.name << ' ' << request);
        }
    }
}

BOOST_AUTO_TEST_CASE(refusedTasksAreReportedAsNotRun)
{
    Setup setup;
    WorkerReport report;
    setup.worker.setDraining(true);
    TaskOutcome outcome = setup.run("a1", "x", 2s, report);
    BOOST_REQUIRE(std::holds_alternative<TaskNotRun>(outcome));
    BOOST_TEST((std::get<TaskNotRun>(outcome).reason == NotRunReason::Leaving));
    setup.worker.restart(6);
    outcome = setup.run("a2", "x", 2s, report);
    BOOST_TEST((std::get<TaskNotRun>(outcome).reason == NotRunReason::Replaced));
    setup.worker.stop();
    outcome = setup.run("a3", "x", 2s, report);
    BOOST_TEST((std::get<TaskNotRun>(outcome).reason == NotRunReason::Unreachable));
    BOOST_TEST(setup.ledger.runsByRequest().empty());
}

BOOST_AUTO_TEST_CASE(taskIsRefusedWhenPermitIsOlderThanLease)
{
    Setup setup;
    WorkerReport report;
    Task task = Setup::task("a1", "x");
    task.permitTakenAt = wallNow() - 3s;
    const TaskOutcome outcome = setup.exchange.run(task, steadyNow() + 2s, report);
    BOOST_REQUIRE(std::holds_alternative<TaskNotRun>(outcome));
    BOOST_TEST((std::get<TaskNotRun>(outcome).reason == NotRunReason::LeaseExpired));
}

BOOST_AUTO_TEST_CASE(workerWithoutFreeSlotRefusesTask)
{
    Setup setup;
    const auto longTask = [&](const std::string &id) {
        return std::async(std::launch::async, [&setup, id] {
            WorkerReport report;
            return describe(setup.run(id, "run-ms=600;", 3s, report));
        });
    };
    auto first = longTask("a1");
    auto second = longTask("a2");
    const SteadyTime waitDeadline = steadyNow() + 5s;
    while (setup.worker.running() < 2 && steadyNow() < waitDeadline) {
        std::this_thread::yield();
    }
    WorkerReport report;
    const TaskOutcome outcome = setup.run("a3", "x", 2s, report);
    BOOST_TEST((std::get<TaskNotRun>(outcome).reason == NotRunReason::NoSlot));
    BOOST_TEST(first.get() == "answered");
    BOOST_TEST(second.get() == "answered");
}

BOOST_AUTO_TEST_CASE(taskIsStoppedAtItsDeadline)
{
    Setup setup;
    WorkerReport report;
    BOOST_TEST(describe(setup.run("a1", "run-ms=5000;", 500ms, report)) == "unknown");
    const SteadyTime waitDeadline = steadyNow() + 5s;
    while (setup.worker.running() > 0 && steadyNow() < waitDeadline) {
        std::this_thread::yield();
    }
    BOOST_TEST(setup.worker.running() == 0);
}

BOOST_AUTO_TEST_CASE(taskIsStoppedWhenItsLeaseIsNotRenewed)
{
    Setup setup;
    WorkerReport report;
    Task task = Setup::task("a1", "run-ms=20000;");
    task.mayRenew = [] {
        return false;
    };
    const SteadyTime startedAt = steadyNow();
    const TaskOutcome outcome = setup.exchange.run(task, startedAt + 15s, report);
    BOOST_TEST(describe(outcome) == "unknown");
    BOOST_TEST((steadyNow() - startedAt < 10s));
}

BOOST_AUTO_TEST_CASE(outcomeIsUnknownWhenWorkerIsPaused)
{
    Setup setup;
    WorkerReport report;
    WorkerFaults paused;
    paused.paused = true;
    setup.worker.setFaults(paused);
    BOOST_TEST(describe(setup.run("a1", "x", 1s, report)) == "unknown");
    BOOST_TEST(report.connectionTimedOut);
}

BOOST_AUTO_TEST_CASE(anotherSenderCanAttachToOrEndATask)
{
    Setup setup;
    WorkerReport report;
    BOOST_TEST(describe(setup.exchange.attach("a1", steadyNow() + 1s, report)) == "not-run");
    BOOST_TEST(describe(setup.run("a1", "x", 1s, report)) == "answered");
    BOOST_TEST(describe(setup.exchange.attach("a1", steadyNow() + 1s, report)) == "answered");
    const TaskOutcome fenced = setup.exchange.cancel("a2", steadyNow() + 1s, report);
    BOOST_TEST((std::get<TaskNotRun>(fenced).reason == NotRunReason::Fenced));
    // A start request that arrives after the end of the task is refused.
    BOOST_TEST(describe(setup.run("a2", "x", 1s, report)) == "not-run");
    BOOST_TEST(setup.ledger.runsByRequest().count("request-a2") == 0U);
}
