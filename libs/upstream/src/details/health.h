#pragma once

#include "upstream/upstreams.h"

namespace Cornelquay::Details {

/** Load and health of one worker. Not thread-safe; Upstreams guards it with its mutex. */
struct Health {
    /** Tasks that this node has on the worker. */
    int inFlight = 0;
    /** Tasks that other nodes have on the worker, estimated from its last report of free slots. */
    int otherNodesInFlight = 0;
    /** From this moment on, otherNodesInFlight is out of date and not used. */
    SteadyTime slotReportValidUntil;
    int failuresInRow = 0;
    /** Ejections since the last success. */
    int ejections = 0;
    SteadyTime ejectedUntil;
    /** Whether the worker has been ejected and has had no success since; it then gets only one task at a time. */
    bool probing = false;
    /** Until this moment, the worker counts as having no free slot. */
    SteadyTime noSlotUntil;
    /** Moving average of successes, from 0 to 1. */
    double successRate = 1.0;
    /** Moving average of the time that an attempt takes. */
    double latencySeconds = 0;
};

/** Whether the worker has a free slot, out of @p slots. Does not consider ejection. */
bool hasFreeSlot(const Health &health, int slots, SteadyTime now);

/** Load per slot divided by the success rate; the worker with the lower score is preferred. */
double score(const Health &health, int slots, SteadyTime now);

/** Updates averages and counts after an attempt of @p seconds. */
void record(Health &health, AttemptResult result, double seconds);

/** Whether the failures in a row reach the limit for an ejection; a single one does while probing. */
bool shouldEject(const Health &health, const UpstreamLimits &limits);

/** Ejects the worker. The period doubles with each ejection since the last success, up to the maximum. */
void eject(Health &health, const UpstreamLimits &limits, SteadyTime now);

}
