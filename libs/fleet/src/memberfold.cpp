#include "details/folds.h"

namespace Cornelquay::Details {

namespace {

// The holder may still act on its old view, so its parts stay unused for a while.
void quarantineParts(FleetState &state, MemberEntry &member, std::int64_t freeAt)
{
    for (const auto &[team, count] : member.limitParts) {
        if (count > 0) {
            state.quarantine.push_back({team, count, freeAt});
        }
    }
    member.limitParts.clear();
}

Verdict notPresent(const std::string &node)
{
    return refused("node '" + node + "' is not present with this incarnation");
}

}

Verdict apply(FleetState &state, const NodeJoined &body, const Place &place)
{
    MemberEntry &member = state.members[body.node];
    if (body.incarnation <= member.incarnation) {
        return refused("incarnation " + std::to_string(member.incarnation) + " of the node is known already");
    }
    quarantineParts(state, member, place.appendedAt + QuarantineMilliseconds);
    member = {body.incarnation, body.peerAddress, body.zone, place.offset, true, 0, {}};
    return accepted();
}

Verdict apply(FleetState &state, const NodeLeft &body, const Place &)
{
    if (!isPresent(state, {body.node, body.incarnation})) {
        return notPresent(body.node);
    }
    MemberEntry &member = state.members.at(body.node);
    member.limitParts.clear();
    member.present = false;
    return accepted();
}

Verdict apply(FleetState &state, const NodeRemoved &body, const Place &place)
{
    if (!isPresent(state, {body.node, body.incarnation})) {
        return notPresent(body.node);
    }
    MemberEntry &member = state.members.at(body.node);
    quarantineParts(state, member, place.appendedAt + QuarantineMilliseconds);
    member.present = false;
    return accepted();
}

Verdict apply(FleetState &state, const LimitPartTaken &body, const Place &)
{
    if (!isPresent(state, {body.node, body.incarnation})) {
        return notPresent(body.node);
    }
    MemberEntry &member = state.members.at(body.node);
    if (body.sequence <= member.limitSequence) {
        return refused("the change was applied already");
    }
    if (body.count <= 0 || body.count > unassignedLimit(state, body.team)) {
        return refused("the part is not free");
    }
    member.limitSequence = body.sequence;
    member.limitParts[body.team] += body.count;
    return accepted();
}

Verdict apply(FleetState &state, const LimitPartReturned &body, const Place &)
{
    if (!isPresent(state, {body.node, body.incarnation})) {
        return notPresent(body.node);
    }
    MemberEntry &member = state.members.at(body.node);
    if (body.sequence <= member.limitSequence) {
        return refused("the change was applied already");
    }
    std::int64_t &part = member.limitParts[body.team];
    if (body.count <= 0 || body.count > part) {
        return refused("the node does not hold that much");
    }
    member.limitSequence = body.sequence;
    part -= body.count;
    return accepted();
}

}
