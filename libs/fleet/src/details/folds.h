#pragma once

#include "fleet/fold.h"

namespace Cornelquay::Details {

/** What the audit trail tells of one record. */
struct Subject {
    std::string name;
    std::uint64_t fromVersion = 0;
};

/** Where and when a record stands in the log. */
struct Place {
    Offset offset = 0;
    std::int64_t appendedAt = 0;
    const std::string &author;
};

Verdict accepted();
Verdict refused(std::string reason);

// One overload for each kind of record; grouped by file as below.

// configurationfold.cpp
Verdict apply(FleetState &state, const ConfigurationChanged &body, const Place &place);
Verdict apply(FleetState &state, const KeyGranted &body, const Place &place);
Verdict apply(FleetState &state, const KeyWithdrawn &body, const Place &place);
Verdict apply(FleetState &state, const MaintenancePaused &body, const Place &place);
Verdict apply(FleetState &state, const WaveStarted &body, const Place &place);

// memberfold.cpp
Verdict apply(FleetState &state, const NodeJoined &body, const Place &place);
Verdict apply(FleetState &state, const NodeLeft &body, const Place &place);
Verdict apply(FleetState &state, const NodeRemoved &body, const Place &place);
Verdict apply(FleetState &state, const LimitPartTaken &body, const Place &place);
Verdict apply(FleetState &state, const LimitPartReturned &body, const Place &place);

// claimfold.cpp
Verdict apply(FleetState &state, const RequestsClaimed &body, const Place &place);
Verdict apply(FleetState &state, const ClaimsReleased &body, const Place &place);
void expireClaims(FleetState &state);

// instancefold.cpp
Verdict apply(FleetState &state, const InstanceEnrolled &body, const Place &place);
Verdict apply(FleetState &state, const InstanceDismissed &body, const Place &place);
Verdict apply(FleetState &state, const InstanceMoved &body, const Place &place);
Verdict apply(FleetState &state, const OutageGranted &body, const Place &place);
Verdict apply(FleetState &state, const OutageEnded &body, const Place &place);
Verdict apply(FleetState &state, const InstanceFailed &body, const Place &place);
Verdict apply(FleetState &state, const InstanceRecovered &body, const Place &place);
Verdict apply(FleetState &state, const MaintenanceSkipped &body, const Place &place);

}
