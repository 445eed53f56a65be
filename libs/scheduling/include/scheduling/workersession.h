#pragma once

#include "scheduling/orders.h"

#include <deque>
#include <map>
#include <optional>

namespace Cornelquay {

/** The percentage of a lasting run that is at work. */
constexpr int ReadyPercent = 100;

/** How far a start order is. */
enum class StartProgress : std::uint8_t {
    /** The placement is not stored yet; the order must not leave. */
    Unstored,
    /** May be sent. */
    Due,
    InFlight,
    /** The worker has the run. */
    Accepted,
    /** Sent without an answer; may be carried out until a higher token was seen. */
    Unanswered,
};

/** How far a stop order is. */
enum class StopProgress : std::uint8_t {
    NotWanted,
    Due,
    InFlight,
    Accepted,
};

/** A run that is, may be or is about to be on a worker; it takes up its room. */
struct LiveRun {
    Resources demand;
    std::int64_t tailTargetMs = 0;
    /** The batch of records that makes the placement durable. */
    std::uint64_t batch = 0;
    /** Token of the latest start order. */
    std::uint64_t startToken = 0;
    /** When the placement was made; later, when the start was accepted. */
    BootTime since{};
    std::string ticket;
    BootTime stopSentAt{};
    /** When the percentage last changed. */
    BootTime percentAt{};
    std::int64_t load = -1;
    std::uint32_t run = 0;
    int percent = -1;
    int speedPercent = 100;
    StartProgress start = StartProgress::Unstored;
    StopProgress stop = StopProgress::NotWanted;
    bool lasting = false;
    bool fills = false;
    /** Its start was answered, and nothing was done before it. */
    bool observedFromStart = false;
};

/** How a worker's lease and clock are judged. */
struct LeaseTerms {
    /** Longest lease that a worker grants, on its own clock. */
    std::chrono::milliseconds most{6000};
    /** How much slower a worker's clock may run. Source: the platform's protocol, 2 %. */
    double clockSlowness = 0.02;
    /** Margin for the delay of the order and the grain of the clocks. */
    std::chrono::milliseconds margin{250};
};

/**
 * What one owner knows of one worker: its runs, its lease, its clock, and which orders may still be
 * under way. Pure; the scheduler drives it.
 *
 * Absence of a run from a listing counts only if the listing was asked for after the start was
 * accepted, or with a higher token than the start's: else the start may still take effect.
 */
class WorkerSession
{
public:
    WorkerSession(WorkerFacts facts, std::uint64_t token, LeaseTerms terms);

    // Commands.
    void setFacts(const WorkerFacts &facts, BootTime now);
    void setRegistered(bool registered);
    /** Makes every order that is under way void once a hold with the new token is answered. */
    void raiseToken();
    /** The next hold, if one is to be sent now. */
    std::optional<HoldOrder> nextLeaseRenewal(BootTime now);
    /** Updates clock, life and reachability from a listing that was asked for with @p token at @p sentAt. */
    void handleListing(const Listing &listing, std::uint64_t token, BootTime now);
    void updateClock(std::int64_t clockMs, BootTime now);
    void handleLeaseRenewalEnded(const HoldOrder &order);
    void markUnreachable(BootTime now);
    /** An order that extends the lease leaves now. */
    void recordLeaseExtension(BootTime now);
    /** End @p number may be acknowledged once batch @p batch is stored. */
    void deferAcknowledgement(std::uint64_t number, std::uint64_t batch, BootTime now);
    void noteStored(std::uint64_t batch, BootTime now);
    void addRun(const TaskName &task, LiveRun run);
    void removeRun(const TaskName &task);
    /** The paces of its filling runs were decided. */
    void recordThrottling(BootTime now);
    /** Asks for a listing at once. */
    void requestListing(BootTime now);
    /** All runs may go on until @p until although this owner extended nothing. */
    void assumeLease(BootTime until);

    /** While set, holds extend nothing: a successor may go by what it was told of this worker's lease. */
    void setLeaseExtensionSuspended(bool suspended);

    // Queries.
    const WorkerFacts &facts() const;
    std::uint64_t token() const;
    /** The lease to ask for, on the worker's clock; nothing if its clock is unknown. */
    std::optional<std::int64_t> leaseUntil(BootTime now) const;
    bool isReachable() const;
    bool isRegistered() const;
    bool isLeaseExtensionSuspended() const;
    /** Answered with the present token: all older orders are void. */
    bool isConfirmed() const;
    BootTime maxLeaseUntil() const;
    BootTime listedAt() const;
    BootTime throttledAt() const;
    /** No run can go on there any more, although the worker cannot be asked. */
    bool isLeaseExpired(BootTime now) const;
    bool canTakeWork(BootTime now) const;
    Resources freeCapacity() const;
    /** What runs there, is being stopped or may still start. */
    const Resources &used() const;
    /** Runs with users of their own, and runs that take left-over capacity. */
    int servingCount() const;
    int longRunningCount() const;
    int bestEffortCount() const;
    std::map<TaskName, LiveRun> &runs();
    const std::map<TaskName, LiveRun> &runs() const;
    bool hasUnacknowledgedEnds() const;

    // Judgement of the worker's work.
    void noteSuccess();
    void noteFailure();
    void avoidUntil(BootTime until);
    /** Recent failures, weighted; 0 for a worker whose latest tasks were done. */
    double failureScore() const;

private:
    bool needsFrequentListings() const;

    WorkerFacts m_facts;
    LeaseTerms m_terms;
    std::uint64_t m_token;
    bool m_registered = true;
    bool m_reachable = true;
    bool m_confirmed = false;
    bool m_leaseExtensionSuspended = false;
    std::int64_t m_startTimeMs = 0;
    bool m_clockKnown = false;
    std::int64_t m_clockMs = 0;
    BootTime m_clockAt{};
    BootTime m_maxLeaseUntil{};
    bool m_renewalInFlight = false;
    bool m_probeInFlight = false;
    std::uint64_t m_probeToken = 0;
    /** Nothing suggests that the worker began a new life since its latest listing. */
    bool m_incarnationCertain = false;
    BootTime m_listedAt{};
    BootTime m_throttledAt{};
    BootTime m_nextRenewalAt{};
    std::uint64_t m_acknowledgedEnd = 0;
    std::uint64_t m_sentAcknowledgedEnd = 0;
    std::deque<std::pair<std::uint64_t, std::uint64_t>> m_deferredAcknowledgements;
    std::map<TaskName, LiveRun> m_runs;
    Resources m_used;
    int m_servingCount = 0;
    int m_longRunningCount = 0;
    int m_bestEffortCount = 0;
    double m_failureScore = 0;
    BootTime m_avoidUntil{};
};

}
