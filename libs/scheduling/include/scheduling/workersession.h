#pragma once

#include "evacuation/coldperiod.h"
#include "scheduling/candidaterejection.h"
#include "scheduling/orders.h"

#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace Cornelquay {

/** The percentage that a long-running task reports once it is ready to serve. */
constexpr int ReadyPercent = 100;

/**
 * How long a worker may delay its answer to a renewal. Workers whose runs do not end are polled rarely, yet three renewals fit into
 * a lease of 6 s. A confirmed worker is not polled while it has no runs and all ends are acknowledged.
 */
constexpr std::chrono::milliseconds LongPollPeriod{1500};
/** As LongPollPeriod, while answers of workers are being lost: the ends that a lost answer reports are learned so much sooner. */
constexpr std::chrono::milliseconds LossyPollPeriod{300};

/** Progress of the order to start a run. */
enum class StartProgress : std::uint8_t {
    /** The placement is not durable yet, so the order must not be sent. */
    Unstored,
    /** The order may be sent. */
    Due,
    InFlight,
    /** The worker accepted the order or lists the run. */
    Accepted,
    /** Sent without an answer. The worker may still execute the order until it has seen a higher fencing token. */
    Unanswered,
};

/** Progress of the order to stop a run. */
enum class StopProgress : std::uint8_t {
    NotWanted,
    Due,
    InFlight,
    Accepted,
};

/** A run that is, may be, or will be on a worker. Its demand counts against the worker's capacity in all of these states. */
struct LiveRun {
    Resources demand;
    /** The pool of the run's job when the run was placed. */
    std::string pool;
    /** Tail latency target of a serving task; 0 for other tasks. */
    std::int64_t tailTargetMs = 0;
    /** The batch of records that makes the placement durable. */
    std::uint64_t batch = 0;
    /** Fencing token of the latest start order. */
    std::uint64_t startToken = 0;
    /** When the worker accepted the start; before that, when the placement was made. */
    BootTime placedOrAcceptedAt{};
    /** As predicted when the run was added; set only if the options of the scheduler call for forecasts. */
    BootTime predictedEnd{};
    /** Proof of the advice service's permission; empty if none is needed. */
    std::string ticket;
    BootTime stopSentAt{};
    /** When the reported percentage last changed. */
    BootTime percentChangedAt{};
    /** When the run first reported its progress. */
    BootTime firstPercentAt{};
    /** With PredictionMethod::Learned: when the run is expected to end; not set if no level of history is in use for it. */
    BootTime expectedEndAt{};
    /** With PredictionMethod::Learned: the run time that was predicted at the start; 0 if the run was not observed from its start. */
    std::chrono::milliseconds predictedRunTime{0};
    /** The run time that PredictionMethod::Queue expected then. */
    std::chrono::milliseconds expectedByQueue{0};
    /** See ListedRun::load. */
    std::int64_t load = -1;
    std::uint32_t run = 0;
    /** See ListedRun::percent. */
    int percent = -1;
    /** The first percentage that the run reported; negative before that. */
    int firstPercent = -1;
    /** Speed limit of a best-effort run in percent, 0 to 100; negative if it is not known, as the latest order failed or a former owner gave it. */
    int speedPercent = 100;
    StartProgress start = StartProgress::Unstored;
    StopProgress stop = StopProgress::NotWanted;
    bool longRunning = false;
    bool bestEffort = false;
    /** The task may crash its worker; see Job::isCrashSuspect(). */
    bool suspect = false;
    /** Workers crashed under earlier runs of the task. */
    bool hasCrashes = false;
    /** A former owner placed the run, so its age is not known. */
    bool restored = false;
    /** Whether the start order may have reached the worker. */
    bool mayHaveStarted() const
    {
        return start != StartProgress::Unstored && start != StartProgress::Due;
    }
    /** The run was placed as a copy of another one; see Job::placeCopy(). */
    bool copy = false;
    /** A stop order is sent only after this batch is stored. */
    std::uint64_t stopBatch = 0;
    /** The worker confirmed the start, and the run did not resume from a checkpoint: its run time is representative. */
    bool observedFromStart = false;
};

/** Limits of a worker's lease and clock. */
struct LeaseTerms {
    /** Longest lease that a worker accepts, on its own clock. */
    std::chrono::milliseconds maxLifetime{6000};
    /** Fraction by which a worker's clock may run slow. The platform's protocol allows 2 %. */
    double clockSlowness = 0.02;
    /** Allowance for the delay of the order and the resolution of the clocks. */
    std::chrono::milliseconds margin{250};
};

