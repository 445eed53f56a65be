#pragma once

#include "demand/demandforecast.h"
#include "details/admissionstate.h"
#include "details/jobtable.h"
#include "details/placementtrace.h"
#include "details/shareturn.h"
#include "evacuation/evacuationmoves.h"
#include "evacuation/zoneevacuation.h"
#include "jobadmission/admissiondecision.h"
#include "jobs/disruptedruns.h"
#include "scheduling/crashattribution.h"
#include "scheduling/jobisolation.h"
#include "scheduling/joborder.h"
#include "scheduling/placement.h"
#include "scheduling/runtimes.h"
#include "scheduling/scheduler.h"
#include "speculation/slowruns.h"

#include <map>
#include <set>
#include <unordered_map>
#include <variant>

namespace Cornelquay {

/** Runs that were lost because their worker was silent until its lease was over. */
struct SilentLoss {
    std::map<TaskName, CrashEvidence> evidence;
    /** What became of the worker is of no interest any more from then on. */
    BootTime forgetAt{};
};

/** Answers of the advice service for one step. */
struct StepAdvice {
    struct Ticket {
        std::string text;
        BootTime usableUntil{};
    };
    std::map<WorkerId, Ticket> tickets;
    /** The ticket for @p worker, or nullptr if there is no valid one. */
    const Ticket *usableTicket(const WorkerId &worker, BootTime now) const
    {
        const auto ticket = tickets.find(worker);
        return ticket != tickets.end() && now < ticket->second.usableUntil ? &ticket->second : nullptr;
    }
    /** Workers for which the service gave no permission. */
    std::set<WorkerId> refused;
    bool inFlight = false;
    /** After a request without an answer, no further request is sent before this time. */
    BootTime retryAt{};
    /** Before this time, a further request about only a few workers is not sent. */
    BootTime followUpAt{};
};

/** Token bucket for the submission rate of a client account. */
struct SubmissionBucket {
    /** Jobs that the account may still submit within its agreed rate. */
    double jobs = 0;
    BootTime filledAt{};
    bool started = false;
};

/** The tasks of a long-running step apart from one that may be stopped. */
struct StepAvailability {
    std::uint32_t unavailable = 0;
    /** Limit of the step for tasks that are unavailable at once. */
    std::uint32_t maxUnavailable = 0;
    /** Of the lists of runs that show the others to be available, when the oldest arrived; BootTime::max() if there is none. */
    BootTime oldestListingAt = BootTime::max();

    bool allowsDisruption() const
    {
        return unavailable < maxUnavailable;
    }
};

/** What a run that ends has used. */
struct RunUse {
    bool copy = false;
    /** In core-milliseconds. */
    std::uint64_t coreMs = 0;
};

/** The workers of a pool that accept work, during one placement pass. */
struct PoolCandidates {
    std::vector<PlacementCandidate> all;
    std::vector<PlacementCandidate *> open;
    /** Demands of tasks without other requirements that did not fit on any worker in this pass. Larger demands are not tried again. */
    std::vector<Resources> unplacedDemands;
    /** Limits what is placed to the share of one account; nullptr for no limit. */
    ShareTurn *turn = nullptr;
    /** Number of workers that were taken out of the open ones, see Scheduler::Impl::keepForUnplaced(). */
    std::size_t keptForUnplaced = 0;
};

/** What was decided about one task, and on what. */
struct TaskDecision {
    const JobEntry &entry;
    std::uint32_t step = 0;
    const PlacementRequest &request;
    const PoolCandidates &candidates;
    /** nullptr if the queue needs no permissions. */
    const StepAdvice *permissions = nullptr;
    /** nullptr for none. */
    const PlacementCandidate *chosen = nullptr;
    bool isWithinCap = true;
};

/** A long-running task whose turn has come and that has no worker. */
struct UnplacedTask {
    BootTime since{};
    BootTime checkedAt{};
    std::string pool;
    /** The number of workers of its pool by the reason why each did not get the task. */
    std::string reasons;
    /** A worker would get the task if it were not cordoned. */
    bool fitsCordoned = false;
    /** The latest placement pass that did not place the task. */
    std::uint64_t pass = 0;
};

/** A waiting job with its position in the placement order. */
using WaitingJob = std::pair<JobUrgency, JobEntry *>;

/** Whether a start order may be sent. */
enum class StartReadiness : std::uint8_t {
    Now,
    /** After the worker has answered, or once its lease may be extended again. */
    Later,
    /** The run must be given up, as its job, its worker or a stop request rules it out. */
    Never,
    /** The run must be given up, as the capacity of the worker has shrunk since it was placed. */
    NoRoom,
    /** The run no longer waits to be started. */
    Obsolete,
};

/** Whether the job takes part in placement passes. */
inline bool isWaiting(const JobEntry &entry)
{
    return entry.mayHaveReady && entry.job.isOpen();
}

/**
 * Work of the job's tasks without a run, in resources times milliseconds, as far as it uses up capacity that other tasks could use.
 */
Resources unplacedWork(const JobEntry &entry);

/**
 * Whether the run times of the step's tasks are representative of its queue. Those of long-running, best-effort and gang steps are
 * not, nor are those of steps with a preferred rack, because a distant rack slows their tasks.
 */
bool isTypicalOfQueue(const StepSpec &step);

/** Estimates what the arriving jobs need, by the method of SchedulerOptions::capacity. */
using DemandEstimate = std::variant<ObservedDemand, DemandForecast>;
DemandEstimate makeDemandEstimate(CapacityMethod method);

struct Scheduler::Impl {
    Impl(SchedulerTimes schedulerTimes, std::uint64_t epoch, SchedulerOptions schedulerOptions);

