#include "jobs/jobcodec.h"
#include "scheduling/scheduler.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <map>
#include <string>
#include <vector>

using namespace Cornelquay;

namespace {

using namespace std::chrono_literals;

constexpr BootTime Start{std::chrono::milliseconds(1000000)};
constexpr int JobsPerWorker = 2;
// Jobs whose first step fills a worker.
constexpr int JobsPerFullWorker = 3;
constexpr int WorkersPerPool = 276;
// A placement pass may delay an urgent start by at most 1 % of its limit of 4.6 s. Only a pass without tasks to place is held to this.
constexpr double PassTargetMs = 46;

double millisecondsSince(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}

double residentMegabytes()
{
    std::ifstream status("/proc/self/statm");
    double total = 0;
    double resident = 0;
    status >> total >> resident;
    constexpr double PageBytes = 4096;
    return resident * PageBytes / 1e6;
}

void print(const std::string &measure, double value, const char *unit, const std::string &target)
{
    std::printf("{\"measure\":\"%s\",\"value\":%.4g,\"unit\":\"%s\",\"target\":%s,\"bound\":\"at most\",\"baseline\":null,\"seed\":1}\n",
                measure.c_str(),
                value,
                unit,
                target.c_str());
}

JobRecord makeJob(int number, const std::string &pool)
{
    JobRecord record;
    char id[17];
    std::snprintf(id, sizeof id, "%016x", number);
    record.id = id;
    record.queue = pool;
    record.account = "account";
    record.terms = {pool, 0, 3, 1.6, 600};
    record.spec.payload = std::string(150, 'x');
    StepSpec step;
    step.count = 6;
    step.demand = {900, 1300, 0};
    step.estimateMs = 640;
    StepSpec second = step;
    second.after = {0};
    record.spec.steps = {step, second};
    return record;
}

std::string poolOf(int number, int poolSize = WorkersPerPool)
{
    return "pool-" + std::to_string(number / poolSize);
}

void addWorkers(Scheduler &scheduler, int workers, int poolSize = WorkersPerPool)
{
    auto policy = std::make_shared<FleetPolicy>();
    for (int number = 0; number < workers; ++number) {
        policy->queues[poolOf(number, poolSize)].terms = {poolOf(number, poolSize), 0, 3, 1.6, 600};
        policy->pools[poolOf(number, poolSize)];
    }
    scheduler.setPolicy(policy);
    for (int number = 0; number < workers; ++number) {
        WorkerFacts facts;
        facts.id = "i-" + std::to_string(number);
        facts.startTimeMs = 1;
        facts.pool = poolOf(number, poolSize);
        facts.address = "192.0.2.1:1";
        facts.rack = "r" + std::to_string(number / 12);
        facts.capacity = {16000, 32000, 0};
        scheduler.updateWorker(facts, Start);
    }
}

/** Answers the renewals of leases and returns the start orders. */
std::vector<StartOrder> answerRenewals(Scheduler &scheduler, BootTime now)
{
    std::vector<StartOrder> starts;
    for (const Order &order : scheduler.takeOrders(now, OrderScope::All)) {
        if (const RenewLeaseOrder *renewal = std::get_if<RenewLeaseOrder>(&order)) {
            Listing listing;
            listing.startTimeMs = 1;
            listing.clockMs = 5000;
            scheduler.handleLeaseRenewalResult(*renewal, now, listing, now, 1);
        } else if (const StartOrder *start = std::get_if<StartOrder>(&order)) {
            starts.push_back(*start);
        }
    }
    return starts;
}

/** Measures a scheduler with @p workers confirmed workers and one placement pass that places jobs on all of them. */
void measure(int workers)
{
    const double before = residentMegabytes();
    Scheduler scheduler(SchedulerTimes{}, 1);
    addWorkers(scheduler, workers);
    answerRenewals(scheduler, Start);
    for (int number = 0; number < workers * JobsPerWorker; ++number) {
        scheduler.submit(makeJob(number, poolOf(number / JobsPerWorker)), Start, 1);
    }
    auto clock = std::chrono::steady_clock::now();
    scheduler.advance(Start + 100ms, 1);
    const double pass = millisecondsSince(clock);
    clock = std::chrono::steady_clock::now();
    const RecordBatch batch = scheduler.takeBatch();
    const double encode = millisecondsSince(clock);
    std::size_t bytes = 0;
    for (const auto &[id, record] : batch.records) {
        bytes += record.size();
    }
    scheduler.handleBatchStored(batch.number, Start + 110ms);
    const std::vector<StartOrder> starts = answerRenewals(scheduler, Start + 110ms);
    clock = std::chrono::steady_clock::now();
    for (const StartOrder &start : starts) {
        scheduler.handleStartResult(start, OrderAccepted{5000}, Start + 115ms, 1);
    }
    const double answers = millisecondsSince(clock);
    scheduler.takeEvents();
    clock = std::chrono::steady_clock::now();
    scheduler.advance(Start + 300ms, 1);
    const double quiet = millisecondsSince(clock);
    clock = std::chrono::steady_clock::now();
    Scheduler successor(SchedulerTimes{}, 2);
    for (const auto &[id, record] : batch.records) {
        successor.restore(*decodeJob(record), Start, 1);
    }
    const double restore = millisecondsSince(clock);
    const std::string at = ", " + std::to_string(workers) + " workers";
    print("placing pass, all work at once, each start" + at, 1000 * pass / static_cast<double>(starts.size()), "us", "null");
    print("placing pass, nothing to place" + at, quiet, "ms", std::to_string(PassTargetMs));
    print("record of a job" + at, static_cast<double>(bytes) / static_cast<double>(batch.records.size()), "B", "null");
    print("encoding, each job" + at, 1000 * encode / static_cast<double>(batch.records.size()), "us", "null");
    print("answers to starts, each" + at, 1000 * answers / static_cast<double>(starts.size()), "us", "null");
    print("restoring, each job" + at, 1000 * restore / static_cast<double>(batch.records.size()), "us", "null");
    print("memory of owner and successor, each worker with its jobs" + at, 1000 * (residentMegabytes() - before) / workers, "KB", "null");
}

/** Measures the mean duration of a placement pass that finds no room for the waiting jobs of 20 accounts in full pools. */
void measureFullPools(int workers, AccountOrder order)
{
    constexpr int Accounts = 20;
    constexpr int JobsPerFullWorker = 4;
    constexpr int Passes = 10;
    Scheduler scheduler(SchedulerTimes{}, 1, {.accountOrder = order});
    auto policy = std::make_shared<FleetPolicy>();
    for (int account = 0; account < Accounts; ++account) {
        policy->accounts["account-" + std::to_string(account)].weight = 1 + account;
    }
    scheduler.setPolicy(policy);
    const auto poolOf = [](int worker) {
        return "pool-" + std::to_string(worker / WorkersPerPool);
    };
    for (int number = 0; number < workers; ++number) {
        WorkerFacts facts;
        facts.id = "i-" + std::to_string(number);
        facts.startTimeMs = 1;
        facts.pool = poolOf(number);
        facts.address = "192.0.2.1:1";
        facts.capacity = {16000, 32000, 0};
        scheduler.updateWorker(facts, Start);
    }
    for (const Order &due : scheduler.takeOrders(Start, OrderScope::All)) {
        if (const RenewLeaseOrder *renewal = std::get_if<RenewLeaseOrder>(&due)) {
            Listing listing;
            listing.startTimeMs = 1;
            listing.clockMs = 5000;
            scheduler.handleLeaseRenewalResult(*renewal, Start, listing, Start, 1);
        }
    }
    for (int number = 0; number < workers * JobsPerFullWorker; ++number) {
        JobRecord record = makeJob(number, poolOf(number / JobsPerFullWorker));
        record.account = "account-" + std::to_string(number % Accounts);
        scheduler.submit(std::move(record), Start, 1);
    }
    scheduler.advance(Start + 100ms, 1);
    const auto clock = std::chrono::steady_clock::now();
    for (int pass = 2; pass < 2 + Passes; ++pass) {
        scheduler.advance(Start + pass * 100ms, 1);
    }
    print("placing pass, full pools, accounts by " + std::string(AccountOrderNames[static_cast<std::size_t>(order)]) + ", " + std::to_string(workers)
              + " workers",
          millisecondsSince(clock) / Passes,
          "ms",
          "null");
}

/** Measures what admission adds to a placement pass with as many waiting jobs as @p workers, and decisions about new jobs. */
void measureAdmission(int workers)
{
    double passes[2] = {};
    for (const AdmissionMethod admission : {AdmissionMethod::All, AdmissionMethod::Predicted}) {
        SchedulerOptions options;
        options.admission = admission;
        Scheduler scheduler(SchedulerTimes{}, 1, options);
        addWorkers(scheduler, workers);
        answerRenewals(scheduler, Start);
        const int jobs = workers * (JobsPerFullWorker + 1);
        for (int number = 0; number < jobs; ++number) {
            scheduler.submit(makeJob(number, poolOf(number / (JobsPerFullWorker + 1))), Start, 1);
        }
        scheduler.advance(Start + 100ms, 1);
        scheduler.takeBatch();
        scheduler.takeEvents();
        auto clock = std::chrono::steady_clock::now();
        scheduler.advance(Start + 5s, 1);
        passes[static_cast<std::size_t>(admission)] = millisecondsSince(clock);
        if (admission == AdmissionMethod::Predicted) {
            clock = std::chrono::steady_clock::now();
            scheduler.decideAdmission(makeJob(jobs, poolOf(0)), Start + 5s);
            const double first = millisecondsSince(clock);
            clock = std::chrono::steady_clock::now();
            scheduler.decideAdmission(makeJob(jobs + 1, poolOf(0)), Start + 5s);
            const std::string at = ", " + std::to_string(workers) + " workers";
            print("pass with backlog, without forecast" + at, passes[0], "ms", "null");
            print("pass with backlog, with forecast" + at, passes[1], "ms", "null");
            print("first admission decision after a pass" + at, 1000 * first, "us", "null");
            print("further admission decision" + at, 1000 * millisecondsSince(clock), "us", "null");
        }
    }
}

/**
 * Compares the explanation of a job with its submission up to the end of the placement pass, with as many waiting jobs as @p workers. The
 * workers are in five pools, as in the deployments with hard load.
 */
void measureExplanation(int workers, AccountOrder order)
{
    constexpr int Rounds = 5;
    constexpr int PoolCount = 5;
    Scheduler scheduler(SchedulerTimes{}, 1, {.accountOrder = order});
    addWorkers(scheduler, workers, workers / PoolCount);
    answerRenewals(scheduler, Start);
    const int jobs = workers * (JobsPerFullWorker + 1);
    for (int number = 0; number < jobs; ++number) {
        scheduler.submit(makeJob(number, poolOf(number / (JobsPerFullWorker + 1), workers / PoolCount)), Start, 1);
    }
    scheduler.advance(Start + 100ms, 1);
    scheduler.takeBatch();
    double explained = 0;
    double submitted = 0;
    for (int round = 0; round < Rounds; ++round) {
        const BootTime now = Start + 5s + round * 1s;
        scheduler.advance(now, 1);
        auto clock = std::chrono::steady_clock::now();
        scheduler.explain(makeJob(jobs + round, poolOf(0)), now, 1);
        explained += millisecondsSince(clock);
        clock = std::chrono::steady_clock::now();
        scheduler.decideAdmission(makeJob(jobs + round, poolOf(0)), now);
        scheduler.submit(makeJob(jobs + round, poolOf(0)), now, 1);
        scheduler.advance(now, 1);
        submitted += millisecondsSince(clock);
    }
    const std::string at = ", accounts by " + std::string(AccountOrderNames[static_cast<std::size_t>(order)]) + ", " + std::to_string(workers) + " workers";
    // An explanation may cost as much as a submission.
    print("explanation of a job" + at, explained / Rounds, "ms", std::to_string(submitted / Rounds));
}

}

int main()
{
    for (const int workers : {50, 350, 2000, 9100}) {
        measure(workers);
        measureFullPools(workers, AccountOrder::Rate);
        measureFullPools(workers, AccountOrder::Weighted);
        measureAdmission(workers);
        measureExplanation(workers, AccountOrder::Rate);
        measureExplanation(workers, AccountOrder::Weighted);
    }
    return EXIT_SUCCESS;
}
