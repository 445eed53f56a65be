#pragma once

#include "jobnode/ports.h"
#include "scheduling/poolplan.h"
#include "scheduling/scheduler.h"
#include "scheduling/waveplan.h"
#include "telemetry/metrics.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Cornelquay {

/** Times of the instances' control plane. */
struct InstanceTimes {
    PoolTimes pools;
    WaveTimes waves;
    /** Between orders of two owners. */
    std::chrono::milliseconds handOver{3200};
};

/** When an owner may give its first order for each instance, after those of its predecessor. */
struct InstanceHandOver {
    /** All of the predecessor's recent orders are known. */
    bool isExact = false;
    std::map<InstanceId, BootTime> heldUntil;
    /** For instances of which nothing is known. */
    BootTime restFrom{};
};

/**
 * Keeps the instances: gives each pool what it needs and carries out waves of maintenance. Part of a
 * reign; driven by its pump. Lives on the node's thread.
 */
class FleetKeeper : public std::enable_shared_from_this<FleetKeeper>
{
public:
    FleetKeeper(InstancePort &port, Scheduler &scheduler, InstanceTimes times, std::uint64_t epoch, InstanceHandOver handOver, Metrics &metrics);

    // Commands.
    void addWave(const WaveSpec &spec, BootTime seenAt);
    void restore(const WaveRecord &record);
    /** Reads the list and gives orders, as far as they are due. */
    void advance(BootTime now, const FleetPolicy &policy, bool mayAct);
    void end();
    /** Instances that were ordered about within the time of a hand-over, and how long ago. */
    std::map<InstanceId, std::int64_t> recentOrders() const;
    /** Records that changed since the last call, for storing. */
    std::vector<WaveRecord> takeChanged();
    /** The next takeChanged() gives the records of all waves. */
    void renewAll();

private:
    void refresh(BootTime now);
    void readPage(const std::string &token);
    std::map<InstanceId, InstanceView> viewInstances(BootTime now) const;
    bool mayOrder(const InstanceFacts &facts, BootTime now) const;
    void decideWaves(const std::map<InstanceId, InstanceView> &views, BootTime now);
    void decidePools(const std::map<InstanceId, InstanceView> &views, const FleetPolicy &policy, BootTime now);
    void give(const InstanceOrder &order, BootTime now);
    void noteResult(const InstanceOrder &order, const WorkerId &worker, const InstanceResult &result);
    void reportWave(std::uint64_t number, bool completed);

    InstancePort &m_port;
    Scheduler &m_scheduler;
    const InstanceTimes m_times;
    const std::uint64_t m_epoch;
    const InstanceHandOver m_handOver;
    Counter m_movesTotal;
    Counter m_maintenanceTotal;
    PoolPlan m_pools;
    std::map<std::uint64_t, WavePlan> m_waves;
    std::map<std::uint64_t, WaveRecord> m_restored;
    std::set<std::uint64_t> m_changed;
    std::set<std::uint64_t> m_reported;
    std::map<InstanceId, InstanceFacts> m_instances;
    std::map<InstanceId, InstanceFacts> m_reading;
    /** Orders under way or so recent that the list may not show them. */
    std::map<InstanceId, BootTime> m_orderedAt;
    /** Pools of moves that the list may not show. */
    std::map<InstanceId, std::string> m_movingTo;
    /** When each instance was last ordered about, taken or not. */
    std::map<InstanceId, BootTime> m_givenAt;
    std::set<InstanceId> m_inFlight;
    std::vector<WorkerId> m_cordoned;
    BootTime m_listedAt{};
    BootTime m_decidedAt{};
    bool m_listing = false;
    bool m_ended = false;
};

}
