#pragma once

#include "fleet/fleetstate.h"

#include <string>
#include <variant>
#include <vector>

namespace Cornelquay {

/**
 * Avoids simultaneous outages on both sides of a service dependency. Two pools are neighbours if a
 * service of one depends directly on a service of the other. No outage is chosen in a pool while a
 * neighbour has used up its availability budget, and none that would use up the pool's own budget
 * while a neighbour has an outage. A pool with a budget above 1 leaves one instance of it unused
 * while a neighbour has instances that are due and in service.
 */
struct DependencyAwareWaves {
};

/** Uses each pool's budget in full and ignores dependencies. Serves as a baseline for comparison. */
struct BudgetOnlyWaves {
};

/** Takes one instance of each pool out of service at a time. Serves as a baseline for comparison. */
struct OneAtATimeWaves {
};

/** Policy by which instances are chosen for maintenance. */
using WavePolicy = std::variant<DependencyAwareWaves, BudgetOnlyWaves, OneAtATimeWaves>;

/** An instance to take out of service now. */
struct WaveDecision {
    std::string instance;
    /** Sequence of the instance on which the decision is based; see InstanceEntry::sequence. */
    std::uint64_t sequence = 0;
    /** Reason for the decision, for the audit trail. */
    std::string reason;
};

/** Signals that a wave should be stopped because maintained instances fail. */
struct WaveAlarm {
    /** Instances maintained in the wave. */
    int maintained = 0;
    /** Maintained instances that are failed now. */
    int failedAfterMaintenance = 0;
    /** Description with both counts, for operators. */
    std::string reason;
};

/** Progress of a wave, in instances. */
struct WaveProgress {
    /** Log time, Unix milliseconds. 0 if there was no wave. */
    std::int64_t startedAt = 0;
    /** Not in a planned outage, and either maintained since the wave began or exempted from it. */
    int done = 0;
    /** In a planned outage. */
    int outOfService = 0;
    /** Due and not in a planned outage. */
    int remaining = 0;
    /** Pools in which the wave is blocked because failed instances use up the whole budget. */
    std::vector<std::string> blockedPools;
};

/**
 * The instances to take out of service next in the running wave. Empty while maintenance is paused
 * and before the first wave. Pools that need the most rounds at their full budget go first.
 * Deterministic: the same state gives the same decisions. The fold checks the budgets again.
 * Within a pool, instances of zones that already have one out of service go first, so that
 * outages are concentrated in few zones and the failure of one of these takes as few further
 * instances out of service as possible. Among these, the instance with the oldest
 * maintenance goes first. Thread-safe.
 *
 * @code
 * for (const WaveDecision &decision : decideWave(state, DependencyAwareWaves{})) { ... }
 * @endcode
 */
std::vector<WaveDecision> decideWave(const FleetState &state, const WavePolicy &policy);

/**
 * Whether a new wave is due: no instance is due in the newest wave, and the oldest maintenance is at
 * least @p dueFraction of the maintenance period ago. @p now is in Unix milliseconds, @p dueFraction from 0 to 1.
 */
bool isWaveDue(const FleetState &state, std::int64_t now, double dueFraction);

/**
 * Returns an alarm if the wave appears to cause failures: at least two maintained instances are
 * failed, they are at least a tenth of those maintained, and their failure rate is at least three
 * times that of the other instances.
 */
std::optional<WaveAlarm> findWaveAlarm(const FleetState &state);

WaveProgress waveProgress(const FleetState &state);

}
