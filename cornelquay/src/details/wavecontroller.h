#pragma once

#include "capacity/wave.h"
#include "details/periodictask.h"
#include "platform/platformservice.h"
#include "replica/replica.h"
#include "telemetry/metrics.h"

#include <functional>

namespace Cornelquay::Details {

/** The next thing to do for an instance that is out on purpose. */
enum class OutageStep {
    Wait,
    Drain,
    Reboot,
    /** The outage is over: the instance serves as a new incarnation. */
    EndMaintained,
    /** The outage was not begun in time, or the instance serves without a reboot. */
    EndUnmaintained,
};

/** Decides the next step from the records, the platform's list and the time. Pure. */
OutageStep nextStep(const InstanceEntry &instance, const ListedInstance *listed, WallTime now);

/**
 * Carries maintenance out: starts waves when they are due, proposes outages, and brings each outage
 * to its end through drain and reboot.
 *
 * Any node may do each step: commands carry the grant's offset as fencing number and its time
 * limit, so a repeated, late or outdated command is refused by the platform. The first present
 * member acts; the others only if it does not. Created once per node.
 */
class WaveController
{
public:
    /** @p mayChange tells whether this node's view allows changing instances. */
    WaveController(Replica &replica, PlatformService &platform, Incarnation self, std::function<bool()> mayChange, Metrics &metrics);
    void start();
    void stop();

private:
    void runCycle();
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
    Counter m_refusedOutagesTotal;
    PeriodicTask m_task;
};

}
