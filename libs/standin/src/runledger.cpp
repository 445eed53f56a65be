#include "standin/runledger.h"

#include <algorithm>

namespace Cornelquay {

void RunLedger::begin(const std::string &requestId, const std::string &team)
{
    const std::lock_guard lock(m_mutex);
    m_runs[requestId] += 1;
    TeamRuns &runs = m_teams[team];
    runs.started += 1;
    runs.running += 1;
    runs.maxRunning = std::max(runs.maxRunning, runs.running);
}

void RunLedger::end(const std::string &team, std::chrono::milliseconds duration)
{
    const std::lock_guard lock(m_mutex);
    TeamRuns &runs = m_teams[team];
    runs.running -= 1;
    runs.busyMs += static_cast<double>(duration.count());
}

void RunLedger::recordLateStart(std::chrono::milliseconds afterLeaving)
{
    const std::lock_guard lock(m_mutex);
    m_maxLateStart = std::max(m_maxLateStart, afterLeaving);
}

std::map<std::string, std::int64_t> RunLedger::runsByRequest() const
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

std::map<std::string, TeamRuns> RunLedger::teams() const
{
    const std::lock_guard lock(m_mutex);
    return m_teams;
}

std::chrono::milliseconds RunLedger::maxLateStart() const
{
    const std::lock_guard lock(m_mutex);
    return m_maxLateStart;
}

}
