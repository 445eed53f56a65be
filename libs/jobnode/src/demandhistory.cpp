#include "details/demandhistory.h"

#include "telemetry/log.h"

#include <cmath>
#include <string>

namespace Cornelquay {

namespace {

std::string percentText(double fraction)
{
    return std::to_string(std::lround(100 * fraction));
}

void logSurge(const DemandEvent &event)
{
    logChange("owner",
              DemandEventNames[static_cast<std::size_t>(event.kind)],
              {{"pool", event.pool},
               {"load-cpu", std::to_string(event.load.cpu)},
               {"load-memory", std::to_string(event.load.memory)},
               {"age-ms", std::to_string(event.age.count())}});
}

void logPrediction(const DemandEvent &event)
{
    logChange("owner",
              DemandEventNames[static_cast<std::size_t>(event.kind)],
              {{"pool", event.pool},
               {"rule", std::string(PredictionRuleNames[static_cast<std::size_t>(event.rule)])},
               {"expected-cpu", std::to_string(event.load.cpu)},
               {"age-ms", std::to_string(event.age.count())},
               {"skill-percent", percentText(event.skill)}});
}

}

DemandHistory::DemandHistory(Scheduler &scheduler, Metrics &metrics)
    : m_scheduler(scheduler)
    , m_restores(metrics.counter("demand_restores_total", "Histories of the demand that were taken over from a former owner"))
    , m_surges(metrics.counter("demand_surges_total", "Surges of pools that were detected"))
    , m_rightPredictions(metrics.counter("demand_predictions_total", "Predictions of surges that were checked", {{"outcome", "right"}}))
    , m_wrongPredictions(metrics.counter("demand_predictions_total", "Predictions of surges that were checked", {{"outcome", "wrong"}}))
    , m_skill(metrics.gauge("demand_skill", "How often predictions of surges have been right, from 0 to 1"))
{
}

void DemandHistory::restore(const std::string &bytes, BootTime now, std::int64_t wallMs)
{
    if (!m_scheduler.restoreDemand(bytes, now, wallMs)) {
        logChange("owner", "unreadable record", {{"key", DemandHistoryKey}, {"bytes", std::to_string(bytes.size())}});
        return;
    }
    m_schedule.noteStored(m_scheduler.demandRevision());
    if (m_scheduler.demandRevision() == 0) {
        return;
    }
    m_restores.increment();
    logChange("owner", "demand restored", {{"bytes", std::to_string(bytes.size())}, {"skill-percent", percentText(m_scheduler.predictionSkill())}});
}

void DemandHistory::markChanged()
{
    m_schedule.requestStore(m_scheduler.demandRevision());
}

bool DemandHistory::isDue(BootTime now) const
{
    return m_schedule.isDue(m_scheduler.demandRevision(), now);
}

std::optional<std::string> DemandHistory::takeRecord(BootTime now, std::int64_t wallMs)
{
    if (!isDue(now)) {
        return std::nullopt;
    }
    m_schedule.noteTaken(m_scheduler.demandRevision(), now);
    return m_scheduler.demandSnapshot(now, wallMs);
}

void DemandHistory::report()
{
    for (const DemandEvent &event : m_scheduler.takeDemandEvents()) {
        switch (event.kind) {
        case DemandEventKind::SurgeBegun:
            m_surges.increment();
            logSurge(event);
            break;
        case DemandEventKind::SurgeEnded:
        case DemandEventKind::SurgeIsLevel:
            logSurge(event);
            break;
        case DemandEventKind::PredictionRight:
            m_rightPredictions.increment();
            logPrediction(event);
            break;
        case DemandEventKind::PredictionWrong:
            m_wrongPredictions.increment();
            logPrediction(event);
            break;
        }
    }
    m_skill.set(m_scheduler.predictionSkill());
}

}
