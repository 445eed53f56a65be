#pragma once

#include "upstream/upstreams.h"

namespace Cornelquay::Details {

/** Load and health of one worker. Plain state; guarded by its owner. */
struct Health {
    int inFlight = 0;
    /** Tasks of other nodes on the worker, by its last report. */
    int othersInFlight = 0;
    SteadyTime othersUntil;
    int failuresInRow = 0;
    int ejections = 0;
    SteadyTime ejectedUntil;
    /** Ejected and not yet cleared by a success; only one probe at a time. */
    bool probing = false;
    SteadyTime fullUntil;
    /** Moving average of successes, from 0 to 1. */
    double successRate = 1.0;
    /** Moving average of the time an attempt takes, in seconds. */
    double latencySeconds = 0;
};

/** Whether a slot may be taken now; ejection aside. */
bool hasFreeSlot(const Health &health, int slots, SteadyTime now);

/** Lower is better: load per slot, raised for workers that fail often. */
double score(const Health &health, int slots, SteadyTime now);

/** Updates the averages and the count of failures in a row after an attempt. */
void record(Health &health, AttemptResult result, double seconds);

/** Whether the failures call for an ejection. */
bool shouldEject(const Health &health, const UpstreamLimits &limits);

/** Ejects until a time that doubles with each ejection in a row. */
void eject(Health &health, const UpstreamLimits &limits, SteadyTime now);

}
