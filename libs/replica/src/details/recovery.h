#pragma once

#include "fleet/fleetstate.h"
#include "platform/logservice.h"

#include <atomic>
#include <variant>

namespace Cornelquay::Details {

/** A state to fold on from. */
struct Recovered {
    FleetState state;
};

/** The log does not answer; to be tried again. */
struct RecoveryUnavailable {
};

/** The log's oldest records are gone and no whole snapshot covers them. */
struct RecoveryImpossible {
};

using RecoveryResult = std::variant<Recovered, RecoveryUnavailable, RecoveryImpossible>;

/**
 * Finds the state to start from: the newest whole snapshot in the log, or the empty state if the
 * log still has its first record. Reads backwards from the end, so the cost does not grow with the
 * records before the snapshot. Ends early when @p stopping becomes true.
 */
RecoveryResult recover(LogService &log, const std::atomic<bool> &stopping);

}
