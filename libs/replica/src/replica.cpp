#include "replica/replica.h"

#include "details/replicaimpl.h"
#include "records/codec.h"

#include <algorithm>
#include <array>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

constexpr auto AppendTimeout = 2s;
constexpr auto MinRetryDelay = 20ms;
constexpr auto MaxRetryDelay = 500ms;

}

std::string_view toName(ReplicaCondition condition)
{
    constexpr std::array<std::string_view, 4> Names{"recovering", "ready", "halted", "lost"};
    return Names[static_cast<std::size_t>(condition)];
}

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
        m_impl->runReader();
    });
    if (m_impl->writingSnapshots) {
        m_impl->snapshotWriter = std::thread([this] {
            m_impl->runSnapshotWriter();
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
    m_impl->pendingProposals.stop();
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
    m_impl->pendingProposals.add(record.id);
    bool maybeAppended = false;
    std::optional<ProposalFolded> folded;
    std::chrono::milliseconds delay = MinRetryDelay;
    while (!folded && !m_impl->pendingProposals.isStopped() && steadyNow() < deadline) {
        const auto appended = append(m_impl->appendLog, bytes, std::min(deadline, steadyNow() + AppendTimeout));
        maybeAppended = maybeAppended || appended || appended.error() == LogError::Unknown;
        // After a failed append, the fold is awaited only until the next attempt. After a successful one, only the fold is still pending.
        const SteadyTime waitDeadline = appended ? deadline : std::min(deadline, steadyNow() + delay);
        folded = m_impl->pendingProposals.wait(record.id, waitDeadline);
        delay = std::min<std::chrono::milliseconds>(delay * 2, MaxRetryDelay);
        if (!folded) {
            m_impl->appendRetriesTotal.increment();
        }
    }
    m_impl->pendingProposals.remove(record.id);
    if (folded) {
        return *folded;
    }
    if (maybeAppended) {
        return ProposalUnknown{};
    }
    return ProposalNotDone{};
}

void Replica::applyForwarded(const std::vector<LogEntry> &entries, Offset end, SteadyTime confirmedAt)
{
    const bool changed = m_impl->ingest(entries);
    {
        const std::unique_lock lock(m_impl->stateMutex);
        if (m_impl->condition == ReplicaCondition::Ready && m_impl->state.nextOffset >= end) {
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
    return m_impl->currentCondition();
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

Offset Replica::nextOffset() const
{
    const std::shared_lock lock(m_impl->stateMutex);
    return m_impl->state.nextOffset;
}

std::vector<LogEntry> Replica::recentEntries(Offset from, std::size_t maxBytes) const
{
    const std::shared_lock lock(m_impl->stateMutex);
    std::vector<LogEntry> entries;
    if (m_impl->recentLogEntries.empty() || from < m_impl->recentLogEntries.front().offset) {
        return entries;
    }
    std::size_t bytes = 0;
    for (std::size_t index = from - m_impl->recentLogEntries.front().offset; index < m_impl->recentLogEntries.size(); ++index) {
        bytes += m_impl->recentLogEntries[index].bytes.size();
        if (bytes > maxBytes) {
            break;
        }
        entries.push_back(m_impl->recentLogEntries[index]);
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