    const SchedulerTimes times;
    const SchedulerOptions options;
    DemandEstimate demand;
    /** First fencing token of this owner; higher than all tokens of former owners. */
    const std::uint64_t firstToken;
    PredecessorLeases predecessor;
    bool ownershipLost = false;
    std::shared_ptr<const FleetPolicy> policy = std::make_shared<FleetPolicy>();
    JobTable jobs;
    std::map<WorkerId, WorkerSession> workers;
    /** See setCordoned() and setLeaving(). */
    std::set<WorkerId> cordoned;
    std::set<WorkerId> leaving;
    ZoneEvacuation evacuation;
    EvacuationMoves evacuationMoves;
    /** See awaitEvacuationView(). */
    std::optional<BootTime> viewAwaitedSince;
    std::uint64_t startsGivenUp = 0;
    BootTime lastMovesAt{};
    /** The last worker at which moveFromEvacuatedZones() searched for targets; the next call begins after it. */
    WorkerId lastLeftWorker;
    std::map<std::string, Resources> accountUsed;
    /** Of runs that are not long-running, by the pool of their job when they were placed. */
    PoolUsage poolUsage;
    /** See Scheduler::accountShares(). */
    std::vector<AccountShare> accountShares;
    std::uint64_t placements = 0;
    SharePlacements sharePlacements;
    std::map<std::string, SubmissionBucket> buckets;
    /** By worker; resolved once the same incarnation of the worker, or a later one, answers. */
    std::map<WorkerId, SilentLoss> silentLosses;
    JobIsolation isolation;
    /** Begins with the first advance(). */
    std::optional<SilenceHistory> silences;
    /** By pool. */
    std::map<std::string, Resources> backlog;
    /** The part of the backlog that requires a label, by pool and label. */
    std::map<std::string, std::map<std::string, Resources>> labelledBacklog;
    /** With PredictionMethod::Learned, only a yardstick for the learned prediction. */
    RunTimes runTimes;
    AdmissionState admission;
    RunTimePredictor predictor;
    PredictionErrors learnedErrors;
    PredictionErrors estimateErrors;
    std::uint64_t learnedRuns = 0;
    /** By job, occurrence and step. */
    std::map<std::pair<JobId, std::pair<std::uint32_t, std::uint32_t>>, StepAdvice> advice;
    std::size_t adviceInFlight = 0;
    std::size_t adviceSlots = 1;

    /** The runs of steps that allow copies, by worker. */
    std::set<std::pair<WorkerId, TaskName>> speculativeRuns;
    CopyCounts copyCounts;
    BootTime lastCopiesAt{};

