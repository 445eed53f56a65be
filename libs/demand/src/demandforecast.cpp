#include "demand/demandforecast.h"

#include "details/resourcearithmetic.h"

#include <utility>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds ObservationInterval = 50ms;
// After this many arrivals, the means of the queues may have changed by more than chance.
constexpr std::uint64_t ArrivalsPerRevision = 64;
// Spare capacity bridges the time until a surge is met. During the surge, only the noise of the forecast is left to bridge.
constexpr double SurgeSpareFraction = 0.25;

PoolOutlook outlookOf(const Resources &load)
{
    PoolOutlook outlook;
    outlook.load = load;
    outlook.reason = load == Resources{} ? OutlookReason::Quiet : OutlookReason::Arrivals;
    return outlook;
}

}

void ObservedDemand::recordArrival(const std::string &pool, const std::string &, const JobArrival &arrival, BootTime now)
{
    m_pools[pool].add(arrival, now);
}

PoolOutlook ObservedDemand::outlook(const std::string &pool, BootTime now) const
{
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? PoolOutlook{} : outlookOf(found->second.at(now));
}

void ObservedDemand::advance(BootTime)
{
}

std::vector<DemandEvent> ObservedDemand::takeEvents()
{
    return {};
}

double ObservedDemand::predictionSkill() const
{
    return 0;
}

std::string ObservedDemand::snapshot(BootTime, std::int64_t) const
{
    return {};
}

bool ObservedDemand::restore(std::string_view, BootTime, std::int64_t)
{
    return true;
}

std::uint64_t ObservedDemand::revision() const
{
    return 0;
}

void DemandForecast::recordArrival(const std::string &pool, const std::string &queue, const JobArrival &arrival, BootTime now)
{
    const auto [found, isNew] = m_pools.try_emplace(pool);
    found->second.arrivals.add(queue, arrival, now);
    ++m_arrivals;
    if (isNew) {
        m_order.addPool(pool);
    }
}

PoolOutlook DemandForecast::outlook(const std::string &pool, BootTime now) const
{
    const auto found = m_pools.find(pool);
    if (found == m_pools.end()) {
        return {};
    }
    PoolOutlook outlook = outlookOf(found->second.arrivals.at(now));
    outlook.slack = found->second.arrivals.meanSlack();
    const std::optional<SurgePrediction> prediction = m_order.prediction();
    if (prediction && prediction->pool == pool) {
        outlook.expected = ExpectedLoad{scaled(m_order.expectedPeak(pool), m_order.skill()), prediction->begin, prediction->until};
        outlook.reason = outlook.load.cpu < outlook.expected->load.cpu ? OutlookReason::Recurrence : outlook.reason;
    }
    outlook.spareFraction = spareFraction(pool, found->second);
    return outlook;
}

double DemandForecast::spareFraction(const std::string &name, const Pool &pool) const
{
    if (pool.surges.isSurging()) {
        return SurgeSpareFraction;
    }
    // The pool needs its spare capacity only if the order is wrong.
    return m_order.isAfterOthers(name) ? 1.0 - m_order.skill() : 1.0;
}

void DemandForecast::advance(BootTime now)
{
    if (now - m_observedAt < ObservationInterval) {
        return;
    }
    m_observedAt = now;
    for (auto &[name, pool] : m_pools) {
        observe(name, pool, now);
    }
    m_order.advance(now);
    for (const CheckedPrediction &checked : m_order.takeChecked()) {
        const SurgePrediction &prediction = checked.prediction;
        m_events.push_back({checked.wasRight ? DemandEventKind::PredictionRight : DemandEventKind::PredictionWrong,
                            prediction.pool,
                            m_order.expectedPeak(prediction.pool),
                            now - prediction.begin,
                            prediction.rule,
                            checked.skill});
    }
}

void DemandForecast::observe(const std::string &name, Pool &pool, BootTime now)
{
    const Resources load = pool.arrivals.at(now);
    const SurgeChange change = pool.surges.observe(load, m_order.minLoad(name), pool.arrivals.frequentSince(now), now);
    const Surge &surge = pool.surges.surge();
    switch (change) {
    case SurgeChange::None:
        break;
    case SurgeChange::Begin:
        m_order.noteBegin(name, surge.begin);
        m_events.push_back({DemandEventKind::SurgeBegun, name, load, now - surge.begin});
        break;
    case SurgeChange::End:
        m_order.noteEnd(name, surge);
        m_events.push_back({DemandEventKind::SurgeEnded, name, surge.peak, now - surge.begin});
        break;
    case SurgeChange::Level:
        m_events.push_back({DemandEventKind::SurgeIsLevel, name, surge.peak, now - surge.begin});
        break;
    }
}

std::vector<DemandEvent> DemandForecast::takeEvents()
{
    return std::exchange(m_events, {});
}

double DemandForecast::predictionSkill() const
{
    return m_order.skill();
}

std::uint64_t DemandForecast::revision() const
{
    return m_order.revision() + m_arrivals / ArrivalsPerRevision;
}

}
