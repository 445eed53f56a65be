#pragma once

#include "details/admissionreport.h"
#include "details/advicedispatcher.h"
#include "details/demandhistory.h"
#include "details/explanationlimit.h"
#include "details/ownerpermission.h"
#include "details/recordparts.h"
#include "details/runtimehistory.h"
#include "details/sharereport.h"
#include "jobnode/jobexplanation.h"
#include "jobnode/jobowner.h"

#include <asio/steady_timer.hpp>

#include <deque>
#include <set>
#include <string>
#include <vector>

namespace Cornelquay {

// Minimum time between the starts of two batches, so that records that change together are stored together; half the
// duration of one store call.
constexpr std::chrono::milliseconds MinBatchInterval{8};
constexpr std::chrono::milliseconds StoreRetryDelay{60};
// When a caller may try again that was refused because the owner changes.
constexpr std::int64_t TakeoverRetryAfterMs = 300;
// Key prefix of the records of waves, which are stored beside those of jobs. Names of jobs contain no slash.
constexpr const char *WaveKeyPrefix = "wave/";
// Key of the record that shows whether the store accepts other records than one that it has refused.
constexpr const char *ProbeKey = "probe";

/** Of the size of a call of storeJobs(), what the record of one job may use. */
constexpr double MaxJobFractionOfCall = 0.75;

inline SchedulerOptions withRecordLimit(SchedulerOptions options, const StorePort &store)
{
    options.maxJobBytes = static_cast<std::size_t>(MaxJobFractionOfCall * static_cast<double>(store.maxCallBytes));
    return options;
}

/** An answer that must not be sent before a batch is stored. */
struct PendingAnswer {
    std::uint64_t batch = 0;
    JobAnswer answer;
    /** When the call is answered as unknown if the batch is not stored yet, in wall-clock milliseconds since 1970. */
    std::int64_t expiresMs = 0;
    JobId job;
    JobOwner::Responder respond;
};

/** A call about a job that this owner does not know. Another owner may know it, unless the ownership is confirmed after the call arrived. */
struct UnconfirmedCall {
    BootTime arrivedAt{};
    JobCall call;
    JobOwner::Responder respond;
};

/** Consecutive failed calls to the partition of the jobs. */
struct StoreFailureCounts {
    int refused = 0;
    int unanswered = 0;
    /** When the first of the failed calls was sent. */
    BootTime firstSentAt{};
};

struct JobOwner::Impl : public std::enable_shared_from_this<JobOwner::Impl> {
    Impl(const JobOwnerContext &ownerContext,
         std::uint64_t ownerEpoch,
         PredecessorState predecessorState,
         std::function<void(std::string)> ownershipLostHandler)
        : context(ownerContext)
        , epoch(ownerEpoch)
        , permission(std::make_shared<OwnerPermission>(context.ownershipTimes))
        , mayOrderWorkers(sendCondition(permission, OwnerAction::OrderWorkers))
        , mayExtendLeases(sendCondition(permission, OwnerAction::ExtendLeases))
        , onOwnershipLost(std::move(ownershipLostHandler))
        , scheduler(context.schedulerTimes, ownerEpoch, withRecordLimit(context.schedulerOptions, context.store))
        , runTimeHistory(scheduler, context.metrics)
        , adviceDispatcher(
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
        , admissionReport(context.metrics)
        , demandHistory(scheduler, context.metrics)
        , pumpTimer(context.io)
        , retryTimer(context.io)
        , partition(predecessorState.jobsPartition % context.store.partitionCount)
        , publishedPartition(partition)
        , recordParts(context.store.maxRecordBytes)
        , batchesTotal(context.metrics.counter("store_batches_total", "Batches of job records that were stored"))
        , partitionMovesTotal(context.metrics.counter("store_partition_moves_total", "Times that the jobs were moved to another partition of the store"))
        , recordsRefusedTotal(context.metrics.counter("store_records_refused_total", "Records that the store refused for their content"))
        , startsTotal(context.metrics.counter("run_starts_total", "Start orders sent to workers"))
        , lostRunsTotal(context.metrics.counter("runs_lost_total", "Runs that were lost, so that it is unknown how they ended"))
        , workerCrashesTotal(context.metrics.counter("worker_crashes_total", "Ends of workers that no order or notice explains"))
        , jobsGivenUpTotal(context.metrics.counter("jobs_given_up_total", "Jobs that failed because one of their tasks crashes its workers"))
        , runsLostBesideTotal(
              context.metrics.counter("runs_lost_beside_total", "Runs of other tasks that were lost with the workers that jobs given up crashed"))
        , copiesStartedTotal(context.metrics.counter("copies_started_total", "Start orders of copies of slow runs"))
        , copiesWonTotal(context.metrics.counter("copies_won_total", "Copies that finished their task before the first run"))
        , copyWasteTotal(context.metrics.counter("copies_wasted_core_milliseconds_total", "Time of cores in runs whose task another run finished"))
        , giveUpSeconds(context.metrics.latency("job_give_up_seconds", "Time from the receipt of a job that is given up to its failure"))
        , startsGivenUpTotal(context.metrics.counter("evacuation_starts_given_up_total", "Starts that were not sent because the zone is evacuated"))
        , tasksMovedTotal(context.metrics.counter("evacuation_tasks_moved_total", "Long-running tasks that were moved out of evacuated zones"))
        , storeSeconds(context.metrics.latency("store_batch_seconds", "Time from handing a batch to the store to its answer"))
        , openJobs(context.metrics.gauge("jobs_open", "Jobs that are not closed"))
        , heldJobBytes(context.metrics.gauge("jobs_memory_bytes", "Estimated memory of all jobs that are not forgotten"))
        , liveRuns(context.metrics.gauge("runs_live", "Runs that are or may be on workers"))
        , reachableWorkers(context.metrics.gauge("workers_reachable", "Workers that answer"))
        , shareReport(context.metrics)
        , explanationsTotal(context.metrics.counter("explanations_total", "Questions about the placement of a job that were answered"))
        , explanationsRefusedTotal(context.metrics.counter("explanations_refused_total", "Such questions beyond the number that is answered in a second"))
    {
        scheduler.setPredecessor(std::move(predecessorState.leases));
        fleetController = std::make_shared<FleetController>(context.instances,
                                                            scheduler,
                                                            context.instanceTimes,
                                                            epoch,
                                                            std::move(predecessorState.instances),
                                                            sendCondition(permission, OwnerAction::OrderInstances),
                                                            context.metrics);
    }

    JobOwnerContext context;
    const std::uint64_t epoch;
    const std::shared_ptr<OwnerPermission> permission;
    const SendCondition mayOrderWorkers;
    const SendCondition mayExtendLeases;
    std::function<void(std::string)> onOwnershipLost;
    Scheduler scheduler;
    RunTimeHistory runTimeHistory;
    std::shared_ptr<FleetController> fleetController;
    AdviceDispatcher adviceDispatcher;
    AdmissionReport admissionReport;
    DemandHistory demandHistory;
    asio::steady_timer pumpTimer;
    asio::steady_timer retryTimer;
    /** The partition to which batches are written. */
    StorePartition partition;
    /** The partition from which a successor would read; differs from partition while the jobs are moved. */
    StorePartition publishedPartition;
    RecordParts recordParts;
    Counter batchesTotal;
    Counter partitionMovesTotal;
    Counter recordsRefusedTotal;
    Counter startsTotal;
    Counter lostRunsTotal;
    Counter workerCrashesTotal;
    Counter jobsGivenUpTotal;
    Counter runsLostBesideTotal;
    Counter copiesStartedTotal;
    Counter copiesWonTotal;
    Counter copyWasteTotal;
    /** The counts of copies that the counters contain. */
    CopyCounts countedCopies;
    LatencyHistogram giveUpSeconds;
    Counter startsGivenUpTotal;
    Counter tasksMovedTotal;
    /** The values that the two counters above include. */
    EvacuationCounts countedEvacuation;
    LatencyHistogram storeSeconds;
    Gauge openJobs;
    Gauge heldJobBytes;
    Gauge liveRuns;
    Gauge reachableWorkers;
    ShareReport shareReport;
    Counter explanationsTotal;
    Counter explanationsRefusedTotal;
    ExplanationLimit explanationLimit;
    /** When this owner began, when it was given its policy, and when the registry last told of a worker. */
    BootTime begunAt{};
    BootTime policySetAt{};
    BootTime registryReadAt{};
    std::shared_ptr<const FleetPolicy> policy;
    bool serving = false;
    bool ended = false;
    bool draining = false;
    bool pumpPosted = false;
    std::function<void()> onDrained;
    BootTime drainDeadline{};
    BootTime lastBatchAt{};
    BootTime metricsUpdatedAt{};
    /**
     * Epoch of the calls for the partition, higher with each move. The store keeps the sequence of an epoch, so in a partition to which the
     * jobs return it would take batches under the former epoch for repeats.
     */
    std::uint64_t partitionEpoch = epoch;
    /** End of the ownership log after the newest record of this ownership that is known to be stored. Later owners have higher epochs. */
    std::uint64_t ownRecordEnd = epoch;
    /** Number of the next call of storeJobs() for the partition, which is also that of its repeats. */
    std::uint64_t sequence = 1;
    /** The chunks of the current batch that are not stored yet, each small enough for one call. */
    std::deque<RecordBatch> chunks;
    /** A batch is being stored or the jobs are being moved; no other batch is started. */
    bool storeInFlight = false;
    BootTime batchStartedAt{};
    StoreFailureCounts storeFailures;
    /** The batch that completed the move of the jobs to a partition that is not published yet. */
    std::optional<std::uint64_t> moveBatch;
    /** The batch that is being stored has the record of instances with orders. */
    bool hasAnnouncement = false;
    /** Keys that the new partition had before the move; the first batch removes those that it does not replace. */
    std::set<std::string> staleKeys;
    std::deque<PendingAnswer> pendingAnswers;
    /** In the order of their arrival. */
    std::deque<UnconfirmedCall> unconfirmedCalls;
    std::size_t restoredJobs = 0;
    /** Waves that were added before the takeover was completed, and when each was first seen. */
    std::vector<std::pair<WaveSpec, BootTime>> waves;

    // Takeover.
    void fence();
    void readPage(const std::string &after);
    void restore(const std::string &key, const std::string &bytes, BootTime now, std::int64_t wallMs);
    void serve();
    void retry(std::chrono::milliseconds delay, std::function<void()> action);
    void loseOwnership(std::string reason);
    void end();

    // Work.
    void schedulePump();
    void armPumpTimer(std::chrono::milliseconds delay);
    void pump();
    void executeOrders(BootTime now);
    void execute(const StartOrder &order);
    void execute(const StopOrder &order);
    void execute(const ThrottleOrder &order);
    void execute(const RenewLeaseOrder &order);
    void execute(const AdviceOrder &order);
    void logEvents();
    /** Logs the capacity, use and backlog of each pool, and the use and cap of each client account. */
    void logPools(BootTime now);
    void expireAnswers();
    bool isStoreUnavailable(BootTime now) const;

    // Evacuation of zones.
    /** Makes the scheduler wait for a view of the evacuated zones that was read after @p now, and logs the zones known so far. */
    void beginEvacuationTerm(BootTime now);
    void setEvacuation(const ZoneEvacuation &evacuation);
    void logEvacuation(const std::string &zone, std::string_view state) const;
    void updateEvacuationMetrics();
    /** The condition under which a start order for @p worker may be sent: as for other orders, and its zone is not evacuated. */
    SendCondition mayStart(const WorkerId &worker);

    // Storing.
    void storeNext(BootTime now);
    void addChunks(RecordBatch batch);
    void sendChunk();
    void logNotStored(const RecordBatch &chunk, StoreFailure failure) const;
    void onChunkStored(std::uint64_t offset);
    /** Goes on after the first chunk, which was stored or given up. */
    void completeChunk();
    /** The store refused the first chunk for its content: finds the record at fault and gives it up. */
    void handleInvalidChunk();
    /** Sends a record that is not at fault under the number of the first chunk; @p mayBeStored if an earlier probe under it may be stored. */
    void sendProbe(bool mayBeStored);
    void giveUpChunk();
    void onBatchStored(std::uint64_t batch);
    /** Counts the failure, then calls @p retryAction after a delay or moves the jobs to another partition. */
    void noteStoreFailure(StoreFailure failure, BootTime sentAt, std::function<void()> retryAction);
    bool mayMovePartition() const;
    /** Starts a move: chooses the next partition and makes the next batch contain all records. */
    void movePartition(std::string_view reason);
    /** Second step of a move: fences earlier owners in the new partition. */
    void fenceNewPartition();
    /** Third step of a move: reads the keys that the new partition has, page by page. */
    void readStaleKeys(const std::string &after);

    // Calls.
    void handle(const JobCall &call, const Responder &respond);
    void submit(const JobCall &call, const Responder &respond);
    void cancel(const JobCall &call, const Responder &respond);
    /** Keeps the cancel of an unknown job, because a submission that its client sent before may arrive later, and then responds that it is unknown. */
    void cancelEarly(const JobCall &call, const Responder &respond);
    /** Why a submission is refused whose job was cancelled before; std::nullopt if it was not. */
    std::optional<JobAnswer> refusalForEarlyCancellation(const JobCall &call) const;
    /** Whether the job of the call belongs to another client account, so that it does not exist for this call. */
    bool isOfOtherAccount(const JobCall &call) const;
    /** The state of the job of the call; std::nullopt if it is not stored or does not exist for this call. */
    std::optional<JobState> stateFor(const JobCall &call) const;
    /** Responds that the job is unknown once a store call that is sent from now on confirms the ownership, and refuses the call otherwise. */
    void answerUnknownOnceConfirmed(const JobCall &call, const Responder &respond);
    void answerUnconfirmedCalls(BootTime now);
    /** Why a new job is not even considered for admission; std::nullopt if it is. */
    std::optional<JobAnswer> refusalFor(const JobRecord &record, BootTime now) const;
    std::optional<JobAnswer> refusalForMemory(const JobRecord &record, std::int64_t wallMs) const;
    void explain(const JobCall &call, const Responder &respond);
    OwnerViews views(BootTime now) const;
    /** Responds with @p answer once @p batch is stored, or as unknown if that takes too long. */
    void answerOnceStored(std::uint64_t batch, const JobCall &call, JobAnswer answer, Responder respond);
};

}
