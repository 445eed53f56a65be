#include "jobs/disruptedruns.h"
#include "scriptedfleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <random>

using namespace Cornelquay;
using namespace Cornelquay::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t TaskCount = 6;
constexpr auto StartupPeriod = 300ms;
const std::vector<WorkerId> Workers = {"a", "b", "c", "d", "e", "f", "g", "h"};

/** A fleet that runs one job with a long-running step, and counts the stops that exceed the disruption budget of the step. */
class ServingFleet
{
public:
    explicit ServingFleet(std::uint32_t maxUnavailable)
        : m_maxUnavailable(maxUnavailable)
        , m_owner(std::make_unique<ScriptedFleet>(Workers))
    {
        observe();
        StepSpec step;
        step.count = TaskCount;
        step.demand = {2000, 100, 0};
        step.estimateMs = 500;
        step.longRunning = true;
        step.maxUnavailableTasks = maxUnavailable;
        step.maxTasksPerWorker = 1;
        m_owner->submit("job", {step});
        run(1000ms);
    }

    ScriptedFleet &owner()
    {
        return *m_owner;
    }

    void run(std::chrono::milliseconds duration)
    {
        m_owner->run(duration);
    }

    /** Another owner takes over from what is stored. */
    void changeOwner()
    {
        m_owner = std::make_unique<ScriptedFleet>(Workers, Resources{4000, 4000, 0}, SchedulerOptions{}, m_owner.get());
        observe();
    }

    /** Wants to empty all workers for @p duration, in the order of @p workers, as a wave of maintenance does. */
    void evacuateAll(const std::vector<WorkerId> &workers, std::chrono::milliseconds duration)
    {
        for (const BootTime until = m_owner->now + duration; m_owner->now < until;) {
            for (const WorkerId &worker : workers) {
                m_owner->scheduler.evacuate(worker, m_owner->now);
            }
            run(50ms);
        }
    }

    std::size_t stopsBeyondBudget() const
    {
        return m_stopsBeyondBudget;
    }

    /** The number of tasks that are not at work or are being stopped. */
    std::uint32_t unavailable() const
    {
        std::uint32_t atWork = 0;
        for (const auto &[worker, tasks] : m_owner->running) {
            for (const auto &[task, run] : tasks) {
                atWork += isAtWork(task, run) ? 1 : 0;
            }
        }
        return TaskCount - atWork;
    }

private:
    bool isAtWork(const TaskName &task, std::uint32_t run) const
    {
        const auto started = m_startedAt.find({task, run});
        const bool hasStarted = started != m_startedAt.end() && m_owner->now - started->second >= StartupPeriod;
        return hasStarted && m_stopped.count({task, run}) == 0;
    }

    void observe()
    {
        m_owner->stopDelay = 900ms;
        m_owner->onStart = [this](const StartOrder &order) -> OrderResult {
            m_startedAt[{order.task, order.run}] = m_owner->now;
            return OrderAccepted{5000};
        };
        m_owner->onListed = [this](const TaskName &task) {
            const std::uint32_t run = m_owner->scheduler.findJob(task.job)->occurrences[0].steps[0][task.ref.index].run;
            const auto started = m_startedAt.find({task, run});
            const bool isReady = started != m_startedAt.end() && m_owner->now - started->second >= StartupPeriod;
            return std::pair<int, std::int64_t>(isReady ? 100 : 50, 0);
        };
        m_owner->onStop = [this](const StopOrder &order) {
            if (!isAtWork(order.task, order.run)) {
                return;
            }
            m_stopsBeyondBudget += unavailable() < m_maxUnavailable ? 0 : 1;
            m_stopped.insert({order.task, order.run});
        };
    }

    const std::uint32_t m_maxUnavailable;
    std::unique_ptr<ScriptedFleet> m_owner;
    std::map<std::pair<TaskName, std::uint32_t>, BootTime> m_startedAt;
    std::set<std::pair<TaskName, std::uint32_t>> m_stopped;
    std::size_t m_stopsBeyondBudget = 0;
};

}

// Guards against a successor that counts a task as available which its predecessor has told to stop, because its worker still lists it.
BOOST_AUTO_TEST_CASE(stopsOfThePredecessorCountAgainstTheDisruptionBudget)
{
    std::mt19937 random(1);
    std::vector<WorkerId> workers = Workers;
    for (std::uint32_t trial = 0; trial < 40; ++trial) {
        ServingFleet fleet(1 + trial % 2);
        BOOST_REQUIRE(fleet.unavailable() == 0U);
        for (int owners = 0; owners < 4; ++owners) {
            std::shuffle(workers.begin(), workers.end(), random);
            fleet.evacuateAll(workers, std::chrono::milliseconds(50 * (1 + random() % 30)));
            fleet.changeOwner();
        }
        BOOST_TEST(fleet.stopsBeyondBudget() == 0U, "trial " << trial << ": " << fleet.stopsBeyondBudget() << " stops exceeded the budget");
    }
}

// Guards against a stop that no successor knows of, because the record that names it is not stored.
BOOST_AUTO_TEST_CASE(stopsOfLongRunningTasksAreSentOnceTheyAreStored)
{
    ServingFleet fleet(1);
    fleet.owner().isStoreAvailable = false;
    fleet.evacuateAll(Workers, 500ms);
    BOOST_TEST(fleet.owner().stops.empty());
    fleet.owner().isStoreAvailable = true;
    fleet.owner().scheduler.markAllChanged();
    fleet.run(50ms);
    BOOST_TEST(fleet.owner().stops.size() == 1U);
}

