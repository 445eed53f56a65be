#pragma once

#include "details/pendingproposals.h"
#include "details/recovery.h"
#include "replica/replica.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <shared_mutex>
#include <thread>

namespace Cornelquay {

/** The state of a replica, its reading thread and its snapshot writer. */
struct Replica::Impl {
    explicit Impl(Builder &builder)
        : readLog(std::move(*builder.m_readLog))
        , appendLog(std::move(*builder.m_appendLog))
        , author(builder.m_author)
        , snapshotEvery(builder.m_snapshotEvery)
        , writingSnapshots(builder.m_writingSnapshots)
        , foldedTotal(builder.m_metrics->counter("records_folded_total", "Records folded from the log"))
        , malformedTotal(builder.m_metrics->counter("records_malformed_total", "Log entries that could not be decoded"))
        , readErrorsTotal(builder.m_metrics->counter("log_read_errors_total", "Failed reads of the log"))
        , appendRetriesTotal(builder.m_metrics->counter("log_append_retries_total", "Appends that were repeated"))
        , snapshotsTotal(builder.m_metrics->counter("snapshots_written_total", "Snapshots written to the log"))
        , nextGauge(builder.m_metrics->gauge("log_next_offset", "Offset of the next record to fold"))
    {
    }

    LogService readLog;
    LogService appendLog;
    const std::string author;
    const std::uint64_t snapshotEvery;
    const bool writingSnapshots;

    mutable std::shared_mutex stateMutex;
    mutable std::condition_variable_any stateChanged;
    FleetState state;
    ReplicaCondition condition = ReplicaCondition::Recovering;
    SteadyTime confirmedAt;
    SteadyTime lastReadAt;
    /** The newest folded entries, for other nodes. */
    std::deque<LogEntry> recentLogEntries;
    std::size_t recentBytes = 0;
    /** The newest complete snapshot seen in the log covers all records before this offset. */
    Offset snapshotEndOffset = 0;
    /** Number of chunks seen of each incomplete snapshot. A repeated chunk counts again. */
    std::map<RecordId, std::uint32_t> snapshotChunkCounts;

    Details::PendingProposals pendingProposals;
    std::vector<std::function<void()>> listeners;

    std::atomic<bool> stopping = false;
    std::mutex sleepMutex;
    std::condition_variable sleepEnded;
    std::thread reader;
    std::thread snapshotWriter;

    Counter foldedTotal;
    Counter malformedTotal;
    Counter readErrorsTotal;
    Counter appendRetriesTotal;
    Counter snapshotsTotal;
    Gauge nextGauge;

    void runReader();
    ReplicaCondition currentCondition() const;
    bool recoverState();
    void readOnce();
    bool ingest(const std::vector<LogEntry> &entries);
    void ingestOne(const LogEntry &entry);
    void keepRecentEntry(const LogEntry &entry);
    void trackSnapshotChunk(const SnapshotChunk &chunk);
    void setCondition(ReplicaCondition next);
    void notifyListeners();
    void sleepFor(std::chrono::milliseconds delay);
    void runSnapshotWriter();
    bool isSnapshotDue() const;
    void writeSnapshot();
};

}
