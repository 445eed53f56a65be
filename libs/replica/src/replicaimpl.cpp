#include "details/replicaimpl.h"

#include "fleet/snapshot.h"
#include "records/codec.h"
#include "telemetry/log.h"

#include <algorithm>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

/** How long a read waits at the log for news. */
constexpr auto ReadWait = 500ms;
/** How long a read may take before its connection is taken for silent. */
constexpr auto ReadTimeout = 2s;
constexpr auto AppendTimeout = 2s;
constexpr auto RetryDelayLeast = 20ms;
constexpr auto RetryDelayMost = 500ms;
/** Other nodes ask for recent entries; these many bytes are kept for them. */
constexpr std::size_t RecentBytesMax = 2ULL * 1024 * 1024;
/** Each further rank among the members waits this share of the interval longer. */
constexpr double SnapshotRankDelay = 0.25;

}

// Reading and folding

void Replica::Impl::run()
{
    while (!stopping) {
        const ReplicaCondition current = lockedCondition();
        if (current == ReplicaCondition::Halted) {
            pause(RetryDelayMost);
        } else if (current != ReplicaCondition::Ready) {
            if (!recoverState()) {
                pause(RetryDelayMost);
            }
        } else {
            readOnce();
        }
    }
}

ReplicaCondition Replica::Impl::lockedCondition() const
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
        setCondition(ReplicaCondition::Lost);
        return false;
    }
    const std::unique_lock lock(stateMutex);
    state = std::move(std::get<Details::Recovered>(result).state);
    snapshotThrough = state.next;
    recent.clear();
    recentBytes = 0;
    condition = ReplicaCondition::Ready;
    logChange("replica", "state recovered", {{"next", std::to_string(state.next)}});
    return true;
}

void Replica::Impl::readOnce()
{
    const SteadyTime askedAt = steadyNow();
    LogQuery query;
    {
        const std::shared_lock lock(stateMutex);
        query.from = state.next;
    }
    query.answerBy = askedAt + ReadWait;
    query.deadline = askedAt + ReadTimeout;
    const auto result = read(readLog, query);
    if (!result) {
        readErrorsTotal.increment();
        pause(RetryDelayLeast * 5);
        return;
    }
    if (result->head > query.from) {
        // The log dropped records that were never read here, during a long pause for instance.
        logChange("replica", "records expired before they were read", {{"next", std::to_string(query.from)}, {"head", std::to_string(result->head)}});
        setCondition(ReplicaCondition::Recovering);
        return;
    }
    const bool changed = ingest(result->entries);
    {
        const std::unique_lock lock(stateMutex);
        lastReadAt = askedAt;
        if (state.next >= result->end) {
            confirmedAt = std::max(confirmedAt, askedAt);
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
        if (condition != ReplicaCondition::Ready || entry.offset != state.next) {
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
        logChange("replica", "halted: a record of a newer version", {{"offset", std::to_string(entry.offset)}});
        return;
    }
    remember(entry);
    if (!record) {
        malformedTotal.increment();
        skip(state, entry.offset);
        return;
    }
    if (const auto *chunk = std::get_if<SnapshotChunk>(&record->body)) {
        noteChunk(*chunk);
    }
    const RecordId id = record->id;
    const Verdict verdict = fold(state, {entry.offset, entry.appendedAt, std::move(*record)});
    foldedTotal.increment();
    nextGauge.set(static_cast<double>(state.next));
    waiters.resolve(id, {entry.offset, verdict});
}

void Replica::Impl::remember(const LogEntry &entry)
{
    recent.push_back(entry);
    recentBytes += entry.bytes.size();
    while (recentBytes > RecentBytesMax) {
        recentBytes -= recent.front().bytes.size();
        recent.pop_front();
    }
}

void Replica::Impl::noteChunk(const SnapshotChunk &chunk)
{
    std::uint32_t &pieces = snapshotPieces[chunk.snapshotId];
    pieces += 1;
    if (pieces == chunk.count) {
        snapshotThrough = std::max(snapshotThrough, chunk.through);
        snapshotPieces.erase(chunk.snapshotId);
    }
    constexpr std::size_t UnfinishedMax = 16;
    if (snapshotPieces.size() > UnfinishedMax) {
        snapshotPieces.erase(snapshotPieces.begin());
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

void Replica::Impl::pause(std::chrono::milliseconds delay)
{
    std::unique_lock lock(sleepMutex);
    sleepEnded.wait_for(lock, delay, [&] {
        return stopping.load();
    });
}

// Snapshots

void Replica::Impl::writeSnapshots()
{
    constexpr auto CheckInterval = 500ms;
    while (!stopping) {
        pause(CheckInterval);
        if (!stopping && isSnapshotDue()) {
            writeSnapshot();
        }
    }
}

// The first present member writes; the others only if it does not, each rank a little later.
bool Replica::Impl::isSnapshotDue() const
{
    const std::shared_lock lock(stateMutex);
    if (condition != ReplicaCondition::Ready) {
        return false;
    }
    const int rank = memberRank(state, author);
    const double interval = static_cast<double>(snapshotEvery) * (1.0 + SnapshotRankDelay * rank);
    return static_cast<double>(state.next - std::min(state.next, snapshotThrough)) > interval;
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
            // An unfinished snapshot is ignored by readers; the next check starts a new one.
            return;
        }
    }
    snapshotsTotal.increment();
}

}