    std::uint64_t nextBatch = 1;
    std::uint64_t storedBatch = 0;
    std::vector<JobId> dirtyJobs;
    std::vector<JobId> droppedJobs;
    DisruptedRuns disruptedRuns;
    /** The next batch has the record of disruptedRuns. */
    bool disruptionsChanged = false;
    /** Unless set, no stop waits to be sent, so that releaseStops() need not look at each run. */
    bool mayHaveDueStops = false;
    /** Job states and placements in the batches that are not stored, by batch. */
    std::map<std::uint64_t, std::vector<std::pair<JobId, JobState>>> batchStates;
    std::map<std::uint64_t, std::vector<std::pair<WorkerId, TaskName>>> batchStarts;

    /** Runs whose placement is stored and whose start order is not sent. */
    std::vector<std::pair<WorkerId, TaskName>> dueStarts;
    std::vector<Order> orders;
    std::vector<SchedulerEvent> events;
    bool placementNeeded = true;
    BootTime lastPlacementAt{};
    /** Jobs with waiting tasks at the latest placement pass. */
    std::int64_t waitingJobCount = 0;
    std::uint64_t placementPasses = 0;
    std::map<TaskName, UnplacedTask> unplacedLongRunning;
    /** The wall-clock time of the latest call of advance(). */
    std::int64_t lastWallMs = 0;
    BootTime lastHousekeepingAt{};
    BootTime lastDropAt{};
    BootTime lastEstimatesAt{};
    /** When the next closed job is forgotten, in wall-clock milliseconds since 1970; far in the future if none is closed. */
    std::int64_t nextForgottenMs = std::numeric_limits<std::int64_t>::max();
    /** When an answer of a reachable worker was last missing. */
    BootTime answerLostAt{};
    /** Set in dry runs only; must outlive them. */
    PlacementTrace *trace = nullptr;

    // Records.
    void markDirty(JobEntry &entry);
    /** The encoded record of the job, which is reduced if it exceeds SchedulerOptions::maxJobBytes. */
    std::string encodeWithinLimit(JobEntry &entry);
    /** Closes the job and forgets its tasks, because they cannot be stored; @p reason tells why. */
    void giveUpTasks(JobEntry &entry, std::string_view reason);
    /** The batch that makes all decisions so far durable once it is stored. */
    std::uint64_t durableBatch() const;
    void markStartsDue(const std::vector<std::pair<WorkerId, TaskName>> &starts, std::uint64_t batch);
    JobEntry *findEntry(const JobId &job);
    /** Expected run time of a task of each step, in milliseconds; 0 for long-running steps. */
    std::vector<std::int64_t> expectedRunMs(const JobRecord &record) const;
    void refreshEstimate(JobEntry &entry) const;
    /** The entry that a submission at @p now adds for a job that was first submitted at @p receivedAt. */
    JobEntry newEntry(JobRecord record, BootTime receivedAt, BootTime now) const;
    void stopRunsOfClosedJob(JobEntry &entry);
    /** Counts the job towards the demand of its pool. */
    void recordArrival(const JobEntry &entry, BootTime now);
    void emitEvent(std::string_view event, const TaskName &task, std::uint32_t run, const WorkerId &worker, std::string detail = {});

    // Admission. The forecasts are kept only if the options call for them.
    /** A placement pass begins, which calls addToForecast() for each job that it has tried to place, in their order. */
    void beginForecasts(BootTime now);
    void addToForecast(const JobUrgency &urgency, const JobEntry &entry, BootTime now);
    /** Decides as Scheduler::decideAdmission(), but keeps no first try. Updates @p pool, which is nullptr if nothing is known of the pool. */
    AdmissionDecision decideAdmission(const JobRecord &record, PoolAdmission *pool, BootTime now) const;
    /** Adds the run, whose worker belongs to @p pool, to the forecast of the pool. */
    void predictEnd(LiveRun &run, const JobEntry &entry, const TaskRef &ref, const std::string &pool);
    void forgetPredictedEnd(const LiveRun &run, const std::string &pool);
    /** The worker is about to belong to @p pool. */
    void movePredictedEnds(const WorkerSession &session, const std::string &pool);
    PoolCapacity capacityOf(const std::string &pool, BootTime now) const;
    NewJob describe(const JobRecord &record, const PoolAdmission &pool, BootTime now) const;
    void addAccountLimits(NewJob &job, const PoolAdmission &pool) const;
    /** The allowance of @p account as of @p now, before the next job of it. */
    SubmissionBucket bucketAt(const std::string &account, const AccountPolicy &accountPolicy, BootTime now) const;
    bool isBeyondAgreedRate(const std::string &account, BootTime now) const;

