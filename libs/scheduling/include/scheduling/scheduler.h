#pragma once

#include "demand/demandforecast.h"
#include "evacuation/zoneevacuation.h"
#include "fairshare/poolshares.h"
#include "jobadmission/admissiondecision.h"
#include "jobs/job.h"
#include "prediction/predictionerrors.h"
#include "prediction/runtimepredictor.h"
#include "scheduling/explanation.h"
#include "scheduling/fleetpolicy.h"
#include "scheduling/orders.h"
#include "scheduling/scheduleroptions.h"
#include "scheduling/workersession.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Cornelquay {

/** Timing of the scheduler. */
struct SchedulerTimes {
    LeaseTerms lease;
    /** Longest time that a worker may take to stop a run. */
    std::chrono::milliseconds stopGrace{900};
    /** How long closed jobs can be queried before they are dropped. */
    std::chrono::milliseconds closedJobRetentionPeriod{120000};
};

/** How long leases that a former owner extended may still last, measured from the call of Scheduler::restore(). */
struct PredecessorLeases {
    /** For workers that are not in the map. */
    std::chrono::milliseconds otherWorkers{0};
    /** For workers that the former owner could not reach. */
    std::map<WorkerId, std::chrono::milliseconds> unreachable;
};

/** Result of submitting a job. */
struct SubmitOutcome {
    enum class Kind {
        /** The job is new; it is accepted once the batch is stored. */
        Added,
        /** The job was submitted before; the caller is answered once the batch is stored. */
        Known,
    };
    Kind kind = Kind::Added;
    std::uint64_t batch = 0;
};

/** Result of cancelling a job. */
struct CancelOutcome {
    /** False if there is no such job. */
    bool known = false;
    /** The cancellation is durable once this batch is stored. */
    std::uint64_t batch = 0;
};

/** A scheduler event for the structured log. Fields that do not apply are empty. */
struct SchedulerEvent {
    /** Name of the event, for example "run-lost". */
    std::string_view name;
    JobId job;
    TaskRef task;
    std::uint32_t run = 0;
    WorkerId worker;
    std::string detail;
    /** Of "job-given-up": the runs of other jobs that were lost with the workers that the job crashed. */
    std::uint32_t runsLostBeside = 0;
    /** Of "job-given-up": the time since the job was received. */
    std::chrono::milliseconds jobAge{0};
};

/** Statistics of one pool. */
struct PoolCounts {
    std::size_t workers = 0;
    /** Workers that accept new work. */
    std::size_t usable = 0;
    /** Capacity of the usable workers. */
    Resources capacity;
    Resources used;
    /** See Scheduler::backlogOf(). */
    Resources backlog;
    /** Jobs that may have tasks to place. */
    std::size_t waitingJobs = 0;
    /** The waiting jobs that cannot meet their objective any more. */
    std::size_t lateJobs = 0;
};

/** Statistics of the workers of one zone. */
struct ZoneCounts {
    std::size_t workers = 0;
    std::size_t runs = 0;
    std::size_t longRunningRuns = 0;
};

/** What the evacuation of zones has caused since the start of the ownership. */
struct EvacuationCounts {
    /** Starts that were not sent because the zone of their worker is evacuated. */
    std::uint64_t startsGivenUp = 0;
    /** Long-running tasks whose runs were stopped so that they continue in another zone. */
    std::uint64_t tasksMoved = 0;
};

/** What one client account is entitled to in a pool that is full, in the unit of Resources. */
struct AccountShare {
    std::string pool;
    std::string account;
    /** The resource that is divided. */
    ResourceKind resource = ResourceKind::Cpu;
    std::int64_t entitlement = 0;
    std::int64_t used = 0;
    /** Demand of the account's waiting tasks that could start if the pool had capacity. */
    std::int64_t waiting = 0;
};

/** Number of tasks that were placed in full pools. */
struct SharePlacements {
    std::uint64_t withinShare = 0;
    /** On capacity that the accounts entitled to it left unused. */
    std::uint64_t lent = 0;
};

