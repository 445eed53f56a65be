#include "details/reignimpl.h"
#include "jobs/jobcodec.h"
#include "records/packing.h"
#include "telemetry/log.h"

#include <algorithm>
#include <utility>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

constexpr auto SettleMost = 1000ms;

}

void Reign::Impl::retry(std::chrono::milliseconds delay, std::function<void()> action)
{
    retryTimer.expires_after(delay);
    retryTimer.async_wait([self = shared_from_this(), action = std::move(action)](const asio::error_code &error) {
        if (!error && !self->ended) {
            action();
        }
    });
}

void Reign::Impl::fence()
{
    const BootTime sentAt = BootClock::now();
    context.store.fenceJobs(partition, epoch, [self = shared_from_this(), sentAt](const tl::expected<std::uint64_t, StoreFailure> &result) {
        if (self->ended) {
            return;
        }
        if (result) {
            self->freshAt = std::max(self->freshAt, sentAt);
            self->readPage({});
        } else if (result.error() == StoreFailure::Fenced) {
            self->depose("fenced while taking over");
        } else {
            self->retry(StoreRetry, [self] {
                self->fence();
            });
        }
    });
}

void Reign::Impl::readPage(const std::string &after)
{
    context.store.readJobs(partition, after, [self = shared_from_this(), after](const tl::expected<JobPage, StoreFailure> &page) {
        if (self->ended) {
            return;
        }
        if (!page) {
            self->retry(StoreRetry, [self, after] {
                self->readPage(after);
            });
            return;
        }
        const BootTime now = BootClock::now();
        const std::int64_t wallMs = toUnixMilliseconds(wallNow());
        for (const auto &[key, bytes] : page->records) {
            self->restore(key, bytes, now, wallMs);
        }
        if (page->next.empty()) {
            self->serve();
        } else {
            self->readPage(page->next);
        }
    });
}

void Reign::Impl::restore(const std::string &key, const std::string &bytes, BootTime now, std::int64_t wallMs)
{
    if (key.rfind(WaveKeyPrefix, 0) == 0) {
        if (const std::optional<WaveRecord> record = Packing::fromBytes<WaveRecord>(bytes)) {
            instances->restore(*record);
            return;
        }
    } else if (std::optional<JobRecord> record = decodeJob(bytes)) {
        scheduler.restore(std::move(*record), now, wallMs);
        ++restored;
        return;
    }
    logChange("owner", "unreadable record", {{"key", key}, {"bytes", std::to_string(bytes.size())}});
}

void Reign::Impl::serve()
{
    scheduler.setPolicy(policy);
    for (const auto &[wave, seenAt] : waves) {
        instances->addWave(wave, seenAt);
    }
    serving = true;
    logChange("owner", "serving", {{"epoch", std::to_string(epoch)}, {"jobs", std::to_string(restored)}, {"configuration", std::to_string(policy->version)}});
    context.registry.watch([self = shared_from_this()](const std::vector<WorkerFacts> &seen, const std::vector<WorkerId> &removed) {
        if (self->ended) {
            return;
        }
        const BootTime now = BootClock::now();
        for (const WorkerFacts &facts : seen) {
            self->scheduler.workerSeen(facts, now);
        }
        for (const WorkerId &worker : removed) {
            self->scheduler.workerRemoved(worker);
        }
        self->schedulePump();
    });
    pump();
}

void Reign::Impl::depose(std::string reason)
{
    if (ended) {
        return;
    }
    logChange("owner", "deposed", {{"epoch", std::to_string(epoch)}, {"reason", reason}});
    const auto handler = std::exchange(onDeposed, nullptr);
    end();
    if (handler) {
        handler(std::move(reason));
    }
}

void Reign::Impl::end()
{
    if (ended) {
        return;
    }
    ended = true;
    serving = false;
    timer.cancel();
    retryTimer.cancel();
    context.registry.stop();
    if (instances) {
        instances->end();
    }
    advice.end();
    for (const WaitingAnswer &waiting : std::exchange(answers, {})) {
        waiting.respond(JobAnswer::unknown("the owner of the jobs changed"));
    }
    if (const auto settled = std::exchange(onSettled, nullptr)) {
        settled();
    }
}

void Reign::begin(std::shared_ptr<const FleetPolicy> policy)
{
    m_impl->policy = std::move(policy);
    Impl &impl = *m_impl;
    const BootTime now = BootClock::now();
    impl.freshAt = now;
    impl.fence();
}

void Reign::end()
{
    m_impl->end();
}

void Reign::settle(std::function<void()> onSettled)
{
    if (m_impl->ended || !m_impl->serving) {
        m_impl->end();
        onSettled();
        return;
    }
    m_impl->settling = true;
    m_impl->settleUntil = BootClock::now() + SettleMost;
    m_impl->onSettled = std::move(onSettled);
    m_impl->schedulePump();
}

void Reign::setPolicy(std::shared_ptr<const FleetPolicy> policy)
{
    m_impl->policy = std::move(policy);
    if (m_impl->serving) {
        m_impl->scheduler.setPolicy(m_impl->policy);
        m_impl->schedulePump();
    }
}

void Reign::addWave(const WaveSpec &spec, BootTime seenAt)
{
    if (m_impl->serving) {
        m_impl->instances->addWave(spec, seenAt);
    } else {
        m_impl->waves.emplace_back(spec, seenAt);
    }
}

void Reign::noteFresh(BootTime sentAt)
{
    m_impl->freshAt = std::max(m_impl->freshAt, sentAt);
}

void Reign::handle(const JobCall &call, const Responder &respond)
{
    m_impl->handle(call, respond);
}

void Reign::notePublished(const std::map<WorkerId, std::int64_t> &silentWorkers)
{
    std::set<WorkerId> workers;
    for (const auto &[worker, left] : silentWorkers) {
        workers.insert(worker);
    }
    m_impl->scheduler.setPublishedSilent(workers);
    m_impl->schedulePump();
}

std::map<WorkerId, std::int64_t> Reign::silentWorkers() const
{
    std::map<WorkerId, std::int64_t> silent;
    for (const auto &[worker, left] : m_impl->scheduler.silentWorkers(BootClock::now())) {
        silent[worker] = left.count();
    }
    return silent;
}

std::map<InstanceId, std::int64_t> Reign::recentInstanceOrders() const
{
    return m_impl->instances->recentOrders();
}

bool Reign::isServing() const
{
    return m_impl->serving;
}

std::uint64_t Reign::epoch() const
{
    return m_impl->epoch;
}

const Scheduler &Reign::scheduler() const
{
    return m_impl->scheduler;
}

}