    // Runs.
    void addRun(WorkerSession &session, const TaskName &task, const JobEntry &entry, LiveRun run);
    void removeRun(WorkerSession &session, const TaskName &task);
    void markRunLost(WorkerSession &session, const TaskName &task, std::int64_t wallMs, std::string_view reason);
    /** Forgets the cancellation of a job that was not received, because another account submits a job with this id. */
    void dropEarlyCancellation(const JobId &job);
    /** Stops the other members of the gang to which @p task belonged in run @p run. */
    void stopGangMembers(const JobEntry &entry, const TaskName &task, std::uint32_t run, std::int64_t wallMs);

    // Crashes.
    /** Whether the end of the worker's present incarnation would be no crash. */
    bool isEndExpected(const WorkerSession &session) const;
    /** The worker does not answer; see WorkerSession::markUnreachable(). */
    void markUnreachable(WorkerSession &session, BootTime now, std::optional<BootTime> silentSince = std::nullopt);
    /** An incarnation of the worker is over, and with it @p runs; @p sign tells how that is known. */
    void handleWorkerEnd(const WorkerSession &session, const std::map<TaskName, LiveRun> &runs, std::string_view sign, BootTime now, std::int64_t wallMs);
    /** The runs of the worker are lost without a sign of what became of it. */
    void noteSilentLoss(WorkerSession &session, BootTime now, std::int64_t wallMs);
    /** The worker's incarnation that was silent goes on. */
    void resolveSilentLoss(const WorkerId &worker);
    void forgetSilentLosses(BootTime now);
    void
    countCrash(const WorkerId &worker, const TaskName &task, const CrashEvidence &evidence, std::uint32_t runsLostBeside, BootTime now, std::int64_t wallMs);
    /** The crashes under a task were counted anew, with @p outcome. */
    void noteCrashCount(JobEntry &entry, const TaskRef &ref, const WorkerId &worker, EndOutcome outcome, BootTime now);
    std::size_t countRegisteredInRack(const std::string &rack) const;
    void explainLoss(const TaskName &task, const WorkerId &worker);
    void giveUpJob(JobEntry &entry, const TaskRef &ref, BootTime now);
    /** Forgets the crashes under a long-running task that has proved to be sound. */
    void clearCrashes(const TaskName &task, LiveRun &run);
    /** Gives back the workers that are kept for suspects and not needed any more. */
    void releaseIsolation(BootTime now);
    bool needsIsolation(const WorkerId &worker, const JobId &job, BootTime now);
    /** Chooses a worker that runs nothing of other jobs for a suspect; if there is none, one is kept free for it, and nullptr is returned. */
    PlacementCandidate *
    chooseIsolated(JobEntry &entry, const PlacementRequest &request, PoolCandidates &candidates, const StepAdvice *permissions, BootTime now);
    /** Chooses a worker for a suspect on which no run of another job has just been started, and keeps it for the suspect. */
    PlacementCandidate *
    chooseAmongEstablished(const JobEntry &entry, const PlacementRequest &request, PoolCandidates &candidates, const StepAdvice *permissions, BootTime now);
    /** A suspect of the job was not placed. Returns whether it may run beside other jobs from now on. */
    static bool hasWaitedForIsolation(JobEntry &entry, BootTime now);
    void keepForSuspects(const JobEntry &entry, PlacementCandidate &candidate);
    /** Gives a vacant worker back that is kept for the job and rejects a suspect of it, unless it runs a task of the job. */
    void releaseRejecting(const JobId &job, PlacementCandidate &candidate, CandidateRejection reason);

