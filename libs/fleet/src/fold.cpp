#include "fleet/fold.h"

#include "details/folds.h"

#include <algorithm>
#include <cassert>

namespace Cornelquay {

namespace Details {

Verdict accepted()
{
    return {true, {}};
}

Verdict refused(std::string reason)
{
    return {false, std::move(reason)};
}

namespace {

Subject subjectOf(const ConfigurationChanged &body)
{
    return {"configuration", body.baseVersion};
}

Subject subjectOf(const WaveStarted &body)
{
    return {"wave", static_cast<std::uint64_t>(body.after)};
}

Subject subjectOf(const MaintenancePaused &body)
{
    return {body.paused ? "paused" : "resumed", 0};
}

template<typename Body>
requires requires(const Body &body)
{
    body.keyId;
}
Subject subjectOf(const Body &body)
{
    return {body.keyId, 0};
}

template<typename Body>
requires requires(const Body &body)
{
    body.instance;
}
Subject subjectOf(const Body &body)
{
    if constexpr (requires { body.sequence; }) {
        return {body.instance, body.sequence};
    } else {
        return {body.instance, body.incarnation};
    }
}

template<typename Body>
requires requires(const Body &body)
{
    body.node;
    body.incarnation;
} &&(!requires(const Body &body) { body.instance; })Subject subjectOf(const Body &body)
{
    if constexpr (requires { body.team; }) {
        return {body.team + '@' + body.node, body.sequence};
    } else {
        return {body.node, body.incarnation};
    }
}

// Claims are one record for many requests and far more frequent than decisions: counted, not listed.
template<typename Body>
constexpr bool IsAudited = !std::is_same_v<Body, RequestsClaimed> && !std::is_same_v<Body, ClaimsReleased> && !std::is_same_v<Body, SnapshotChunk>;

void addAudit(FleetState &state, AuditEntry entry)
{
    state.audit.push_back(std::move(entry));
    if (state.audit.size() > AuditEntriesMax) {
        state.audit.pop_front();
    }
}

void freeQuarantine(FleetState &state)
{
    std::erase_if(state.quarantine, [&](const QuarantinedPart &part) {
        return part.freeAt <= state.logTime;
    });
}

}

}

Verdict fold(FleetState &state, const PlacedRecord &placed)
{
    assert(placed.offset == state.next);
    state.next = placed.offset + 1;
    state.logTime = std::max(state.logTime, placed.appendedAt);
    Details::expireClaims(state);
    Details::freeQuarantine(state);

    const Details::Place place{placed.offset, state.logTime, placed.record.author};
    return std::visit(
        [&](const auto &body) {
            using Body = std::decay_t<decltype(body)>;
            if constexpr (std::is_same_v<Body, SnapshotChunk>) {
                // Chunks restate the state; they are for starting nodes only.
                return Details::accepted();
            } else {
                Verdict verdict = Details::apply(state, body, place);
                if constexpr (Details::IsAudited<Body>) {
                    state.revision += verdict.accepted ? 1 : 0;
                    const Details::Subject subject = Details::subjectOf(body);
                    Details::addAudit(state,
                                      {placed.offset,
                                       placed.appendedAt,
                                       placed.record.author,
                                       placed.record.reason,
                                       std::string(kindName(placed.record.body)),
                                       subject.name,
                                       subject.fromVersion,
                                       verdict.accepted,
                                       verdict.refusal});
                }
                return verdict;
            }
        },
        placed.record.body);
}

void skip(FleetState &state, Offset offset)
{
    assert(offset == state.next);
    state.next = offset + 1;
}

}
