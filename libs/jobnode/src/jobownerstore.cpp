#include "details/jobownerimpl.h"
#include "records/packing.h"
#include "telemetry/log.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// The partition counts as unavailable after this many refusals without a success in between: about 0.15 s with the delays.
constexpr int MaxRefusals = 3;
// The partition counts as unavailable after this many unanswered calls without a success in between. One or two answers in
// a row may be lost in transit, and each loss takes the whole timeout of the store client.
constexpr int MaxUnanswered = 3;
// A job whose record the store refuses is refused again, unless the submitter changes it.
constexpr std::int64_t RecordRefusedRetryAfterMs = 60000;

}

void JobOwner::Impl::storeNext(BootTime now)
{
    // While the jobs move, the histories wait for the batch that completes the move. That batch always has the record of instances with
    // orders, so that it is written even if there are no jobs.
    const bool isMoving = partition != publishedPartition;
    const bool isHistoryDue = runTimeHistory.isDue(now) || demandHistory.isDue(now);
    const bool hasChanges = scheduler.hasUnstored() || fleetController->isAnnouncementDue(now) || (!isMoving && isHistoryDue);
    if (storeInFlight || !hasChanges || now < lastBatchAt + MinBatchInterval) {
        return;
    }
    RecordBatch batch = scheduler.takeBatch();
    if (batch.isEmpty()) {
        // The number belongs to the next batch of the scheduler, whose records must not count as stored yet.
        --batch.number;
    }
    if (std::optional<std::string> record = runTimeHistory.takeRecord(now)) {
        batch.records.emplace_back(RunTimeHistoryKey, std::move(*record));
    }
    if (std::optional<std::string> record = demandHistory.takeRecord(now, toUnixMilliseconds(wallNow()))) {
        batch.records.emplace_back(DemandHistoryKey, std::move(*record));
    }
    std::optional<std::string> announcement = fleetController->takeAnnouncement(now);
    hasAnnouncement = announcement.has_value();
    if (announcement) {
        batch.records.emplace_back(InstanceOrdersKey, std::move(*announcement));
    }
    for (const WaveRecord &wave : fleetController->takeChanged()) {
        batch.records.emplace_back(WaveKeyPrefix + std::to_string(wave.number), Packing::toBytes(wave));
    }
    if (batch.isEmpty() && staleKeys.empty()) {
        return;
    }
    addChunks(std::move(batch));
    lastBatchAt = now;
    storeInFlight = true;
    batchStartedAt = now;
    sendChunk();
}

// A batch that does not fit into one call is split into chunks; it counts as stored after the last one. The parts of one value are
// appended by one call.
void JobOwner::Impl::addChunks(RecordBatch batch)
{
    std::vector<std::string> obsolete;
    for (const JobId &key : batch.dropped) {
        recordParts.remove(key, obsolete);
    }
    RecordBatch chunk;
    chunk.number = batch.number;
    std::size_t bytes = 0;
    for (auto &[key, value] : batch.records) {
        const std::size_t valueBytes = value.size();
        if (bytes + valueBytes > context.store.maxCallBytes / 2 && !chunk.records.empty()) {
            chunks.push_back(std::exchange(chunk, RecordBatch{batch.number, {}, {}}));
            bytes = 0;
        }
        bytes += valueBytes;
        for (StoredRecord &record : recordParts.split(key, std::move(value), obsolete)) {
            staleKeys.erase(record.first);
            chunk.records.push_back(std::move(record));
        }
    }
    chunk.dropped = std::move(batch.dropped);
    chunk.dropped.insert(chunk.dropped.end(), obsolete.begin(), obsolete.end());
    chunk.dropped.insert(chunk.dropped.end(), staleKeys.begin(), staleKeys.end());
    staleKeys.clear();
    chunks.push_back(std::move(chunk));
}

void JobOwner::Impl::sendChunk()
{
    const BootTime sentAt = BootClock::now();
    const RecordBatch &chunk = chunks.front();
    context.store.storeJobs(partition, partitionEpoch, sequence, chunk.records, chunk.dropped, [self = shared_from_this(), sentAt](const auto &result) {
        if (self->ended) {
            return;
        }
        if (result) {
            // A successor fences the published partition, so only that one shows whether there is a successor.
            if (self->partition == self->publishedPartition) {
                self->permission->confirm(sentAt);
            }
            self->storeFailures = {};
            self->onChunkStored(*result);
            return;
        }
        if (result.error() == StoreFailure::Fenced || result.error() == StoreFailure::Conflict) {
            self->loseOwnership("the store refused a batch: " + std::string(toName(result.error())));
            return;
        }
        self->logNotStored(self->chunks.front(), result.error());
        if (result.error() == StoreFailure::Invalid) {
            self->handleInvalidChunk();
            return;
        }
        self->noteStoreFailure(result.error(), sentAt, [self] {
            self->sendChunk();
        });
    });
}

