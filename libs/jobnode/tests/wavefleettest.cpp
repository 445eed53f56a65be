#include "jobnode/fleetcontroller.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <set>
#include <thread>

using namespace Cornelquay;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t ClockMs = 5000;
constexpr auto MaintenancePeriod = 2000ms;
// The users' pages want a long-running task to run again this long after its last run.
constexpr auto MaxAbsence = 6000ms;

/** One long-running step on the workers of one pool, whose instances are maintained in waves. */
struct WaveFleetSetup {
    std::string name;
    std::size_t workers = 0;
    std::uint32_t tasks = 0;
    std::uint32_t maxTasksPerWorker = 0;
    /** Each wave maintains the instances with these numbers. */
    std::vector<std::vector<std::size_t>> waves;
    std::chrono::milliseconds waveDuration{26000};
    bool wavesMustComplete = true;
};

/** Instances, workers and a store that answer at once, in real time, because the controller reads the clock. */
class WaveFleet
{
public:
    explicit WaveFleet(WaveFleetSetup setup)
        : m_setup(std::move(setup))
    {
        m_policy->version = 1;
        m_policy->queues["queue"].terms = {"pool", 0, 3, 2.0, 1000};
        m_policy->pools["pool"] = {};
        m_scheduler.setPolicy(m_policy);
        m_port.list = [this](const std::string &, const InstancePort::ListHandler &handler) {
            handler(InstancePage{m_instances, {}});
        };
        m_port.order = [this](const InstanceOrder &order, std::uint64_t, const SendCondition &, std::chrono::milliseconds, const auto &handler) {
            maintain(std::get<MaintainInstance>(order));
            handler(InstanceOrderAccepted{});
        };
        m_port.reportWave = [this](std::uint64_t number, bool completed, const SendCondition &, const InstancePort::ReportHandler &handler) {
            if (completed) {
                m_completed.insert(number);
            }
            handler(true);
        };
        const auto mayOrder = [] {
            return true;
        };
        m_controller = std::make_shared<FleetController>(m_port, m_scheduler, InstanceTimes{}, 1, InstanceHandOver{true, true, {}, {}}, mayOrder, m_metrics);
        for (std::size_t number = 0; number < m_setup.workers; ++number) {
            InstanceFacts facts;
            facts.id = "m" + std::to_string(number);
            facts.pool = "pool";
            facts.capacity = {16000, 32000, 0};
            m_instances.push_back(facts);
            startWorker(m_instances.back());
        }
        JobRecord record;
        record.id = "job";
        record.queue = "queue";
        record.terms = m_policy->queues["queue"].terms;
        StepSpec step;
        step.count = m_setup.tasks;
        step.demand = {1300, 3400, 0};
        step.estimateMs = 700;
        step.longRunning = true;
        step.maxTasksPerWorker = m_setup.maxTasksPerWorker;
        step.maxUnavailableTasks = 1;
        record.spec.steps = {step};
        m_scheduler.submit(std::move(record), BootClock::now(), 1);
    }

    const WaveFleetSetup &setup() const
    {
        return m_setup;
    }

    void beginWaves()
    {
        std::uint64_t number = 0;
        for (const std::vector<std::size_t> &instances : m_setup.waves) {
            WaveSpec spec{++number, {}, m_setup.waveDuration, instances.size()};
            for (const std::size_t instance : instances) {
                spec.instances.push_back(m_instances.at(instance).id);
            }
            m_controller->addWave(spec, BootClock::now());
        }
    }