    // Loss of runs.
    void markAllRunsLost(WorkerSession &session, std::int64_t wallMs, std::string_view reason);
    void requestStop(WorkerSession &session, const TaskName &task, std::string_view reason);
    /** std::nullopt if the step of @p task is not long-running or its job is closed, so that no disruption budget applies. */
    std::optional<StepAvailability> availabilityBeside(const TaskName &task);
    /** Whether @p task may be made unavailable without exceeding the limit of its step for tasks that are unavailable at once. */
    bool isWithinDisruptionBudget(const TaskName &task);
    /**
     * Requests the stop of a long-running task that is to continue elsewhere. The stop is sent once a record names it, for a successor.
     * The event tells the state of the other tasks of the step.
     */
    void requestDisruption(WorkerSession &session, const TaskName &task, std::string_view reason, BootTime now);

    /** See Scheduler::isDisrupted(). */
    bool isDisrupted(const TaskName &task, std::uint32_t run) const;
    /** Adds the record of disrupted runs to the batch if it has to be stored. */
    void addDisruptions(RecordBatch &batch);
    /** Whether the stop may not be sent at present because of the disruption budget: other tasks may have become unavailable meanwhile. */
    bool mustHoldStop(const WorkerSession &session, const TaskName &task, const LiveRun &run);

    // Copies.
    /** Adds a run that a former owner placed. @p extra tells that it is beside the task's current run or that the task is finished. */
    void restoreRun(const JobEntry &entry, const TaskRef &ref, const ExtraRun &placed, bool extra, BootTime now);
    /** Places copies of slow runs and of runs on silent workers in pools where no task waits. */
    void placeCopies(BootTime now);
    RunFacts factsOf(const JobEntry &entry, const WorkerSession &session, const TaskName &task, const LiveRun &run, BootTime now) const;
    /** The runs of which a copy may be placed. Adds the CPU of the copies in progress to @p budgets, by pool. */
    std::vector<RunFacts> gatherCopyFacts(std::map<std::string, CopyBudget> &budgets, BootTime now) const;
    bool mayGetCopy(const JobEntry &entry, const WorkerSession &session, const TaskName &task, const LiveRun &run) const;
    /** Adds what runs and waits in each pool to @p budgets. */
    void completeBudgets(std::map<std::string, CopyBudget> &budgets) const;
    /** Returns whether a copy was placed. */
    bool placeCopy(const CopyProposal &proposal, const RunFacts &facts, const CopyBudget &budget, PoolCandidates &candidates, BootTime now);
    PlacementCandidate *
    chooseForCopy(const JobEntry &entry, const TaskRef &ref, const PoolCandidates &candidates, const StepAdvice *permissions, BootTime now) const;
    /** Counts the runs beside the current ones, of the step of @p ref, as siblings. */
    void countExtraRuns(const JobEntry &entry, const TaskRef &ref, PlacementRequest &request) const;
    void stopExtraRuns(const JobEntry &entry, const TaskRef &ref, std::string_view reason);
    /** Whether the run, which makes no progress, is to be stopped. If so, the restart is counted. */
    bool beginRestart(JobEntry &entry, const WorkerSession &session, const TaskName &task, LiveRun &run, BootTime now);
    /** Acknowledges the listed ends, except those after which a start order of another run of the task may still take effect. */
    void acknowledgeEnds(WorkerSession &session, const std::vector<ListedEnd> &ended, BootTime now);
    bool mayOtherRunStart(const ListedEnd &end);
    static RunUse useOf(const WorkerSession &session, const LiveRun &run);
    void countCopyEnd(const RunUse &use, EndOutcome outcome);

    // Results.
    void applyListing(WorkerSession &session, const RenewLeaseOrder &order, BootTime sentAt, const Listing &listing, BootTime now, std::int64_t wallMs);
    void applyEnd(WorkerSession &session, const ListedEnd &end, BootTime now, std::int64_t wallMs);
    void recordRunTime(const JobEntry &entry, const ListedEnd &end, const LiveRun &run, BootTime now);
    // Prediction of run times; these do nothing unless the method is PredictionMethod::Learned.
    bool learnsRunTimes() const;
    void learnRunTime(const JobEntry &entry, const ListedEnd &end, const LiveRun &run, BootTime now);
    /** The run was stopped or lost. */
    void learnUnfinishedRun(const JobEntry &entry, const TaskRef &ref, const LiveRun &run);
    void noteStartAccepted(const TaskName &task, LiveRun &run, BootTime now);
    void updateExpectedEnd(const TaskName &task, LiveRun &run, BootTime now);
    std::chrono::milliseconds predictRemaining(const JobRecord &record, std::uint32_t step, const LiveRun &run, BootTime now, double quantile) const;
    void applyRunning(WorkerSession &session, const ListedRun &run, BootTime now);
    /** Stops the listed runs that this owner did not add, and counts them as used until a listing lacks them. */
    void applyUnknownRuns(WorkerSession &session, const Listing &listing);
    void applyAbsent(WorkerSession &session, const RenewLeaseOrder &order, BootTime sentAt, const Listing &listing, std::int64_t wallMs);

