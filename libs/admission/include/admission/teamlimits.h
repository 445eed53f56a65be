#pragma once

#include "timing/instant.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Cornelquay {

/** What one node may run for one team, and what it runs. */
struct TeamLimitStatus {
    /** This node's part by the records. */
    std::int64_t held = 0;
    /** Parts on loan from other nodes, and to them. */
    std::int64_t borrowed = 0;
    std::int64_t lent = 0;
    /** Of what is borrowed, what the lender wants back: no new task starts on it. */
    std::int64_t recalled = 0;
    std::int64_t running = 0;
};

/**
 * The permits to run work that this node has for each team.
 *
 * A permit is taken for each task and given back when the task is provably over: at once after an
 * answer, or when the task's lease on the worker has run out. The permits in use never exceed
 * held + borrowed - lent, and the parts of all nodes never add up to more than the team's limit.
 * Plain state with time passed in; not thread-safe.
 */
class TeamLimits
{
public:
    /** Sets the part that the records give this node. */
    void setHeld(const std::string &team, std::int64_t count);
    void setBorrowed(const std::string &team, std::int64_t count);
    void setLent(const std::string &team, std::int64_t count);
    void setRecalled(const std::string &team, std::int64_t count);

    /** Takes a permit; whether there was one. */
    bool take(const std::string &team, SteadyTime now);
    void giveBack(const std::string &team);
    /** Gives a permit back at @p freeAt, when the task's lease has run out. */
    void giveBackAt(const std::string &team, SteadyTime freeAt);

    /** Permits that are free now. */
    std::int64_t available(const std::string &team, SteadyTime now);
    bool mayTake(const std::string &team, SteadyTime now);
    /** Whether more is running than the parts allow, as after a loan that was not confirmed. */
    bool isOver(const std::string &team, SteadyTime now);

    std::map<std::string, TeamLimitStatus> status(SteadyTime now);

private:
    struct Entry {
        TeamLimitStatus status;
        std::vector<SteadyTime> freeLater;
    };
    void freeDue(Entry &entry, SteadyTime now);
    static std::int64_t availableOf(const TeamLimitStatus &status);

    std::map<std::string, Entry> m_teams;
};

}
