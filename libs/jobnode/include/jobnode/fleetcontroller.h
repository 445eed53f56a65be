#pragma once

#include "jobnode/orderannouncements.h"
#include "jobnode/ports.h"
#include "jobnode/predecessororders.h"
#include "scheduling/poolplan.h"
#include "scheduling/scheduler.h"
#include "scheduling/waveplan.h"
#include "telemetry/metrics.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Cornelquay {

/** Times that govern the orders to the instances' control plane. */
struct InstanceTimes {
    PoolTimes pools;
    WaveTimes waves;
    /** Minimum time between the orders that two successive owners give for one instance. */
    std::chrono::milliseconds handOverDelay{3200};
    /** An order without an answer in this time counts as unanswered; its connection is reset, so that it arrives by then or never. */
    std::chrono::milliseconds orderTimeout{1000};
    /** Orders that the control plane accepts in a second from all nodes together; it refuses further ones. 0 if there is no limit. */
    double maxOrdersPerSecond = 0;
};

/**
 * Controls the instances: moves them between pools as the pools need them, and carries out waves of
 * maintenance. An order is sent only after a record that names its instance is stored, see OrderAnnouncements. Part of a JobOwner,
 * which calls advance() periodically and stores the records. Must be used on the node's thread.
 */
class FleetController : public std::enable_shared_from_this<FleetController>
{
public:
    /** @p mayOrder tells whether the owner may give orders and reports; it is also checked when they are sent. */
    FleetController(InstancePort &port,
                    Scheduler &scheduler,
                    InstanceTimes times,
                    std::uint64_t epoch,
                    InstanceHandOver handOver,
                    SendCondition mayOrder,
                    Metrics &metrics);

    // Commands.
    /** Starts a wave that was first seen at @p seenAt; ignored if the wave is known. */
    void addWave(const WaveSpec &spec, BootTime seenAt);
    /** Restores the stored state of a wave; must be called before addWave() for that wave. */
    void restore(const WaveRecord &record);
    /** The predecessor was fenced at @p fencedAt; must be called before advance(). */
    void notePredecessorFenced(BootTime fencedAt);
    /** Uses the record of an earlier owner's orders; must be called after notePredecessorFenced() and before advance(). */
    void restoreOrders(const std::string &bytes);
    /** Reads the list of instances and makes decisions, each at its own interval; decides only while orders may be given. */
    void advance(BootTime now, const FleetPolicy &policy);
    /** Ends all activity; answers that arrive later are ignored. */
    void end();
    /**
     * Instances for which an order was under way within InstanceTimes::handOverDelay, and how long ago, in milliseconds;
     * negative if it may still arrive, by the time until when it may.
     */
    std::map<InstanceId, std::int64_t> recentOrders() const;
    /** Returns the records of waves that changed since the last call, for storing. */
    std::vector<WaveRecord> takeChanged();
    /** Returns the record of instances with orders if it has to be stored now, with the key InstanceOrdersKey. */
    std::optional<std::string> takeAnnouncement(BootTime now);
    /** Sends the orders that the record returned last names, as that record is stored. */
    void handleAnnouncementStored(BootTime now);
    /** Makes the next takeChanged() and takeAnnouncement() return all records; those returned before are given up. */
    void markAllChanged();

