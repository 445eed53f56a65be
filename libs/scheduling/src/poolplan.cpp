#include "scheduling/poolplan.h"

#include <algorithm>
#include <cmath>

namespace Cornelquay {

namespace {

// Room that is kept above what runs, so that the first jobs of a surge need not wait for a move.
constexpr std::size_t SpareMachines = 1;
// Machines on their way count against a backlog; beyond this many in one decision the list is too old.
constexpr std::size_t MovesAtOnce = 8;

std::size_t machinesFor(const Resources &demand, const Resources &machine)
{
    const double cpu = machine.cpu > 0 ? static_cast<double>(demand.cpu) / static_cast<double>(machine.cpu) : 0;
    const double memory = machine.memory > 0 ? static_cast<double>(demand.memory) / static_cast<double>(machine.memory) : 0;
    const double gpu = machine.gpu > 0 ? static_cast<double>(demand.gpu) / static_cast<double>(machine.gpu) : 0;
    return static_cast<std::size_t>(std::ceil(std::max({cpu, memory, gpu})));
}

}

PoolPlan::PoolPlan(PoolTimes times)
    : m_times(times)
{
}

void PoolPlan::noteInvalid(const MoveMachine &move)
{
    m_invalid.insert({move.machine, move.pool});
}

void PoolPlan::observe(const std::map<MachineId, MachineView> &machines, const std::map<std::string, PoolDemand> &pools, BootTime now)
{
    for (const auto &[id, view] : machines) {
        const bool busy = view.runs > 0 || !view.usable || view.facts.state != MachineState::Up;
        if (busy || m_busyAt.count(id) == 0) {
            m_busyAt[id] = now;
        }
        if (view.facts.state == MachineState::Moving || view.ordered) {
            m_movedAt[id] = now;
        }
    }
    for (const auto &[pool, demand] : pools) {
        if (demand.backlog.cpu <= 0 && demand.backlog.memory <= 0) {
            m_waitsSince.erase(pool);
        } else {
            m_waitsSince.try_emplace(pool, now);
        }
    }
}

std::vector<MoveMachine> PoolPlan::decide(const std::map<MachineId, MachineView> &machines, const std::map<std::string, PoolDemand> &pools, BootTime now)
{
    observe(machines, pools, now);
    std::string standby;
    for (const auto &[pool, demand] : pools) {
        if (demand.standby) {
            standby = pool;
        }
    }
    Resources size;
    std::map<std::string, std::size_t> arriving;
    std::map<std::string, std::vector<IdleMachine>> idle;
    std::vector<const MachineView *> resting;
    for (const auto &[id, view] : machines) {
        size.cpu = std::max(size.cpu, view.facts.capacity.cpu);
        size.memory = std::max(size.memory, view.facts.capacity.memory);
        size.gpu = std::max(size.gpu, view.facts.capacity.gpu);
        if (view.facts.state == MachineState::Moving || view.ordered || (view.facts.state == MachineState::Up && !view.usable)) {
            ++arriving[view.facts.pool];
        }
        const auto moved = m_movedAt.find(id);
        const bool settled = moved == m_movedAt.end() || now - moved->second >= m_times.settle;
        if (view.facts.state != MachineState::Up || view.ordered) {
            continue;
        }
        if (view.facts.pool == standby) {
            resting.push_back(&view);
        } else if (view.usable && view.runs == 0) {
            idle[view.facts.pool].push_back({&view, settled ? now - m_busyAt[id] : std::chrono::milliseconds(0)});
        }
    }
    std::vector<MoveMachine> moves;
    for (const auto &[pool, demand] : pools) {
        const auto waits = m_waitsSince.find(pool);
        if (demand.standby || waits == m_waitsSince.end() || now - waits->second < m_times.waiting) {
            continue;
        }
        std::size_t wanted = machinesFor(demand.backlog, size);
        wanted -= std::min(wanted, arriving[pool] + idle[pool].size());
        while (wanted > 0 && moves.size() < MovesAtOnce) {
            const MachineView *chosen = nullptr;
            if (!resting.empty()) {
                chosen = resting.back();
                resting.pop_back();
            } else {
                // Of pools in their quiet time, the one with most idle machines gives one.
                auto giver = std::max_element(idle.begin(), idle.end(), [](const auto &a, const auto &b) {
                    return a.second.size() < b.second.size();
                });
                if (giver == idle.end() || giver->first == pool || giver->second.size() <= SpareMachines) {
                    break;
                }
                if (m_waitsSince.count(giver->first) != 0 || giver->second.back().idleFor <= std::chrono::milliseconds(0)) {
                    break;
                }
                chosen = giver->second.back().view;
                giver->second.pop_back();
            }
            --wanted;
            if (m_invalid.count({chosen->facts.id, pool}) == 0) {
                moves.push_back({chosen->facts.id, pool});
            }
        }
    }
    if (standby.empty()) {
        return moves;
    }
    for (auto &[pool, unused] : idle) {
        std::sort(unused.begin(), unused.end(), [](const IdleMachine &a, const IdleMachine &b) {
            return a.idleFor < b.idleFor;
        });
        while (unused.size() > SpareMachines && unused.back().idleFor >= m_times.idle && moves.size() < MovesAtOnce) {
            if (m_invalid.count({unused.back().view->facts.id, standby}) == 0) {
                moves.push_back({unused.back().view->facts.id, standby});
            }
            unused.pop_back();
        }
    }
    return moves;
}

}
