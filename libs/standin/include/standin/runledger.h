#pragma once

#include "timing/instant.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace Cornelquay {

/** The runs of one team, as counted by the workers. */
struct TeamRuns {
    std::int64_t running = 0;
    /** Highest value that running has had. */
    std::int64_t maxRunning = 0;
    std::int64_t started = 0;
    /** Sum of the run times of the ended tasks. */
    double busyMs = 0;
};

/**
 * Counts the task runs of all workers of a stand-in.
 *
 * The workers count here themselves, so tests compare the system's answers and limits with these
 * counts. Thread-safe.
 */
class RunLedger
{
public:
    /** Records the start of a run. */
    void begin(const std::string &requestId, const std::string &team);
    /** Records the end of a run that took @p duration. */
    void end(const std::string &team, std::chrono::milliseconds duration);
    /** Records a task that started @p afterLeaving after its worker was marked as leaving. */
    void recordLateStart(std::chrono::milliseconds afterLeaving);

    /** Number of runs by request id. */
    std::map<std::string, std::int64_t> runsByRequest() const;
    std::map<std::string, TeamRuns> teams() const;
    /** The largest delay given to recordLateStart(); 0 if there was none. */
    std::chrono::milliseconds maxLateStart() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::int64_t> m_runs;
    std::map<std::string, TeamRuns> m_teams;
    std::chrono::milliseconds m_maxLateStart{0};
};

}