/** Which orders takeOrders() returns. */
enum class OrderScope {
    All,
    /** Only lease renewals, which keep existing runs alive. */
    Leases,
};

/** Changed records to store together. */
struct RecordBatch {
    /** Increases from batch to batch. */
    std::uint64_t number = 0;
    /** Encoded records by job; also the one with the key DisruptedRunsKey, if it has changed. */
    std::vector<std::pair<JobId, std::string>> records;
    /** Jobs whose records are to be deleted. */
    std::vector<JobId> dropped;

    bool isEmpty() const
    {
        return records.empty() && dropped.empty();
    }
};

/** Statistics of copies since the beginning of the ownership. */
struct CopyCounts {
    /** Start orders of copies that were sent. */
    std::uint64_t started = 0;
    /** Copies that finished their task. */
    std::uint64_t won = 0;
    /** Time of cores, in core-milliseconds, in runs that ended after their task was finished and in copies that ended otherwise. */
    std::uint64_t wastedCoreMs = 0;
};

/** Whether the owner has memory for a new job. */
struct MemoryDecision {
    bool isRefused = false;
    /** The job would fit, but its client account holds too much already. */
    bool isAccountOverShare = false;
    /** When the next closed job is forgotten, if it is refused. */
    std::chrono::milliseconds retryAfter{0};
};

/** Statistics for metrics and for operators. */
struct SchedulerCounts {
    /** Estimate of the memory of all jobs, in bytes. */
    std::size_t heldBytes = 0;
    std::size_t jobs = 0;
    std::size_t openJobs = 0;
    std::size_t workers = 0;
    std::size_t reachableWorkers = 0;
    std::size_t runs = 0;
    /** Placement passes since the scheduler was created. */
    std::uint64_t placementPasses = 0;
    CopyCounts copies;
};

/** Statistics of the learned run times, for logs and metrics. */
struct RunTimeStatistics {
    /** By queue, of the predictions that were made when the runs started. */
    std::map<std::string, ErrorFactors> errors;
    /** By queue, of the predictions that PredictionMethod::Queue would have made for the same runs. */
    std::map<std::string, ErrorFactors> errorsByEstimate;
    /** By queue: the levels of history that correct the regression at present. */
    std::map<std::string, std::vector<PredictionLevel>> activeLevels;
    PredictorSize size;
};

/**
 * Schedules a fleet's jobs on its workers during one term of ownership; a fleet has one owner at a time.
 *
 * Performs no I/O and reads no clock: events and the current time are passed in, and the caller fetches
 * orders for workers and batches of records. The caller stores each batch, reports that with handleBatchStored(),
 * executes the orders and reports their results. A start order is released only after the record of the
 * placement is stored, and the end of a run is acknowledged only after its record is stored. A successor
 * that starts from the records therefore knows where each run may be. Not thread-safe.
 *
 * @p now is the monotonic time, and @p wallMs the wall-clock time in milliseconds since 1970.
 *
 * @code
 * Scheduler scheduler(times, epoch);
 * scheduler.setPolicy(policy);
 * scheduler.submit(record, now, wallMs);
 * scheduler.advance(now, wallMs);
 * RecordBatch batch = scheduler.takeBatch();
 * // Store the batch, then:
 * scheduler.handleBatchStored(batch.number, now);
 * for (Order &order : scheduler.takeOrders(now, OrderScope::All)) { ... }
 * @endcode
 */
class Scheduler
{
public:
    /** @p epoch must be higher than that of any former owner. */
    Scheduler(SchedulerTimes times, std::uint64_t epoch, SchedulerOptions options = {});
    ~Scheduler();
    Scheduler(const Scheduler &) = delete;
    Scheduler &operator=(const Scheduler &) = delete;

