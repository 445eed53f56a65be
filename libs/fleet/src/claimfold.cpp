#include "details/folds.h"

namespace Cornelquay::Details {

namespace {

std::uint32_t instanceIndexOf(FleetState &state, const std::string &instance)
{
    const auto [found, inserted] = state.instanceNameIndexes.emplace(instance, static_cast<std::uint32_t>(state.instanceNames.size()));
    if (inserted) {
        state.instanceNames.push_back(instance);
    }
    return found->second;
}

bool bindClaim(FleetState &state, const Claim &claim, const LogPosition &position)
{
    if (activeClaim(state, claim.key)) {
        return false;
    }
    if (state.claims.size() >= MaxClaims && !state.claims.contains(claim.key)) {
        return false;
    }
    const std::int64_t expiresAt = position.appendedAtMs + ClaimRetentionMs;
    state.claims[claim.key] = {position.offset, expiresAt, claim.instanceIncarnation, instanceIndexOf(state, claim.instance), false};
    state.claimExpiries.emplace_back(expiresAt, claim.key);
    return true;
}

}

void expireClaims(FleetState &state)
{
    while (!state.claimExpiries.empty() && state.claimExpiries.front().first <= state.logTime) {
        const auto found = state.claims.find(state.claimExpiries.front().second);
        // A claim that was released and bound again has a later expiry entry. The outdated entry must not delete it.
        if (found != state.claims.end() && found->second.expiresAt <= state.logTime) {
            state.claims.erase(found);
        }
        state.claimExpiries.pop_front();
    }
}

Verdict apply(FleetState &state, const RequestsClaimed &body, const LogPosition &position)
{
    if (!isPresent(state, {body.node, body.incarnation})) {
        return refused("node '" + body.node + "' is not present with this incarnation");
    }
    bool allBound = true;
    for (const Claim &claim : body.claims) {
        allBound = bindClaim(state, claim, position) && allBound;
    }
    return allBound ? accepted() : refused("some requests were claimed before");
}

Verdict apply(FleetState &state, const ClaimsReleased &body, const LogPosition &)
{
    for (const Release &release : body.releases) {
        const auto found = state.claims.find(release.key);
        if (found != state.claims.end() && found->second.bindingOffset == release.bindingOffset) {
            found->second.released = true;
        }
    }
    return accepted();
}

}
