#include "details/replicaimpl.h"

#include "fleet/snapshot.h"
#include "records/codec.h"
#include "telemetry/log.h"

#include <algorithm>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

/** Time for which a read waits in the log service for new entries. */
constexpr auto LongPollTimeout = 500ms;
/** Time after which a read without an answer is aborted. Exceeds LongPollTimeout by a margin for a slow answer. */
constexpr auto ReadTimeout = 2s;
constexpr auto AppendTimeout = 2s;
/** Delay before the next read after a failed one. */
constexpr auto ReadRetryDelay = 100ms;
/** Delay before recovery is attempted again. Also the interval at which a halted replica checks whether it was stopped. */
constexpr auto RecoveryRetryDelay = 500ms;
/** Maximum total size of the recent entries kept for other nodes, in bytes. */
constexpr std::size_t MaxRecentBytes = 2ULL * 1024 * 1024;
/** Fraction of the snapshot interval, in records, by which a member waits longer than the member of the next lower rank. */
constexpr double SnapshotRankDelayFraction = 0.25;

}

// Reading and folding

void Replica::Impl::runReader()
{
    while (!stopping) {
        const ReplicaCondition current = currentCondition();
        if (current == ReplicaCondition::Halted) {
            sleepFor(RecoveryRetryDelay);
        } else if (current != ReplicaCondition::Ready) {
            if (!recoverState()) {
                sleepFor(RecoveryRetryDelay);
            }
        } else {
            readOnce();
        }
    }
}

ReplicaCondition Replica::Impl::currentCondition() const
{
    const std::shared_lock lock(stateMutex);
    return condition;
}

bool Replica::Impl::recoverState()
{
    Details::RecoveryResult result = Details::recover(readLog, stopping);
    if (std::holds_alternative<Details::RecoveryUnavailable>(result)) {
        readErrorsTotal.increment();
        return false;
    }
    if (std::holds_alternative<Details::RecoveryImpossible>(result)) {
        setCondition(ReplicaCondition::RecordsLost);
        return false;
    }
    const std::unique_lock lock(stateMutex);
    state = std::move(std::get<Details::Recovered>(result).state);
    snapshotEndOffset = state.nextOffset;
    recentLogEntries.clear();
    recentBytes = 0;
    condition = ReplicaCondition::Ready;
    logChange("replica", "state recovered", {{"next", std::to_string(state.nextOffset)}});
    return true;
}

void Replica::Impl::readOnce()
{
    const SteadyTime requestedAt = steadyNow();
    LogQuery query;
    {
        const std::shared_lock lock(stateMutex);
        query.from = state.nextOffset;
    }
    query.answerDeadline = requestedAt + LongPollTimeout;
    query.deadline = requestedAt + ReadTimeout;
    const auto result = read(readLog, query);
    if (!result) {
        readErrorsTotal.increment();
        sleepFor(ReadRetryDelay);
        return;
    }
    if (result->head > query.from) {
        // Records expired in the log before this process read them, for instance while the process was suspended.
        logChange("replica", "records expired before they were read", {{"next", std::to_string(query.from)}, {"head", std::to_string(result->head)}});
        setCondition(ReplicaCondition::Recovering);
        return;
    }
    const bool changed = ingest(result->entries);
    {
        const std::unique_lock lock(stateMutex);
        lastReadAt = requestedAt;
        if (state.nextOffset >= result->end) {
            confirmedAt = std::max(confirmedAt, requestedAt);
        }
    }
    stateChanged.notify_all();
    if (changed) {
        notifyListeners();
    }
}

bool Replica::Impl::ingest(const std::vector<LogEntry> &entries)
{
    bool changed = false;
    for (const LogEntry &entry : entries) {
        const std::unique_lock lock(stateMutex);
        if (condition != ReplicaCondition::Ready || entry.offset != state.nextOffset) {
            continue;
        }
        ingestOne(entry);
        changed = true;
    }
    return changed;
}

