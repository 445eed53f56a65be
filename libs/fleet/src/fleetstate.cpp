#include "fleet/fleetstate.h"

#include <algorithm>
#include <array>

namespace Cornelquay {

std::string_view toName(InstanceState state)
{
    constexpr std::array<std::string_view, 4> Names{"in-service", "planned-outage", "failed", "arriving"};
    return Names[static_cast<std::size_t>(state)];
}

std::optional<ClaimEntry> activeClaim(const FleetState &state, const ClaimKey &key)
{
    const auto found = state.claims.find(key);
    if (found == state.claims.end() || found->second.released || found->second.expiresAt <= state.logTime) {
        return std::nullopt;
    }
    return found->second;
}

std::int64_t unassignedQuota(const FleetState &state, const std::string &team)
{
    const auto found = state.parsedConfiguration->teams.find(team);
    std::int64_t unassigned = found == state.parsedConfiguration->teams.end() ? 0 : found->second.runningLimit;
    for (const auto &[name, member] : state.members) {
        const auto quota = member.quotas.find(team);
        unassigned -= quota == member.quotas.end() ? 0 : quota->second;
    }
    for (const QuarantinedQuota &quota : state.quarantine) {
        if (quota.team == team && quota.freeAt > state.logTime) {
            unassigned -= quota.count;
        }
    }
    return unassigned;
}

std::int64_t heldQuota(const FleetState &state, const Incarnation &node, const std::string &team)
{
    if (!isPresent(state, node)) {
        return 0;
    }
    const MemberEntry &member = state.members.at(node.name);
    const auto quota = member.quotas.find(team);
    return quota == member.quotas.end() ? 0 : quota->second;
}

bool isOutOfService(const InstanceEntry &instance)
{
    return instance.state == InstanceState::PlannedOutage || instance.state == InstanceState::Failed;
}

int outOfServiceCount(const FleetState &state, const std::string &pool)
{
    const auto found = state.outOfServiceByPool.find(pool);
    return found == state.outOfServiceByPool.end() ? 0 : found->second;
}

int memberCount(const FleetState &state)
{
    return static_cast<int>(std::count_if(state.members.begin(), state.members.end(), [](const auto &member) {
        return member.second.present;
    }));
}

int memberRank(const FleetState &state, const std::string &node)
{
    return static_cast<int>(std::count_if(state.members.begin(), state.members.lower_bound(node), [](const auto &member) {
        return member.second.present;
    }));
}

bool isPresent(const FleetState &state, const Incarnation &node)
{
    const auto found = state.members.find(node.name);
    return found != state.members.end() && found->second.present && found->second.incarnation == node.number;
}

}
