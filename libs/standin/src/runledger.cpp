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
    runs.runningMost = std::max(runs.runningMost, runs.running);
}

void RunLedger::end(const std::string &team, std::chrono::milliseconds duration)
{
    const std::lock_guard lock(m_mutex);
    TeamRuns &runs = m_teams[team];
    runs.running -= 1;
    runs.busyMilliseconds += static_cast<double>(duration.count());
}

void RunLedger::noteLateStart(std::chrono::milliseconds afterLeaving)
{
    const std::lock_guard lock(m_mutex);
    m_lateStartMost = std::max(m_lateStartMost, afterLeaving);
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

std::chrono::milliseconds RunLedger::lateStartMost() const
{
    const std::lock_guard lock(m_mutex);
    return m_lateStartMost;
}

}
