#include "details/reignimpl.h"
#include "telemetry/log.h"

#include <asio/post.hpp>

#include <algorithm>
#include <utility>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// Pause of the owner's work while nothing comes from outside.
constexpr auto PumpInterval = 25ms;

std::string taskText(const Notice &notice)
{
    return std::to_string(notice.task.occurrence) + "/" + std::to_string(notice.task.step) + "/" + std::to_string(notice.task.index);
}

}

void Reign::Impl::schedulePump()
{
    if (pumpPosted || ended) {
        return;
    }
    pumpPosted = true;
    asio::post(context.io, [self = shared_from_this()] {
        self->pumpPosted = false;
        self->pump();
    });
}

void Reign::Impl::armTimer(std::chrono::milliseconds delay)
{
    timer.expires_after(delay);
    timer.async_wait([self = shared_from_this()](const asio::error_code &error) {
        if (!error) {
            self->pump();
        }
    });
}

void Reign::Impl::pump()
{
    if (ended || !serving) {
        return;
    }
    const BootTime now = BootClock::now();
    advice.advance(now);
    if (!settling) {
        scheduler.advance(now, toUnixMilliseconds(wallNow()));
        instances->advance(now, *policy, now - freshAt < context.ownership.orderFreshness);
    }
    storeNext(now);
    executeOrders(now);
    logNotices();
    expireAnswers();
    if (now - countedAt > 1s) {
        countedAt = now;
        logPools(now);
        context.workers.retain([this](const WorkerId &worker) {
            return scheduler.findWorker(worker) != nullptr;
        });
        const SchedulerCounts counts = scheduler.counts();
        openJobs.set(static_cast<double>(counts.openJobs));
        liveRuns.set(static_cast<double>(counts.runs));
        reachableWorkers.set(static_cast<double>(counts.reachableWorkers));
    }
    if (scheduler.isDeposed()) {
        depose("a worker has seen a later owner");
        return;
    }
    if (settling && ((!storeInFlight && !scheduler.hasUnstored()) || now > settleUntil)) {
        end();
        return;
    }
    armTimer(scheduler.hasUnstored() && !storeInFlight ? std::max<std::chrono::milliseconds>(1ms, storeAt + StoreSpacing - now) : PumpInterval);
}

void Reign::Impl::executeOrders(BootTime now)
{
    const std::chrono::milliseconds age = now - freshAt;
    if (age >= context.ownership.leaseFreshness) {
        return;
    }
    const bool mayAct = age < context.ownership.orderFreshness && !settling;
    for (const Order &order : scheduler.takeOrders(now, mayAct ? OrderScope::All : OrderScope::Leases)) {
        std::visit(
            [this](const auto &given) {
                execute(given);
            },
            order);
    }
}

void Reign::Impl::execute(const StartOrder &order)
{
    const WorkerSession *worker = scheduler.findWorker(order.worker);
    const JobRecord *job = scheduler.findJob(order.task.job);
    if (worker == nullptr || job == nullptr) {
        return;
    }
    startsTotal.increment();
    context.workers.start(worker->facts(), order, job->spec.payload, [self = shared_from_this(), order](const OrderResult &result) {
        if (!self->ended) {
            self->scheduler.noteStart(order, result, BootClock::now(), toUnixMilliseconds(wallNow()));
            self->schedulePump();
        }
    });
}

void Reign::Impl::execute(const StopOrder &order)
{
    if (const WorkerSession *worker = scheduler.findWorker(order.worker)) {
        context.workers.stop(worker->facts(), order, [self = shared_from_this(), order](const OrderResult &result) {
            if (!self->ended) {
                self->scheduler.noteStop(order, result, BootClock::now());
                self->schedulePump();
            }
        });
    }
}

void Reign::Impl::execute(const PaceOrder &order)
{
    if (const WorkerSession *worker = scheduler.findWorker(order.worker)) {
        context.workers.pace(worker->facts(), order, [self = shared_from_this(), order](const OrderResult &result) {
            if (!self->ended) {
                self->scheduler.notePace(order, result);
            }
        });
    }
}

void Reign::Impl::execute(const HoldOrder &order)
{
    if (const WorkerSession *worker = scheduler.findWorker(order.worker)) {
        const BootTime sentAt = BootClock::now();
        context.workers.hold(worker->facts(), order, [self = shared_from_this(), order, sentAt](const HoldResult &result) {
            if (!self->ended) {
                self->scheduler.noteHold(order, sentAt, result, BootClock::now(), toUnixMilliseconds(wallNow()));
                self->schedulePump();
            }
        });
    }
}

void Reign::Impl::execute(const AdviceOrder &order)
{
    advice.give(order, BootClock::now());
}

void Reign::Impl::logNotices()
{
    for (const Notice &notice : scheduler.takeNotices()) {
        if (notice.event == "run-lost") {
            lostTotal.increment();
        }
        if (notice.job.empty()) {
            logChange("owner", notice.event, {{"worker", notice.worker}, {"detail", notice.detail}});
        } else if (notice.worker.empty()) {
            logChange("owner", notice.event, {{"job", notice.job}, {"detail", notice.detail}});
        } else {
            logChange(
                "owner",
                notice.event,
                {{"job", notice.job}, {"task", taskText(notice)}, {"run", std::to_string(notice.run)}, {"worker", notice.worker}, {"detail", notice.detail}});
        }
    }
}

void Reign::Impl::logPools(BootTime now)
{
    for (const auto &[pool, counts] : scheduler.poolCounts(now)) {
        logChange("owner",
                  "pool",
                  {{"pool", pool},
                   {"workers", std::to_string(counts.workers)},
                   {"usable", std::to_string(counts.usable)},
                   {"capacity-cpu", std::to_string(counts.capacity.cpu)},
                   {"used-cpu", std::to_string(counts.used.cpu)},
                   {"used-memory", std::to_string(counts.used.memory)},
                   {"backlog-cpu", std::to_string(counts.backlog.cpu)},
                   {"waiting-jobs", std::to_string(counts.waitingJobs)},
                   {"late-jobs", std::to_string(counts.lateJobs)}});
    }
    for (const auto &[account, used] : scheduler.usedByAccount()) {
        if (const auto known = policy->accounts.find(account); known != policy->accounts.end()) {
            logChange("owner",
                      "account",
                      {{"account", account},
                       {"used-cpu", std::to_string(used.cpu)},
                       {"cap-cpu", std::to_string(known->second.cap.cpu)},
                       {"used-memory", std::to_string(used.memory)},
                       {"cap-memory", std::to_string(known->second.cap.memory)}});
        }
    }
}

}
