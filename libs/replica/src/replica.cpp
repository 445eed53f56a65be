#include "replica/replica.h"

#include "details/recovery.h"
#include "details/waiters.h"
#include "fleet/snapshot.h"
#include "records/codec.h"
#include "telemetry/log.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <shared_mutex>
#include <thread>

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

std::string_view toName(ReplicaCondition condition)
{
    constexpr std::array<std::string_view, 4> Names{"recovering", "ready", "halted", "lost"};
    return Names[static_cast<std::size_t>(condition)];
}

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

// Builder

Replica::Builder &Replica::Builder::readingFrom(LogService log)
{
    m_readLog = std::make_unique<LogService>(std::move(log));
    return *this;
}

Replica::Builder &Replica::Builder::appendingTo(LogService log)
{
    m_appendLog = std::make_unique<LogService>(std::move(log));
    return *this;
}

Replica::Builder &Replica::Builder::author(std::string name)
{
    m_author = std::move(name);
    return *this;
}

Replica::Builder &Replica::Builder::snapshotEvery(std::uint64_t records)
{
    m_snapshotEvery = records;
    return *this;
}

Replica::Builder &Replica::Builder::writingSnapshots(bool enabled)
{
    m_writingSnapshots = enabled;
    return *this;
}

Replica::Builder &Replica::Builder::metrics(Metrics &metrics)
{
    m_metrics = &metrics;
    return *this;
}

std::unique_ptr<Replica> Replica::Builder::build()
{
    return std::unique_ptr<Replica>(new Replica(*this));
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
    int rank = 0;
    for (const auto &[name, member] : state.members) {
        if (name >= author) {
            break;
        }
        rank += member.present ? 1 : 0;
    }
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

// Public interface

Replica::Replica(Builder &builder)
    : m_impl(std::make_unique<Impl>(builder))
{
}

Replica::~Replica()
{
    stop();
}

void Replica::start()
{
    m_impl->reader = std::thread([this] {
        m_impl->run();
    });
    if (m_impl->writingSnapshots) {
        m_impl->snapshotWriter = std::thread([this] {
            m_impl->writeSnapshots();
        });
    }
}

void Replica::stop()
{
    {
        const std::lock_guard lock(m_impl->sleepMutex);
        m_impl->stopping = true;
    }
    m_impl->sleepEnded.notify_all();
    m_impl->waiters.stop();
    if (m_impl->reader.joinable()) {
        m_impl->reader.join();
    }
    if (m_impl->snapshotWriter.joinable()) {
        m_impl->snapshotWriter.join();
    }
}

ProposalOutcome Replica::propose(RecordBody body, std::string author, std::string reason, SteadyTime deadline)
{
    const Record record{newRecordId(), std::move(author), std::move(reason), std::move(body)};
    const std::string bytes = encode(record);
    m_impl->waiters.add(record.id);
    bool maybeAppended = false;
    std::optional<ProposalFolded> folded;
    std::chrono::milliseconds delay = RetryDelayLeast;
    while (!folded && !m_impl->waiters.isStopped() && steadyNow() < deadline) {
        const auto result = append(m_impl->appendLog, bytes, std::min(deadline, steadyNow() + AppendTimeout));
        maybeAppended = maybeAppended || result || result.error() == LogError::Unknown;
        // After an answer only the fold is awaited; without one the record is sent again.
        const SteadyTime waitUntil = result ? deadline : std::min(deadline, steadyNow() + delay);
        folded = m_impl->waiters.wait(record.id, waitUntil);
        delay = std::min<std::chrono::milliseconds>(delay * 2, RetryDelayMost);
        if (!folded) {
            m_impl->appendRetriesTotal.increment();
        }
    }
    m_impl->waiters.remove(record.id);
    if (folded) {
        return *folded;
    }
    if (maybeAppended) {
        return ProposalUnknown{};
    }
    return ProposalNotDone{};
}

void Replica::relay(const std::vector<LogEntry> &entries, Offset end, SteadyTime confirmedAt)
{
    const bool changed = m_impl->ingest(entries);
    {
        const std::unique_lock lock(m_impl->stateMutex);
        if (m_impl->condition == ReplicaCondition::Ready && m_impl->state.next >= end) {
            m_impl->confirmedAt = std::max(m_impl->confirmedAt, confirmedAt);
        }
    }
    m_impl->stateChanged.notify_all();
    if (changed) {
        m_impl->notifyListeners();
    }
}

void Replica::onChange(std::function<void()> listener)
{
    m_impl->listeners.push_back(std::move(listener));
}

ReplicaCondition Replica::condition() const
{
    return m_impl->lockedCondition();
}

void Replica::query(const std::function<void(const FleetState &)> &visitor) const
{
    const std::shared_lock lock(m_impl->stateMutex);
    visitor(m_impl->state);
}

SteadyTime Replica::confirmedAt() const
{
    const std::shared_lock lock(m_impl->stateMutex);
    return m_impl->confirmedAt;
}

SteadyTime Replica::lastReadAt() const
{
    const std::shared_lock lock(m_impl->stateMutex);
    return m_impl->lastReadAt;
}

Offset Replica::next() const
{
    const std::shared_lock lock(m_impl->stateMutex);
    return m_impl->state.next;
}

std::vector<LogEntry> Replica::recentEntries(Offset from, std::size_t bytesMax) const
{
    const std::shared_lock lock(m_impl->stateMutex);
    std::vector<LogEntry> entries;
    if (m_impl->recent.empty() || from < m_impl->recent.front().offset) {
        return entries;
    }
    std::size_t bytes = 0;
    for (std::size_t index = from - m_impl->recent.front().offset; index < m_impl->recent.size(); ++index) {
        bytes += m_impl->recent[index].bytes.size();
        if (bytes > bytesMax) {
            break;
        }
        entries.push_back(m_impl->recent[index]);
    }
    return entries;
}

bool Replica::waitUntilReady(SteadyTime deadline) const
{
    std::shared_lock lock(m_impl->stateMutex);
    return m_impl->stateChanged.wait_until(lock, deadline, [&] {
        return m_impl->condition == ReplicaCondition::Ready && m_impl->confirmedAt != SteadyTime();
    });
}

}