    // Commands at the start, in this order and before any other: the predecessor's leases, then its job records.
    void setPredecessor(PredecessorLeases leases);
    void restore(JobRecord record, BootTime now, std::int64_t wallMs);
    /**
     * Uses the record with the key DisruptedRunsKey: a run that a former owner decided to stop is not available any more, its stop is
     * continued, and its worker is cordoned until setCordoned() is called. Must be called before advance(), before or after restore().
     * Returns false if @p bytes are malformed.
     */
    bool restoreDisruptions(std::string_view bytes);
    /** Takes over the predecessor's runTimeSnapshot(), before or after its job records. Returns false, without a change, if it is unreadable. */
    bool restoreRunTimes(std::string_view snapshot, BootTime now);
    /** As above, for the predecessor's demandSnapshot(). */
    bool restoreDemand(std::string_view snapshot, BootTime now, std::int64_t wallMs);

    // Commands: the fleet.
    /** The workers that are published to successors as unreachable. Their leases are not extended while they are in this set, which replaces the former one. */
    void setPublishedUnreachable(const std::set<WorkerId> &workers);
    void setPolicy(std::shared_ptr<const FleetPolicy> policy);
    /** Registers a worker or updates its properties. */
    void updateWorker(const WorkerFacts &facts, BootTime now);
    /** The worker's registration was removed. Its runs are kept until their end or the end of the lease is known. */
    void unregisterWorker(const WorkerId &worker);
    /** These workers are about to be moved or maintained and get no new work; replaces the former set. */
    void setCordoned(std::vector<WorkerId> workers);
    /** These workers will be cordoned later, so long-running tasks are placed elsewhere if possible; replaces the former set. */
    void setLeaving(std::vector<WorkerId> workers);
    /**
     * The control plane accepted an order for the worker's instance, which normally ends the worker. The
     * worker gets no new work until updateWorker() is called again. Its runs are not considered ended, because
     * the control plane also accepts a repeated order, which has no effect.
     */
    void suspendWorker(const WorkerId &worker, BootTime now);
    /** Capacity of the instances that have no worker and can be moved to any pool, for decideAdmission(). */
    void setUnusedInstances(const Resources &capacity);
    /** The worker's instance has another worker or none since then, so the worker and its runs have ended. */
    void noteWorkerReplaced(const WorkerId &worker, BootTime now, std::int64_t wallMs);
    /** Stops long-running tasks on a worker that is to be taken away, as far as the disruption budgets of their steps allow. */
    void evacuate(const WorkerId &worker, BootTime now);

    /** Nothing is placed until the view of setEvacuation() is usable for an owner since @p ownerSince; see ZoneEvacuation::isUsable(). */
    void awaitEvacuationView(BootTime ownerSince);
    /** The operators' records of evacuated zones as read last; replaces the former view. */
    void setEvacuation(const ZoneEvacuation &evacuation);

    /**
     * Whether there is memory for a new job. An account may hold as much as is left of SchedulerOptions::maxHeldBytes, so that one
     * account leaves half of it and several leave a part for others. For small jobs it may hold four times of what is left, so that
     * its large jobs do not keep them out.
     */
    MemoryDecision decideMemory(const JobRecord &record, std::int64_t wallMs) const;

    // Commands: client accounts.
    /**
     * Whether a job that the caller submits is accepted. Always so unless SchedulerOptions::admission calls for predictions, and
     * for long-running and recurring jobs and those that are known. When a job is refused, the time of its first try is kept, which
     * is the time of its receipt if it is accepted later.
     */
    AdmissionDecision decideAdmission(const JobRecord &record, BootTime now);
    /**
     * What decideAdmission() and submit() of @p record and the next placement would lead to at @p now. Decided by the same code in a
     * copy of what the placement depends on, so that nothing changes here. The id of @p record is ignored: the job counts as new.
     */
    Explanation explain(JobRecord record, BootTime now, std::int64_t wallMs) const;
    SubmitOutcome submit(JobRecord record, BootTime now, std::int64_t wallMs);
    CancelOutcome cancel(const JobId &job, std::int64_t wallMs);
    /**
     * Keeps the cancellation of a job that is not known, so that a submission of it that is still under way can be refused.
     * @p record has the id, queue and account of the call. It is stored, counted and forgotten like the record of a closed job; a
     * repeated cancellation renews the time for which it is kept. Returns the batch with which it is durable. Throws std::logic_error
     * if the job is known.
     */
    std::uint64_t cancelEarly(JobRecord record, std::int64_t wallMs);

