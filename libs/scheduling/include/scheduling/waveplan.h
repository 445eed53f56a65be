#pragma once

#include "scheduling/instances.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Cornelquay {

/** Timing of maintenance. */
struct WaveTimes {
    /** Time from the order until the instance is back in service. */
    std::chrono::milliseconds maintenancePeriod{2000};
    /** Typical time until the runs on a cordoned instance have ended. */
    std::chrono::milliseconds emptyingPeriod{3000};
    /** Time until one long-running task of a step is ready on another worker, so that the next one may be stopped. */
    std::chrono::milliseconds evacuationPeriod{3000};
    /** In this period before the end of a wave, instances are maintained although they have runs, unless one of the runs is long-running. */
    std::chrono::milliseconds forceMargin{3000};
};

/** What a wave requires at the moment. */
struct WaveDecision {
    /** Maintenance to order now. */
    std::vector<MaintainInstance> maintain;
    /** Instances that must not receive new work. */
    std::vector<InstanceId> cordon;
    /** Instances whose long-running tasks should move to other workers. */
    std::vector<InstanceId> evacuate;
    /** Instances that are being emptied and have begun no maintenance. */
    std::set<InstanceId> emptying;
    /** Instances whose maintenance has not begun. */
    std::vector<InstanceId> due;
    /** Maintenance has begun on every instance of the wave that still exists. */
    bool completed = false;
};

/** For how long a long-running task without a worker has waited, although an instance that is being emptied has room for it. */
enum class DisplacedWait : std::uint8_t {
    /** Instances that still have long-running tasks are given up for it. */
    Long,
    /** Instances without long-running tasks are given up for it too. */
    TooLong,
};

/** What the decision about a wave depends on besides the instances. */
struct WaveSurroundings {
    /** The demand that does not fit into each pool. */
    std::map<std::string, Resources> backlog;
    /** The instances that all waves together are emptying. */
    std::set<InstanceId> emptying;
    /** Pools in which emptying pauses, as a task waits for a worker of theirs. */
    std::map<std::string, DisplacedWait> displaced;
    /** Pools in which only one instance is emptied at a time, as tasks had to wait there. */
    std::set<std::string> crowded;
};

/**
 * Plans one wave of maintenance.
 *
 * Instances that are already being emptied, also by a former owner, come first and stay cordoned until they are empty, then empty instances, then instances
 * with long-running tasks. As many instances are emptied at a time as the remaining time requires. The plan orders no maintenance that would take more
 * instances of the wave out of service than its limit. Because a wave can coincide with surges of different queues, instances that are otherwise equal come
 * later if their pool has a backlog, and only a fraction of a pool is emptied at once, by all waves together. The tasks of an instance that is being emptied
 * may need room that another one has which is being emptied too; then the limits of their steps would keep both from becoming empty. Such instances are
 * given up for a while. Performs no I/O and reads no clock. Not thread-safe.
 */
class WavePlan
{
public:
    WavePlan(WaveSpec spec, WaveTimes times, BootTime seenAt);

    // Commands.
    /** Adds the progress that a former owner recorded. */
    void restore(const WaveRecord &record);
    /** The instance's maintenance began. */
    void noteDone(const InstanceId &instance, BootTime now);
    void noteCompleted();
    WaveDecision decide(const std::map<InstanceId, InstanceView> &instances, const WaveSurroundings &surroundings, BootTime now);

    // Queries.
    const WaveSpec &spec() const;
    WaveRecord record() const;
    bool isCompleted() const;
    /** Instances that the latest decision cordoned so that they become empty. */
    const std::set<InstanceId> &emptying() const;

private:
    bool isOutOfService(const InstanceId &instance, const InstanceView &view, BootTime now) const;
    /** This owner or a former one has begun to empty the instance. */
    bool isEmptying(const InstanceView &view) const;
    /** Whether the instance is given up for the task that waits in its pool. */
    static bool mustPause(const InstanceView &view, const WaveSurroundings &surroundings);
    std::size_t targetConcurrency(const std::vector<const InstanceView *> &pending, BootTime now) const;

    WaveSpec m_spec;
    WaveTimes m_times;
    BootTime m_deadline;
    /** Instances whose maintenance has begun, and when, for those that this owner saw. */
    std::set<InstanceId> m_done;
    std::map<InstanceId, BootTime> m_doneAt;
    std::set<InstanceId> m_emptying;
    bool m_completed = false;
};

}
