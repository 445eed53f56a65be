#pragma once

#include "timing/instant.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace Cornelquay {

/** What the workers themselves saw of one team. */
struct TeamRuns {
    std::int64_t running = 0;
    std::int64_t runningMost = 0;
    std::int64_t started = 0;
    /** Time that tasks ran, summed, in milliseconds. */
    double busyMilliseconds = 0;
};

/**
 * Counts runs at the place where they happen, for all workers of a stand-in together.
 *
 * The ground truth that tests hold the system's claims against. Thread-safe.
 */
class RunLedger
{
public:
    void begin(const std::string &requestId, const std::string &team);
    void end(const std::string &team, std::chrono::milliseconds duration);
    /** Notes a task that started although its worker was leaving, and how long after. */
    void noteLateStart(std::chrono::milliseconds afterLeaving);

    std::map<std::string, std::int64_t> runsByRequest() const;
    std::map<std::string, TeamRuns> teams() const;
    std::chrono::milliseconds lateStartMost() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::int64_t> m_runs;
    std::map<std::string, TeamRuns> m_teams;
    std::chrono::milliseconds m_lateStartMost{0};
};

}
