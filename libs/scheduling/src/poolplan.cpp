#include "scheduling/poolplan.h"

#include <algorithm>
#include <cmath>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// Fraction of all instances that the active pools together keep as spare capacity, so that the first jobs
// of a surge need not wait for a move. Each active pool gets an equal part, and at least one instance.
constexpr double SpareInstanceFraction = 0.25;
// A pool gets one more instance once its demand would fill this fraction of it.
constexpr double MinLastInstanceFraction = 0.3;
// A decision moves at most this number of instances, so that the next decision can take their effect into account. In large
// fleets it is this fraction of the instances, so that a surge is met in the same time whatever the size of the fleet is.
constexpr std::size_t MinMoveLimit = 12;
constexpr double MaxMovedFraction = 0.08;
// Instances for an expected load are ordered by this much earlier than they are needed: a few decisions order them, and the
// begin of a surge is known only within the gaps between arrivals.
constexpr std::chrono::milliseconds EarlyOrderLead{300};

double instancesFor(const Resources &demand, const Resources &instance)
{
    const auto ratio = [](std::int64_t needed, std::int64_t available) {
        return available > 0 ? static_cast<double>(needed) / static_cast<double>(available) : 0.0;
    };
    return std::max({ratio(demand.cpu, instance.cpu), ratio(demand.memory, instance.memory), ratio(demand.gpu, instance.gpu)});
}

Resources meanOf(const std::map<InstanceId, InstanceView> &instances)
{
    Resources sum;
    for (const auto &[id, view] : instances) {
        sum += view.facts.capacity;
    }
    const auto count = static_cast<std::int64_t>(std::max<std::size_t>(1, instances.size()));
    return {sum.cpu / count, sum.memory / count, sum.gpu / count};
}

bool hasLabel(const InstanceView &view, const std::string &label)
{
    return std::find(view.facts.labels.begin(), view.facts.labels.end(), label) != view.facts.labels.end();
}

std::string findStandby(const std::map<std::string, PoolDemand> &pools)
{
    const auto found = std::find_if(pools.begin(), pools.end(), [](const auto &pool) {
        return pool.second.standby;
    });
    return found == pools.end() ? std::string() : found->first;
}

}

PoolPlan::PoolPlan(PoolTimes times)
    : m_times(times)
{
}

void PoolPlan::handleInvalidMove(const MoveInstance &move)
{
    m_invalid.insert({move.instance, move.pool});
}

std::size_t PoolPlan::spareInstances() const
{
    return m_spareInstances;
}

bool PoolPlan::mayMove(const InstanceView &view, const std::string &pool) const
{
    return m_invalid.count({view.facts.id, pool}) == 0;
}

bool PoolPlan::isSettled(const InstanceId &instance, BootTime now) const
{
    const auto moved = m_movedAt.find(instance);
    return moved == m_movedAt.end() || now - moved->second >= m_times.minMoveInterval;
}

void PoolPlan::observe(const std::map<InstanceId, InstanceView> &instances, const std::map<std::string, PoolDemand> &pools, BootTime now)
{
    for (const auto &[id, view] : instances) {
        const bool busy = view.runs > 0 || !view.usable || view.facts.state != InstancePhase::Up;
        if (busy || m_busyAt.count(id) == 0) {
            m_busyAt[id] = now;
        }
        if (view.facts.state == InstancePhase::Moving) {
            m_movedAt[id] = now;
        }
    }
    for (const auto &[pool, demand] : pools) {
        if (demand.backlog.cpu <= 0 && demand.backlog.memory <= 0) {
            m_backlogSince.erase(pool);
        } else {
            m_backlogSince.try_emplace(pool, now);
        }
    }
}

