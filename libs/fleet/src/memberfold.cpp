#include "details/folds.h"

namespace Cornelquay::Details {

namespace {

// The removed or replaced incarnation may still act on an outdated view, so its quotas are not reassigned until freeAt.
void quarantineQuotas(FleetState &state, MemberEntry &member, std::int64_t freeAt)
{
    for (const auto &[team, count] : member.quotas) {
        if (count > 0) {
            state.quarantine.push_back({team, count, freeAt});
        }
    }
    member.quotas.clear();
}

Verdict refusedAsAbsent(const std::string &node)
{
    return refused("node '" + node + "' is not present with this incarnation");
}

}

Verdict apply(FleetState &state, const NodeJoined &body, const LogPosition &position)
{
    MemberEntry &member = state.members[body.node];
    if (body.incarnation <= member.incarnation) {
        return refused("incarnation " + std::to_string(member.incarnation) + " of the node is known already");
    }
    quarantineQuotas(state, member, position.appendedAtMs + QuotaQuarantineMs);
    member = {body.incarnation, body.peerAddress, body.zone, position.offset, true, 0, {}};
    return accepted();
}

Verdict apply(FleetState &state, const NodeLeft &body, const LogPosition &)
{
    if (!isPresent(state, {body.node, body.incarnation})) {
        return refusedAsAbsent(body.node);
    }
    MemberEntry &member = state.members.at(body.node);
    member.quotas.clear();
    member.present = false;
    return accepted();
}

Verdict apply(FleetState &state, const NodeRemoved &body, const LogPosition &position)
{
    if (!isPresent(state, {body.node, body.incarnation})) {
        return refusedAsAbsent(body.node);
    }
    MemberEntry &member = state.members.at(body.node);
    quarantineQuotas(state, member, position.appendedAtMs + QuotaQuarantineMs);
    member.present = false;
    return accepted();
}

Verdict apply(FleetState &state, const QuotaTaken &body, const LogPosition &)
{
    if (!isPresent(state, {body.node, body.incarnation})) {
        return refusedAsAbsent(body.node);
    }
    MemberEntry &member = state.members.at(body.node);
    if (body.sequence <= member.quotaSequence) {
        return refused("the change was applied already");
    }
    if (body.count <= 0 || body.count > unassignedQuota(state, body.team)) {
        return refused("the part is not free");
    }
    member.quotaSequence = body.sequence;
    member.quotas[body.team] += body.count;
    return accepted();
}

Verdict apply(FleetState &state, const QuotaReturned &body, const LogPosition &)
{
    if (!isPresent(state, {body.node, body.incarnation})) {
        return refusedAsAbsent(body.node);
    }
    MemberEntry &member = state.members.at(body.node);
    if (body.sequence <= member.quotaSequence) {
        return refused("the change was applied already");
    }
    std::int64_t &quota = member.quotas[body.team];
    if (body.count <= 0 || body.count > quota) {
        return refused("the node does not hold that much");
    }
    member.quotaSequence = body.sequence;
    quota -= body.count;
    return accepted();
}

}
