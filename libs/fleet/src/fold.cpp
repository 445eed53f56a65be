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

AuditSubject subjectOf(const ConfigurationChanged &body)
{
    return {"configuration", body.baseVersion};
}

AuditSubject subjectOf(const WaveStarted &body)
{
    return {"wave", static_cast<std::uint64_t>(body.previousWaveStartedAt)};
}

AuditSubject subjectOf(const MaintenancePaused &body)
{
    return {body.paused ? "paused" : "resumed", 0};
}

template<typename Body>
requires requires(const Body &body)
{
    body.keyId;
}
AuditSubject subjectOf(const Body &body)
{
    return {body.keyId, 0};
}

template<typename Body>
requires requires(const Body &body)
{
    body.instance;
}
AuditSubject subjectOf(const Body &body)
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
} &&(!requires(const Body &body) { body.instance; })AuditSubject subjectOf(const Body &body)
{
    if constexpr (requires { body.team; }) {
        return {body.team + '@' + body.node, body.sequence};
    } else {
        return {body.node, body.incarnation};
    }
}

// Records of claims are far more frequent than other records and would displace them from the audit trail. Snapshot chunks change nothing.
template<typename Body>
constexpr bool IsAudited = !std::is_same_v<Body, RequestsClaimed> && !std::is_same_v<Body, ClaimsReleased> && !std::is_same_v<Body, SnapshotChunk>;

void addAudit(FleetState &state, AuditEntry entry)
{
    state.audit.push_back(std::move(entry));
    if (state.audit.size() > MaxAuditEntries) {
        state.audit.pop_front();
    }
}

void releaseQuarantinedQuotas(FleetState &state)
{
    std::erase_if(state.quarantine, [&](const QuarantinedQuota &quota) {
        return quota.freeAt <= state.logTime;
    });
}

}

}

Verdict fold(FleetState &state, const LoggedRecord &logged)
{
    assert(logged.offset == state.nextOffset);
    state.nextOffset = logged.offset + 1;
    state.logTime = std::max(state.logTime, logged.appendedAtMs);
    Details::expireClaims(state);
    Details::releaseQuarantinedQuotas(state);

    const Details::LogPosition position{logged.offset, state.logTime, logged.record.author};
    return std::visit(
        [&](const auto &body) {
            using Body = std::decay_t<decltype(body)>;
            if constexpr (std::is_same_v<Body, SnapshotChunk>) {
                // Chunks only repeat the state for recovering nodes.
                return Details::accepted();
            } else {
                Verdict verdict = Details::apply(state, body, position);
                if constexpr (Details::IsAudited<Body>) {
                    state.revision += verdict.accepted ? 1 : 0;
                    const Details::AuditSubject subject = Details::subjectOf(body);
                    Details::addAudit(state,
                                      {logged.offset,
                                       logged.appendedAtMs,
                                       logged.record.author,
                                       logged.record.reason,
                                       std::string(kindName(logged.record.body)),
                                       subject.name,
                                       subject.fromVersion,
                                       verdict.accepted,
                                       verdict.refusal});
                }
                return verdict;
            }
        },
        logged.record.body);
}

void skip(FleetState &state, Offset offset)
{
    assert(offset == state.nextOffset);
    state.nextOffset = offset + 1;
}

}
