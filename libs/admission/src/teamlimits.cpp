#include "admission/teamlimits.h"

#include <algorithm>

namespace Cornelquay {

void TeamLimits::setHeld(const std::string &team, std::int64_t count)
{
    m_teams[team].status.held = count;
}

void TeamLimits::setBorrowed(const std::string &team, std::int64_t count)
{
    m_teams[team].status.borrowed = count;
}

void TeamLimits::setLent(const std::string &team, std::int64_t count)
{
    m_teams[team].status.lent = count;
}

void TeamLimits::setRecalled(const std::string &team, std::int64_t count)
{
    m_teams[team].status.recalled = count;
}

std::int64_t TeamLimits::availableOf(const TeamLimitStatus &status)
{
    return status.held + status.borrowed - status.recalled - status.lent - status.running;
}

void TeamLimits::releaseExpired(Entry &entry, SteadyTime now)
{
    entry.status.running -= static_cast<std::int64_t>(std::erase_if(entry.releaseTimes, [&](SteadyTime freeAt) {
        return freeAt <= now;
    }));
}

bool TeamLimits::take(const std::string &team, SteadyTime now)
{
    Entry &entry = m_teams[team];
    releaseExpired(entry, now);
    if (availableOf(entry.status) <= 0) {
        return false;
    }
    entry.status.running += 1;
    return true;
}

void TeamLimits::giveBack(const std::string &team)
{
    m_teams[team].status.running -= 1;
}

void TeamLimits::giveBackAt(const std::string &team, SteadyTime freeAt)
{
    m_teams[team].releaseTimes.push_back(freeAt);
}

std::int64_t TeamLimits::available(const std::string &team, SteadyTime now)
{
    Entry &entry = m_teams[team];
    releaseExpired(entry, now);
    return availableOf(entry.status);
}

bool TeamLimits::canTake(const std::string &team, SteadyTime now)
{
    return available(team, now) > 0;
}

bool TeamLimits::isOverLimit(const std::string &team, SteadyTime now)
{
    return available(team, now) + m_teams[team].status.recalled < 0;
}

std::map<std::string, TeamLimitStatus> TeamLimits::status(SteadyTime now)
{
    std::map<std::string, TeamLimitStatus> result;
    for (auto &[team, entry] : m_teams) {
        releaseExpired(entry, now);
        result[team] = entry.status;
    }
    return result;
}

}