/** The state of a WorkerSession apart from its runs. */
class WorkerSessionState
{
protected:
    WorkerSessionState(WorkerFacts facts, std::uint64_t token, LeaseTerms terms)
        : m_facts(std::move(facts))
        , m_terms(terms)
        , m_token(token)
    {
    }

    WorkerFacts m_facts;
    LeaseTerms m_terms;
    std::uint64_t m_token;
    bool m_registered = true;
    bool m_evacuated = false;
    bool m_reachable = true;
    bool m_confirmed = false;
    bool m_leaseExtensionSuspended = false;
    bool m_endExpected = false;
    bool m_clockKnown = false;
    bool m_renewalInFlight = false;
    /** A second renewal, with a raised token, that did not wait for the one in flight. */
    bool m_probeInFlight = false;
    /** There is no sign that the worker restarted since its latest listing. */
    bool m_incarnationCertain = false;
    /** See holdEnds(). */
    bool m_endsHeld = false;
    ColdPeriod m_coldPeriod;
    BootTime m_aliveUntil{};
    std::int64_t m_startTimeMs = 0;
    /** The worker's own clock as of m_clockAt. */
    std::int64_t m_clockMs = 0;
    BootTime m_clockAt{};
    BootTime m_maxLeaseUntil{};
    std::uint64_t m_probeToken = 0;
    BootTime m_listedAt{};
    BootTime m_throttledAt{};
    BootTime m_nextRenewalAt{};
    std::uint64_t m_acknowledgedEnd = 0;
    std::uint64_t m_sentAcknowledgedEnd = 0;
    /** Pairs of a batch and the end that may be acknowledged once the batch is stored. */
    std::deque<std::pair<std::uint64_t, std::uint64_t>> m_deferredAcknowledgements;
    Resources m_used;
    std::size_t m_unknownRunCount = 0;
    Resources m_usedByUnknownRuns;
    int m_servingCount = 0;
    int m_longRunningCount = 0;
    int m_bestEffortCount = 0;
    double m_failureScore = 0;
    BootTime m_avoidUntil{};
};

/**
 * One owner's state of one worker: its runs, lease and clock, and the orders that may still take effect.
 * Performs no I/O and reads no clock; driven by Scheduler. Not thread-safe.
 *
 * A run that is missing from a listing is lost only if the listing was requested after the start was
 * accepted, or with a higher fencing token than the start order. Otherwise the start may still take effect.
 */
class WorkerSession : private WorkerSessionState
{
public:
    /** Selects a copy that has the sums over the runs, such as used(), but not the runs, which are most of a session. */
    struct WithoutRuns {
    };
    /** @p token is the first fencing token for orders to the worker. */
    WorkerSession(WorkerFacts facts, std::uint64_t token, LeaseTerms terms);
    WorkerSession(const WorkerSession &other, WithoutRuns)
        : WorkerSessionState(other)
    {
    }

    // Commands.
    void setFacts(const WorkerFacts &facts, BootTime now);
    void setRegistered(bool registered);
    /** Whether the worker's zone is evacuated, so that nothing may start on the worker. */
    void setEvacuated(bool evacuated);
    /** Uses the next fencing token: once a lease renewal with it is answered, all earlier orders are void. */
    void raiseToken();
    /** The lease renewal to send now; std::nullopt if none is due. The worker may delay its answer by up to @p maxWait. */
    std::optional<RenewLeaseOrder> nextLeaseRenewal(BootTime now, std::chrono::milliseconds maxWait);
    /** Updates incarnation, clock and reachability from a listing that was requested with the fencing token @p token. */
    void handleListing(const Listing &listing, std::uint64_t token, BootTime now);
    /**
     * Updates the estimate of the worker's own clock with a reading, in milliseconds, that arrived at @p now.
     * A reading that is behind the estimate was probably delayed, so it counts only if the estimate is old.
     */
    void updateClock(std::int64_t clockMs, BootTime now);
    /** Must be called once for each order of nextLeaseRenewal(), whatever its result is. */
    void handleLeaseRenewalEnded(const RenewLeaseOrder &order);
    /** The worker stopped answering; @p silentSince is when that began, if it is known better than from the latest answer. */
    void markUnreachable(BootTime now, std::optional<BootTime> silentSince = std::nullopt);
    /** The runs that were added were placed in the incarnation of the worker that started at @p startTimeMs, in milliseconds since 1970. */
    void assumeIncarnation(std::int64_t startTimeMs);
    /** The worker's present incarnation is about to end by an order of this system, so its end is not a crash. */
    void expectEnd();
    /** An order that extends the lease is being sent. */
    void recordLeaseExtension(BootTime now);
    /** Acknowledges the ends up to @p number once batch @p batch is stored. */
    void deferAcknowledgement(std::uint64_t number, std::uint64_t batch, BootTime now);
    void handleBatchStored(std::uint64_t batch, BootTime now);
    /** Some ends of the latest listing must not be acknowledged yet, so the worker is asked again soon. */
    void holdEnds(BootTime now);
    void addRun(const TaskName &task, LiveRun run);
    void removeRun(const TaskName &task);
    /** The latest listing has @p count runs that this owner did not add, with @p demand in all. */
    void setUnknownRuns(std::size_t count, const Resources &demand);
    /** The speed limits of the best-effort runs were decided. */
    void recordThrottling(BootTime now);
    /** Makes the next lease renewal, which returns a listing, due at once. */
    void requestListing(BootTime now);
    /** A former owner may have extended the lease until @p until. */
    void assumeLease(BootTime until);