// Guards against a decision that is forgotten when its owner ends between storing and sending it, so that the task counts as unavailable for good.
BOOST_AUTO_TEST_CASE(aSuccessorSendsTheStopThatItsPredecessorOnlyStored)
{
    ServingFleet fleet(1);
    fleet.owner().isStoreAvailable = false;
    fleet.evacuateAll(Workers, 50ms);
    BOOST_REQUIRE(fleet.owner().stored.count(DisruptedRunsKey) == 1U);
    fleet.changeOwner();
    fleet.run(500ms);
    BOOST_TEST(fleet.owner().stops.size() == 1U);
    fleet.run(3s);
    BOOST_TEST(fleet.unavailable() == 0U);
    fleet.evacuateAll(Workers, 100ms);
    BOOST_TEST(fleet.owner().stops.size() == 2U);
}

// Guards against a stop that was within the budget when it was decided, and not any more when it is sent.
BOOST_AUTO_TEST_CASE(aStopWaitsWhileOtherTasksAreUnavailable)
{
    ServingFleet fleet(1);
    fleet.owner().isStoreAvailable = false;
    fleet.evacuateAll(Workers, 50ms);
    fleet.changeOwner();
    const DisruptedRuns disrupted = *decodeDisruptedRuns(fleet.owner().stored.at(DisruptedRunsKey));
    BOOST_REQUIRE(disrupted.size() == 1U);
    const auto &running = fleet.owner().running;
    const auto other = std::find_if(running.begin(), running.end(), [&](const auto &worker) {
        return !worker.second.empty() && worker.second.begin()->first != disrupted.begin()->first;
    });
    fleet.owner().end(other->first, other->second.begin()->first, RunEnd::Failed);
    fleet.run(StartupPeriod - 50ms);
    BOOST_TEST(fleet.owner().stops.empty());
    fleet.run(500ms);
    BOOST_TEST(fleet.owner().stops.size() == 1U);
    BOOST_TEST(fleet.stopsBeyondBudget() == 0U);
}

// Guards against a stop that waits for a connection and is sent although another task has become unavailable meanwhile.
BOOST_AUTO_TEST_CASE(aQueuedStopIsNotSentWhileOtherTasksAreUnavailable)
{
    ServingFleet fleet(1);
    fleet.evacuateAll(Workers, 50ms);
    BOOST_REQUIRE(fleet.owner().stops.size() == 1U);
    const StopOrder stop = fleet.owner().stops.front();
    BOOST_TEST(fleet.owner().scheduler.mayStop(stop));
    const auto &running = fleet.owner().running;
    const auto other = std::find_if(running.begin(), running.end(), [&](const auto &worker) {
        return !worker.second.empty() && worker.second.begin()->first != stop.task;
    });
    fleet.owner().end(other->first, other->second.begin()->first, RunEnd::Failed);
    fleet.run(50ms);
    BOOST_TEST(!fleet.owner().scheduler.mayStop(stop));
    fleet.run(StartupPeriod + 100ms);
    BOOST_TEST(fleet.owner().scheduler.mayStop(stop));
}

// Guards against a successor that starts a task again on the worker that its predecessor was emptying, before it has decided on the wave.
BOOST_AUTO_TEST_CASE(workersThatThePredecessorWasEmptyingAreCordoned)
{
    ServingFleet fleet(1);
    fleet.evacuateAll(Workers, 100ms);
    BOOST_REQUIRE(fleet.owner().stops.size() == 1U);
    const StopOrder stop = fleet.owner().stops.front();
    BOOST_TEST(fleet.owner().scheduler.isDisrupted(stop.task, stop.run));
    fleet.changeOwner();
    BOOST_TEST(fleet.owner().scheduler.isDisrupted(stop.task, stop.run));
    fleet.run(2s);
    BOOST_TEST(fleet.unavailable() == 0U);
    BOOST_TEST(fleet.owner().running[stop.worker].count(stop.task) == 0U);
}

// Guards against waves that cordon every instance on which a task of a cancelled job is being stopped.
BOOST_AUTO_TEST_CASE(stopsOfACancelledJobAreNoDisruptions)
{
    ServingFleet fleet(1);
    fleet.owner().scheduler.cancel("job", 1);
    fleet.run(100ms);
    BOOST_REQUIRE(fleet.owner().stops.size() == TaskCount);
    for (const StopOrder &stop : fleet.owner().stops) {
        BOOST_TEST(!fleet.owner().scheduler.isDisrupted(stop.task, stop.run));
    }
}

// Guards against a successor that cannot take over because a record is damaged.
BOOST_AUTO_TEST_CASE(aDamagedRecordOfDisruptedRunsIsIgnored)
{
    const DisruptedRuns runs = {{{"job", {0, 1, 2}}, 3}, {{"other", {4, 0, 0}}, 1}};
    const std::string bytes = encode(runs);
    BOOST_TEST((decodeDisruptedRuns(bytes) == runs));
    ServingFleet fleet(1);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        BOOST_TEST(!fleet.owner().scheduler.restoreDisruptions(std::string_view(bytes).substr(0, length)));
    }
    fleet.evacuateAll(Workers, 100ms);
    BOOST_TEST(fleet.owner().stops.size() == 1U);
}
