#pragma once

#include "scheduling/scheduler.h"
#include "telemetry/metrics.h"

namespace Cornelquay {

/** Writes the shares of client accounts in full pools to the log and counts placements in such pools. Not thread-safe. */
class ShareReport
{
public:
    explicit ShareReport(Metrics &metrics);
    /** Writes one line for each account of each full pool; call it at most once a second. */
    void update(const Scheduler &scheduler);

private:
    Counter m_withinShareTotal;
    Counter m_lentTotal;
    Gauge m_fullPools;
    SharePlacements m_counted;
};

}
