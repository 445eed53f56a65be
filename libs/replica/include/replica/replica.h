#pragma once

#include "fleet/fold.h"
#include "platform/logservice.h"
#include "telemetry/metrics.h"
#include "timing/instant.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace Cornelquay {

/** Whether the state of a replica may be used. */
enum class ReplicaCondition {
    /** The state is being restored from the log. It must not be used. */
    Recovering,
    /** The state includes all records before Replica::nextOffset(). See Replica::confirmedAt() for its age. */
    Ready,
    /** The log has a record in a newer format version. The state no longer changes; the process must be upgraded. */
    Halted,
    /** The log has expired records that no complete snapshot covers. Recovery is retried, but operators must intervene. */
    RecordsLost,
};

/** The name of @p condition as used in answers and logs. */
std::string_view toName(ReplicaCondition condition);

/** The proposed record is in the log and was folded by this replica. */
struct ProposalFolded {
    Offset offset = 0;
    Verdict verdict;
};

/** The record is not in the log and will never be: no append was sent, or the log rejected each one. */
struct ProposalNotDone {
};

/** It is unknown whether the record is or will be in the log. */
struct ProposalUnknown {
};

using ProposalOutcome = std::variant<ProposalFolded, ProposalNotDone, ProposalUnknown>;

/**
 * This process's copy of the fleet's state, updated from the platform's log.
 *
 * The daemon creates it before the objects that use it, starts it once and destroys it after them.
 * One thread reads and folds; any thread may query and propose. Lock order: state, then pending
 * proposals.
 *
 * @code
 * auto replica = Replica::Builder().readingFrom(log).appendingTo(log2).author("node-1").metrics(metrics).build();
 * replica->start();
 * replica->query([](const FleetState &state) { ... });
 * const ProposalOutcome outcome = replica->propose(KeyWithdrawn{"k1"}, "nuala", "lost laptop", deadline);
 * @endcode
 */
class Replica
{
public:
    /** Collects the settings of a replica. readingFrom(), appendingTo() and metrics() are required. */
    class Builder
    {
    public:
        Builder &readingFrom(LogService log);
        Builder &appendingTo(LogService log);
        /** Node name of this process. Its snapshots are written in this name. Default: "node". */
        Builder &author(std::string name);
        /** Number of records after the newest snapshot at which another one is due. Default: 2000. */
        Builder &snapshotEvery(std::uint64_t records);
        /** Whether this process writes snapshots. Default: true. */
        Builder &writingSnapshots(bool enabled);
        /** @p metrics must outlive the replica. */
        Builder &metrics(Metrics &metrics);
        std::unique_ptr<Replica> build();

    private:
        friend class Replica;
        std::unique_ptr<LogService> m_readLog;
        std::unique_ptr<LogService> m_appendLog;
        std::string m_author = "node";
        std::uint64_t m_snapshotEvery = 2000;
        bool m_writingSnapshots = true;
        Metrics *m_metrics = nullptr;
    };

    ~Replica();
    Replica(const Replica &) = delete;
    Replica &operator=(const Replica &) = delete;

    // Commands.

    /** Starts the threads that read the log and write snapshots. Must be called once. */
    void start();
    /** Stops all threads. Pending proposals return without waiting for their fold. Can be called repeatedly. */
    void stop();

    /**
     * Appends a record and waits until this replica has folded it, at most until @p deadline.
     * An append without an answer is retried with the same record id. If the log then has several
     * copies, the verdict on the first one is returned. The others are folded too, but no longer meet
     * their precondition; see record.h for the kinds that can have an effect again.
     */
    ProposalOutcome propose(RecordBody body, std::string author, std::string reason, SteadyTime deadline);

    /**
     * Folds entries that another node has read from the log and forwarded. Entries that do not
     * directly follow the state are ignored. @p end is the offset after the last entry of the log,
     * as known to that node at @p confirmedAt.
     */
    void applyForwarded(const std::vector<LogEntry> &entries, Offset end, SteadyTime confirmedAt);

    /**
     * Calls @p listener after each batch of folded records, without locks held, from the thread that
     * reads the log or that called applyForwarded(). Recovery alone does not call it. Must be called
     * before start().
     */
    void onChange(std::function<void()> listener);

    // Queries.

    ReplicaCondition condition() const;

    /** Calls @p visitor with the state under a shared lock. It must not block or call propose(). */
    void query(const std::function<void(const FleetState &)> &visitor) const;

    /** The newest time at which the state is known to have included all records of the log. The default value if it never was. */
    SteadyTime confirmedAt() const;
    /** The start of the last successful read of the log by this process. The default value before the first. */
    SteadyTime lastReadAt() const;
    /** The offset of the next record to fold. */
    Offset nextOffset() const;

    /**
     * The folded entries from offset @p from on, up to @p maxBytes bytes in total, for other nodes.
     * Empty if the entry at @p from is no longer kept in memory, not folded yet or larger than @p maxBytes.
     */
    std::vector<LogEntry> recentEntries(Offset from, std::size_t maxBytes) const;

    /** Waits until the condition is Ready and the state was confirmed at least once, at most until @p deadline. Returns whether both hold. */
    bool waitUntilReady(SteadyTime deadline) const;

private:
    explicit Replica(Builder &builder);
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}
