#pragma once

#include "fleet/fold.h"

namespace Cornelquay::Details {

/** The key, node, instance or setting that a record affects, as shown in the audit trail. */
struct AuditSubject {
    std::string name;
    /** See AuditEntry::fromVersion. */
    std::uint64_t fromVersion = 0;
};

/** Offset and author of a record in the log, and the state's log time after it. */
struct LogPosition {
    Offset offset = 0;
    /** Log time, in Unix milliseconds: not before the append times of earlier records. */
    std::int64_t appendedAtMs = 0;
    const std::string &author;
};

Verdict accepted();
Verdict refused(std::string reason);

// apply() has one overload for each kind of record, grouped by the file that defines it.

// configurationfold.cpp
Verdict apply(FleetState &state, const ConfigurationChanged &body, const LogPosition &position);
Verdict apply(FleetState &state, const KeyGranted &body, const LogPosition &position);
Verdict apply(FleetState &state, const KeyWithdrawn &body, const LogPosition &position);
Verdict apply(FleetState &state, const MaintenancePaused &body, const LogPosition &position);
Verdict apply(FleetState &state, const WaveStarted &body, const LogPosition &position);

// memberfold.cpp
Verdict apply(FleetState &state, const NodeJoined &body, const LogPosition &position);
Verdict apply(FleetState &state, const NodeLeft &body, const LogPosition &position);
Verdict apply(FleetState &state, const NodeRemoved &body, const LogPosition &position);
Verdict apply(FleetState &state, const QuotaTaken &body, const LogPosition &position);
Verdict apply(FleetState &state, const QuotaReturned &body, const LogPosition &position);

// claimfold.cpp
Verdict apply(FleetState &state, const RequestsClaimed &body, const LogPosition &position);
Verdict apply(FleetState &state, const ClaimsReleased &body, const LogPosition &position);
/** Deletes the claims that have expired at the state's log time. */
void expireClaims(FleetState &state);

// instancefold.cpp
Verdict apply(FleetState &state, const InstanceEnrolled &body, const LogPosition &position);
Verdict apply(FleetState &state, const InstanceDismissed &body, const LogPosition &position);
Verdict apply(FleetState &state, const InstanceMoved &body, const LogPosition &position);
Verdict apply(FleetState &state, const OutageGranted &body, const LogPosition &position);
Verdict apply(FleetState &state, const OutageEnded &body, const LogPosition &position);
Verdict apply(FleetState &state, const InstanceFailed &body, const LogPosition &position);
Verdict apply(FleetState &state, const InstanceRecovered &body, const LogPosition &position);
Verdict apply(FleetState &state, const MaintenanceSkipped &body, const LogPosition &position);

}
