#pragma once

#include "scheduling/machines.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Cornelquay {

/** How long maintenance takes. */
struct WaveTimes {
    /** From the order until the machine is back. */
    std::chrono::milliseconds maintenance{2000};
    /** Until the runs on a machine that takes no new work have ended, as a rule. */
    std::chrono::milliseconds emptying{3000};
    /** Until one lasting run of a step is at work elsewhere, so that the next one may go. */
    std::chrono::milliseconds evacuation{3000};
    /** Before the end of a wave, machines without lasting runs are maintained whatever runs there. */
    std::chrono::milliseconds forceBefore{3000};
};

/** What a wave asks for now. */
struct WaveDecision {
    std::vector<MaintainMachine> maintain;
    /** Machines that take no new work. */
    std::vector<MachineId> cordon;
    /** Machines whose lasting runs should go elsewhere. */
    std::vector<MachineId> evacuate;
    /** Machines that are still to be maintained. */
    std::vector<MachineId> due;
    /** Every machine that stays has been maintained. */
    bool completed = false;
};

/**
 * Plans one wave of maintenance: machines that are empty at once, then as many emptied at a time as
 * the time that is left asks for, never more out than the wave allows. Pure.
 *
 * Answers the load pattern "a wave meets surges by turns": machines of pools with waiting work are
 * taken last, and at most a part of a pool is emptied at once.
 */
class WavePlan
{
public:
    WavePlan(WaveSpec spec, WaveTimes times, BootTime seenAt);

    // Commands.
    void restore(const WaveRecord &record);
    /** The machine's maintenance began. */
    void noteDone(const MachineId &machine, BootTime now);
    void noteCompleted();
    WaveDecision decide(const std::map<MachineId, MachineView> &machines, const std::map<std::string, Resources> &backlog, BootTime now);

    // Queries.
    const WaveSpec &spec() const;
    WaveRecord record() const;
    bool isCompleted() const;

private:
    bool isOut(const MachineId &machine, const MachineView &view, BootTime now) const;
    std::size_t wantedAtOnce(const std::vector<const MachineView *> &left, BootTime now) const;

    WaveSpec m_spec;
    WaveTimes m_times;
    BootTime m_endsAt;
    std::set<MachineId> m_done;
    std::map<MachineId, BootTime> m_doneAt;
    std::set<MachineId> m_emptying;
    bool m_completed = false;
};

}