    /** While set, renewals do not extend the lease, because a successor may rely on the published end of this worker's lease. */
    void setLeaseExtensionSuspended(bool suspended);

    // Queries.
    const WorkerFacts &facts() const;
    /** The fencing token of new orders. */
    std::uint64_t token() const;
    /** The end of the lease to request, in milliseconds on the worker's clock; std::nullopt if that clock is unknown. */
    std::optional<std::int64_t> leaseUntil(BootTime now) const;
    bool isReachable() const;
    bool isRegistered() const;
    bool isEvacuated() const;
    /** The worker is still slow after its start, by its registration. */
    bool isCold(BootTime now) const;
    /** The present incarnation of the worker is to end in order: it is draining, or this system ordered its end. */
    bool isEndExpected() const;
    /** Start of the worker's present incarnation in milliseconds since 1970, as its listings tell; 0 before the first one. */
    std::int64_t startTimeMs() const;
    /** Whether @p listing comes from a later incarnation of the worker than the former listings. */
    bool isLaterIncarnation(const Listing &listing) const;
    /** While the worker is unreachable: since when; otherwise the time of its latest answer. */
    BootTime aliveUntil() const;
    bool isLeaseExtensionSuspended() const;
    /** The worker answered a renewal with the current fencing token: all orders with older tokens are void. */
    bool isConfirmed() const;
    /** Latest time at which the lease can still be valid. */
    BootTime maxLeaseUntil() const;
    /** When the latest listing arrived. */
    BootTime listedAt() const;
    /** When the speed limits of the best-effort runs were last decided. */
    BootTime throttledAt() const;
    /** The worker is unreachable and its lease has certainly expired, so none of its runs can continue. */
    bool isLeaseExpired(BootTime now) const;
    /**
     * Why the worker gets no work: std::nullopt if it is registered, reachable, confirmed, ready and not in an evacuated zone, its
     * lease can be extended, and no period of avoidUntil() is running.
     */
    std::optional<CandidateRejection> reasonAgainstWork(BootTime now) const;
    /** Whether there is no reasonAgainstWork(). */
    bool canTakeWork(BootTime now) const;
    /** Capacity minus used(). */
    Resources freeCapacity() const;
    /** Demand of all runs, including those being stopped, those that may still start, and those of setUnknownRuns(). */
    Resources used() const;
    /** Numbers of runs that have a tail latency target, that are long-running, and that are best-effort. */
    int servingCount() const;
    int longRunningCount() const;
    int bestEffortCount() const;
    std::map<TaskName, LiveRun> &runs();
    const std::map<TaskName, LiveRun> &runs() const;
    /** Ends wait for their batch to be stored before they are acknowledged. */
    bool hasUnacknowledgedEnds() const;

    // Failure statistics.
    void noteSuccess();
    void noteFailure();
    /** The worker gets no new work before @p until. */
    void avoidUntil(BootTime until);
    /** Increases by 1 with each failure and decreases by a fixed fraction with each success; 0 for a worker without failures. */
    double failureScore() const;

private:
    bool needsFrequentListings() const;

    std::map<TaskName, LiveRun> m_runs;
};

}
