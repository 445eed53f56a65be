#include "details/jobownerimpl.h"
#include "telemetry/log.h"

#include <asio/post.hpp>

#include <algorithm>
#include <utility>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// Interval of the owner's work while no event triggers it.
constexpr auto PumpInterval = 25ms;

std::string taskText(const SchedulerEvent &notice)
{
    return std::to_string(notice.task.occurrence) + "/" + std::to_string(notice.task.step) + "/" + std::to_string(notice.task.index);
}

}

void JobOwner::Impl::schedulePump()
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

void JobOwner::Impl::armPumpTimer(std::chrono::milliseconds delay)
{
    pumpTimer.expires_after(delay);
    pumpTimer.async_wait([self = shared_from_this()](const asio::error_code &error) {
        if (!error) {
            self->pump();
        }
    });
}

void JobOwner::Impl::pump()
{
    if (ended || !serving) {
        return;
    }
    const BootTime now = BootClock::now();
    adviceDispatcher.advance(now);
    if (!draining) {
        scheduler.advance(now, toUnixMilliseconds(wallNow()));
        fleetController->advance(now, *policy);
    }
    storeNext(now);
    executeOrders(now);
    logEvents();
    demandHistory.report();
    expireAnswers();
    answerUnconfirmedCalls(now);
    if (now - metricsUpdatedAt > 1s) {
        metricsUpdatedAt = now;
        logPools(now);
        runTimeHistory.report(now);
        shareReport.update(scheduler);
        context.workers.retainConnections([this](const WorkerId &worker) {
            return scheduler.findWorker(worker) != nullptr;
        });
        const SchedulerCounts counts = scheduler.counts();
        updateEvacuationMetrics();
        openJobs.set(static_cast<double>(counts.openJobs));
        heldJobBytes.set(static_cast<double>(counts.heldBytes));
        liveRuns.set(static_cast<double>(counts.runs));
        reachableWorkers.set(static_cast<double>(counts.reachableWorkers));
        copiesStartedTotal.increment(static_cast<double>(counts.copies.started - countedCopies.started));
        copiesWonTotal.increment(static_cast<double>(counts.copies.won - countedCopies.won));
        copyWasteTotal.increment(static_cast<double>(counts.copies.wastedCoreMs - countedCopies.wastedCoreMs));
        countedCopies = counts.copies;
    }
    if (scheduler.hasLostOwnership()) {
        loseOwnership("a worker has seen a later owner");
        return;
    }
    if (draining && ((!storeInFlight && !scheduler.hasUnstored()) || now > drainDeadline)) {
        end();
        return;
    }
    const bool hasUnstored = scheduler.hasUnstored() || fleetController->isAnnouncementDue(now);
    armPumpTimer(hasUnstored && !storeInFlight ? std::max<std::chrono::milliseconds>(1ms, lastBatchAt + MinBatchInterval - now) : PumpInterval);
}

void JobOwner::Impl::executeOrders(BootTime now)
{
    if (!permission->allows(OwnerAction::ExtendLeases, now)) {
        return;
    }
    const bool mayOrder = permission->allows(OwnerAction::OrderWorkers, now);
    for (const Order &order : scheduler.takeOrders(now, mayOrder ? OrderScope::All : OrderScope::Leases)) {
        std::visit(
            [this](const auto &specificOrder) {
                execute(specificOrder);
            },
            order);
    }
}

void JobOwner::Impl::execute(const StartOrder &order)
{
    const WorkerSession *worker = scheduler.findWorker(order.worker);
    const JobRecord *job = scheduler.findJob(order.task.job);
    if (worker == nullptr || job == nullptr) {
        return;
    }
    startsTotal.increment();
    context.workers.start(worker->facts(), order, job->spec.payload, mayStart(order.worker), [self = shared_from_this(), order](const OrderResult &result) {
        if (!self->ended) {
            self->scheduler.handleStartResult(order, result, BootClock::now(), toUnixMilliseconds(wallNow()));
            self->schedulePump();
        }
    });
}

void JobOwner::Impl::execute(const StopOrder &order)
{
    if (const WorkerSession *worker = scheduler.findWorker(order.worker)) {
        // Checked when the order is written to a connection, so that it also holds for an order that waited for one.
        const SendCondition maySend = [self = shared_from_this(), order] {
            return self->mayOrderWorkers() && self->scheduler.mayStop(order);
        };
        context.workers.stop(worker->facts(), order, maySend, [self = shared_from_this(), order](const OrderResult &result) {
            if (!self->ended) {
                self->scheduler.handleStopResult(order, result, BootClock::now());
                self->schedulePump();
            }
        });
    }
}

void JobOwner::Impl::execute(const ThrottleOrder &order)
{
    if (const WorkerSession *worker = scheduler.findWorker(order.worker)) {
        context.workers.throttle(worker->facts(), order, mayOrderWorkers, [self = shared_from_this(), order](const OrderResult &result) {
            if (!self->ended) {
                self->scheduler.handleThrottleResult(order, result);
            }
        });
    }
}

void JobOwner::Impl::execute(const RenewLeaseOrder &order)
{
    if (const WorkerSession *worker = scheduler.findWorker(order.worker)) {
        const BootTime sentAt = BootClock::now();
        context.workers.renewLease(worker->facts(), order, mayExtendLeases, [self = shared_from_this(), order, sentAt](const RenewLeaseResult &result) {
            if (!self->ended) {
                self->scheduler.handleLeaseRenewalResult(order, sentAt, result, BootClock::now(), toUnixMilliseconds(wallNow()));
                self->schedulePump();
            }
        });
    }
}

void JobOwner::Impl::execute(const AdviceOrder &order)
{
    adviceDispatcher.dispatch(order, BootClock::now());
}

void JobOwner::Impl::logEvents()
{
    for (const SchedulerEvent &notice : scheduler.takeEvents()) {
        if (notice.name == "run-lost") {
            lostRunsTotal.increment();
        } else if (notice.name == "worker-crashed") {
            workerCrashesTotal.increment();
        } else if (notice.name == "job-given-up") {
            jobsGivenUpTotal.increment();
            runsLostBesideTotal.increment(notice.runsLostBeside);
            giveUpSeconds.observe(std::chrono::duration<double>(notice.jobAge).count());
        }
        if (notice.job.empty()) {
            logChange("owner", notice.name, {{"worker", notice.worker}, {"detail", notice.detail}});
        } else if (notice.worker.empty()) {
            logChange("owner", notice.name, {{"job", notice.job}, {"detail", notice.detail}});
        } else {
            logChange(
                "owner",
                notice.name,
                {{"job", notice.job}, {"task", taskText(notice)}, {"run", std::to_string(notice.run)}, {"worker", notice.worker}, {"detail", notice.detail}});
        }
    }
}

void JobOwner::Impl::logPools(BootTime now)
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