void JobOwner::Impl::logNotStored(const RecordBatch &chunk, StoreFailure failure) const
{
    std::size_t bytes = 0;
    std::pair<std::string, std::size_t> largest;
    for (const auto &[key, value] : chunk.records) {
        bytes += value.size();
        if (value.size() > largest.second) {
            largest = {key, value.size()};
        }
    }
    logChange("owner",
              "batch not stored",
              {{"batch", std::to_string(chunk.number)},
               {"partition", std::to_string(partition)},
               {"reason", std::string(toName(failure))},
               {"records", std::to_string(chunk.records.size())},
               {"bytes", std::to_string(bytes)},
               {"largest-key", largest.first},
               {"largest-bytes", std::to_string(largest.second)}});
}

void JobOwner::Impl::handleInvalidChunk()
{
    RecordBatch &chunk = chunks.front();
    // The first value of the second half begins at the first record that is not a part.
    auto second = chunk.records.begin() + static_cast<std::ptrdiff_t>(chunk.records.size() / 2);
    const auto isPart = [](const StoredRecord &record) {
        return RecordParts::valueKeyOf(record.first).size() != record.first.size();
    };
    second = std::find_if_not(second, chunk.records.end(), isPart);
    if (second == chunk.records.end()) {
        second = std::find_if_not(chunk.records.begin() + (chunk.records.empty() ? 0 : 1), chunk.records.end(), isPart);
    }
    if (second != chunk.records.begin() && second != chunk.records.end()) {
        RecordBatch rest{chunk.number, {std::make_move_iterator(second), std::make_move_iterator(chunk.records.end())}, std::move(chunk.dropped)};
        chunk.dropped.clear();
        chunk.records.erase(second, chunk.records.end());
        chunks.insert(chunks.begin() + 1, std::move(rest));
        sendChunk();
        return;
    }
    sendProbe(false);
}

// If the store refuses another record too, the fault is not in the first chunk.
void JobOwner::Impl::sendProbe(bool mayBeStored)
{
    const BootTime sentAt = BootClock::now();
    context.store.storeJobs(partition, partitionEpoch, sequence, {{ProbeKey, "1"}}, {}, [self = shared_from_this(), sentAt, mayBeStored](const auto &result) {
        if (self->ended) {
            return;
        }
        if (result) {
            ++self->sequence;
            self->giveUpChunk();
            return;
        }
        if (result.error() == StoreFailure::Fenced || result.error() == StoreFailure::Conflict) {
            self->loseOwnership("the store refused a batch: " + std::string(toName(result.error())));
            return;
        }
        // A probe that was not answered may have used up its number, and the store would take the chunk for a repeat of it.
        const bool keepsNumber = mayBeStored || result.error() == StoreFailure::Unanswered;
        logChange("owner",
                  "probe not stored",
                  {{"partition", std::to_string(self->partition)},
                   {"sequence", std::to_string(self->sequence)},
                   {"reason", std::string(toName(result.error()))},
                   {"next", keepsNumber ? "probe" : "batch"}});
        self->noteStoreFailure(result.error(), sentAt, [self, keepsNumber] {
            if (keepsNumber) {
                self->sendProbe(true);
            } else {
                self->sendChunk();
            }
        });
    });
}

void JobOwner::Impl::giveUpChunk()
{
    recordsRefusedTotal.increment();
    RecordBatch &chunk = chunks.front();
    if (!chunk.records.empty()) {
        const std::string key(RecordParts::valueKeyOf(chunk.records.front().first));
        logChange("owner", "record given up", {{"key", key}, {"batch", std::to_string(chunk.number)}});
        const std::optional<std::uint64_t> batch = scheduler.handleRecordRefused(key);
        const bool wasStored = scheduler.stateOf(key).has_value();
        for (PendingAnswer &waiting : pendingAnswers) {
            if (batch && waiting.job == key) {
                waiting.batch = std::max(waiting.batch, *batch);
                waiting.answer = wasStored ? waiting.answer : JobAnswer::notRun("the store refuses the record of the job", RecordRefusedRetryAfterMs);
            }
        }
    }
    if (chunk.records.empty()) {
        logChange("owner", "removals given up", {{"keys", std::to_string(chunk.dropped.size())}, {"batch", std::to_string(chunk.number)}});
    } else {
        staleKeys.insert(chunk.dropped.begin(), chunk.dropped.end());
    }
    completeChunk();
}

void JobOwner::Impl::onChunkStored(std::uint64_t offset)
{
    if (partition != publishedPartition) {
        // An offset below that of the fence shows that the store took the call for a repeat of a former one.
        logChange("owner",
                  "batch stored in the new partition",
                  {{"partition", std::to_string(partition)},
                   {"sequence", std::to_string(sequence)},
                   {"offset", std::to_string(offset)},
                   {"records", std::to_string(chunks.front().records.size())}});
    }
    ++sequence;
    completeChunk();
}

void JobOwner::Impl::completeChunk()
{
    const std::uint64_t batch = chunks.front().number;
    chunks.pop_front();
    if (!chunks.empty()) {
        sendChunk();
    } else if (partition == publishedPartition) {
        onBatchStored(batch);
    } else {
        // The batch counts as stored only once the ownership log names the new partition: until then a successor would read
        // the former one.
        moveBatch = batch;
        context.publishRecord();
    }
}