    // Time.
    void openDueOccurrences(std::int64_t wallMs);
    void noteOccurrenceWaits(JobEntry &entry, std::int64_t lateMs);
    void expireLeases(BootTime now, std::int64_t wallMs);
    void checkRuns(BootTime now);
    /** Updates the estimates of waiting jobs with the latest run time statistics. */
    void refreshEstimates(BootTime now);
    /** @p ordersLeft is the number of orders that may still be given in this pass. */
    void throttleBestEffortRuns(WorkerSession &session, std::size_t &ordersLeft, BootTime now);
    void dropClosedJobs(std::int64_t wallMs);

    // Placing.
    bool isPlacementDue(BootTime now) const;
    void placeWaitingJobs(BootTime now);
    /** Why the worker is no candidate for the tasks of its pool; std::nullopt if it is one. */
    std::optional<CandidateRejection> reasonAgainstCandidate(const WorkerId &worker, const WorkerSession &session, BootTime now) const;
    std::map<std::string, PoolCandidates> gatherCandidates(BootTime now);
    void placeJob(JobEntry &entry, PoolCandidates &candidates, BootTime now);
    void placeStep(JobEntry &entry, const Occurrence &occurrence, std::uint32_t step, PoolCandidates &candidates, BootTime now);
    void placeGang(JobEntry &entry, const Occurrence &occurrence, std::uint32_t step, PlacementRequest request, PoolCandidates &candidates, BootTime now);
    /** Keeps since when the long-running task has no worker, and emits an event when the reasons change. */
    void noteUnplaced(const TaskName &task, const std::string &pool, const PlacementRequest &request, BootTime now);
    /** Forgets the tasks that the latest pass has placed or that do not wait any more. */
    void forgetPlaced(BootTime now);
    /** Whether single tasks of the job that were not placed count as backlog of their pool. */
    bool isDemand(const JobEntry &entry, BootTime now) const;
    /** Adds @p count tasks that were not placed to the backlog of their pool. */
    void addToBacklog(const JobEntry &entry, const PlacementRequest &request, std::uint32_t count);
    PlacementRequest makeRequest(const JobEntry &entry, const Occurrence &occurrence, std::uint32_t step) const;
    PlacementCandidate *chooseCandidate(const PlacementRequest &request, PoolCandidates &candidates, const StepAdvice *permissions, BootTime now);
    /**
     * The worker for a task, nullptr for none. @p unconstrained tells that free capacity is the task's only condition, so that
     * larger tasks need not be tried once it does not fit.
     */
    PlacementCandidate *chooseForTask(JobEntry &entry,
                                      const TaskRef &ref,
                                      const PlacementRequest &request,
                                      PoolCandidates &candidates,
                                      const StepAdvice *permissions,
                                      BootTime now,
                                      bool unconstrained);
    void commitPlacement(JobEntry &entry, const TaskRef &ref, std::uint32_t run, PlacementCandidate &candidate, const std::string &ticket, BootTime now);
    bool isWithinCap(const JobEntry &entry, const Resources &demand) const;
    JobUrgency urgencyOf(const JobEntry &entry, BootTime now) const;
    /** Known advice for a step, after requesting more if needed; nullptr if the queue needs no advice. */
    StepAdvice *adviceFor(JobEntry &entry, const Occurrence &occurrence, std::uint32_t step, PoolCandidates &candidates, BootTime now);
    /** Number of advice requests that open jobs still need, one for each step with waiting tasks. */
    std::size_t pendingAdviceRequests() const;
    /** The workers to include in the next advice request, those with free capacity first; empty if no request is due. */
    std::vector<WorkerId> workersToQuery(const StepAdvice &stepAdvice, const Resources &demand, const PoolCandidates &candidates, BootTime now) const;

