#pragma once

#include "details/recordschedule.h"
#include "scheduling/scheduler.h"
#include "telemetry/metrics.h"

#include <optional>
#include <string>

namespace Cornelquay {

/** Key of the record of the learned demand, which is stored beside those of jobs. Names of jobs contain no slash. */
constexpr const char *DemandHistoryKey = "learned/demand";

/**
 * Decides when the owner's history of the demand is stored for a successor, and reports surges of pools and predictions of them in
 * log and metrics. Does nothing unless the scheduler forecasts the demand. Must be used on the owner's thread.
 */
class DemandHistory
{
public:
    /** Both must outlive the object. */
    DemandHistory(Scheduler &scheduler, Metrics &metrics);

    // Commands.
    /** Takes over the predecessor's record. If it is unreadable, the demand is learned again. */
    void restore(const std::string &bytes, BootTime now, std::int64_t wallMs);
    /** The history has to be stored with the next batch, because the batch goes to another partition. */
    void markChanged();
    /** The record to store now, if isDue(). The record of a batch that is given up needs markChanged(). */
    std::optional<std::string> takeRecord(BootTime now, std::int64_t wallMs);
    /** Logs and counts what has happened since the last call. */
    void report();

    // Queries.
    bool isDue(BootTime now) const;

private:
    Scheduler &m_scheduler;
    RecordSchedule m_schedule;
    Counter m_restores;
    Counter m_surges;
    Counter m_rightPredictions;
    Counter m_wrongPredictions;
    Gauge m_skill;
};

}
