#pragma once

#include "scheduling/instances.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Cornelquay {

/** How long maintenance takes. */
struct WaveTimes {
    /** From the order until the instance is back. */
    std::chrono::milliseconds maintenance{2000};
    /** Until the runs on an instance that takes no new work have ended, as a rule. */
    std::chrono::milliseconds emptyingPeriod{3000};
    /** Until one lasting run of a step is at work elsewhere, so that the next one may go. */
    std::chrono::milliseconds evacuationPeriod{3000};
    /** Before the end of a wave, instances without lasting runs are maintained whatever runs there. */
    std::chrono::milliseconds forceMargin{3000};
};

/** What a wave asks for now. */
struct WaveDecision {
    std::vector<MaintainInstance> maintain;
    /** Instances that take no new work. */
    std::vector<InstanceId> cordon;
    /** Instances whose lasting runs should go elsewhere. */
    std::vector<InstanceId> evacuate;
    /** Instances that are still to be maintained. */
    std::vector<InstanceId> due;
    /** Every instance that stays has been maintained. */
    bool completed = false;
};

/**
 * Plans one wave of maintenance: instances that are empty at once, then as many emptied at a time as
 * the time that is left asks for, never more out than the wave allows. Pure.
 *
 * Answers the load pattern "a wave meets surges by turns": instances of pools with waiting work are
 * taken last, and at most a part of a pool is emptied at once.
 */
class WavePlan
{
public:
    WavePlan(WaveSpec spec, WaveTimes times, BootTime seenAt);

    // Commands.
    void restore(const WaveRecord &record);
    /** The instance's maintenance began. */
    void noteDone(const InstanceId &instance, BootTime now);
    void noteCompleted();
    WaveDecision decide(const std::map<InstanceId, InstanceView> &instances, const std::map<std::string, Resources> &backlog, BootTime now);

    // Queries.
    const WaveSpec &spec() const;
    WaveRecord record() const;
    bool isCompleted() const;

private:
    bool isOutOfService(const InstanceId &instance, const InstanceView &view, BootTime now) const;
    std::size_t targetConcurrency(const std::vector<const InstanceView *> &pending, BootTime now) const;

    WaveSpec m_spec;
    WaveTimes m_times;
    BootTime m_deadline;
    std::set<InstanceId> m_done;
    std::map<InstanceId, BootTime> m_doneAt;
    std::set<InstanceId> m_emptying;
    bool m_completed = false;
};

}
