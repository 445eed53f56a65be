#pragma once

#include "details/recordschedule.h"
#include "scheduling/scheduler.h"
#include "telemetry/metrics.h"

#include <optional>
#include <string>

namespace Cornelquay {

/** Key of the record of learned run times, which is stored beside those of jobs. Names of jobs contain no slash. */
constexpr const char *RunTimeHistoryKey = "learned/run-times";

/**
 * Decides when the owner's history of run times is stored for a successor, and reports on it in log and metrics. Does nothing
 * unless the scheduler learns run times. Must be used on the owner's thread.
 */
class RunTimeHistory
{
public:
    /** Both must outlive the object. */
    RunTimeHistory(Scheduler &scheduler, Metrics &metrics);

    // Commands.
    /** Takes over the predecessor's record. If it is unreadable, run times are learned again. */
    void restore(const std::string &bytes, BootTime now);
    /** The history has to be stored with the next batch, because the batch goes to another partition. */
    void markChanged();
    /** The record to store now, if isDue(). The record of a batch that is given up needs markChanged(). */
    std::optional<std::string> takeRecord(BootTime now);
    /** Logs the errors of the predictions and updates the metrics, every few seconds while there are new runs. */
    void report(BootTime now);

    // Queries.
    bool isDue(BootTime now) const;

private:
    Scheduler &m_scheduler;
    Metrics &m_metrics;
    Counter m_restores;
    Counter m_snapshots;
    Counter m_runs;
    RecordSchedule m_schedule;
    std::uint64_t m_reportedRuns = 0;
    BootTime m_nextReportAt{};
};

}