    // Commands: results of orders.
    void handleLeaseRenewalResult(const RenewLeaseOrder &order, BootTime sentAt, const RenewLeaseResult &result, BootTime now, std::int64_t wallMs);
    void handleStartResult(const StartOrder &order, const OrderResult &result, BootTime now, std::int64_t wallMs);
    void handleStopResult(const StopOrder &order, const OrderResult &result, BootTime now);
    void handleThrottleResult(const ThrottleOrder &order, const OrderResult &result);
    void handleAdviceResult(const AdviceOrder &order, const AdviceResult &result, BootTime now);
    /** Sets the maximum number of requests to the advice service in flight; must be at least 1. */
    void setAdviceSlots(std::size_t slots);

    // Commands: time and storage.
    /** Performs due work: places waiting jobs, expires leases, checks runs and drops old jobs. Call it often, for example every 10 ms. */
    void advance(BootTime now, std::int64_t wallMs);
    /** The records that changed since the former batch. */
    RecordBatch takeBatch();
    /**
     * The store refuses the record of the job for its content: the job fails and its tasks are forgotten. Returns the number of the
     * batch that will tell that, or std::nullopt if there is no such job or if that was done before.
     */
    std::optional<std::uint64_t> handleRecordRefused(const JobId &job);
    /** The next batch contains all jobs, changed or not. Storing it replaces earlier batches that were not stored. */
    void markAllChanged();
    /** Batch @p batch, and with it all that earlier batches contained, is durable. */
    void handleBatchStored(std::uint64_t batch, BootTime now);
    std::vector<Order> takeOrders(BootTime now, OrderScope scope);
    std::vector<SchedulerEvent> takeEvents();
    /** Surges and checked predictions since the last call, oldest first; always empty with CapacityMethod::Observed. */
    std::vector<DemandEvent> takeDemandEvents();

