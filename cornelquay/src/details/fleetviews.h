#pragma once

#include "admission/admission.h"
#include "fleet/fleetstate.h"
#include "upstream/upstreams.h"

#include <nlohmann/json.hpp>

#include <string>

namespace Cornelquay::Details {

// JSON representations of the fleet state for the operators' interface. Pure functions.

nlohmann::ordered_json configurationView(const FleetState &state);
/** All entries of the audit trail about the configuration, accepted or refused. */
nlohmann::ordered_json configurationHistoryView(const FleetState &state);
nlohmann::ordered_json keysView(const FleetState &state);
/** @p loads is the load of each team on this node. */
nlohmann::ordered_json teamsView(const FleetState &state, const std::map<std::string, TeamLoad> &loads);
nlohmann::ordered_json servicesView(const FleetState &state);
nlohmann::ordered_json poolsView(const FleetState &state);
/** @p upstreams is the status of each instance as this node sees it. */
nlohmann::ordered_json instancesView(const FleetState &state, const std::vector<UpstreamStatus> &upstreams);
nlohmann::ordered_json maintenanceView(const FleetState &state);
nlohmann::ordered_json membersView(const FleetState &state);
/** At most the newest @p maxEntries entries, oldest first; only those about @p subject if it is not empty. */
nlohmann::ordered_json auditView(const FleetState &state, const std::string &subject, std::size_t maxEntries);
/**
 * The rule that currently applies to the instance, service or request named @p subject, and the
 * newest audit entries about it.
 */
nlohmann::ordered_json whyView(const FleetState &state, const std::string &subject);
/** The changes that the configuration in @p text would make, or its findings if it has any. */
nlohmann::ordered_json differenceView(const FleetState &state, const std::string &text);

}
