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

/** Times of the machines' control plane. */
struct MachineTimes {
    PoolTimes pools;
    WaveTimes waves;
    /** Between orders of two owners. */
    std::chrono::milliseconds handOver{3200};
};

/** When an owner may give its first order for each machine, after those of its predecessor. */
struct MachineHandOver {
    /** All of the predecessor's recent orders are known. */
    bool isExact = false;
    std::map<MachineId, BootTime> heldUntil;
    /** For machines of which nothing is known. */
    BootTime restFrom{};
};

/**
 * Keeps the machines: gives each pool what it needs and carries out waves of maintenance. Part of a
 * reign; driven by its pump. Lives on the node's thread.
 */
class MachineKeeper : public std::enable_shared_from_this<MachineKeeper>
{
public:
    MachineKeeper(MachinePort &port, Scheduler &scheduler, MachineTimes times, std::uint64_t epoch, MachineHandOver handOver, Metrics &metrics);

    // Commands.
    void addWave(const WaveSpec &spec, BootTime seenAt);
    void restore(const WaveRecord &record);
    /** Reads the list and gives orders, as far as they are due. */
    void advance(BootTime now, const FleetPolicy &policy, bool mayAct);
    void end();
    /** Machines that were ordered about within the time of a hand-over, and how long ago. */
    std::map<MachineId, std::int64_t> recentOrders() const;
    /** Records that changed since the last call, for storing. */
    std::vector<WaveRecord> takeChanged();

private:
    void refresh(BootTime now);
    void readPage(const std::string &token);
    std::map<MachineId, MachineView> viewMachines(BootTime now) const;
    bool mayOrder(const MachineFacts &facts, BootTime now) const;
    void decideWaves(const std::map<MachineId, MachineView> &views, BootTime now);
    void decidePools(const std::map<MachineId, MachineView> &views, const FleetPolicy &policy, BootTime now);
    void give(const MachineOrder &order, BootTime now);
    void noteResult(const MachineOrder &order, const WorkerId &worker, const MachineResult &result);
    void reportWave(std::uint64_t number, bool completed);

    MachinePort &m_port;
    Scheduler &m_scheduler;
    const MachineTimes m_times;
    const std::uint64_t m_epoch;
    const MachineHandOver m_handOver;
    Counter m_movesTotal;
    Counter m_maintenanceTotal;
    PoolPlan m_pools;
    std::map<std::uint64_t, WavePlan> m_waves;
    std::map<std::uint64_t, WaveRecord> m_restored;
    std::set<std::uint64_t> m_changed;
    std::set<std::uint64_t> m_reported;
    std::map<MachineId, MachineFacts> m_machines;
    std::map<MachineId, MachineFacts> m_reading;
    /** Orders under way or so recent that the list may not show them. */
    std::map<MachineId, BootTime> m_orderedAt;
    /** When each machine was last ordered about, taken or not. */
    std::map<MachineId, BootTime> m_givenAt;
    std::set<MachineId> m_inFlight;
    std::vector<WorkerId> m_cordoned;
    BootTime m_listedAt{};
    BootTime m_decidedAt{};
    bool m_listing = false;
    bool m_ended = false;
};

}
