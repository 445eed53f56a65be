#pragma once

#include "timing/instant.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Cornelquay {

/** Quotas and running tasks of one team on one node, in tasks. */
struct TeamLimitStatus {
    /** Quota that the records assign to this node. */
    std::int64_t held = 0;
    /** Quota on loan from other nodes. */
    std::int64_t borrowed = 0;
    /** Quota on loan to other nodes. */
    std::int64_t lent = 0;
    /** Part of the borrowed quota that the lender has recalled. No new task may start on it. */
    std::int64_t recalled = 0;
    /** Permits in use, including those of tasks whose worker lease has not expired yet. */
    std::int64_t running = 0;
};

/**
 * The permits to run tasks that this node has for each team.
 *
 * A permit is taken for each task and given back when the task is known to have ended: after its
 * answer or, without an answer, when its lease on the worker has expired. No permit is given out
 * beyond held + borrowed - recalled - lent. The quotas of all nodes never add up to more than the
 * team's limit. The current time is passed in by the caller. Not thread-safe.
 *
 * @code
 * limits.setHeld("team-a", 2);
 * if (limits.take("team-a", now)) {
 *     ...
 *     limits.giveBack("team-a");
 * }
 * @endcode
 */
class TeamLimits
{
public:
    /** Sets TeamLimitStatus::held. Each of the following setters sets the member of its name likewise. */
    void setHeld(const std::string &team, std::int64_t count);
    void setBorrowed(const std::string &team, std::int64_t count);
    void setLent(const std::string &team, std::int64_t count);
    void setRecalled(const std::string &team, std::int64_t count);

    /** Takes a permit if one is available. Returns whether it did. */
    bool take(const std::string &team, SteadyTime now);
    /** Gives back a permit now. */
    void giveBack(const std::string &team);
    /** Gives back a permit at @p freeAt, the time at which the lease of its task expires. */
    void giveBackAt(const std::string &team, SteadyTime freeAt);

    /** Number of available permits. Negative after quota was lost while tasks were running. */
    std::int64_t available(const std::string &team, SteadyTime now);
    /** Whether take() would succeed. */
    bool canTake(const std::string &team, SteadyTime now);
    /** Whether more tasks run than the quotas allow, recalled quota included, for instance after a loan of quota was not confirmed. */
    bool isOverLimit(const std::string &team, SteadyTime now);

    /** Status of each team, by name. */
    std::map<std::string, TeamLimitStatus> status(SteadyTime now);

private:
    struct Entry {
        TeamLimitStatus status;
        /** Times at which permits are given back, see giveBackAt(). */
        std::vector<SteadyTime> releaseTimes;
    };
    /** Gives back the permits whose release time is not after @p now. */
    void releaseExpired(Entry &entry, SteadyTime now);
    static std::int64_t availableOf(const TeamLimitStatus &status);

    std::map<std::string, Entry> m_teams;
};

}
