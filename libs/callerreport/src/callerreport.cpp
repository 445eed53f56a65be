#include "callerreport/callerreport.h"

#include "telemetry/log.h"

#include <string>

namespace Cornelquay {

namespace {

// Between two log lines for the same reason; the later one has the number of events in between.
constexpr std::chrono::seconds LineInterval{10};

}

CallerReport::CallerReport(Metrics &metrics, std::shared_ptr<const MemoryBudget> budget)
    : m_budget(std::move(budget))
    , m_limit(metrics.gauge("caller_memory_limit_bytes", "Limit of the memory held for callers"))
    , m_connections(metrics.gauge("caller_connections", "Open connections of callers"))
{
    for (const std::string_view name : HttpServerEventNames) {
        m_reasons.push_back(
            {metrics.counter("callers_not_served_total", "Connections and requests of callers that were not served", {{"reason", std::string(name)}})});
    }
    for (std::size_t use = 0; use < MemoryUses; ++use) {
        m_used.push_back(metrics.gauge(
            "caller_memory_bytes", "Memory held for callers, as it is charged to the limit", {{"use", std::string(toName(static_cast<MemoryUse>(use)))}}));
    }
    m_limit.set(static_cast<double>(m_budget->limit()));
}

void CallerReport::note(HttpServerEvent event)
{
    Reason &reason = m_reasons.at(static_cast<std::size_t>(event));
    reason.total.increment();
    ++reason.unlogged;
    const SteadyTime now = steadyNow();
    if (now < reason.nextLineAt) {
        return;
    }
    logChange("callers",
              "not served",
              {{"reason", std::string(toName(event))},
               {"times", std::to_string(reason.unlogged)},
               {"memory-bytes", std::to_string(m_budget->used())},
               {"memory-limit-bytes", std::to_string(m_budget->limit())}});
    reason.unlogged = 0;
    reason.nextLineAt = now + LineInterval;
}

void CallerReport::update(std::size_t connections)
{
    for (std::size_t use = 0; use < MemoryUses; ++use) {
        m_used[use].set(static_cast<double>(m_budget->used(static_cast<MemoryUse>(use))));
    }
    m_connections.set(static_cast<double>(connections));
}

}
