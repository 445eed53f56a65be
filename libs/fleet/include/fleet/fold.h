#pragma once

#include "fleet/fleetstate.h"

#include <string>

namespace Cornelquay {

/** Whether a record took effect. */
struct Verdict {
    bool accepted = false;
    /** Why not, in words for operators; empty if accepted. */
    std::string refusal;
};

/** One record at its place in the log. */
struct PlacedRecord {
    Offset offset = 0;
    /** Log time, Unix milliseconds. */
    std::int64_t appendedAt = 0;
    Record record;
};

/**
 * Applies one record to @p state: the only way in which the state changes.
 *
 * Pure and deterministic: conflicts are settled by offsets alone, and a record that is repeated or
 * whose precondition no longer holds changes nothing but the audit trail. @p placed must be at
 * offset state.next. Not thread-safe on the same state.
 */
Verdict fold(FleetState &state, const PlacedRecord &placed);

/** Advances over an offset that holds no readable record, or a record kept out of the state. */
void skip(FleetState &state, Offset offset);

}
