#pragma once

#include "timing/instant.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
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
    /** Sets the share of each team, from 0 to 1. Teams not named have the least share. */
    void setShares(const std::map<std::string, double> &shares);
    /** Sets what other nodes run for each team, in cost. */
    void setRemoteUse(const std::map<std::string, double> &use);

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
    std::map<std::string, std::size_t> waitingByTeam() const;
    std::map<std::string, double> useByTeam() const;

private:
    struct TeamQueue {
        std::deque<WaitingWork> urgent;
        std::deque<WaitingWork> normal;
        double localUse = 0;
        double remoteUse = 0;
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

    static const WaitingWork &front(const TeamQueue &queue);
    static bool isEmpty(const TeamQueue &queue);
    Rank rank(const TeamQueue &queue, SteadyTime now) const;
    double totalUse() const;

    std::map<std::string, TeamQueue> m_teams;
    std::size_t m_waiting = 0;
};

}
