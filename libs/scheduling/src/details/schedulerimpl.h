#pragma once

#include "scheduling/joborder.h"
#include "scheduling/offeredload.h"
#include "scheduling/placement.h"
#include "scheduling/runtimes.h"
#include "scheduling/scheduler.h"

#include <map>
#include <set>
#include <unordered_map>

namespace Cornelquay {

/** A job with what its owner knows of it beside its record. */
struct JobEntry {
    explicit JobEntry(JobRecord record)
        : job(std::move(record))
    {
    }

    Job job;
    /** Changed since it was last handed out for storing. */
    bool dirty = false;
    /** Some stored record knows the job. */
    bool stored = false;
    JobState storedState = JobState::Queued;
    /** The latest batch that has it. */
    std::uint64_t batch = 0;
    /** Some task may be ready to be placed. */
    bool mayHaveReady = true;
    bool overAgreedRate = false;
    bool lasting = false;
    JobEstimate estimate;
    /** Workers on which a task failed. */
    std::map<TaskRef, std::set<WorkerId>> failedOn;
};

/** What the advice service said of one step. */
struct StepAdvice {
    struct Ticket {
        std::string text;
        BootTime usableUntil{};
    };
    std::map<WorkerId, Ticket> tickets;
    /** The ticket for @p worker, or null if there is none that can be used. */
    const Ticket *usableTicket(const WorkerId &worker, BootTime now) const
    {
        const auto ticket = tickets.find(worker);
        return ticket != tickets.end() && now < ticket->second.usableUntil ? &ticket->second : nullptr;
    }
    std::set<WorkerId> refused;
    bool inFlight = false;
    BootTime retryAt{};
    /** Before this the service is not asked about a few workers only. */
    BootTime followUpAt{};
};

/** Jobs that an account may still send within its agreement. */
struct SubmissionBucket {
    double jobs = 0;
    BootTime filledAt{};
    bool started = false;
};

/** A pool's workers during one pass over waiting jobs. */
struct PoolCandidates {
    std::vector<PlacementCandidate> all;
    std::vector<PlacementCandidate *> open;
    /** Demands that found no room in this pass. */
    std::vector<Resources> unplacedDemands;
};

/** Whether a start order may leave. */
enum class StartReadiness : std::uint8_t {
    Now,
    /** Once the worker has answered, or its lease may be extended again. */
    Later,
    Never,
    /** There is nothing to send any more. */
    Obsolete,
};

struct Scheduler::Impl {
    Impl(SchedulerTimes schedulerTimes, std::uint64_t epoch);

    const SchedulerTimes times;
    /** First token of this owner; above all tokens of earlier ones. */
    const std::uint64_t firstToken;
    PredecessorLeases predecessor;
    bool ownershipLost = false;
    std::shared_ptr<const FleetPolicy> policy = std::make_shared<FleetPolicy>();
    std::unordered_map<JobId, JobEntry> jobs;
    std::map<WorkerId, WorkerSession> workers;
    std::set<WorkerId> cordoned;
    std::set<WorkerId> leaving;
    std::map<std::string, Resources> accountUsed;
    std::map<std::string, SubmissionBucket> buckets;
    std::map<std::string, Resources> backlog;
    /** Of it, by pool, what needs workers with a label. */
    std::map<std::string, std::map<std::string, Resources>> labelledBacklog;
    std::map<std::string, OfferedLoad> offered;
    RunTimes runTimes;
    std::map<std::pair<JobId, std::pair<std::uint32_t, std::uint32_t>>, StepAdvice> advice;
    std::size_t adviceInFlight = 0;
    std::size_t adviceSlots = 1;

    std::uint64_t nextBatch = 1;
    std::uint64_t storedBatch = 0;
    std::vector<JobId> dirtyJobs;
    std::vector<JobId> droppedJobs;
    std::map<std::uint64_t, std::vector<std::pair<JobId, JobState>>> batchStates;
    std::map<std::uint64_t, std::vector<std::pair<WorkerId, TaskName>>> batchStarts;

    std::vector<std::pair<WorkerId, TaskName>> dueStarts;
    std::vector<Order> orders;
    std::vector<Notice> events;
    bool placementNeeded = true;
    BootTime lastPlacementAt{};
    BootTime lastHousekeepingAt{};
    BootTime lastEstimatesAt{};

