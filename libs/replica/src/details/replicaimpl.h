#pragma once

#include "details/recovery.h"
#include "details/waiters.h"
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
        , malformedTotal(builder.m_metrics->counter("records_malformed_total", "Log entries that are no readable record"))
        , readErrorsTotal(builder.m_metrics->counter("log_read_errors_total", "Reads of the log that failed"))
        , appendRetriesTotal(builder.m_metrics->counter("log_append_retries_total", "Appends that were sent again"))
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
    std::deque<LogEntry> recent;
    std::size_t recentBytes = 0;
    /** Records covered by the newest snapshot seen whole in the log. */
    Offset snapshotThrough = 0;
    std::map<RecordId, std::uint32_t> snapshotPieces;

    Details::Waiters waiters;
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

    void run();
    ReplicaCondition lockedCondition() const;
    bool recoverState();
    void readOnce();
    bool ingest(const std::vector<LogEntry> &entries);
    void ingestOne(const LogEntry &entry);
    void remember(const LogEntry &entry);
    void noteChunk(const SnapshotChunk &chunk);
    void setCondition(ReplicaCondition next);
    void notifyListeners();
    void pause(std::chrono::milliseconds delay);
    void writeSnapshots();
    bool isSnapshotDue() const;
    void writeSnapshot();
};

}
