#pragma once

#include "httpio/httpserver.h"
#include "memorybudget/memorybudget.h"
#include "telemetry/metrics.h"
#include "timing/instant.h"

#include <array>
#include <cstdint>
#include <memory>
#include <vector>

namespace Cornelquay {

/**
 * Reports the callers that a server does not serve: a counter for each reason, and a log line when it begins and while it goes on.
 * note() must be called on one thread; update() is thread-safe.
 */
class CallerReport
{
public:
    /** @p budget must not be null. */
    CallerReport(Metrics &metrics, std::shared_ptr<const MemoryBudget> budget);

    void note(HttpServerEvent event);
    /** Sets the gauges of the memory in use and of @p connections. */
    void update(std::size_t connections);

private:
    struct Reason {
        Counter total;
        std::uint64_t unlogged = 0;
        SteadyTime nextLineAt{};
    };

    std::shared_ptr<const MemoryBudget> m_budget;
    std::vector<Reason> m_reasons;
    std::vector<Gauge> m_used;
    Gauge m_limit;
    Gauge m_connections;
};

}