    void advance()
    {
        const BootTime now = BootClock::now();
        for (InstanceFacts &facts : m_instances) {
            const auto back = m_backAt.find(facts.id);
            if (back != m_backAt.end() && now >= back->second) {
                m_backAt.erase(back);
                startWorker(facts);
            }
        }
        m_scheduler.advance(now, 1);
        m_controller->advance(now, *m_policy);
        if (m_controller->takeAnnouncement(now)) {
            m_controller->handleAnnouncementStored(now);
        }
        const RecordBatch batch = m_scheduler.takeBatch();
        if (!batch.isEmpty()) {
            m_scheduler.handleBatchStored(batch.number, now);
        }
        for (const Order &order : m_scheduler.takeOrders(now, OrderScope::All)) {
            execute(order, now);
        }
        observeAbsences(now);
    }

    std::size_t runningTasks() const
    {
        std::size_t count = 0;
        for (const auto &[worker, tasks] : m_running) {
            count += tasks.size();
        }
        return count;
    }

    bool areWavesCompleted() const
    {
        return m_completed.size() == m_setup.waves.size();
    }

    std::chrono::milliseconds longestAbsence() const
    {
        return m_longestAbsence;
    }

private:
    void startWorker(InstanceFacts &facts)
    {
        facts.state = InstancePhase::Up;
        facts.worker = "w" + std::to_string(++m_startedWorkers);
        m_running[facts.worker];
        WorkerFacts worker;
        worker.id = facts.worker;
        worker.startTimeMs = static_cast<std::int64_t>(m_startedWorkers);
        worker.pool = facts.pool;
        worker.address = "192.0.2.1:1";
        worker.capacity = facts.capacity;
        m_scheduler.updateWorker(worker, BootClock::now());
    }

    void maintain(const MaintainInstance &order)
    {
        for (InstanceFacts &facts : m_instances) {
            if (facts.id == order.instance) {
                m_running.erase(facts.worker);
                m_scheduler.unregisterWorker(facts.worker);
                facts.worker.clear();
                facts.state = InstancePhase::Maintenance;
                m_backAt[facts.id] = BootClock::now() + MaintenancePeriod;
            }
        }
    }

    void execute(const Order &order, BootTime now)
    {
        if (const StartOrder *start = std::get_if<StartOrder>(&order)) {
            const auto worker = m_running.find(start->worker);
            if (worker != m_running.end()) {
                worker->second[start->task] = start->run;
            }
            const OrderResult result = worker == m_running.end() ? OrderResult(OrderRefusal::NotSent) : OrderResult(OrderAccepted{ClockMs});
            m_scheduler.handleStartResult(*start, result, now, 1);
        } else if (const StopOrder *stop = std::get_if<StopOrder>(&order)) {
            if (const auto worker = m_running.find(stop->worker); worker != m_running.end() && worker->second.erase(stop->task) != 0) {
                std::vector<ListedEnd> &ended = m_ended[stop->worker];
                ended.push_back({ended.size() + 1, stop->task, stop->run, RunEnd::Stopped, ""});
            }
            m_scheduler.handleStopResult(*stop, OrderAccepted{ClockMs}, now);
        } else if (const RenewLeaseOrder *renewal = std::get_if<RenewLeaseOrder>(&order)) {
            renew(*renewal, now);
        }
    }

    void renew(const RenewLeaseOrder &order, BootTime now)
    {
        const auto worker = m_running.find(order.worker);
        if (worker == m_running.end()) {
            m_scheduler.handleLeaseRenewalResult(order, now, OrderUnanswered{}, now, 1);
            return;
        }
        Listing listing;
        listing.startTimeMs = std::stoll(order.worker.substr(1));
        listing.clockMs = ClockMs;
        for (const auto &[task, run] : worker->second) {
            listing.running.push_back({task, run, "", 100, 0});
        }
        for (const ListedEnd &end : m_ended[order.worker]) {
            if (end.number > order.acknowledgedEnd) {
                listing.ended.push_back(end);
            }
        }
        m_scheduler.handleLeaseRenewalResult(order, now - 1ms, listing, now, 1);
    }

