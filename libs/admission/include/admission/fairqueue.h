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

/** How soon work is to start. */
enum class Urgency {
    Normal,
    Urgent,
};

/** One request that waits for its turn. */
struct WaitingWork {
    std::uint64_t id = 0;
    std::string team;
    /** Dominant share of the pool that it takes while it runs, from 0 to 1. */
    double cost = 0;
    Urgency urgency = Urgency::Normal;
    SteadyTime enteredAt;
};

/** The next turn goes to the request that waits longest; for comparison. */
struct FirstComeTurns {
};

/** Shares count what this node alone runs; for comparison. */
struct NodeShareTurns {
};

/** Shares count what all nodes run. */
struct FleetShareTurns {
};

/** How the next turn is chosen. */
using TurnPolicy = std::variant<FleetShareTurns, NodeShareTurns, FirstComeTurns>;

/** Urgent work of a team above its share goes before everything once it waited this long. */
constexpr std::chrono::milliseconds UrgentPatience{2000};

/**
 * The order in which waiting work of one pool gets its turn.
 *
 * The next turn goes to the team with the least use for its share (weighted dominant resource
 * fairness, Ghodsi et al., NSDI 2011), where use counts this node's tasks and those that other
 * nodes report. Urgent work of a team within its share goes first; urgent work of other teams goes
 * first after UrgentPatience, so that it starts in time without letting a team mark itself ahead.
 * Pure policy: no clock, no threads. Not thread-safe.
 */
class FairQueue
{
public:
    explicit FairQueue(TurnPolicy policy = FleetShareTurns{});

    /** Sets the share of each team, from 0 to 1. Teams not named have the least share. */
    void setShares(const std::map<std::string, double> &shares);
    /** Sets how many tasks other nodes run for each team; they count as costly as the newest work here. */
    void setRemoteRunning(const std::map<std::string, std::int64_t> &running);
    /** Bounds the tasks of each team on this node; teams not named, or all if empty, are not bounded. */
    void setParts(std::map<std::string, std::int64_t> parts);

    /** Work that was sent back keeps its place by when it entered first. */
    void push(WaitingWork work);
    /** Takes waiting work out that is no longer wanted; whether it was there. */
    bool remove(const std::string &team, std::uint64_t id);

    /**
     * Takes out the work whose turn it is among the teams that @p mayRun allows, and counts its
     * cost as in use until release().
     */
    std::optional<WaitingWork> next(SteadyTime now, const std::function<bool(const std::string &team)> &mayRun);
    void release(const std::string &team, double cost);

    // Queries.
    std::size_t waiting() const;
    std::size_t waiting(const std::string &team) const;
    /** Cost in use on this node by @p team. */
    double use(const std::string &team) const;
    /** Tasks of each team on this node, in this pool. */
    std::map<std::string, TeamDemand> demand() const;

private:
    struct TeamQueue {
        std::deque<WaitingWork> urgent;
        std::deque<WaitingWork> normal;
        double localUse = 0;
        std::int64_t running = 0;
        std::int64_t remoteRunning = 0;
        double share = 0;
    };
    /** Where a team stands in the order; the least goes first. */
    struct Rank {
        /** 0: urgent by right or by patience; 1: everything else. */
        int precedence = 1;
        double useForShare = 0;
        SteadyTime enteredAt;

        bool operator<(const Rank &other) const;
    };

    Rank rankFor(const FirstComeTurns &, const TeamQueue &queue, SteadyTime now) const;
    Rank rankFor(const NodeShareTurns &, const TeamQueue &queue, SteadyTime now) const;
    Rank rankFor(const FleetShareTurns &, const TeamQueue &queue, SteadyTime now) const;
    Rank rankByUse(const TeamQueue &queue, double use, double totalUse, SteadyTime now) const;
    static const WaitingWork &front(const TeamQueue &queue);
    bool isWithinPart(const std::string &team, const TeamQueue &queue) const;
    double remoteUse(const TeamQueue &queue) const;
    static bool isEmpty(const TeamQueue &queue);
    Rank rank(const TeamQueue &queue, SteadyTime now) const;
    double localUse() const;
    double fleetUse() const;

    TurnPolicy m_policy;
    double m_taskCost = 0;
    std::map<std::string, std::int64_t> m_parts;
    std::map<std::string, TeamQueue> m_teams;
    std::size_t m_waiting = 0;
};

}