    // Explanations.
    std::vector<const JobEntry *> waitingJobs() const;
    OrderExplanation explainOrder(const JobEntry &entry, const std::vector<const JobEntry *> &waiting, BootTime now) const;
    AccountExplanation explainAccount(const JobRecord &record) const;
    std::vector<StepExplanation> explainSteps(const JobEntry &entry) const;
    SchedulerViews explainViews(const std::string &pool, BootTime now) const;
    PredictionBasis predictionBasis(const JobRecord &record, std::uint32_t step) const;
    /** Places the job beside the jobs @p waiting in a copy of all that its placement depends on. */
    void tryPlacement(const JobEntry &entry, std::vector<const JobEntry *> waiting, BootTime now, std::int64_t wallMs, PlacementExplanation &explanation) const;
    /** Retains the waiting jobs that may change where @p entry is placed. Returns the pools of which the workers matter for that. */
    std::set<std::string> retainJobsBeside(const JobEntry &entry, std::vector<const JobEntry *> &waiting, BootTime now) const;
    /** A scheduler that holds @p copied and the workers of @p pools, and nothing else of the fleet. */
    std::unique_ptr<Impl> copyForTrial(const std::vector<const JobEntry *> &copied, const std::set<std::string> &pools, BootTime now) const;
    /** Copies the job, with the workers of its tasks, because their racks attract or repel the other tasks; see copyForTrial(). */
    void copyJob(const JobEntry &entry, bool withRuns, Impl &trial) const;
    /** Notes the decision if it concerns the first step of the traced job. */
    void noteDecision(const TaskDecision &decision, BootTime now);
    /** Notes why the tasks of a step without a worker have none. */
    void noteReason(const JobEntry &entry, std::uint32_t step, PlacementOutcome reason);

    // Evacuation of zones.
    bool mayPlace(BootTime now) const;
    /** Sets what the evacuations say about the worker of @p candidate. */
    void applyEvacuation(PlacementCandidate &candidate, BootTime now) const;
    /** Stops long-running tasks in evacuated zones for which other zones have free capacity, as far as the disruption budgets allow. */
    void moveFromEvacuatedZones(BootTime now);
    /** Whether the long-running task was stopped in an evacuated zone and has no other run yet. */
    bool isOnItsWay(const TaskName &task);
    /** Whether the run is to be moved, apart from the capacity that it needs elsewhere. */
    bool mayMove(const TaskName &task, const LiveRun &run);
    /** The worker in another zone to which the task can be moved now; nullptr if there is none. */
    PlacementCandidate *chooseMoveTarget(const TaskName &task, PoolCandidates &candidates);
    /** Reachable workers in evacuated zones that have long-running tasks. */
    std::vector<WorkerSession *> workersToLeave();
    /** Stops the run of the task if there is a worker for it in another zone. */
    void moveTask(WorkerSession &session, const TaskName &task, std::map<std::string, PoolCandidates> &candidatesByPool, BootTime now);

    // Shares of client accounts.
    class SharePass;
    /** Places jobs that are ordered by urgency; in a full pool, accounts within their share go first among jobs of one priority. */
    void placeByShares(const std::vector<WaitingJob> &waiting, std::map<std::string, PoolCandidates> &candidatesByPool, BootTime now);
    const std::vector<ReadyTasks> &readyTasksOf(JobEntry &entry) const;
    /** Adds weight, cap and running work to the claims, and the accounts that only have running work. */
    void completeClaims(const std::string &pool, std::map<std::string, AccountClaim> &claims) const;
    void publishShares(const std::string &pool, const std::map<std::string, AccountClaim> &claims, const PoolShares &shares);

    // Orders.
    void releaseStarts(BootTime now);
    StartReadiness startReadiness(const WorkerId &worker, const TaskName &task, BootTime now);
    void sendStart(const WorkerId &worker, const TaskName &task, BootTime now);
    void releaseStops(BootTime now);
    void releaseLeaseRenewals(BootTime now, std::vector<Order> &released);
};

}