    void observeAbsences(BootTime now)
    {
        std::set<std::uint32_t> present;
        for (const auto &[worker, tasks] : m_running) {
            for (const auto &[task, run] : tasks) {
                present.insert(task.ref.index);
            }
        }
        for (std::uint32_t index = 0; index < m_setup.tasks; ++index) {
            const auto [absence, isNew] = m_absentSince.try_emplace(index, now);
            if (present.count(index) != 0) {
                m_absentSince.erase(absence);
            } else {
                m_longestAbsence = std::max(m_longestAbsence, std::chrono::duration_cast<std::chrono::milliseconds>(now - absence->second));
            }
        }
    }

    const WaveFleetSetup m_setup;
    Metrics m_metrics;
    Scheduler m_scheduler{SchedulerTimes{}, 1};
    std::shared_ptr<FleetPolicy> m_policy = std::make_shared<FleetPolicy>();
    InstancePort m_port;
    std::shared_ptr<FleetController> m_controller;
    std::vector<InstanceFacts> m_instances;
    std::size_t m_startedWorkers = 0;
    std::map<WorkerId, std::map<TaskName, std::uint32_t>> m_running;
    std::map<WorkerId, std::vector<ListedEnd>> m_ended;
    std::map<InstanceId, BootTime> m_backAt;
    std::set<std::uint64_t> m_completed;
    std::map<std::uint32_t, BootTime> m_absentSince;
    std::chrono::milliseconds m_longestAbsence{0};
};

}

// Guards against instances that are emptied at the same time and wait for each other: a long-running task that was stopped for one fits only on
// another, and the disruption budget of its step, which that task uses up, keeps all of them from becoming empty.
BOOST_AUTO_TEST_CASE(longRunningTasksAreNotLostToInstancesThatWaitForEachOther)
{
    std::vector<std::unique_ptr<WaveFleet>> fleets;
    const std::vector<WaveFleetSetup> setups = {
        {"two waves at a time", 3, 5, 2, {{0}, {2}}},
        {"two instances of one wave", 6, 11, 2, {{0, 5}}, 8000ms},
        {"four waves that share instances", 4, 7, 2, {{0, 1}, {1, 3}, {0, 3}, {2}}},
        // The wave cannot be completed without another instance, but the task must come back.
        {"no room elsewhere", 3, 6, 2, {{0}}, 26000ms, false},
    };
    for (const WaveFleetSetup &setup : setups) {
        fleets.push_back(std::make_unique<WaveFleet>(setup));
    }
    const auto runFor = [&](std::chrono::milliseconds period, const auto &isDone) {
        for (const BootTime until = BootClock::now() + period; BootClock::now() < until && !isDone();) {
            for (const auto &fleet : fleets) {
                fleet->advance();
            }
            // Only paces the loop: the controller decides every 100 ms.
            std::this_thread::sleep_for(5ms);
        }
    };
    runFor(2s, [&] {
        return std::all_of(fleets.begin(), fleets.end(), [](const auto &fleet) {
            return fleet->runningTasks() == fleet->setup().tasks;
        });
    });
    for (const auto &fleet : fleets) {
        BOOST_REQUIRE(fleet->runningTasks() == fleet->setup().tasks);
        fleet->beginWaves();
    }
    runFor(26s, [&, watchedUntil = BootClock::now() + 2 * MaxAbsence] {
        return BootClock::now() > watchedUntil && std::all_of(fleets.begin(), fleets.end(), [](const auto &fleet) {
                   const bool isSettled = fleet->areWavesCompleted() || !fleet->setup().wavesMustComplete;
                   return fleet->longestAbsence() > MaxAbsence || (isSettled && fleet->runningTasks() == fleet->setup().tasks);
               });
    });
    for (const auto &fleet : fleets) {
        BOOST_TEST_CONTEXT(fleet->setup().name)
        {
            BOOST_TEST(fleet->longestAbsence().count() <= MaxAbsence.count());
            BOOST_TEST((fleet->areWavesCompleted() || !fleet->setup().wavesMustComplete));
        }
    }
}
