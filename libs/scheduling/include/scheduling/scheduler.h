#pragma once

#include "jobs/job.h"
#include "scheduling/fleetpolicy.h"
#include "scheduling/orders.h"
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

/** Times that the scheduler goes by. */
struct SchedulerTimes {
    LeaseTerms lease;
    /** Longest time that a stop may take. */
    std::chrono::milliseconds stopGrace{900};
    /** How long closed jobs are remembered. */
    std::chrono::milliseconds statusKept{120000};
};

/** Until when an earlier owner may have extended leases, as its successor knows it. */
struct PredecessorLeases {
    /** Of workers that are not named, from now on. */
    std::chrono::milliseconds rest{0};
    /** Workers that it could not reach, and what was left of their leases. */
    std::map<WorkerId, std::chrono::milliseconds> silent;
};

/** What came of handing a job in. */
struct SubmitOutcome {
    enum class Kind {
        /** New; accepted once the batch is stored. */
        Added,
        /** Known before; acknowledged once the batch is stored. */
        Known,
    };
    Kind kind = Kind::Added;
    std::uint64_t batch = 0;
};

/** What came of a cancel. */
struct CancelOutcome {
    bool known = false;
    /** The cancel is durable once this batch is stored. */
    std::uint64_t batch = 0;
};

/** One thing that the scheduler did or found out, for the log. */
struct Notice {
    std::string_view event;
    JobId job;
    TaskRef task;
    std::uint32_t run = 0;
    WorkerId worker;
    std::string detail;
};

/** One pool at a moment. */
struct PoolCounts {
    std::size_t workers = 0;
    /** Workers that take work. */
    std::size_t usable = 0;
    Resources capacity;
    Resources used;
    /** Of tasks that are ready, find no room and can still be in time. */
    Resources backlog;
    std::size_t waitingJobs = 0;
    /** Of those, jobs that cannot meet their objective any more. */
    std::size_t lateJobs = 0;
};

/** Which orders an owner may give at the moment. */
enum class OrderScope {
    All,
    /** Only such as keep what runs running. */
    Leases,
};

/** Records to store together. */
struct RecordBatch {
    std::uint64_t number = 0;
    std::vector<std::pair<JobId, std::string>> records;
    /** Jobs to forget. */
    std::vector<JobId> dropped;

    bool isEmpty() const
    {
        return records.empty() && dropped.empty();
    }
};

/** Figures for metrics and for the operators. */
struct SchedulerCounts {
    std::size_t jobs = 0;
    std::size_t openJobs = 0;
    std::size_t workers = 0;
    std::size_t reachableWorkers = 0;
    std::size_t runs = 0;
};

/**
 * The one owner of a fleet's jobs and workers for as long as it reigns.
 *
 * Pure: events and the time go in; orders for workers and batches of records come out. The caller
 * stores each batch, says so with noteStored(), and carries out orders. A placement leaves as an
 * order only after its record is stored, and an end is acknowledged only after its record is, so
 * that a successor that starts from the records knows where each run may be. Not thread-safe.
 *
 * @code
 * Scheduler scheduler(times, epoch);
 * scheduler.setPolicy(policy);
 * scheduler.submit(record, now);
 * scheduler.advance(now, wallMs);
 * RecordBatch batch = scheduler.takeBatch();
 * ...stored...
 * scheduler.noteStored(batch.number, now);
 * for (Order &order : scheduler.takeOrders(now, OrderScope::All)) { ... }
 * @endcode
 */
class Scheduler
{
public:
    /** @p epoch is higher than that of any earlier owner. */
    Scheduler(SchedulerTimes times, std::uint64_t epoch);
    ~Scheduler();
    Scheduler(const Scheduler &) = delete;
    Scheduler &operator=(const Scheduler &) = delete;

    // Commands at the start: what is known of the predecessor, then its records, before anything else.
    void setPredecessor(PredecessorLeases leases);
    void restore(JobRecord record, BootTime now, std::int64_t wallMs);

