#pragma once

#include "fleet/fleetstate.h"
#include "platform/logservice.h"

#include <atomic>
#include <variant>

namespace Cornelquay::Details {

/** Recovery succeeded. Folding continues at state.nextOffset. */
struct Recovered {
    FleetState state;
};

/** The log could not be read. Recovery can be retried. */
struct RecoveryUnavailable {
};

/**
 * The log's oldest records have expired, and no complete snapshot covers them or the one that was
 * found cannot be read. May also be returned after a stop.
 */
struct RecoveryImpossible {
};

using RecoveryResult = std::variant<Recovered, RecoveryUnavailable, RecoveryImpossible>;

/**
 * Determines the state to start from: a complete snapshot near the end of the log, or the empty state
 * if the log still has its first record and is short or has no usable snapshot. Reads pages backwards
 * from the end, so the cost does not depend on the number of records before the snapshot. If one page
 * completes several snapshots, the first of them is used, since later records are folded anyway. Returns early
 * when @p stopping becomes true.
 */
RecoveryResult recover(LogService &log, const std::atomic<bool> &stopping);

}
