#pragma once

#include "records/identifiers.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace Cornelquay {

// Each record body lists its members in fields(), in wire order, for the codec and for snapshots.
// Most bodies carry the precondition under which they are accepted, so that folding a record twice has no further effect.
// Two kinds have an effect again: RequestsClaimed after the release of its claims, and MaintenancePaused after the opposite change.
// The member incarnation of a record that a node proposes is the node's. The member sequence of a record about an instance is
// InstanceEntry::sequence as the proposer read it; the record is refused if the instance has changed since.

/** A new configuration text. Accepted if baseVersion is still the version in force and the text has no findings. */
struct ConfigurationChanged {
    std::uint64_t baseVersion = 0;
    std::string text;

    auto fields()
    {
        return std::tie(baseVersion, text);
    }
};

/** A new API key for a team. Accepted if the team is configured and the key id was never used before. */
struct KeyGranted {
    std::string keyId;
    std::string team;
    std::string salt;
    /** SHA-256 of the salt followed by the secret. */
    std::string hash;

    auto fields()
    {
        return std::tie(keyId, team, salt, hash);
    }
};

/** Withdraws an API key. A withdrawn key id is never valid again. */
struct KeyWithdrawn {
    std::string keyId;

    auto fields()
    {
        return std::tie(keyId);
    }
};

/** A node joins the fleet. Supersedes every earlier incarnation of the same name, whose quotas are free after the quarantine. Incarnations count from 1. */
struct NodeJoined {
    std::string node;
    std::uint64_t incarnation = 0;
    /** IP address and port at which other nodes reach the node. */
    std::string peerAddress;
    std::string zone;

    auto fields()
    {
        return std::tie(node, incarnation, peerAddress, zone);
    }
};

/** A node shut down in order, with no work left. Its quotas are free at once, without a quarantine, and the fold relies on the node for this. */
struct NodeLeft {
    std::string node;
    std::uint64_t incarnation = 0;

    auto fields()
    {
        return std::tie(node, incarnation);
    }
};

/** A node is considered failed. Its quotas are free after the quarantine, since the node may still run tasks; see QuotaQuarantineMs. */
struct NodeRemoved {
    std::string node;
    std::uint64_t incarnation = 0;

    auto fields()
    {
        return std::tie(node, incarnation);
    }
};

/** Binds one request to the only instance that may run it. */
struct Claim {
    ClaimKey key{};
    std::string instance;
    std::uint64_t instanceIncarnation = 0;

    auto fields()
    {
        return std::tie(key, instance, instanceIncarnation);
    }
};

/** Claims requests that are not claimed yet. Each claim takes effect separately; the verdict is a refusal if any of them had no effect. */
struct RequestsClaimed {
    std::string node;
    std::uint64_t incarnation = 0;
    std::vector<Claim> claims;

    auto fields()
    {
        return std::tie(node, incarnation, claims);
    }
};

/** Releases a request that provably did not run on the instance it was bound to. */
struct Release {
    ClaimKey key{};
    /** Offset of the record that bound the request. A release of an earlier binding has no effect. */
    Offset bindingOffset = 0;

    auto fields()
    {
        return std::tie(key, bindingOffset);
    }
};

/** Releases claims, so that the requests may be claimed again. */
struct ClaimsReleased {
    std::vector<Release> releases;

    auto fields()
    {
        return std::tie(releases);
    }
};

/** A node takes an unassigned quota of a team's limit on running tasks. */
struct QuotaTaken {
    std::string node;
    std::uint64_t incarnation = 0;
    std::string team;
    /** Tasks. */
    std::int64_t count = 0;
    /** Number of this quota change by this incarnation, from 1. A record is refused unless its number exceeds that of the last accepted one. */
    std::uint64_t sequence = 0;

    auto fields()
    {
        return std::tie(node, incarnation, team, count, sequence);
    }
};

/** A node returns a quota of a team's limit on running tasks that it no longer uses. */
struct QuotaReturned {
    std::string node;
    std::uint64_t incarnation = 0;
    std::string team;
    /** Tasks. */
    std::int64_t count = 0;
    /** Number of this quota change by this incarnation. Changes that take and that return quotas share one sequence. */
    std::uint64_t sequence = 0;

    auto fields()
    {
        return std::tie(node, incarnation, team, count, sequence);
    }
};

/** An instance that is new in the platform's list, or a new incarnation of a known one under the same name. Incarnations count from 1. */
struct InstanceEnrolled {
    std::string instance;
    std::uint64_t incarnation = 0;
    std::string pool;
    std::string address;
    std::string zone;
    std::string rack;
    double cores = 0;
    std::uint64_t memoryBytes = 0;
    double accelerators = 0;
    /** Time of the last maintenance, in Unix milliseconds. */
    std::int64_t maintainedAtMs = 0;