double PoolPlan::arrivingNeed(const PoolOutlook &outlook, const Balance &balance, const Resources &size, BootTime now) const
{
    const bool isExpected = outlook.expected && now >= outlook.expected->begin - m_times.movePeriod - EarlyOrderLead && now < outlook.expected->until;
    if (!outlook.slack && !isExpected) {
        return instancesFor(outlook.load, size);
    }
    // The load is that of other tasks, for which the capacity of long-running ones is no capacity.
    const double expected = isExpected ? instancesFor(outlook.expected->load + balance.longRunning, size) : 0;
    const double load = instancesFor(outlook.load + balance.longRunning, size);
    // Instances that are on their way were ordered at any time within the period of a move, so on average they work for half of it.
    const double incoming = static_cast<double>(balance.incoming.size());
    const double capacity = static_cast<double>(balance.instanceCount) - incoming / 2;
    return std::max(expected, load + catchUpLoad(load, capacity, m_times.movePeriod, outlook.slack.value_or(0ms)));
}

std::map<std::string, PoolPlan::Balance>
PoolPlan::computeBalances(const std::map<InstanceId, InstanceView> &instances, const std::map<std::string, PoolDemand> &pools, BootTime now) const
{
    const Resources size = meanOf(instances);
    std::map<std::string, Balance> balances;
    std::size_t total = 0;
    for (const auto &[id, view] : instances) {
        Balance &balance = balances[view.pool()];
        if (view.facts.state == InstancePhase::Down || view.evacuated) {
            continue;
        }
        ++total;
        ++balance.instanceCount;
        balance.longRunning += view.longRunningDemand;
        if (view.facts.state != InstancePhase::Up || view.hasPendingOrder) {
            balance.incoming.push_back(&view);
            continue;
        }
        if (view.longRunningRuns > 0) {
            ++balance.pinned;
        } else if (view.runs > 0) {
            balance.busy.push_back(&view);
        } else {
            balance.idle.push_back(&view);
        }
    }
    const auto activePools = std::count_if(pools.begin(), pools.end(), [](const auto &pool) {
        return !pool.second.standby;
    });
    const double sparePerPool = SpareInstanceFraction * static_cast<double>(total) / static_cast<double>(std::max<std::ptrdiff_t>(1, activePools));
    double totalTarget = 0;
    for (const auto &[pool, demand] : pools) {
        const auto backlogSince = m_backlogSince.find(pool);
        const bool isBacklogDue = backlogSince != m_backlogSince.end() && now - backlogSince->second >= m_times.backlogDelay;
        Balance &balance = balances[pool];
        if (demand.standby) {
            continue;
        }
        for (const auto &[label, backlog] : demand.labelledBacklog) {
            balance.labelledNeed[label] = isBacklogDue ? static_cast<std::size_t>(std::ceil(instancesFor(backlog, size))) : 0;
        }
        const double currentNeed = instancesFor(isBacklogDue ? demand.used + demand.backlog : demand.used, size);
        const double instancesNeeded = std::max(currentNeed, arrivingNeed(demand.outlook, balance, size, now));
        const auto needed = static_cast<std::size_t>(std::max(0.0, std::ceil(instancesNeeded - MinLastInstanceFraction)));
        balance.spareCount = std::max<std::size_t>(1, static_cast<std::size_t>(sparePerPool * demand.outlook.spareFraction));
        // Instances with long-running tasks cannot be given up, and their free capacity is spare too.
        balance.targetCount = std::max(needed + balance.spareCount, balance.pinned);
        totalTarget += static_cast<double>(balance.targetCount);
    }
    if (totalTarget > static_cast<double>(total) && totalTarget > 0) {
        for (auto &[pool, balance] : balances) {
            const double scaledTarget = static_cast<double>(balance.targetCount) * static_cast<double>(total) / totalTarget;
            balance.targetCount = std::max(balance.pinned, static_cast<std::size_t>(scaledTarget));
        }
    }
    return balances;
}

std::size_t PoolPlan::assignFree(const std::string &pool,
                                 std::size_t maxCount,
                                 std::vector<const InstanceView *> &free,
                                 PoolDecision &decision,
                                 const std::function<bool(const InstanceView &view)> &isWanted) const
{
    std::size_t assigned = 0;
    for (auto view = free.begin(); view != free.end() && assigned < maxCount && decision.moves.size() < m_moveLimit;) {
        if (!isWanted(**view) || !mayMove(**view, pool)) {
            ++view;
            continue;
        }
        decision.moves.push_back({(*view)->facts.id, pool});
        view = free.erase(view);
        ++assigned;
    }
    return assigned;
}

