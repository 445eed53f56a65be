#pragma once

#include "fleet/fleetstate.h"

#include <string>
#include <variant>
#include <vector>

namespace Cornelquay {

/** Keeps dependent services apart: a pool at the edge of its budget has no neighbour with an outage. */
struct DependencyAwareWaves {
};

/** Uses each pool's budget in full whatever depends on it; for comparison. */
struct BudgetOnlyWaves {
};

/** One instance of each pool at a time; for comparison. */
struct OneAtATimeWaves {
};

/** How instances are chosen for maintenance. */
using WavePolicy = std::variant<DependencyAwareWaves, BudgetOnlyWaves, OneAtATimeWaves>;

/** An instance to take out now, and why it is its turn. */
struct WaveDecision {
    std::string instance;
    std::uint64_t sequence = 0;
    std::string reason;
};

/** Why a wave should stop by itself. */
struct WaveAlarm {
    int maintained = 0;
    int failedAfterwards = 0;
    std::string reason;
};

/** How far a wave is. */
struct WaveProgress {
    std::int64_t startedAt = 0;
    int done = 0;
    int out = 0;
    int left = 0;
    /** Pools whose budget is used up by failures, so that nothing moves there. */
    std::vector<std::string> held;
};

/**
 * The instances to take out next in the running wave. Pure: the same state gives the same
 * decisions, and the fold checks the budgets again. Within a pool an instance of a zone that
 * already has one out goes first, since a zone that fails then costs the least on top, and among
 * those the one that waits longest.
 */
std::vector<WaveDecision> decideWave(const FleetState &state, const WavePolicy &policy);

/** Whether a new wave is due: the oldest maintenance is at @p dueFraction of the period. */
bool isWaveDue(const FleetState &state, std::int64_t now, double dueFraction);

/**
 * Whether failures go with the wave: at least two instances failed after their maintenance, a
 * tenth or more of those maintained, and three times as often as among the others.
 */
std::optional<WaveAlarm> findWaveAlarm(const FleetState &state);

WaveProgress waveProgress(const FleetState &state);

}
