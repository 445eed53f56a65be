#include "details/jobownerimpl.h"
#include "jobs/disruptedruns.h"
#include "jobs/jobcodec.h"
#include "records/packing.h"
#include "telemetry/log.h"

#include <algorithm>
#include <utility>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

constexpr auto DrainTimeout = 1000ms;

}

void JobOwner::Impl::retry(std::chrono::milliseconds delay, std::function<void()> action)
{
    retryTimer.expires_after(delay);
    retryTimer.async_wait([self = shared_from_this(), action = std::move(action)](const asio::error_code &error) {
        if (!error && !self->ended) {
            action();
        }
    });
}

void JobOwner::Impl::fence()
{
    const BootTime sentAt = BootClock::now();
    context.store.fenceJobs(partition, partitionEpoch, [self = shared_from_this(), sentAt](const tl::expected<std::uint64_t, StoreFailure> &result) {
        if (self->ended) {
            return;
        }
        if (result) {
            self->permission->confirm(sentAt);
            self->fleetController->notePredecessorFenced(BootClock::now());
            self->readPage({});
        } else if (result.error() == StoreFailure::Fenced) {
            self->loseOwnership("fenced while taking over");
        } else {
            self->retry(StoreRetryDelay, [self] {
                self->fence();
            });
        }
    });
}

void JobOwner::Impl::readPage(const std::string &after)
{
    context.store.readJobs(partition, after, [self = shared_from_this(), after](const tl::expected<JobPage, StoreFailure> &page) {
        if (self->ended) {
            return;
        }
        if (!page) {
            self->retry(StoreRetryDelay, [self, after] {
                self->readPage(after);
            });
            return;
        }
        const BootTime now = BootClock::now();
        const std::int64_t wallMs = toUnixMilliseconds(wallNow());
        for (const auto &[key, bytes] : page->records) {
            if (const std::optional<std::string> value = self->recordParts.addRead(key, bytes)) {
                self->restore(key, *value, now, wallMs);
            }
        }
        if (page->next.empty()) {
            for (const auto &[key, value] : self->recordParts.takeJoined()) {
                self->restore(key, value.value_or(std::string()), now, wallMs);
            }
            self->serve();
        } else {
            self->readPage(page->next);
        }
    });
}

void JobOwner::Impl::restore(const std::string &key, const std::string &bytes, BootTime now, std::int64_t wallMs)
{
    if (key == ProbeKey) {
        return;
    }
    if (key == RunTimeHistoryKey) {
        runTimeHistory.restore(bytes, now);
        return;
    }
    if (key == InstanceOrdersKey) {
        fleetController->restoreOrders(bytes);
        return;
    }
    if (key == DisruptedRunsKey && scheduler.restoreDisruptions(bytes)) {
        return;
    }
    if (key == DemandHistoryKey) {
        demandHistory.restore(bytes, now, wallMs);
        return;
    }
    if (key.rfind(WaveKeyPrefix, 0) == 0) {
        if (const std::optional<WaveRecord> record = Packing::fromBytes<WaveRecord>(bytes)) {
            fleetController->restore(*record);
            return;
        }
    } else if (std::optional<JobRecord> record = decodeJob(bytes)) {
        scheduler.restore(std::move(*record), now, wallMs);
        ++restoredJobs;
        return;
    }
    logChange("owner", "unreadable record", {{"key", key}, {"bytes", std::to_string(bytes.size())}});
}

void JobOwner::Impl::serve()
{
    scheduler.setPolicy(policy);
    for (const auto &[wave, seenAt] : waves) {
        fleetController->addWave(wave, seenAt);
    }
    serving = true;
    logChange("owner",
              "serving",
              {{"epoch", std::to_string(epoch)},
               {"partition", std::to_string(partition)},
               {"jobs", std::to_string(restoredJobs)},
               {"configuration", std::to_string(policy->version)}});
    context.registry.watch([self = shared_from_this()](const std::vector<WorkerFacts> &seen, const std::vector<WorkerId> &removed) {
        if (self->ended) {
            return;
        }
        const BootTime now = BootClock::now();
        self->registryReadAt = now;
        for (const WorkerFacts &facts : seen) {
            self->scheduler.updateWorker(facts, now);
        }
        for (const WorkerId &worker : removed) {
            self->scheduler.unregisterWorker(worker);
        }
        self->schedulePump();
    });
    pump();
}