// Tasks that require a label cannot run on other instances, so their backlog is served separately.
std::size_t PoolPlan::assignLabelled(const std::string &pool, const Balance &balance, std::vector<const InstanceView *> &free, PoolDecision &decision) const
{
    std::size_t assigned = 0;
    for (const auto &[label, neededCount] : balance.labelledNeed) {
        const auto incoming
            = static_cast<std::size_t>(std::count_if(balance.incoming.begin(), balance.incoming.end(), [&label = label](const InstanceView *view) {
                  return hasLabel(*view, label);
              }));
        assigned += assignFree(pool, neededCount - std::min(neededCount, incoming), free, decision, [&pool, &label = label](const InstanceView &view) {
            return view.facts.pool != pool && hasLabel(view, label);
        });
    }
    return assigned;
}

PoolDecision PoolPlan::decide(const std::map<InstanceId, InstanceView> &instances, const std::map<std::string, PoolDemand> &pools, BootTime now)
{
    observe(instances, pools, now);
    m_moveLimit = std::max(MinMoveLimit, static_cast<std::size_t>(MaxMovedFraction * static_cast<double>(instances.size())));
    const std::string standby = findStandby(pools);
    std::map<std::string, Balance> balances = computeBalances(instances, pools, now);
    m_spareInstances = 0;
    for (const auto &[pool, balance] : balances) {
        m_spareInstances += balance.spareCount;
    }
    PoolDecision decision;

    // Pools above their target give up idle instances, and the standby pool gives up all of its idle instances.
    // Instances of other pools come before those of the standby pool, because a direct move saves the detour
    // through the standby pool.
    std::vector<const InstanceView *> free;
    for (auto &[pool, balance] : balances) {
        std::sort(balance.idle.begin(), balance.idle.end(), [this](const InstanceView *a, const InstanceView *b) {
            return m_busyAt.at(a->facts.id) < m_busyAt.at(b->facts.id);
        });
        std::size_t surplus = pool == standby ? balance.idle.size() : balance.instanceCount - std::min(balance.instanceCount, balance.targetCount);
        for (const InstanceView *view : balance.idle) {
            if (surplus == 0) {
                break;
            }
            if (pool == standby || isSettled(view->facts.id, now)) {
                free.push_back(view);
                --surplus;
            }
        }
    }
    std::stable_partition(free.begin(), free.end(), [&](const InstanceView *view) {
        return view->facts.pool != standby;
    });

    std::size_t lacking = 0;
    for (const auto &[pool, balance] : balances) {
        std::size_t missing = pool == standby ? 0 : balance.targetCount - std::min(balance.instanceCount, balance.targetCount);
        missing -= std::min(missing, assignLabelled(pool, balance, free, decision));
        missing -= assignFree(pool, missing, free, decision, [](const InstanceView &) {
            return true;
        });
        lacking += missing;
    }
    for (auto &[pool, balance] : balances) {
        const std::size_t surplus = balance.instanceCount - std::min(balance.instanceCount, balance.targetCount);
        if (pool == standby || surplus <= balance.idle.size() || lacking == 0) {
            continue;
        }
        std::sort(balance.busy.begin(), balance.busy.end(), [](const InstanceView *a, const InstanceView *b) {
            return std::tuple(a->emptyAfter, a->facts.id) < std::tuple(b->emptyAfter, b->facts.id);
        });
        std::size_t maxCount = std::min(surplus - balance.idle.size(), lacking);
        for (const InstanceView *view : balance.busy) {
            if (maxCount == 0 || view->emptyAfter > m_times.maxEmptyingPeriod) {
                break;
            }
            decision.cordon.push_back(view->facts.id);
            --maxCount;
            --lacking;
        }
    }
    for (const InstanceView *view : free) {
        const bool inStandby = standby.empty() || view->facts.pool == standby;
        if (!inStandby && now - m_busyAt.at(view->facts.id) >= m_times.idleTimeout && mayMove(*view, standby) && decision.moves.size() < m_moveLimit) {
            decision.moves.push_back({view->facts.id, standby});
        }
    }
    return decision;
}

}
