#pragma once

#include "capacity/wave.h"
#include "details/periodictask.h"
#include "platform/platformservice.h"
#include "replica/replica.h"
#include "telemetry/metrics.h"

#include <functional>

namespace Cornelquay::Details {

/** The next step of a planned outage. */
enum class OutageStep {
    Wait,
    Drain,
    Reboot,
    /** End the outage as maintained: the instance was rebooted and serves again. */
    EndMaintained,
    /** End the outage as not maintained: it did not begin before its deadline, and the instance serves without a reboot. */
    EndUnmaintained,
};

/**
 * Decides the next step of a planned outage. @p listed is the instance in the platform's list, null if
 * it is not listed. Pure.
 */
OutageStep nextStep(const InstanceEntry &instance, const ListedInstance *listed, WallTime now);

/**
 * Carries out maintenance: starts waves when they are due, proposes outages, and takes each outage
 * through drain and reboot to its end.
 *
 * Any node may perform any step: commands carry the offset of the grant as fencing token and a time
 * limit, so the platform refuses outdated and late commands, and repeating one is harmless. To avoid
 * duplicate work, members other than the first act only after a time without new records that grows
 * with their rank. Created once per node.
 */
class WaveController
{
public:
    /** @p mayChange returns whether this node's view allows changing instances. */
    WaveController(Replica &replica, PlatformService &platform, Incarnation self, std::function<bool()> mayChange, Metrics &metrics);
    void start();
    void stop();

private:
    void runCycle();
    /** Whether it is this node's task to act now. */
    bool mayAct(SteadyTime now);
    void startDueWave();
    void stopFailingWave();
    void proposeOutages();
    void advanceOutages();
    void carryOut(const std::string &name, const InstanceEntry &instance, OutageStep step);
    void propose(RecordBody body, const std::string &reason);

    Replica &m_replica;
    PlatformService &m_platform;
    const Incarnation m_self;
    const std::function<bool()> m_mayChange;
    Offset m_lastOffset = 0;
    SteadyTime m_unchangedSince;
    Counter m_proposedOutagesTotal;
    Counter m_refusedProposalsTotal;
    PeriodicTask m_task;
};

}
