#pragma once

#include "configuration/configuration.h"
#include "records/record.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Cornelquay {

/** The configuration in force. Version 0 is the empty configuration before the first change. */
struct ConfigurationEntry {
    std::uint64_t version = 0;
    /** Offset of the record that set this version. */
    Offset changeOffset = 0;
    std::string author;
    std::string text;

    auto fields()
    {
        return std::tie(version, changeOffset, author, text);
    }
};

/** An API key that was granted. Entries of withdrawn keys are kept, so that a repeated record cannot grant them again. */
struct KeyEntry {
    std::string team;
    std::string salt;
    /** SHA-256 of the salt followed by the secret. */
    std::string hash;
    std::string grantedBy;
    /** Log time, Unix milliseconds. */
    std::int64_t grantedAt = 0;
    bool withdrawn = false;

    auto fields()
    {
        return std::tie(team, salt, hash, grantedBy, grantedAt, withdrawn);
    }
};

/** The newest known incarnation of a node, with its quotas of the teams' limits. */
struct MemberEntry {
    std::uint64_t incarnation = 0;
    std::string peerAddress;
    std::string zone;
    Offset joinOffset = 0;
    /** False after the node left or was removed. The entry is kept, so that records of older incarnations are refused. */
    bool present = true;
    /** Number of the newest quota change by this incarnation. */
    std::uint64_t quotaSequence = 0;
    /** Tasks that the node may run at once, by team. */
    std::map<std::string, std::int64_t> quotas;

    auto fields()
    {
        return std::tie(incarnation, peerAddress, zone, joinOffset, present, quotaSequence, quotas);
    }
};

/** A quota of a team's limit whose node was removed or replaced. Other nodes may take it from freeAt on. */
struct QuarantinedQuota {
    std::string team;
    /** Tasks. */
    std::int64_t count = 0;
    /** Log time, Unix milliseconds. */
    std::int64_t freeAt = 0;

    auto fields()
    {
        return std::tie(team, count, freeAt);
    }
};

/** Whether an instance is in service, or the reason why it is not. */
enum class InstanceState : std::uint8_t {
    InService,
    /** Out of service by a granted outage. */
    PlannedOutage,
    /** Found out of service without a granted outage. */
    Failed,
    /** Moved into its pool and not yet in service there. Does not count against the pool's availability budget. */
    Arriving,
};

/** One instance as described by the records. */
struct InstanceEntry {
    std::uint64_t incarnation = 0;
    std::string pool;
    std::string address;
    std::string zone;
    std::string rack;
    double cores = 0;
    std::uint64_t memoryBytes = 0;
    double accelerators = 0;
    /**
     * Grows with each accepted record about the instance, other than claims. A proposal carries the
     * value it was based on and is refused if that is outdated.
     */
    std::uint64_t sequence = 1;
    InstanceState state = InstanceState::InService;
    OutagePurpose purpose = OutagePurpose::Maintenance;
    /**
     * The node that carries out the planned outage, and its incarnation. Out of date after the
     * outage, as are purpose, fencingToken and beginDeadline.
     */
    std::string holder;
    std::uint64_t holderIncarnation = 0;
    /** Offset of the granting record, used as the fencing token of the outage. */
    Offset fencingToken = 0;
    /** Unix milliseconds after which the holder must not begin to drain the instance. */
    std::int64_t beginDeadline = 0;
    /** Time of the last maintenance, or start of the last wave from which the instance was exempted, in Unix milliseconds. */
    std::int64_t maintainedAtMs = 0;

    auto fields()
    {
        return std::tie(incarnation,
                        pool,
                        address,
                        zone,
                        rack,
                        cores,
                        memoryBytes,
                        accelerators,
                        sequence,
                        state,
                        purpose,
                        holder,
                        holderIncarnation,
                        fencingToken,
                        beginDeadline,
                        maintainedAtMs);
    }
};

/** Binds a claimed request to the only instance that may run it. */
struct ClaimEntry {
    /** Offset of the record that claimed the request. */
    Offset bindingOffset = 0;
    /** Log time at which the claim is deleted, in Unix milliseconds. */
    std::int64_t expiresAt = 0;
    std::uint64_t instanceIncarnation = 0;
    /** Index into FleetState::instanceNames. */
    std::uint32_t instanceIndex = 0;
    /** A released request may be claimed again. Its entry is kept until it expires. */
    bool released = false;

    auto fields()
    {
        return std::tie(bindingOffset, expiresAt, instanceIncarnation, instanceIndex, released);
    }
};

/** One entry of the audit trail. */
struct AuditEntry {
    Offset offset = 0;
    /** Time of the append, in Unix milliseconds. */
    std::int64_t appendedAtMs = 0;
    std::string author;
    std::string reason;
    std::string kind;
    /** The affected key, node or instance, "team@node" for a quota, or "configuration", "wave", "paused" or "resumed". */
    std::string subject;
    /** Version, sequence or incarnation given in the record; for a wave, the start time of the previous wave; else 0. */
    std::uint64_t fromVersion = 0;
    bool accepted = false;
    /** Reason for the refusal. Empty if accepted. */
    std::string refusal;

    auto fields()
    {
        return std::tie(offset, appendedAtMs, author, reason, kind, subject, fromVersion, accepted, refusal);
    }
};

/** The name of @p state as used in answers and logs. */
std::string_view toName(InstanceState state);

}
