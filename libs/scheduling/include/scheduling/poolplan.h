#pragma once

#include "demand/pooloutlook.h"
#include "scheduling/instances.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Cornelquay {

/** Current and expected demand of one pool. */
struct PoolDemand {
    /** Resources in use by runs. */
    Resources used;
    /** Demand of tasks that are ready but not placed; see Scheduler::backlogOf(). */
    Resources backlog;
    /** The part of the backlog that requires a label, by label. */
    std::map<std::string, Resources> labelledBacklog;
    /** What arriving jobs need. */
    PoolOutlook outlook;
    /** The pool holds instances that are switched off. */
    bool standby = false;
};

/** Timing of moves between pools. */
struct PoolTimes {
    /** Time from the order until the instance is usable in its new pool. */
    std::chrono::milliseconds movePeriod{1500};
    /** An instance that was idle for this long may go to the standby pool. */
    std::chrono::milliseconds idleTimeout{2300};
    /** A backlog counts once it lasts this long; before that, runs that end soon may free enough capacity. */
    std::chrono::milliseconds backlogDelay{150};
    /** Minimum time between two moves of one instance. */
    std::chrono::milliseconds minMoveInterval{2000};
    /** Instances whose runs need longer than this to end are not emptied for another pool. */
    std::chrono::milliseconds maxEmptyingPeriod{2500};
};

/** Moves to order now, and instances that must not receive new work so that they can move later. */
struct PoolDecision {
    std::vector<MoveInstance> moves;
    std::vector<InstanceId> cordon;
};

/**
 * Decides which instances move between pools.
 *
 * Demand shifts between pools: each queue in turn needs several times its mean. Each pool is sized for
 * its runs and its backlog, or for the load of arriving jobs if that is larger, so that instances are on
 * their way before the pool is full. If the pools together need more instances than exist, targets are
 * scaled down proportionally. A pool below its target receives idle instances of pools above theirs, then
 * instances of the standby pool. If these do not suffice, pools above their target cordon the busy instances
 * that become empty first. Idle instances that no pool needs go to the standby pool. Performs no I/O and reads no clock; keeps state about recent activity of
 * instances. Not thread-safe.
 */
class PoolPlan
{
public:
    explicit PoolPlan(PoolTimes times);

    PoolDecision decide(const std::map<InstanceId, InstanceView> &instances, const std::map<std::string, PoolDemand> &pools, BootTime now);
    /** Spare instances that all pools together wanted in the latest decision, before the scaling to the fleet. */
    std::size_t spareInstances() const;
    /** The control plane rejected this move as invalid; it is not ordered again. */
    void handleInvalidMove(const MoveInstance &move);

private:
    /** Instances and target of one pool during one decision. */
    struct Balance {
        std::size_t instanceCount = 0;
        std::size_t targetCount = 0;
        /** The part of the target that is spare capacity, before the scaling to the fleet. */
        std::size_t spareCount = 0;
        /** Number of instances that cannot move because of long-running runs. */
        std::size_t pinned = 0;
        /** Resources in use by long-running tasks. */
        Resources longRunning;
        std::vector<const InstanceView *> idle;
        std::vector<const InstanceView *> busy;
        /** Instances that are moving to the pool or have a pending order. */
        std::vector<const InstanceView *> incoming;
        /** Number of instances that the backlog needs, by required label. */
        std::map<std::string, std::size_t> labelledNeed;
    };

    void observe(const std::map<InstanceId, InstanceView> &instances, const std::map<std::string, PoolDemand> &pools, BootTime now);
    /** Number of instances that the arriving jobs need. */
    double arrivingNeed(const PoolOutlook &outlook, const Balance &balance, const Resources &size, BootTime now) const;
    std::map<std::string, Balance>
    computeBalances(const std::map<InstanceId, InstanceView> &instances, const std::map<std::string, PoolDemand> &pools, BootTime now) const;
    /** Moves up to @p maxCount instances of @p free for which @p isWanted holds to @p pool; returns their number. */
    std::size_t assignFree(const std::string &pool,
                           std::size_t maxCount,
                           std::vector<const InstanceView *> &free,
                           PoolDecision &decision,
                           const std::function<bool(const InstanceView &view)> &isWanted) const;
    /** Moves instances of @p free that have the labels required by the backlog of @p pool; returns their number. */
    std::size_t assignLabelled(const std::string &pool, const Balance &balance, std::vector<const InstanceView *> &free, PoolDecision &decision) const;
    bool isSettled(const InstanceId &instance, BootTime now) const;
    bool mayMove(const InstanceView &view, const std::string &pool) const;

    PoolTimes m_times;
    /** See spareInstances(). */
    std::size_t m_spareInstances = 0;
    /** Maximum number of moves of the decision in progress. */
    std::size_t m_moveLimit = 0;
    /** When each instance last had runs or was not usable; before that, when it was seen for the first time. */
    std::map<InstanceId, BootTime> m_busyAt;
    std::map<InstanceId, BootTime> m_movedAt;
    std::map<std::string, BootTime> m_backlogSince;
    std::set<std::pair<InstanceId, std::string>> m_invalid;
};

}
