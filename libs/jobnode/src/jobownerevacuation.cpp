#include "details/jobownerimpl.h"
#include "telemetry/log.h"

namespace Cornelquay {

void JobOwner::Impl::beginEvacuationTerm(BootTime now)
{
    scheduler.awaitEvacuationView(now);
    for (const std::string &zone : scheduler.evacuation().zones()) {
        logEvacuation(zone, "in force at takeover");
    }
}

void JobOwner::Impl::setEvacuation(const ZoneEvacuation &evacuation)
{
    if (!policy) {
        // The takeover has not begun, which logs the zones.
        scheduler.setEvacuation(evacuation);
        return;
    }
    const bool mayPlaceBefore = scheduler.mayPlace(BootClock::now());
    const std::set<std::string> former = scheduler.evacuation().zones();
    scheduler.setEvacuation(evacuation);
    for (const std::string &zone : evacuation.zones()) {
        if (former.count(zone) == 0) {
            logEvacuation(zone, "begin");
        }
    }
    for (const std::string &zone : former) {
        if (!evacuation.isEvacuated(zone)) {
            logEvacuation(zone, "end");
        }
    }
    if (former != evacuation.zones() || !mayPlaceBefore) {
        schedulePump();
    }
}

void JobOwner::Impl::logEvacuation(const std::string &zone, std::string_view state) const
{
    const ZoneCounts counts = scheduler.zoneCounts(zone);
    const EvacuationCounts done = scheduler.evacuationCounts();
    logChange("owner",
              "evacuation",
              {{"zone", zone},
               {"state", std::string(state)},
               {"workers", std::to_string(counts.workers)},
               {"runs", std::to_string(counts.runs)},
               {"long-running", std::to_string(counts.longRunningRuns)},
               {"starts-given-up", std::to_string(done.startsGivenUp)},
               {"tasks-moved", std::to_string(done.tasksMoved)},
               {"view-age-ms", std::to_string((BootClock::now() - scheduler.evacuation().readAt()).count())}});
}

void JobOwner::Impl::updateEvacuationMetrics()
{
    const EvacuationCounts counts = scheduler.evacuationCounts();
    startsGivenUpTotal.increment(static_cast<double>(counts.startsGivenUp - countedEvacuation.startsGivenUp));
    tasksMovedTotal.increment(static_cast<double>(counts.tasksMoved - countedEvacuation.tasksMoved));
    countedEvacuation = counts;
}

// Checked when the order is written to a connection, so that it also holds for an order that waited for one.
SendCondition JobOwner::Impl::mayStart(const WorkerId &worker)
{
    return [self = shared_from_this(), worker] {
        return self->mayOrderWorkers() && self->scheduler.mayStartOn(worker);
    };
}

void JobOwner::setEvacuation(const ZoneEvacuation &evacuation)
{
    m_impl->setEvacuation(evacuation);
}

}