    // Queries.
    /** A worker has seen a higher fencing token than this owner's, so there is a successor. */
    bool hasLostOwnership() const;
    bool isStored(std::uint64_t batch) const;
    /**
     * How long to wait before a job such as @p record is submitted, because the advice service is too far
     * behind. std::nullopt if the service can handle the job's requests while the result is still useful, if
     * the queue needs no permissions, and for long-running and recurring jobs, which are never delayed.
     */
    std::optional<std::chrono::milliseconds> adviceRetryDelay(const JobRecord &record) const;
    /** Changes wait to be stored. */
    bool hasUnstored() const;
    /**
     * The state in the latest stored record of a job, but Running instead of Queued once a task has started;
     * std::nullopt if no record of the job is stored.
     */
    std::optional<JobState> stateOf(const JobId &job) const;
    /** The current record, including changes that are not stored; nullptr if the job was not received. Valid until the next command. */
    const JobRecord *findJob(const JobId &job) const;
    /** The cancellation of a job that was not received, which may not be stored yet; nullptr if there is none. Valid until the next command. */
    const JobRecord *findEarlyCancellation(const JobId &job) const;
    /** Number of open jobs of @p queue that have a stored record and no started task. */
    std::size_t pendingJobCount(const std::string &queue) const;
    /** Whether the order may still be sent: other tasks may have become unavailable while it waited. Also true for runs that are not known. */
    bool mayStop(const StopOrder &order) const;
    /** Whether this owner or a former one decided to stop the run of a long-running task so that the task continues elsewhere. */
    bool isDisrupted(const TaskName &task, std::uint32_t run) const;
    SchedulerCounts counts() const;
    /** nullptr if the worker is unknown. Valid until the next command. */
    const WorkerSession *findWorker(const WorkerId &worker) const;
    std::map<std::string, PoolCounts> poolCounts(BootTime now) const;
    const ZoneEvacuation &evacuation() const;
    /** Whether the view of evacuated zones is recent enough to place tasks; see awaitEvacuationView(). */
    bool mayPlace(BootTime now) const;
    /** Whether a start order for @p worker may still be sent: the worker is known and its zone is not evacuated. */
    bool mayStartOn(const WorkerId &worker) const;
    ZoneCounts zoneCounts(const std::string &zone) const;
    EvacuationCounts evacuationCounts() const;
    /** Resources in use by the runs of each client account. */
    const std::map<std::string, Resources> &usedByAccount() const;
    /** The shares in the pools that were full in the latest placement pass; empty unless AccountOrder::Weighted is set. */
    const std::vector<AccountShare> &accountShares() const;
    /** Since the construction. */
    SharePlacements sharePlacements() const;
    /** What the jobs that arrive for @p pool need, by their expected run times; as of the method of SchedulerOptions::capacity. */
    PoolOutlook demandOutlook(const std::string &pool, BootTime now) const;
    /** How often predictions of surges have been right, from 0 to 1; 0 with CapacityMethod::Observed. */
    double predictionSkill() const;
    /** The history of the demand for a successor; empty with CapacityMethod::Observed. */
    std::string demandSnapshot(BootTime now, std::int64_t wallMs) const;
    /** Increases with changes of the history; 0 while there is none. */
    std::uint64_t demandRevision() const;
    /**
     * The run time of a task of a step that is not finished, from its start without a checkpoint. Estimates of long-running
     * steps mean nothing. With PredictionMethod::Queue, the centre is the expected run time and the spread is that of a task
     * without history.
     */
    RunTimeDistribution predictRunTime(const JobRecord &record, std::uint32_t step) const;
    /**
     * The time after which @p task will have ended on @p worker with the probability @p quantile, from its reported progress,
     * its age and the prediction; std::nullopt if it does not run there or is long-running.
     */
    std::optional<std::chrono::milliseconds> remainingTime(const WorkerId &worker, const TaskName &task, BootTime now, double quantile = 0.5) const;
    /**
     * As above for the median, but with a prediction that is up to some 100 ms old, for callers that ask for many runs. By the
     * reported progress alone, with an assumed time for a run without progress, unless a level of history has proved to
     * be more accurate than the regression by queue.
     */
    std::chrono::milliseconds remainingTime(const LiveRun &run, BootTime now) const;
    /** The history of run times for a successor; empty with PredictionMethod::Queue. */
    std::string runTimeSnapshot() const;
    /** Increases with each change of runTimeSnapshot(); 0 while there is no history. */
    std::uint64_t runTimeRevision() const;
    /** Number of runs from which this owner has learned. */
    std::uint64_t learnedRuns() const;
    RunTimeStatistics runTimeStatistics() const;
    /** Unreachable workers that have runs, and how long their leases may still last. */
    std::map<WorkerId, std::chrono::milliseconds> unreachableWorkers(BootTime now) const;
    /**
     * Demand of the tasks of @p pool that were ready in the latest placement pass but not placed, for whatever
     * reason: free capacity, the limit of the client account, or a missing permission. Single tasks of late jobs
     * do not count; with CapacityMethod::Forecast, only those of jobs that are too late to be of value do not. A gang counts as a whole, even if its job is
     * late, but not if the account's limit rules it out.
     */
    Resources backlogOf(const std::string &pool) const;
    /**
     * The pools with a long-running task that has no worker although a cordoned one has room for it, and for how long the one that
     * waits longest has waited.
     */
    std::map<std::string, std::chrono::milliseconds> displacedTasks(BootTime now) const;
    /** The part of the backlog of @p pool that requires a label, by label. */
    std::map<std::string, Resources> labelledBacklogOf(const std::string &pool) const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}
