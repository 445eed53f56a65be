#pragma once

#include "scheduling/instances.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Cornelquay {

/** What a pool has to do now. */
struct PoolDemand {
    /** Taken up by runs. */
    Resources used;
    /** Of work that is ready, finds no room and can still be in time. */
    Resources backlog;
    /** The part of the backlog that needs workers with a label, by label. */
    std::map<std::string, Resources> labelledBacklog;
    /** What the work that comes in keeps busy once it runs: its rate times its length. */
    Resources offered;
    bool standby = false;
};

/** When instances change their pool. */
struct PoolTimes {
    /** From the order until the instance works in its new pool. */
    std::chrono::milliseconds move{1500};
    /** An instance that had nothing to do for this long is not needed where it is. */
    std::chrono::milliseconds idleTimeout{2300};
    /** Work that waits for this long is not served by the next runs that end. */
    std::chrono::milliseconds backlogDelay{150};
    /** Least time between two moves of one instance. */
    std::chrono::milliseconds minMoveInterval{2000};
    /** Instances whose runs end later than this are not emptied for another pool. */
    std::chrono::milliseconds maxEmptyingPeriod{2500};
};

/** Which instances move, and which take no new work so that they can. */
struct PoolDecision {
    std::vector<MoveInstance> moves;
    std::vector<InstanceId> cordon;
};

/**
 * Decides which instances change their pool.
 *
 * Answers the load pattern "each queue in turn asks for several times its mean": each pool is to have
 * what its runs and its waiting work need, or what comes in will need, so that instances are on their
 * way before the pool is full; when all pools together need more than there is, each gets
 * its part. Instances come from those that are idle, from the standby pool, and from pools that have
 * more than they need, where the ones that are empty soonest take no new work. What nobody needs goes
 * to the standby pool. Pure; remembers the recent past only.
 */
class PoolPlan
{
public:
    explicit PoolPlan(PoolTimes times);

    PoolDecision decide(const std::map<InstanceId, InstanceView> &instances, const std::map<std::string, PoolDemand> &pools, BootTime now);
    /** The instance cannot go to this pool. */
    void noteInvalid(const MoveInstance &move);

private:
    /** A pool during one decision. */
    struct Balance {
        std::size_t instanceCount = 0;
        std::size_t targetCount = 0;
        /** Instances that must stay for their lasting runs. */
        std::size_t pinned = 0;
        std::vector<const InstanceView *> idle;
        std::vector<const InstanceView *> busy;
        /** On their way to the pool. */
        std::vector<const InstanceView *> incoming;
        /** Instances with a label that work waits for. */
        std::map<std::string, std::size_t> labelledNeed;
    };

    void observe(const std::map<InstanceId, InstanceView> &instances, const std::map<std::string, PoolDemand> &pools, BootTime now);
    std::map<std::string, Balance>
    computeBalances(const std::map<InstanceId, InstanceView> &instances, const std::map<std::string, PoolDemand> &pools, BootTime now) const;
    /** Moves at most @p most of the free instances that are wanted to @p pool; gives their number. */
    std::size_t assignFree(const std::string &pool,
                           std::size_t maxCount,
                           std::vector<const InstanceView *> &free,
                           PoolDecision &decision,
                           const std::function<bool(const InstanceView &view)> &isWanted) const;
    /** Moves free instances with the labels that @p pool waits for; gives their number. */
    std::size_t assignLabelled(const std::string &pool, const Balance &balance, std::vector<const InstanceView *> &free, PoolDecision &decision) const;
    bool isSettled(const InstanceId &instance, BootTime now) const;
    bool mayMove(const InstanceView &view, const std::string &pool) const;

    PoolTimes m_times;
    std::map<InstanceId, BootTime> m_busyAt;
    std::map<InstanceId, BootTime> m_movedAt;
    std::map<std::string, BootTime> m_backlogSince;
    std::set<std::pair<InstanceId, std::string>> m_invalid;
};

}
