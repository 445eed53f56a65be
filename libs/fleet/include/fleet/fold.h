#pragma once

#include "fleet/fleetstate.h"

#include <string>

namespace Cornelquay {

/** Whether a record was accepted by the fold. */
struct Verdict {
    bool accepted = false;
    /** Reason for the refusal, for operators. Empty if accepted. */
    std::string refusal;
};

/** A record with its offset and time in the log. */
struct LoggedRecord {
    Offset offset = 0;
    /** Time of the append, in Unix milliseconds. */
    std::int64_t appendedAtMs = 0;
    Record record;
};

/**
 * Applies one record to @p state.
 *
 * Deterministic: the result depends on the state and the record only, so conflicting records are
 * resolved by their order in the log. Each record advances the offset and the log time, which may
 * expire claims and end quarantines. A refused record has no other effect than its entry in the audit
 * trail, with two exceptions: RequestsClaimed binds those of its claims that are still free, and
 * QuotaReturned may add a quota of 0 tasks. Records of claims have no entry there. @p logged must be
 * at offset state.nextOffset. Not thread-safe on the same state.
 *
 * @code
 * const Verdict verdict = fold(state, {state.nextOffset, appendedAtMs, record});
 * @endcode
 */
Verdict fold(FleetState &state, const LoggedRecord &logged);

/** Advances @p state past @p offset, which must be state.nextOffset, without folding a record, for instance because the entry is malformed. */
void skip(FleetState &state, Offset offset);

}
