#pragma once

#include "scheduling/machines.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Cornelquay {

/** What a pool has to do now. */
struct PoolDemand {
    /** Taken up by runs. */
    Resources used;
    /** Of work that is ready and finds no room. */
    Resources backlog;
    bool standby = false;
};

/** When machines change their pool. */
struct PoolTimes {
    /** From the order until the machine works in its new pool. */
    std::chrono::milliseconds move{1500};
    /** A machine that had nothing to do for this long is not needed where it is. */
    std::chrono::milliseconds idle{1200};
    /** Work that waits for this long is not served by the next runs that end. */
    std::chrono::milliseconds waiting{150};
    /** Least time between two moves of one machine. */
    std::chrono::milliseconds settle{2500};
};

/**
 * Decides which machines change their pool.
 *
 * Answers the load pattern "each queue in turn asks for several times its mean": machines that are
 * idle go to the pool whose work waits, from the standby pool and from pools in their quiet time,
 * and to the standby pool when nobody needs them. Pure; remembers the recent past only.
 */
class PoolPlan
{
public:
    explicit PoolPlan(PoolTimes times);

    std::vector<MoveMachine> decide(const std::map<MachineId, MachineView> &machines, const std::map<std::string, PoolDemand> &pools, BootTime now);
    /** The machine cannot go to this pool. */
    void noteInvalid(const MoveMachine &move);

private:
    struct IdleMachine {
        const MachineView *view = nullptr;
        std::chrono::milliseconds idleFor{0};
    };

    void observe(const std::map<MachineId, MachineView> &machines, const std::map<std::string, PoolDemand> &pools, BootTime now);

    PoolTimes m_times;
    std::map<MachineId, BootTime> m_busyAt;
    std::map<MachineId, BootTime> m_movedAt;
    std::map<std::string, BootTime> m_waitsSince;
    std::set<std::pair<MachineId, std::string>> m_invalid;
};

}
