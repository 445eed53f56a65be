#include "details/runtimehistory.h"

#include "telemetry/log.h"

#include <cstdio>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

constexpr auto ReportInterval = 5s;

std::string levelsText(const std::vector<PredictionLevel> &levels)
{
    std::string text;
    for (const PredictionLevel level : levels) {
        text += text.empty() ? "" : ",";
        text += PredictionLevelNames[static_cast<std::size_t>(level)];
    }
    return text.empty() ? "none" : text;
}

std::string factorText(double factor)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", factor);
    return text;
}

}

RunTimeHistory::RunTimeHistory(Scheduler &scheduler, Metrics &metrics)
    : m_scheduler(scheduler)
    , m_metrics(metrics)
    , m_restores(metrics.counter("prediction_restores_total", "Histories of run times that were taken over from a former owner"))
    , m_snapshots(metrics.counter("prediction_snapshots_total", "Histories of run times that were given to the store"))
    , m_runs(metrics.counter("prediction_runs_total", "Finished runs from which run times were learned"))
{
}

void RunTimeHistory::restore(const std::string &bytes, BootTime now)
{
    if (!m_scheduler.restoreRunTimes(bytes, now)) {
        logChange("owner", "unreadable record", {{"key", RunTimeHistoryKey}, {"bytes", std::to_string(bytes.size())}});
        return;
    }
    m_schedule.noteStored(m_scheduler.runTimeRevision());
    if (m_scheduler.runTimeRevision() == 0) {
        return;
    }
    m_restores.increment();
    const PredictorSize size = m_scheduler.runTimeStatistics().size;
    logChange("owner",
              "run times restored",
              {{"bytes", std::to_string(bytes.size())}, {"queues", std::to_string(size.queues)}, {"images", std::to_string(size.images)}});
}

void RunTimeHistory::markChanged()
{
    m_schedule.requestStore(m_scheduler.runTimeRevision());
}

bool RunTimeHistory::isDue(BootTime now) const
{
    return m_schedule.isDue(m_scheduler.runTimeRevision(), now);
}

std::optional<std::string> RunTimeHistory::takeRecord(BootTime now)
{
    if (!isDue(now)) {
        return std::nullopt;
    }
    m_schedule.noteTaken(m_scheduler.runTimeRevision(), now);
    m_snapshots.increment();
    return m_scheduler.runTimeSnapshot();
}

void RunTimeHistory::report(BootTime now)
{
    const std::uint64_t runs = m_scheduler.learnedRuns();
    if (now < m_nextReportAt || runs == m_reportedRuns) {
        return;
    }
    m_nextReportAt = now + ReportInterval;
    m_runs.increment(static_cast<double>(runs - m_reportedRuns));
    m_reportedRuns = runs;
    const RunTimeStatistics statistics = m_scheduler.runTimeStatistics();
    m_metrics.gauge("prediction_images", "Images with a history of run times").set(static_cast<double>(statistics.size.images));
    for (const auto &[queue, errors] : statistics.errors) {
        const ErrorFactors &byEstimate = statistics.errorsByEstimate.at(queue);
        const MetricLabels labels = {{"queue", queue}};
        m_metrics.gauge("prediction_error_half", "Factor between predicted and actual run time within which half of the tasks lie", labels).set(errors.half);
        m_metrics.gauge("prediction_error_nine_tenths", "As prediction_error_half, for nine tenths of the tasks", labels).set(errors.nineTenths);
        logChange("owner",
                  "run times",
                  {{"queue", queue},
                   {"runs", std::to_string(static_cast<std::uint64_t>(errors.tasks))},
                   {"half-within", factorText(errors.half)},
                   {"nine-tenths-within", factorText(errors.nineTenths)},
                   {"by-estimate-half-within", factorText(byEstimate.half)},
                   {"by-estimate-nine-tenths-within", factorText(byEstimate.nineTenths)},
                   {"levels", levelsText(statistics.activeLevels.at(queue))},
                   {"images", std::to_string(statistics.size.images)},
                   {"steps", std::to_string(statistics.size.steps)}});
    }
}

}