    auto fields()
    {
        return std::tie(instance, incarnation, pool, address, zone, rack, cores, memoryBytes, accelerators, maintainedAtMs);
    }
};

/** An instance that the platform has removed permanently. */
struct InstanceDismissed {
    std::string instance;
    std::uint64_t sequence = 0;

    auto fields()
    {
        return std::tie(instance, sequence);
    }
};

/** An instance changes its pool. Accepted if it is in a planned outage, or if it is in service in a spare pool. It is then arriving in the new pool. */
struct InstanceMoved {
    std::string instance;
    std::uint64_t sequence = 0;
    std::string fromPool;
    std::string toPool;

    auto fields()
    {
        return std::tie(instance, sequence, fromPool, toPool);
    }
};

/** Reason for a planned outage of an instance. */
enum class OutagePurpose : std::uint8_t {
    Maintenance,
    OperatorDrain,
    Move,
};

/**
 * Permission to take one instance out of service. Accepted if the instance is in service, the node
 * is present, the pool's availability budget allows one more and, if the purpose is maintenance,
 * maintenance is not paused.
 */
struct OutageGranted {
    std::string instance;
    std::uint64_t sequence = 0;
    OutagePurpose purpose = OutagePurpose::Maintenance;
    /** The node that carries out the outage. */
    std::string node;
    std::uint64_t incarnation = 0;
    /** Unix milliseconds after which the node must not begin to drain the instance. */
    std::int64_t beginDeadline = 0;

    auto fields()
    {
        return std::tie(instance, sequence, purpose, node, incarnation, beginDeadline);
    }
};

/** A planned outage has ended: the instance is in service again, after a move in its new pool, or the outage was never begun. */
struct OutageEnded {
    std::string instance;
    std::uint64_t sequence = 0;
    /** Whether the instance was rebooted, which completes its maintenance. */
    bool maintained = false;
    /** Unix milliseconds. */
    std::int64_t endedAt = 0;

    auto fields()
    {
        return std::tie(instance, sequence, maintained, endedAt);
    }
};

/** An instance was found out of service without a granted outage. */
struct InstanceFailed {
    std::string instance;
    std::uint64_t sequence = 0;

    auto fields()
    {
        return std::tie(instance, sequence);
    }
};

/** A failed instance is in service again. */
struct InstanceRecovered {
    std::string instance;
    std::uint64_t sequence = 0;

    auto fields()
    {
        return std::tie(instance, sequence);
    }
};

/** Pauses or resumes maintenance of the whole fleet. */
struct MaintenancePaused {
    bool paused = false;

    auto fields()
    {
        return std::tie(paused);
    }
};

/** Starts a maintenance wave: every instance whose last maintenance is before the log time of this record is due. */
struct WaveStarted {
    /** Log time at which the newest wave known to the proposer began. Accepted if no other wave has begun since. */
    std::int64_t previousWaveStartedAt = 0;

    auto fields()
    {
        return std::tie(previousWaveStartedAt);
    }
};

/** An operator exempts an instance from the current wave. Accepted if the instance is due in the wave. */
struct MaintenanceSkipped {
    std::string instance;
    std::uint64_t sequence = 0;

    auto fields()
    {
        return std::tie(instance, sequence);
    }
};

/** One chunk of the state as of an offset. All chunks of a snapshot together replace the records before that offset. */
struct SnapshotChunk {
    RecordId snapshotId{};
    /** The snapshot covers all records before this offset. */
    Offset endOffset = 0;
    std::uint32_t index = 0;
    std::uint32_t count = 0;
    std::string bytes;

    auto fields()
    {
        return std::tie(snapshotId, endOffset, index, count, bytes);
    }
};

/** All kinds of record. The position in this list is the number of the kind on the wire, so new kinds are only appended. */
using RecordBody = std::variant<ConfigurationChanged,
                                KeyGranted,
                                KeyWithdrawn,
                                NodeJoined,
                                NodeLeft,
                                NodeRemoved,
                                RequestsClaimed,
                                ClaimsReleased,
                                QuotaTaken,
                                QuotaReturned,
                                InstanceEnrolled,
                                InstanceDismissed,
                                InstanceMoved,
                                OutageGranted,
                                OutageEnded,
                                InstanceFailed,
                                InstanceRecovered,
                                MaintenancePaused,
                                SnapshotChunk,
                                WaveStarted,
                                MaintenanceSkipped>;

/** One entry of the log as proposed by its author. */
struct Record {
    RecordId id{};
    /** The operator or node that proposed it. */
    std::string author;
    /** Reason for the change, as shown in the audit trail. */
    std::string reason;
    RecordBody body;
};

/** The name of the kind of @p body, as used in the audit trail. */
std::string_view kindName(const RecordBody &body);

/** The name of @p purpose as used in answers and logs. */
std::string_view toName(OutagePurpose purpose);

}
