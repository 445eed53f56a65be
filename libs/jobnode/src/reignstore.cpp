#include "details/reignimpl.h"
#include "records/packing.h"
#include "telemetry/log.h"

#include <utility>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// Refusals of one batch after which its partition is taken for away: 0.15 s with their pauses.
constexpr int RefusedMost = 3;
// Single answers may be lost, also two in a row; each silence takes as long as the store client waits.
constexpr int UnansweredMost = 3;

}

void Reign::Impl::storeNext(BootTime now)
{
    if (storeInFlight || !scheduler.hasUnstored() || now < storeAt + StoreSpacing) {
        return;
    }
    RecordBatch batch = scheduler.takeBatch();
    for (const WaveRecord &wave : instances->takeChanged()) {
        batch.records.emplace_back(WaveKeyPrefix + std::to_string(wave.number), Packing::toBytes(wave));
    }
    for (const auto &[key, bytes] : batch.records) {
        leftOver.erase(key);
    }
    batch.dropped.insert(batch.dropped.end(), leftOver.begin(), leftOver.end());
    leftOver.clear();
    if (batch.isEmpty()) {
        return;
    }
    // What does not fit into one call goes in several; the batch counts as stored after the last.
    RecordBatch chunk;
    chunk.number = batch.number;
    std::size_t bytes = 0;
    for (auto &record : batch.records) {
        if (bytes + record.second.size() > context.store.callBytesMax / 2 && !chunk.records.empty()) {
            chunks.push_back(std::exchange(chunk, RecordBatch{batch.number, {}, {}}));
            bytes = 0;
        }
        bytes += record.second.size();
        chunk.records.push_back(std::move(record));
    }
    chunk.dropped = std::move(batch.dropped);
    chunks.push_back(std::move(chunk));
    storeAt = now;
    storeInFlight = true;
    storeWaitsSince = now;
    ++sequence;
    sendChunk();
}

void Reign::Impl::sendChunk()
{
    const BootTime sentAt = BootClock::now();
    const RecordBatch &chunk = chunks.front();
    context.store.storeJobs(partition, epoch, sequence, chunk.records, chunk.dropped, [self = shared_from_this(), sentAt](const auto &result) {
        if (self->ended) {
            return;
        }
        if (result) {
            self->freshAt = std::max(self->freshAt, sentAt);
            self->trouble = {};
            self->chunkStored();
            return;
        }
        if (result.error() == StoreFailure::Fenced || result.error() == StoreFailure::Conflict) {
            self->depose("the store refused a batch: " + std::string(toName(result.error())));
            return;
        }
        logChange("owner",
                  "batch not stored",
                  {{"batch", std::to_string(self->chunks.front().number)},
                   {"partition", std::to_string(self->partition)},
                   {"reason", std::string(toName(result.error()))}});
        self->noteStoreFailure(result.error(), sentAt, [self] {
            self->sendChunk();
        });
    });
}

void Reign::Impl::chunkStored()
{
    const std::uint64_t batch = chunks.front().number;
    chunks.pop_front();
    if (!chunks.empty()) {
        ++sequence;
        sendChunk();
    } else if (partition == publishedPartition) {
        stored(batch);
    } else {
        // Until the ownership log says so, a successor would read the former partition.
        movedBatch = batch;
        context.publish();
    }
}

void Reign::Impl::stored(std::uint64_t batch)
{
    const BootTime now = BootClock::now();
    storeInFlight = false;
    batchesTotal.increment();
    storeSeconds.observe(static_cast<double>((now - storeWaitsSince).count()) / 1000.0);
    scheduler.noteStored(batch, now);
    std::vector<WaitingAnswer> ready;
    for (auto waiting = answers.begin(); waiting != answers.end();) {
        if (waiting->batch <= batch) {
            ready.push_back(std::move(*waiting));
            waiting = answers.erase(waiting);
        } else {
            ++waiting;
        }
    }
    for (WaitingAnswer &waiting : ready) {
        waiting.respond(std::move(waiting.answer));
    }
    schedulePump();
}

void Reign::Impl::noteStoreFailure(StoreFailure failure, BootTime sentAt, std::function<void()> again)
{
    if (trouble.refused + trouble.unanswered == 0) {
        trouble.since = sentAt;
        // Tells whether the rest of the store answers.
        context.publish();
    }
    ++(failure == StoreFailure::Unanswered ? trouble.unanswered : trouble.refused);
    if (mayMovePartition()) {
        movePartition(toName(failure));
    } else {
        retry(StoreRetry, std::move(again));
    }
}

// Only if the ownership log answered since: while the whole store is away no partition is better.
bool Reign::Impl::mayMovePartition() const
{
    const bool lasts = trouble.refused >= RefusedMost || trouble.unanswered >= UnansweredMost;
    return serving && context.store.partitions > 1 && lasts && freshAt > trouble.since;
}

void Reign::Impl::movePartition(std::string_view reason)
{
    const StorePartition from = partition;
    do {
        partition = (partition + 1) % context.store.partitions;
    } while (partition == publishedPartition);
    partitionMovesTotal.increment();
    logChange("owner", "jobs move to another partition", {{"from", std::to_string(from)}, {"to", std::to_string(partition)}, {"reason", std::string(reason)}});
    trouble = {};
    chunks.clear();
    leftOver.clear();
    sequence = 0;
    storeInFlight = true;
    scheduler.renewAll();
    instances->renewAll();
    fenceMoved();
}

void Reign::Impl::fenceMoved()
{
    const BootTime sentAt = BootClock::now();
    context.store.fenceJobs(partition, epoch, [self = shared_from_this(), sentAt](const tl::expected<std::uint64_t, StoreFailure> &result) {
        if (self->ended) {
            return;
        }
        if (result) {
            self->readLeftOver({});
        } else if (result.error() == StoreFailure::Fenced) {
            self->depose("fenced while the jobs moved to another partition");
        } else {
            self->noteStoreFailure(result.error(), sentAt, [self] {
                self->fenceMoved();
            });
        }
    });
}

void Reign::Impl::readLeftOver(const std::string &after)
{
    const BootTime sentAt = BootClock::now();
    context.store.readJobs(partition, after, [self = shared_from_this(), sentAt, after](const tl::expected<JobPage, StoreFailure> &page) {
        if (self->ended) {
            return;
        }
        if (!page) {
            self->noteStoreFailure(page.error(), sentAt, [self, after] {
                self->readLeftOver(after);
            });
            return;
        }
        for (const auto &[key, bytes] : page->records) {
            self->leftOver.insert(key);
        }
        if (!page->next.empty()) {
            self->readLeftOver(page->next);
            return;
        }
        self->trouble = {};
        self->storeInFlight = false;
        self->schedulePump();
    });
}

void Reign::noteJobsPartition(StorePartition partition)
{
    Impl &impl = *m_impl;
    if (impl.ended || impl.movedBatch == 0 || partition != impl.partition) {
        return;
    }
    impl.publishedPartition = partition;
    logChange("owner", "jobs moved to another partition", {{"partition", std::to_string(partition)}, {"batch", std::to_string(impl.movedBatch)}});
    impl.stored(std::exchange(impl.movedBatch, 0));
}

StorePartition Reign::jobsPartition() const
{
    return m_impl->movedBatch != 0 ? m_impl->partition : m_impl->publishedPartition;
}

}