void JobOwner::Impl::onBatchStored(std::uint64_t batch)
{
    const BootTime now = BootClock::now();
    storeInFlight = false;
    batchesTotal.increment();
    storeSeconds.observe(static_cast<double>((now - batchStartedAt).count()) / 1000.0);
    scheduler.handleBatchStored(batch, now);
    if (std::exchange(hasAnnouncement, false)) {
        fleetController->handleAnnouncementStored(now);
    }
    std::vector<PendingAnswer> ready;
    for (auto waiting = pendingAnswers.begin(); waiting != pendingAnswers.end();) {
        if (waiting->batch <= batch) {
            ready.push_back(std::move(*waiting));
            waiting = pendingAnswers.erase(waiting);
        } else {
            ++waiting;
        }
    }
    for (PendingAnswer &waiting : ready) {
        waiting.respond(std::move(waiting.answer));
    }
    schedulePump();
}

void JobOwner::Impl::noteStoreFailure(StoreFailure failure, BootTime sentAt, std::function<void()> retryAction)
{
    if (storeFailures.refused + storeFailures.unanswered == 0) {
        storeFailures.firstSentAt = sentAt;
        // The answer to this heartbeat shows whether the rest of the store is available.
        context.publishRecord();
    }
    ++(failure == StoreFailure::Unanswered ? storeFailures.unanswered : storeFailures.refused);
    if (mayMovePartition()) {
        movePartition(toName(failure));
    } else {
        retry(StoreRetryDelay, std::move(retryAction));
    }
}

// Requires that the ownership log has answered since the first failure: while the whole store is unavailable, a move
// does not help. A record that has been stored since the move before gives this one its epoch.
bool JobOwner::Impl::mayMovePartition() const
{
    const bool isPersistent = storeFailures.refused >= MaxRefusals || storeFailures.unanswered >= MaxUnanswered;
    const bool hasNewEpoch = ownRecordEnd > partitionEpoch;
    return serving && context.store.partitionCount > 1 && isPersistent && hasNewEpoch && permission->confirmedAt() > storeFailures.firstSentAt;
}

void JobOwner::Impl::movePartition(std::string_view reason)
{
    const StorePartition from = partition;
    do {
        partition = (partition + 1) % context.store.partitionCount;
    } while (partition == publishedPartition);
    partitionMovesTotal.increment();
    logChange("owner", "jobs move to another partition", {{"from", std::to_string(from)}, {"to", std::to_string(partition)}, {"reason", std::string(reason)}});
    storeFailures = {};
    chunks.clear();
    staleKeys.clear();
    recordParts.forget();
    partitionEpoch = ownRecordEnd;
    sequence = 1;
    storeInFlight = true;
    hasAnnouncement = false;
    scheduler.markAllChanged();
    fleetController->markAllChanged();
    runTimeHistory.markChanged();
    demandHistory.markChanged();
    fenceNewPartition();
}

void JobOwner::Impl::fenceNewPartition()
{
    const BootTime sentAt = BootClock::now();
    context.store.fenceJobs(partition, partitionEpoch, [self = shared_from_this(), sentAt](const tl::expected<std::uint64_t, StoreFailure> &result) {
        if (self->ended) {
            return;
        }
        if (result) {
            logChange("owner",
                      "new partition fenced",
                      {{"partition", std::to_string(self->partition)}, {"epoch", std::to_string(self->partitionEpoch)}, {"offset", std::to_string(*result)}});
            self->readStaleKeys({});
        } else if (result.error() == StoreFailure::Fenced) {
            self->loseOwnership("fenced while the jobs moved to another partition");
        } else {
            self->noteStoreFailure(result.error(), sentAt, [self] {
                self->fenceNewPartition();
            });
        }
    });
}

void JobOwner::Impl::readStaleKeys(const std::string &after)
{
    const BootTime sentAt = BootClock::now();
    context.store.readJobs(partition, after, [self = shared_from_this(), sentAt, after](const tl::expected<JobPage, StoreFailure> &page) {
        if (self->ended) {
            return;
        }
        if (!page) {
            self->noteStoreFailure(page.error(), sentAt, [self, after] {
                self->readStaleKeys(after);
            });
            return;
        }
        for (const auto &[key, bytes] : page->records) {
            self->staleKeys.insert(key);
        }
        if (!page->next.empty()) {
            self->readStaleKeys(page->next);
            return;
        }
        self->storeFailures = {};
        self->storeInFlight = false;
        self->schedulePump();
    });
}

void JobOwner::notePublishedPartition(StorePartition partition)
{
    Impl &impl = *m_impl;
    if (impl.ended || !impl.moveBatch || partition != impl.partition) {
        return;
    }
    impl.publishedPartition = partition;
    logChange("owner", "jobs moved to another partition", {{"partition", std::to_string(partition)}, {"batch", std::to_string(*impl.moveBatch)}});
    impl.onBatchStored(*std::exchange(impl.moveBatch, std::nullopt));
}

StorePartition JobOwner::jobsPartition() const
{
    return m_impl->moveBatch ? m_impl->partition : m_impl->publishedPartition;
}

}
