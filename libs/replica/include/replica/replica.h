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

/** Whether a replica's state may be used. */
enum class ReplicaCondition {
    /** Reading the log for the first time; there is no state yet. */
    Recovering,
    /** The state is that of some offset; see confirmedAt() for how recent. */
    Ready,
    /** A record of a newer program was met; this process must be replaced by a newer one. */
    Halted,
    /** The log dropped records that no snapshot covers; operators must act. */
    Lost,
};

/** The name of @p condition in output. */
std::string_view toName(ReplicaCondition condition);

/** The proposed record stands in the log and was folded here. */
struct ProposalFolded {
    Offset offset = 0;
    Verdict verdict;
};

/** The record provably is not in the log and will not be. */
struct ProposalNotDone {
};

/** The record may be in the log, now or later. */
struct ProposalUnknown {
};

using ProposalOutcome = std::variant<ProposalFolded, ProposalNotDone, ProposalUnknown>;

/**
 * This process's copy of the fleet's state, kept current from the platform's log.
 *
 * Created by the daemon before anything that decides, started once, destroyed last. One thread
 * reads and folds; any thread may query and propose. Lock order: state before waiters.
 *
 * @code
 * auto replica = Replica::Builder().readingFrom(log).appendingTo(log2).author("node-1").build();
 * replica->start();
 * replica->query([](const FleetState &state) { ... });
 * const ProposalOutcome outcome = replica->propose(KeyWithdrawn{"k1"}, "nuala", "lost laptop", deadline);
 * @endcode
 */
class Replica
{
public:
    class Builder
    {
    public:
        Builder &readingFrom(LogService log);
        Builder &appendingTo(LogService log);
        /** Name of this process in the audit trail. */
        Builder &author(std::string name);
        /** A snapshot is written when this many records were folded since the last one. */
        Builder &snapshotEvery(std::uint64_t records);
        /** Whether this process writes snapshots. */
        Builder &writingSnapshots(bool enabled);
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

    void start();
    /** Ends all threads; waiting proposals end as unknown. */
    void stop();

    /**
     * Appends a record and waits until it is folded here. Retries with the same record id, so that
     * a lost answer cannot apply it twice. Blocks until @p deadline at most.
     */
    ProposalOutcome propose(RecordBody body, std::string author, std::string reason, SteadyTime deadline);

    /**
     * Takes in entries that another node read from the log. Entries that do not continue the state
     * are passed over. @p end is the log's end as that node knew it at @p confirmedAt.
     */
    void relay(const std::vector<LogEntry> &entries, Offset end, SteadyTime confirmedAt);

    /** Calls @p listener after each change of state, from the folding thread, without locks held. */
    void onChange(std::function<void()> listener);

    // Queries.

    ReplicaCondition condition() const;

    /** Calls @p visitor with the state under a shared lock; it must not block or propose. */
    void query(const std::function<void(const FleetState &)> &visitor) const;

    /** The time at which the state was last known to hold everything in the log. */
    SteadyTime confirmedAt() const;
    /** The last time at which this process itself read the log. */
    SteadyTime lastReadAt() const;
    /** The offset of the next record to fold. */
    Offset next() const;

    /** The newest folded entries from @p from on, for other nodes; empty if they are gone. */
    std::vector<LogEntry> recentEntries(Offset from, std::size_t bytesMax) const;

    /** Waits until the state is usable or @p deadline; whether it is. */
    bool waitUntilReady(SteadyTime deadline) const;

private:
    explicit Replica(Builder &builder);
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}
