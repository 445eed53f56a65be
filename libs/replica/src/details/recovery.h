#pragma once

#include "fleet/fleetstate.h"
#include "platform/logservice.h"

#include <atomic>
#include <variant>

namespace Cornelquay::Details {

/** Recovery succeeded. Folding continues at state.next. */
struct Recovered {
    FleetState state;
};

/** The log could not be read. Recovery can be retried. */
struct RecoveryUnavailable {
};

/** The log's oldest records have expired and no complete snapshot covers them. */
struct RecoveryImpossible {
};

using RecoveryResult = std::variant<Recovered, RecoveryUnavailable, RecoveryImpossible>;

/**
 * Determines the state to start from: the newest complete snapshot in the log, or the empty state
 * if the log still has its first record. Reads backwards from the end, so the cost does not depend
 * on the number of records before the snapshot. Returns early when @p stopping becomes true.
 */
RecoveryResult recover(LogService &log, const std::atomic<bool> &stopping);

}
