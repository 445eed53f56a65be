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
    Offset changedAt = 0;
    std::string author;
    std::string text;

    auto fields()
    {
        return std::tie(version, changedAt, author, text);
    }
};

/** A key that was granted once. Withdrawn keys stay, so that no old record can revive them. */
struct KeyEntry {
    std::string team;
    std::string salt;
    std::string hash;
    std::string grantedBy;
    std::int64_t grantedAt = 0;
    bool withdrawn = false;

    auto fields()
    {
        return std::tie(team, salt, hash, grantedBy, grantedAt, withdrawn);
    }
};

/** A node that takes part, with the parts of the teams' limits that it holds. */
struct MemberEntry {
    std::uint64_t incarnation = 0;
    std::string peerAddress;
    std::string zone;
    Offset joinedAt = 0;
    /** False once it left or was removed; the entry stays to fence older incarnations. */
    bool present = true;
    std::uint64_t limitSequence = 0;
    std::map<std::string, std::int64_t> limitParts;

    auto fields()
    {
        return std::tie(incarnation, peerAddress, zone, joinedAt, present, limitSequence, limitParts);
    }
};

/** A part of a team's limit whose holder was removed; free for others from freeAt on. */
struct QuarantinedPart {
    std::string team;
    std::int64_t count = 0;
    /** Unix milliseconds in log time. */
    std::int64_t freeAt = 0;

    auto fields()
    {
        return std::tie(team, count, freeAt);
    }
};

/** Whether an instance serves, and why not. */
enum class InstanceState : std::uint8_t {
    InService,
    /** Out by a grant. */
    PlannedOutage,
    /** Found out without a grant. */
    Failed,
    /** Moved into its pool while out; not yet serving there. */
    Arriving,
};

/** One instance as the records describe it. */
struct InstanceEntry {
    std::uint64_t incarnation = 0;
    std::string pool;
    std::string address;
    std::string zone;
    std::string rack;
    double cores = 0;
    std::uint64_t memoryBytes = 0;
    double accelerators = 0;
    /** Grows with each accepted record about the instance; proposals name the one they saw. */
    std::uint64_t sequence = 1;
    InstanceState state = InstanceState::InService;
    OutagePurpose purpose = OutagePurpose::Maintenance;
    std::string holder;
    std::uint64_t holderIncarnation = 0;
    /** Offset of the grant: the fencing number of the outage. */
    Offset grantedAt = 0;
    std::int64_t beginBefore = 0;
    std::int64_t maintainedAt = 0;

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
                        grantedAt,
                        beginBefore,
                        maintainedAt);
    }
};

/** The one instance that may run a claimed request. */
struct ClaimEntry {
    Offset boundAt = 0;
    /** Unix milliseconds in log time after which the claim is forgotten. */
    std::int64_t expiresAt = 0;
    std::uint64_t instanceIncarnation = 0;
    /** Index into the table of instance names. */
    std::uint32_t instanceIndex = 0;
    /** Released claims may be bound again; the entry stays until it expires. */
    bool released = false;

    auto fields()
    {
        return std::tie(boundAt, expiresAt, instanceIncarnation, instanceIndex, released);
    }
};

/** One line of the audit trail. */
struct AuditEntry {
    Offset offset = 0;
    std::int64_t appendedAt = 0;
    std::string author;
    std::string reason;
    std::string kind;
    /** The instance, key, node, team or version that the record is about. */
    std::string subject;
    /** Version or sequence that the proposer had seen. */
    std::uint64_t fromVersion = 0;
    bool accepted = false;
    /** Why it was refused; empty if accepted. */
    std::string refusal;

    auto fields()
    {
        return std::tie(offset, appendedAt, author, reason, kind, subject, fromVersion, accepted, refusal);
    }
};

/** The name of @p state in output. */
std::string_view toName(InstanceState state);

}