    // Queries.
    /** Whether takeAnnouncement() may return a record. */
    bool isAnnouncementDue(BootTime now) const;

private:
    void refresh(BootTime now);
    void readPage(const std::string &token);
    std::map<InstanceId, InstanceView> viewInstances(BootTime now) const;
    bool mayOrder(const InstanceFacts &facts, BootTime now) const;
    void decideWaves(const std::map<InstanceId, InstanceView> &views, BootTime now);
    /** Collects what the waves need to know of each other and of the pools. Begins or prolongs the pauses of emptying. */
    WaveSurroundings surroundingsOfWaves(const std::map<InstanceId, InstanceView> &views, BootTime now);
    /** Logs the instances whose long-running tasks the wave moves, with the number of these tasks, if they have changed. */
    void logEmptying(std::uint64_t wave, const WaveDecision &decision, const std::map<InstanceId, InstanceView> &views);
    void decidePools(const std::map<InstanceId, InstanceView> &views, const FleetPolicy &policy, BootTime now);
    /** Refills the allowance of orders by the time since the last call. */
    void refillOrderAllowance(BootTime now);
    /** Whether another order may be sent without exceeding the rate that the control plane accepts. */
    bool hasOrderAllowance() const;
    /** Decides on an order; it is sent once its instance is announced. */
    void announceOrder(const InstanceOrder &order, BootTime now);
    void sendOrder(const DecidedOrder &decided, BootTime now);
    /** Takes back orders that were not sent, so that they are decided again. */
    void takeBack(const std::vector<DecidedOrder> &orders, std::string_view reason, BootTime now);
    /** Ends the cordons of workers whose unanswered orders the list of instances shows. */
    void forgetShownOrders();
    /** A move is not sent any more once the zone of the instance is evacuated. */
    SendCondition sendConditionOf(const InstanceOrder &order);
    /** Uses the list of instances that was read to its end: runs of workers that it shows to be replaced have ended. */
    void applyList(std::map<InstanceId, InstanceFacts> instances);
    /** Logs, with the first list of instances, which of them the predecessor's orders block. */
    void reportPredecessorOrders(BootTime now);
    void noteResult(const InstanceOrder &order, const WorkerId &worker, const InstanceResult &result);
    void reportWave(std::uint64_t number, bool completed);

    InstancePort &m_port;
    Scheduler &m_scheduler;
    const InstanceTimes m_times;
    const std::uint64_t m_epoch;
    PredecessorOrders m_predecessor;
    OrderAnnouncements m_announcements;
    const SendCondition m_mayOrder;
    Counter m_movesTotal;
    Counter m_maintenanceTotal;
    Counter m_announcementsTotal;
    Counter m_takenBackTotal;
    Gauge m_spareInstances;
    PoolPlan m_pools;
    std::map<std::uint64_t, WavePlan> m_waves;
    /** Emptying of instances pauses in a pool, because a long-running task waits there; afterwards they are emptied one at a time. */
    struct DisplacementPause {
        BootTime until{};
        DisplacedWait length = DisplacedWait::Long;
    };
    /** By pool; those of the waves that are open. */
    std::map<std::string, DisplacementPause> m_pauses;
    /** See logEmptying(); by wave. */
    std::map<std::uint64_t, std::string> m_loggedEmptying;
    /** Stored records of waves, by number; their waves may not have been added yet. */
    std::map<std::uint64_t, WaveRecord> m_restored;
    /** Waves whose records changed since the last takeChanged(). */
    std::set<std::uint64_t> m_changed;
    /** Waves whose completion was reported or is being reported. */
    std::set<std::uint64_t> m_reported;
    /** The list of instances that was last read to its end. */
    std::map<InstanceId, InstanceFacts> m_instances;
    /** The pages of the list that is being read. */
    std::map<InstanceId, InstanceFacts> m_nextInstances;
    /**
     * When the latest order for each instance was sent or answered; no other order follows until the list shows its effect.
     * An order that was not accepted counts as older than it is, so that it can be repeated sooner.
     */
    std::map<InstanceId, BootTime> m_orderedAt;
    /** Target pools of moves that the list may not show yet. */
    std::map<InstanceId, std::string> m_movingTo;
    /** When the latest order for each instance was given or its result arrived, whether it was accepted or not. */
    std::map<InstanceId, BootTime> m_orderUnderWayAt;
    /** Instances with an order that was sent and is not answered yet. */
    std::set<InstanceId> m_inFlight;
    /** A worker whose instance has an order that is about to be sent, or may take effect at any moment and end it. */
    struct OrderedWorker {
        WorkerId worker;
        /** Set once the answer is missing: a list that was read after it shows whether the order took effect. */
        std::optional<BootTime> unansweredAt;
    };
    std::map<InstanceId, OrderedWorker> m_orderedWorkers;
    /** Orders that may be sent at once, see InstanceTimes::maxOrdersPerSecond. */
    double m_orderAllowance = 0;
    BootTime m_allowanceFilledAt{};
    /** Workers that get no new work, according to the decision in progress or else the latest one. */
    std::vector<WorkerId> m_cordoned;
    BootTime m_listedAt{};
    /** When the read of the list in m_instances began. */
    BootTime m_listBegunAt{};
    /** When the read of the list in m_nextInstances began. */
    BootTime m_nextListBegunAt{};
    BootTime m_decidedAt{};
    bool m_listInFlight = false;
    bool m_hasReportedPredecessor = false;
    bool m_hasDecided = false;
    bool m_ended = false;
};

}
