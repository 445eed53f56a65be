#include "details/sharereport.h"

#include "telemetry/log.h"

#include <set>
#include <string>

namespace Cornelquay {

namespace {

Counter placementsOn(Metrics &metrics, const std::string &capacity)
{
    return metrics.counter("share_placements_total", "Tasks placed in full pools, on the share of their account or on lent capacity", {{"capacity", capacity}});
}

}

ShareReport::ShareReport(Metrics &metrics)
    : m_withinShareTotal(placementsOn(metrics, "share"))
    , m_lentTotal(placementsOn(metrics, "lent"))
    , m_fullPools(metrics.gauge("pools_full", "Pools whose waiting tasks want more than is free, in the latest placement pass"))
{
}

void ShareReport::update(const Scheduler &scheduler)
{
    std::set<std::string> fullPools;
    for (const AccountShare &share : scheduler.accountShares()) {
        fullPools.insert(share.pool);
        logChange("owner",
                  "share",
                  {{"pool", share.pool},
                   {"account", share.account},
                   {"resource", std::string(toName(share.resource))},
                   {"share", std::to_string(share.entitlement)},
                   {"used", std::to_string(share.used)},
                   {"waiting", std::to_string(share.waiting)}});
    }
    m_fullPools.set(static_cast<double>(fullPools.size()));
    const SharePlacements placements = scheduler.sharePlacements();
    m_withinShareTotal.increment(static_cast<double>(placements.withinShare - m_counted.withinShare));
    m_lentTotal.increment(static_cast<double>(placements.lent - m_counted.lent));
    m_counted = placements;
}

}
