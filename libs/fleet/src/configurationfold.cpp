#include "details/folds.h"

#include "configuration/reader.h"

namespace Cornelquay::Details {

Verdict apply(FleetState &state, const ConfigurationChanged &body, const LogPosition &position)
{
    if (body.baseVersion != state.configuration.version) {
        return refused("version " + std::to_string(state.configuration.version) + " by " + state.configuration.author + " is in force, not version "
                       + std::to_string(body.baseVersion));
    }
    ConfigurationResult read = readConfiguration("configuration", body.text);
    if (!read.findings.isEmpty()) {
        return refused("the text has findings: " + read.findings.toText());
    }
    state.configuration.version += 1;
    state.configuration.changeOffset = position.offset;
    state.configuration.author = position.author;
    state.configuration.text = body.text;
    state.parsedConfiguration = std::make_shared<const Configuration>(std::move(read.configuration));
    return accepted();
}

Verdict apply(FleetState &state, const KeyGranted &body, const LogPosition &position)
{
    if (state.keys.contains(body.keyId)) {
        return refused("the key id was used before");
    }
    if (!state.parsedConfiguration->teams.contains(body.team)) {
        return refused("there is no team '" + body.team + "'");
    }
    state.keys[body.keyId] = {body.team, body.salt, body.hash, position.author, position.appendedAtMs, false};
    return accepted();
}

Verdict apply(FleetState &state, const KeyWithdrawn &body, const LogPosition &)
{
    const auto found = state.keys.find(body.keyId);
    if (found == state.keys.end()) {
        return refused("there is no such key");
    }
    if (found->second.withdrawn) {
        return refused("the key is withdrawn already");
    }
    found->second.withdrawn = true;
    return accepted();
}

Verdict apply(FleetState &state, const MaintenancePaused &body, const LogPosition &)
{
    if (state.maintenancePaused == body.paused) {
        return refused(body.paused ? "maintenance is paused already" : "maintenance is not paused");
    }
    state.maintenancePaused = body.paused;
    return accepted();
}

Verdict apply(FleetState &state, const WaveStarted &body, const LogPosition &position)
{
    if (body.previousWaveStartedAt != state.waveStartedAt) {
        return refused("another wave began meanwhile");
    }
    state.waveStartedAt = position.appendedAtMs;
    return accepted();
}

}