    // Commands: the fleet.
    /** Successors were told of these workers as silent; their leases are extended once they were told otherwise. */
    void setPublishedSilent(const std::set<WorkerId> &workers);
    void setPolicy(std::shared_ptr<const FleetPolicy> policy);
    void workerSeen(const WorkerFacts &facts, BootTime now);
    void workerRemoved(const WorkerId &worker);
    /** No new work for these workers, which are about to be taken away; replaces the former set. */
    void setCordoned(std::vector<WorkerId> workers);
    /** Lasting tasks go elsewhere if they can, as these will be cordoned; replaces the former set. */
    void setLeaving(std::vector<WorkerId> workers);
    /**
     * An order for the worker's instance was taken, which as a rule ends the worker. It gets no work until
     * it is seen again. What ran there is not taken for ended: a repeated order is taken without effect.
     */
    void workerWithdrawn(const WorkerId &worker, BootTime now);
    /** Asks for the end of runs on a worker that is to be taken away, as far as their budgets allow. */
    void evacuate(const WorkerId &worker);

    // Commands: client accounts.
    SubmitOutcome submit(JobRecord record, BootTime now, std::int64_t wallMs);
    CancelOutcome cancel(const JobId &job, std::int64_t wallMs);

    // Commands: what came of orders.
    void noteHold(const HoldOrder &order, BootTime sentAt, const HoldResult &result, BootTime now, std::int64_t wallMs);
    void noteStart(const StartOrder &order, const OrderResult &result, BootTime now, std::int64_t wallMs);
    void noteStop(const StopOrder &order, const OrderResult &result, BootTime now);
    void notePace(const PaceOrder &order, const OrderResult &result);
    void noteAdvice(const AdviceOrder &order, const AdviceResult &result, BootTime now);
    /** Calls of the advice service that may be out at once. */
    void setAdviceSlots(std::size_t slots);

    // Commands: time and storage.
    void advance(BootTime now, std::int64_t wallMs);
    RecordBatch takeBatch();
    /** The next batch has all jobs, whether they changed or not; batches that were not stored need not be any more. */
    void renewAll();
    void noteStored(std::uint64_t batch, BootTime now);
    std::vector<Order> takeOrders(BootTime now, OrderScope scope);
    std::vector<Notice> takeNotices();

    // Queries.
    /** A worker has seen a higher token than this owner's: there is a successor. */
    bool isDeposed() const;
    bool isStored(std::uint64_t batch) const;
    /**
     * How far the advice service is behind for a job of this kind: nothing if the job could still be
     * of use by the time that its steps were asked about.
     */
    std::optional<std::chrono::milliseconds> adviceBehind(const JobRecord &record) const;
    /** Something waits to be stored. */
    bool hasUnstored() const;
    /** What may be said of a job: only what is stored. Nothing if it is not known. */
    std::optional<JobState> stateOf(const JobId &job) const;
    const JobRecord *findJob(const JobId &job) const;
    /** Accepted jobs of @p queue of which no task has started. */
    std::size_t pendingOf(const std::string &queue) const;
    SchedulerCounts counts() const;
    const WorkerSession *findWorker(const WorkerId &worker) const;
    std::map<std::string, PoolCounts> poolCounts(BootTime now) const;
    /** What each account has running. */
    const std::map<std::string, Resources> &usedByAccount() const;
    /** What the work that comes in for @p pool keeps busy once it runs, by the submitters' estimates. */
    Resources offeredTo(const std::string &pool, BootTime now) const;
    /** Workers with runs that cannot be reached, and how long their leases may still last. */
    std::map<WorkerId, std::chrono::milliseconds> silentWorkers(BootTime now) const;
    /** Work of @p pool that is ready, finds no room and can still be in time. */
    Resources backlogOf(const std::string &pool) const;
    /** The part of it that needs workers with a label, by label. */
    std::map<std::string, Resources> labelledBacklogOf(const std::string &pool) const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}
