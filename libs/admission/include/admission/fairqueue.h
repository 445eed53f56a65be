#pragma once

#include "admission/fairallocation.h"
#include "timing/instant.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Cornelquay {

/** Urgency of a request. */
enum class Urgency {
    Normal,
    Urgent,
};

/** A request that waits for its turn. */
struct WaitingWork {
    /** Unique in the queue. */
    std::uint64_t id = 0;
    std::string team;
    /** Largest fraction of any of the pool's resources that it takes while it runs, from 0 to 1. */
    double cost = 0;
    Urgency urgency = Urgency::Normal;
    /** Time at which the request first entered the queue. */
    SteadyTime enteredAt;
};

/** The next turn goes to the request that has waited longest; within a team, urgent requests go first. Serves as a baseline for comparison. */
struct FirstComeTurns {
};

/** A team's usage counts tasks on this node only. Serves as a baseline for comparison. */
struct NodeShareTurns {
};

/** A team's usage counts tasks on all nodes. */
struct FleetShareTurns {
};

/** Policy by which the next turn is chosen. */
using TurnPolicy = std::variant<FleetShareTurns, NodeShareTurns, FirstComeTurns>;

/** Waiting time after which urgent work goes first even if its team uses more than its share. */
constexpr std::chrono::milliseconds UrgentPromotionDelay{2000};

/**
 * The order in which the waiting work of one pool gets its turn.
 *
 * The next turn goes to the team with the lowest usage relative to its share (weighted dominant
 * resource fairness, Ghodsi et al., NSDI 2011). Usage counts tasks on this node and those reported
 * by other nodes. Urgent work of a team within its share goes first. Urgent work of other teams goes
 * first after UrgentPromotionDelay, so that it starts in time while a team cannot get ahead
 * merely by marking all its work as urgent. Uses no clock and no threads. Not thread-safe.
 *
 * @code
 * FairQueue queue;
 * queue.setShares({{"a", 0.6}, {"b", 0.4}});
 * queue.push({1, "a", 0.01, Urgency::Normal, now});
 * if (const auto work = queue.takeNext(now, mayRun)) {
 *     ...
 *     queue.release(work->team, work->cost);
 * }
 * @endcode
 */
class FairQueue
{
public:
    explicit FairQueue(TurnPolicy policy = FleetShareTurns{});

    /** Sets the share of each team, from 0 to 1. Teams that are not in @p shares get a minimal share. */
    void setShares(const std::map<std::string, double> &shares);
    /**
     * Sets the number of tasks that other nodes run for each team. Each is assumed to cost as much as
     * the newest work here. Teams without a share that never had work here are ignored.
     */
    void setRemoteRunning(const std::map<std::string, std::int64_t> &running);
    /**
     * Limits the running tasks of each team on this node. Urgent work that goes first may exceed the
     * limit. Teams that are not in @p quotas are not limited.
     */
    void setQuotas(std::map<std::string, std::int64_t> quotas);

    /** Adds work in the order of its enteredAt, so that work that has to queue again keeps its place. */
    void push(WaitingWork work);
    /** Removes waiting work, for instance when its deadline has passed. Returns whether it was in the queue. */
    bool remove(const std::string &team, std::uint64_t id);

    /**
     * Removes and returns the work that has the next turn, among the teams that @p mayRun allows.
     * Its cost counts as usage until release(). Empty if there is no such work.
     */
    std::optional<WaitingWork> takeNext(SteadyTime now, const std::function<bool(const std::string &team)> &mayRun);
    /** Ends a turn of @p team with the cost of its work. */
    void release(const std::string &team, double cost);

    // Queries.
    /** Number of waiting requests. */
    std::size_t waiting() const;
    /** Number of waiting requests of @p team. */
    std::size_t waiting(const std::string &team) const;
    /** Total cost of the running tasks of @p team on this node. */
    double usage(const std::string &team) const;
    /** Running and waiting tasks of each team on this node, in this pool. */
    std::map<std::string, TeamDemand> demand() const;

private:
    struct TeamQueue {
        std::deque<WaitingWork> urgent;
        std::deque<WaitingWork> normal;
        double localUsage = 0;
        std::int64_t running = 0;
        std::int64_t remoteRunning = 0;
        double share = 0;
    };
    /** Position of a team in the order of turns. The lowest rank goes first. */
    struct Rank {
        /** 0 for urgent work of a team within its share or after UrgentPromotionDelay, 1 for all other work. */
        int precedence = 1;
        /** Usage divided by the share. */
        double usagePerShare = 0;
        SteadyTime enteredAt;

        bool operator<(const Rank &other) const;
    };

    Rank rankFor(const FirstComeTurns &, const TeamQueue &queue, SteadyTime now) const;
    Rank rankFor(const NodeShareTurns &, const TeamQueue &queue, SteadyTime now) const;
    Rank rankFor(const FleetShareTurns &, const TeamQueue &queue, SteadyTime now) const;
    Rank rankByUsage(const TeamQueue &queue, double usage, double totalUsage, SteadyTime now) const;
    static const WaitingWork &front(const TeamQueue &queue);
    bool isWithinQuota(const std::string &team, const TeamQueue &queue) const;
    double remoteUsage(const TeamQueue &queue) const;
    static bool isEmpty(const TeamQueue &queue);
    Rank rank(const TeamQueue &queue, SteadyTime now) const;
    double localUsage() const;
    double fleetUsage() const;

    TurnPolicy m_policy;
    /** Cost of the newest work, an estimate for tasks on other nodes. */
    double m_newestCost = 0;
    std::map<std::string, std::int64_t> m_quotas;
    std::map<std::string, TeamQueue> m_teams;
    std::size_t m_waiting = 0;
};

}