void JobOwner::Impl::loseOwnership(std::string reason)
{
    if (ended) {
        return;
    }
    logChange("owner", "deposed", {{"epoch", std::to_string(epoch)}, {"reason", reason}});
    const auto handler = std::exchange(onOwnershipLost, nullptr);
    end();
    if (handler) {
        handler(std::move(reason));
    }
}

void JobOwner::Impl::end()
{
    if (ended) {
        return;
    }
    ended = true;
    serving = false;
    permission->revoke();
    pumpTimer.cancel();
    retryTimer.cancel();
    context.registry.stop();
    if (fleetController) {
        fleetController->end();
    }
    adviceDispatcher.end();
    for (const PendingAnswer &waiting : std::exchange(pendingAnswers, {})) {
        waiting.respond(JobAnswer::unknown("the owner of the jobs changed"));
    }
    for (const UnconfirmedCall &waiting : std::exchange(unconfirmedCalls, {})) {
        waiting.respond(JobAnswer::notRun("the owner of the jobs changed", TakeoverRetryAfterMs));
    }
    if (const auto drained = std::exchange(onDrained, nullptr)) {
        drained();
    }
}

void JobOwner::begin(std::shared_ptr<const FleetPolicy> policy)
{
    m_impl->policy = std::move(policy);
    Impl &impl = *m_impl;
    const BootTime now = BootClock::now();
    impl.begunAt = now;
    impl.policySetAt = now;
    impl.permission->confirm(now);
    impl.beginEvacuationTerm(now);
    impl.fence();
}

void JobOwner::end()
{
    m_impl->end();
}

void JobOwner::drain(std::function<void()> onDrained)
{
    if (m_impl->ended || !m_impl->serving) {
        m_impl->end();
        onDrained();
        return;
    }
    m_impl->draining = true;
    m_impl->permission->suspendOrders();
    m_impl->drainDeadline = BootClock::now() + DrainTimeout;
    m_impl->onDrained = std::move(onDrained);
    m_impl->schedulePump();
}

void JobOwner::setPolicy(std::shared_ptr<const FleetPolicy> policy)
{
    m_impl->policy = std::move(policy);
    m_impl->policySetAt = BootClock::now();
    if (m_impl->serving) {
        m_impl->scheduler.setPolicy(m_impl->policy);
        m_impl->schedulePump();
    }
}

void JobOwner::addWave(const WaveSpec &spec, BootTime seenAt)
{
    if (m_impl->serving) {
        m_impl->fleetController->addWave(spec, seenAt);
    } else {
        m_impl->waves.emplace_back(spec, seenAt);
    }
}

void JobOwner::noteStoreContact(BootTime sentAt)
{
    m_impl->permission->confirm(sentAt);
}

void JobOwner::noteRecordStored(std::uint64_t endOffset)
{
    m_impl->ownRecordEnd = std::max(m_impl->ownRecordEnd, endOffset);
}

void JobOwner::handle(const JobCall &call, const Responder &respond)
{
    m_impl->handle(call, respond);
}

void JobOwner::notePublishedUnreachable(const std::map<WorkerId, std::int64_t> &unreachableWorkers)
{
    std::set<WorkerId> workers;
    for (const auto &[worker, leaseLeft] : unreachableWorkers) {
        workers.insert(worker);
    }
    m_impl->scheduler.setPublishedUnreachable(workers);
    m_impl->schedulePump();
}

std::map<WorkerId, std::int64_t> JobOwner::unreachableWorkers() const
{
    std::map<WorkerId, std::int64_t> unreachable;
    for (const auto &[worker, leaseLeft] : m_impl->scheduler.unreachableWorkers(BootClock::now())) {
        unreachable[worker] = leaseLeft.count();
    }
    return unreachable;
}

std::map<InstanceId, std::int64_t> JobOwner::recentInstanceOrders() const
{
    return m_impl->fleetController->recentOrders();
}

bool JobOwner::isServing() const
{
    return m_impl->serving;
}

std::uint64_t JobOwner::epoch() const
{
    return m_impl->epoch;
}

const Scheduler &JobOwner::scheduler() const
{
    return m_impl->scheduler;
}

}
