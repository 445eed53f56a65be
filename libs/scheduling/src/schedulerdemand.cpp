#include "details/schedulerimpl.h"

namespace Cornelquay {

DemandEstimate makeDemandEstimate(CapacityMethod method)
{
    if (method == CapacityMethod::Forecast) {
        return DemandForecast();
    }
    return ObservedDemand();
}

void Scheduler::Impl::recordArrival(const JobEntry &entry, BootTime now)
{
    if (entry.longRunning) {
        return;
    }
    const std::vector<StepSpec> &steps = entry.job.record().spec.steps;
    const std::vector<std::int64_t> runMs = expectedRunMs(entry.job.record());
    Resources work;
    for (std::size_t step = 0; step < steps.size(); ++step) {
        work += steps[step].demand * runMs[step] * steps[step].count;
    }
    const JobRecord &record = entry.job.record();
    const std::chrono::milliseconds chainLength(entry.estimate.remainingChainMs);
    const JobArrival arrival{work, chainLength, entry.estimate.objectiveDeadline - entry.estimate.receivedAt - chainLength};
    std::visit(
        [&](auto &method) {
            method.recordArrival(record.terms.pool, record.queue, arrival, now);
        },
        demand);
}

bool Scheduler::Impl::isDemand(const JobEntry &entry, BootTime now) const
{
    return options.capacity == CapacityMethod::Forecast ? !isWorthless(entry.estimate, now) : !isLate(entry.estimate, now);
}

PoolOutlook Scheduler::demandOutlook(const std::string &pool, BootTime now) const
{
    return std::visit(
        [&](const auto &method) {
            return method.outlook(pool, now);
        },
        m_impl->demand);
}

std::vector<DemandEvent> Scheduler::takeDemandEvents()
{
    return std::visit(
        [](auto &method) {
            return method.takeEvents();
        },
        m_impl->demand);
}

double Scheduler::predictionSkill() const
{
    return std::visit(
        [](const auto &method) {
            return method.predictionSkill();
        },
        m_impl->demand);
}

bool Scheduler::restoreDemand(std::string_view snapshot, BootTime now, std::int64_t wallMs)
{
    return std::visit(
        [&](auto &method) {
            return method.restore(snapshot, now, wallMs);
        },
        m_impl->demand);
}

std::string Scheduler::demandSnapshot(BootTime now, std::int64_t wallMs) const
{
    return std::visit(
        [&](const auto &method) {
            return method.snapshot(now, wallMs);
        },
        m_impl->demand);
}

std::uint64_t Scheduler::demandRevision() const
{
    return std::visit(
        [](const auto &method) {
            return method.revision();
        },
        m_impl->demand);
}

}