void Replica::Impl::ingestOne(const LogEntry &entry)
{
    auto record = decode(entry.bytes);
    if (!record && record.error() == DecodeError::NewerVersion) {
        condition = ReplicaCondition::Halted;
        logChange("replica", "halted: record has a newer format version", {{"offset", std::to_string(entry.offset)}});
        return;
    }
    keepRecentEntry(entry);
    if (!record) {
        malformedTotal.increment();
        skip(state, entry.offset);
        return;
    }
    if (const auto *chunk = std::get_if<SnapshotChunk>(&record->body)) {
        trackSnapshotChunk(*chunk);
    }
    const RecordId id = record->id;
    const Verdict verdict = fold(state, {entry.offset, entry.appendedAtMs, std::move(*record)});
    foldedTotal.increment();
    nextGauge.set(static_cast<double>(state.nextOffset));
    pendingProposals.resolve(id, {entry.offset, verdict});
}

void Replica::Impl::keepRecentEntry(const LogEntry &entry)
{
    recentLogEntries.push_back(entry);
    recentBytes += entry.bytes.size();
    while (recentBytes > MaxRecentBytes) {
        recentBytes -= recentLogEntries.front().bytes.size();
        recentLogEntries.pop_front();
    }
}

void Replica::Impl::trackSnapshotChunk(const SnapshotChunk &chunk)
{
    std::uint32_t &chunksSeen = snapshotChunkCounts[chunk.snapshotId];
    chunksSeen += 1;
    if (chunksSeen == chunk.count) {
        snapshotEndOffset = std::max(snapshotEndOffset, chunk.endOffset);
        snapshotChunkCounts.erase(chunk.snapshotId);
    }
    constexpr std::size_t MaxUnfinishedSnapshots = 16;
    if (snapshotChunkCounts.size() > MaxUnfinishedSnapshots) {
        snapshotChunkCounts.erase(snapshotChunkCounts.begin());
    }
}

void Replica::Impl::setCondition(ReplicaCondition next)
{
    const std::unique_lock lock(stateMutex);
    if (condition != next) {
        condition = next;
        logChange("replica", "condition changed", {{"condition", std::string(toName(next))}});
    }
}

void Replica::Impl::notifyListeners()
{
    for (const auto &listener : listeners) {
        listener();
    }
}

void Replica::Impl::sleepFor(std::chrono::milliseconds delay)
{
    std::unique_lock lock(sleepMutex);
    sleepEnded.wait_for(lock, delay, [&] {
        return stopping.load();
    });
}

// Snapshots

void Replica::Impl::runSnapshotWriter()
{
    constexpr auto CheckInterval = 500ms;
    while (!stopping) {
        sleepFor(CheckInterval);
        if (!stopping && isSnapshotDue()) {
            writeSnapshot();
        }
    }
}

// The first present member by name writes the snapshot. Each further member waits for more records, so it writes only if those
// before it do not.
bool Replica::Impl::isSnapshotDue() const
{
    const std::shared_lock lock(stateMutex);
    if (condition != ReplicaCondition::Ready) {
        return false;
    }
    const int rank = memberRank(state, author);
    const double interval = static_cast<double>(snapshotEvery) * (1.0 + SnapshotRankDelayFraction * rank);
    return static_cast<double>(state.nextOffset - std::min(state.nextOffset, snapshotEndOffset)) > interval;
}

void Replica::Impl::writeSnapshot()
{
    std::vector<SnapshotChunk> chunks;
    {
        const std::shared_lock lock(stateMutex);
        chunks = toChunks(state);
    }
    for (SnapshotChunk &chunk : chunks) {
        const std::string bytes = encode({newRecordId(), author, "snapshot", std::move(chunk)});
        if (stopping || !append(appendLog, bytes, steadyNow() + AppendTimeout)) {
            // Readers ignore an incomplete snapshot, and the next check starts a new one.
            return;
        }
    }
    snapshotsTotal.increment();
}

}
