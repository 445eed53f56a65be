#pragma once

#include "details/advicedesk.h"
#include "jobnode/reign.h"

#include <asio/steady_timer.hpp>

#include <deque>
#include <set>
#include <string>
#include <vector>

namespace Cornelquay {

// Records that come together are stored together; half of what one store call takes.
constexpr std::chrono::milliseconds StoreSpacing{8};
// Pause before a store call is repeated.
constexpr std::chrono::milliseconds StoreRetry{60};
// Records of waves lie beside those of jobs, whose names hold no such sign.
constexpr const char *WaveKeyPrefix = "wave/";

/** A call whose answer waits for a batch to be stored. */
struct WaitingAnswer {
    std::uint64_t batch = 0;
    JobAnswer answer;
    /** Wall-clock milliseconds after which the outcome is said to be unknown. */
    std::int64_t expiresMs = 0;
    JobId job;
    Reign::Responder respond;
};

/** Calls for the partition of the jobs that failed one after the other. */
struct StoreTrouble {
    int refused = 0;
    int unanswered = 0;
    /** When the first of them was sent. */
    BootTime since{};
};

struct Reign::Impl : public std::enable_shared_from_this<Reign::Impl> {
    Impl(const ReignContext &givenContext, std::uint64_t givenEpoch, Inheritance inheritance, std::function<void(std::string)> givenOnDeposed)
        : context(givenContext)
        , epoch(givenEpoch)
        , onDeposed(std::move(givenOnDeposed))
        , scheduler(context.times, givenEpoch)
        , advice(
              scheduler,
              [this](const AdviceOrder &order, const WorkerPort::AdviceHandler &handler) {
                  context.workers.advise(order, [self = shared_from_this(), handler](const AdviceResult &result) {
                      if (!self->ended) {
                          handler(result);
                      }
                  });
              },
              [this] {
                  schedulePump();
              })
        , timer(context.io)
        , retryTimer(context.io)
        , partition(inheritance.jobsPartition % context.store.partitions)
        , publishedPartition(partition)
        , batchesTotal(context.metrics.counter("store_batches_total", "Batches of job records that were stored"))
        , partitionMovesTotal(context.metrics.counter("store_partition_moves_total", "Times that the jobs were written to another partition of the store"))
        , startsTotal(context.metrics.counter("run_starts_total", "Start orders sent to workers"))
        , lostTotal(context.metrics.counter("runs_lost_total", "Runs that ended without saying how"))
        , storeSeconds(context.metrics.latency("store_batch_seconds", "Time from handing a batch to the store to its answer"))
        , openJobs(context.metrics.gauge("jobs_open", "Jobs that are not closed"))
        , liveRuns(context.metrics.gauge("runs_live", "Runs that are or may be on workers"))
        , reachableWorkers(context.metrics.gauge("workers_reachable", "Workers that answer"))
    {
        scheduler.setPredecessor(std::move(inheritance.leases));
        instances
            = std::make_shared<FleetKeeper>(context.instances, scheduler, context.instanceTimes, epoch, std::move(inheritance.instances), context.metrics);
    }

    ReignContext context;
    const std::uint64_t epoch;
    std::function<void(std::string)> onDeposed;
    Scheduler scheduler;
    std::shared_ptr<FleetKeeper> instances;
    AdviceDesk advice;
    asio::steady_timer timer;
    asio::steady_timer retryTimer;
    /** Where batches go. */
    StorePartition partition;
    /** Where a successor would read; differs while the jobs are being written elsewhere. */
    StorePartition publishedPartition;
    Counter batchesTotal;
    Counter partitionMovesTotal;
    Counter startsTotal;
    Counter lostTotal;
    LatencyHistogram storeSeconds;
    Gauge openJobs;
    Gauge liveRuns;
    Gauge reachableWorkers;
    std::shared_ptr<const FleetPolicy> policy;
    bool serving = false;
    bool ended = false;
    bool settling = false;
    bool pumpPosted = false;
    std::function<void()> onSettled;
    BootTime settleUntil{};
    BootTime freshAt{};
    BootTime storeAt{};
    BootTime countedAt{};
    std::uint64_t sequence = 0;
    std::deque<RecordBatch> chunks;
    bool storeInFlight = false;
    BootTime storeWaitsSince{};
    StoreTrouble trouble;
    /** The batch with which all jobs were in a partition that is not published yet; 0 for none. */
    std::uint64_t movedBatch = 0;
    /** What lies in the partition from before. */
    std::set<std::string> leftOver;
    std::deque<WaitingAnswer> answers;
    std::size_t restored = 0;
    std::vector<std::pair<WaveSpec, BootTime>> waves;

    // Takeover.
    void fence();
    void readPage(const std::string &after);
    void restore(const std::string &key, const std::string &bytes, BootTime now, std::int64_t wallMs);
    void serve();
    void retry(std::chrono::milliseconds delay, std::function<void()> action);
    void depose(std::string reason);
    void end();

    // Work.
    void schedulePump();
    void armTimer(std::chrono::milliseconds delay);
    void pump();
    void executeOrders(BootTime now);
    void execute(const StartOrder &order);
    void execute(const StopOrder &order);
    void execute(const PaceOrder &order);
    void execute(const HoldOrder &order);
    void execute(const AdviceOrder &order);
    void logNotices();
    /** What bounds the work at the moment; the ground of the placements of the next second. */
    void logPools(BootTime now);
    void expireAnswers();
    bool isStoreAway(BootTime now) const;

    // Storing.
    void storeNext(BootTime now);
    void sendChunk();
    void chunkStored();
    void stored(std::uint64_t batch);
    /** Calls @p again after a pause, or moves the jobs to another partition. */
    void noteStoreFailure(StoreFailure failure, BootTime sentAt, std::function<void()> again);
    bool mayMovePartition() const;
    void movePartition(std::string_view reason);
    void fenceMoved();
    void readLeftOver(const std::string &after);

    // Calls.
    void handle(const JobCall &call, const Responder &respond);
    void submit(const JobCall &call, const Responder &respond);
    void answerAfter(std::uint64_t batch, const JobCall &call, JobAnswer answer, Responder respond);
};

}