    // Records.
    void markDirty(JobEntry &entry);
    std::uint64_t durableBatch() const;
    void markStartsDue(const std::vector<std::pair<WorkerId, TaskName>> &starts, std::uint64_t batch);
    JobEntry *findEntry(const JobId &job);
    /** How long a task of each step will run, in milliseconds. */
    std::vector<std::int64_t> expectedRunMs(const JobRecord &record) const;
    void refreshEstimate(JobEntry &entry);
    void stopRunsOfClosedJob(JobEntry &entry);
    void recordArrival(const JobEntry &entry, BootTime now);
    void emitEvent(std::string_view event, const TaskName &task, std::uint32_t run, const WorkerId &worker, std::string detail = {});

    // Runs.
    void addRun(WorkerSession &session, const TaskName &task, const JobEntry &entry, LiveRun run);
    void removeRun(WorkerSession &session, const TaskName &task);
    void markRunLost(WorkerSession &session, const TaskName &task, std::int64_t wallMs, std::string_view reason);
    /** Ends the other members of the gang that @p task was a member of in run @p run. */
    void stopGangMembers(const JobEntry &entry, const TaskName &task, std::uint32_t run, std::int64_t wallMs);
    void markAllRunsLost(WorkerSession &session, std::int64_t wallMs, std::string_view reason);
    void requestStop(WorkerSession &session, const TaskName &task, std::string_view reason);
    bool isWithinDisruptionBudget(const TaskName &task);

    // Results.
    void applyListing(WorkerSession &session, const HoldOrder &order, BootTime sentAt, const Listing &listing, BootTime now, std::int64_t wallMs);
    void applyEnd(WorkerSession &session, const ListedEnd &end, BootTime now, std::int64_t wallMs);
    void recordRunTime(const JobEntry &entry, const ListedEnd &end, const LiveRun &run, BootTime now);
    void applyRunning(WorkerSession &session, const ListedRun &run, BootTime now);
    void applyAbsent(WorkerSession &session, const HoldOrder &order, BootTime sentAt, const Listing &listing, std::int64_t wallMs);

    // Time.
    void openDueOccurrences(std::int64_t wallMs);
    void expireLeases(BootTime now, std::int64_t wallMs);
    void checkRuns(BootTime now);
    /** Takes in what was learned of run times since for jobs that wait. */
    void refreshEstimates(BootTime now);
    void throttleBestEffortRuns(WorkerSession &session, BootTime now);
    void dropClosedJobs(std::int64_t wallMs);

    // Placing.
    void placeWaitingJobs(BootTime now);
    std::map<std::string, PoolCandidates> gatherCandidates(BootTime now);
    void placeJob(JobEntry &entry, PoolCandidates &candidates, BootTime now);
    void placeStep(JobEntry &entry, const Occurrence &occurrence, std::uint32_t step, PoolCandidates &candidates, BootTime now);
    void placeGang(JobEntry &entry, const Occurrence &occurrence, std::uint32_t step, PlacementRequest request, PoolCandidates &candidates, BootTime now);
    /** @p count tasks that could still be in time find no room. */
    void addToBacklog(const JobEntry &entry, const PlacementRequest &request, std::uint32_t count);
    PlacementRequest makeRequest(const JobEntry &entry, const Occurrence &occurrence, std::uint32_t step) const;
    PlacementCandidate *chooseCandidate(const PlacementRequest &request, PoolCandidates &candidates, const StepAdvice *permissions, BootTime now);
    void commitPlacement(JobEntry &entry, const TaskRef &ref, std::uint32_t run, PlacementCandidate &candidate, const std::string &ticket, BootTime now);
    bool isWithinCap(const JobEntry &entry, const Resources &demand) const;
    JobUrgency urgencyOf(const JobEntry &entry, BootTime now) const;
    StepAdvice *adviceFor(JobEntry &entry, const Occurrence &occurrence, std::uint32_t step, PoolCandidates &candidates, BootTime now);
    /** Questions that open jobs still need. */
    std::size_t pendingAdviceRequests() const;
    /** The workers to ask about next: those with room first. */
    std::vector<WorkerId> workersToQuery(const StepAdvice &stepAdvice, const Resources &demand, const PoolCandidates &candidates, BootTime now) const;

    // Orders.
    void releaseStarts(BootTime now);
    StartReadiness startReadiness(const WorkerId &worker, const TaskName &task, BootTime now);
    void sendStart(const WorkerId &worker, const TaskName &task, BootTime now);
    void releaseStops(BootTime now);
    void releaseLeaseRenewals(BootTime now, std::vector<Order> &taken);
};

}
