#pragma once

#include "admission/admission.h"
#include "fleet/fleetstate.h"
#include "upstream/upstreams.h"

#include <nlohmann/json.hpp>

#include <string>

namespace Cornelquay::Details {

// The JSON that operators see of the fleet's state. Pure; private to the operators' interface.

nlohmann::ordered_json configurationView(const FleetState &state);
/** All accepted configurations that the audit trail still has. */
nlohmann::ordered_json configurationHistoryView(const FleetState &state);
nlohmann::ordered_json keysView(const FleetState &state);
nlohmann::ordered_json teamsView(const FleetState &state, const std::map<std::string, TeamLoad> &loads);
nlohmann::ordered_json servicesView(const FleetState &state);
nlohmann::ordered_json poolsView(const FleetState &state);
nlohmann::ordered_json instancesView(const FleetState &state, const std::vector<UpstreamStatus> &upstreams);
nlohmann::ordered_json maintenanceView(const FleetState &state);
nlohmann::ordered_json membersView(const FleetState &state);
/** The newest @p maxEntries entries; only those about @p subject if it is not empty. */
nlohmann::ordered_json auditView(const FleetState &state, const std::string &subject, std::size_t maxEntries);
/** What holds for a request, instance or service and the records that led there. */
nlohmann::ordered_json whyView(const FleetState &state, const std::string &subject);
/** What a new text would change for services, teams and budgets; with findings if it has any. */
nlohmann::ordered_json differenceView(const FleetState &state, const std::string &text);

}
