#pragma once

#include "records/identifiers.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace Cornelquay {

// Each body lists its members in fields(), in wire order; the codec and the snapshot use that.
// Each body carries the precondition under which it holds, so that a repeated record changes nothing.

/** A new configuration text; holds if @p baseVersion is still the version in force. */
struct ConfigurationChanged {
    std::uint64_t baseVersion = 0;
    std::string text;

    auto fields()
    {
        return std::tie(baseVersion, text);
    }
};

/** A new key for a team; holds if the key id was never used before. */
struct KeyGranted {
    std::string keyId;
    std::string team;
    std::string salt;
    /** SHA-256 of salt and secret. */
    std::string hash;

    auto fields()
    {
        return std::tie(keyId, team, salt, hash);
    }
};

/** The end of a key; a withdrawn key id is never valid again. */
struct KeyWithdrawn {
    std::string keyId;

    auto fields()
    {
        return std::tie(keyId);
    }
};

/** A node takes part; ends every earlier incarnation of the same name. */
struct NodeJoined {
    std::string node;
    std::uint64_t incarnation = 0;
    /** Where other nodes reach it: IP number and port. */
    std::string peerAddress;
    std::string zone;

    auto fields()
    {
        return std::tie(node, incarnation, peerAddress, zone);
    }
};

/** A node ended on its own, with no work left; its part of the limits is free at once. */
struct NodeLeft {
    std::string node;
    std::uint64_t incarnation = 0;

    auto fields()
    {
        return std::tie(node, incarnation);
    }
};

/** A node is taken for dead; its part of the limits is free after the quarantine. */
struct NodeRemoved {
    std::string node;
    std::uint64_t incarnation = 0;

    auto fields()
    {
        return std::tie(node, incarnation);
    }
};

/** One request bound to the one instance that may run it. */
struct Claim {
    ClaimKey key{};
    std::string instance;
    std::uint64_t instanceIncarnation = 0;

    auto fields()
    {
        return std::tie(key, instance, instanceIncarnation);
    }
};

/** Binds requests that no one has bound before; each claim holds or fails by itself. */
struct RequestsClaimed {
    std::string node;
    std::uint64_t incarnation = 0;
    std::vector<Claim> claims;

    auto fields()
    {
        return std::tie(node, incarnation, claims);
    }
};

/** A request that provably did not run on the instance it was bound to. */
struct Release {
    ClaimKey key{};
    /** Offset of the record that bound it; a release of an older binding changes nothing. */
    Offset boundAt = 0;

    auto fields()
    {
        return std::tie(key, boundAt);
    }
};

/** Ends bindings, so that the requests may be bound again. */
struct ClaimsReleased {
    std::vector<Release> releases;

    auto fields()
    {
        return std::tie(releases);
    }
};

/** A node takes a part of a team's running limit that no one holds. */
struct LimitPartTaken {
    std::string node;
    std::uint64_t incarnation = 0;
    std::string team;
    std::int64_t count = 0;
    /** Number of this change by this node, from 1; a repeat changes nothing. */
    std::uint64_t sequence = 0;

    auto fields()
    {
        return std::tie(node, incarnation, team, count, sequence);
    }
};

/** A node gives back a part of a team's running limit that it no longer uses. */
struct LimitPartReturned {
    std::string node;
    std::uint64_t incarnation = 0;
    std::string team;
    std::int64_t count = 0;
    std::uint64_t sequence = 0;

    auto fields()
    {
        return std::tie(node, incarnation, team, count, sequence);
    }
};

/** An instance that the platform's list shows for the first time, or replaced under its name. */
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
    std::int64_t maintainedAt = 0;

    auto fields()
    {
        return std::tie(instance, incarnation, pool, address, zone, rack, cores, memoryBytes, accelerators, maintainedAt);
    }
};

/** An instance that the platform has taken away for good. */
struct InstanceDismissed {
    std::string instance;
    std::uint64_t sequence = 0;

    auto fields()
    {
        return std::tie(instance, sequence);
    }
};

/** An instance changes its pool; holds if the instance is as the proposer saw it. */
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

/** Why an instance is taken out on purpose. */
enum class OutagePurpose : std::uint8_t {
    Maintenance,
    OperatorDrain,
    Move,
};

/** Permission to take one instance out; holds if the availability budget allows one more. */
struct OutageGranted {
    std::string instance;
    std::uint64_t sequence = 0;
    OutagePurpose purpose = OutagePurpose::Maintenance;
    /** The node that carries it out. */
    std::string node;
    std::uint64_t incarnation = 0;
    /** Unix milliseconds after which the node must not begin the drain. */
    std::int64_t beginBefore = 0;

    auto fields()
    {
        return std::tie(instance, sequence, purpose, node, incarnation, beginBefore);
    }
};

/** An instance out for a planned outage serves again, or the outage was never begun. */
struct OutageEnded {
    std::string instance;
    std::uint64_t sequence = 0;
    /** Whether the instance was rebooted and its maintenance is done. */
    bool maintained = false;
    std::int64_t endedAt = 0;

    auto fields()
    {
        return std::tie(instance, sequence, maintained, endedAt);
    }
};

/** An instance was found out of service without a grant. */
struct InstanceFailed {
    std::string instance;
    std::uint64_t sequence = 0;

    auto fields()
    {
        return std::tie(instance, sequence);
    }
};

/** A failed instance serves again. */
struct InstanceRecovered {
    std::string instance;
    std::uint64_t sequence = 0;

    auto fields()
    {
        return std::tie(instance, sequence);
    }
};

/** Operators stop or restart maintenance as a whole. */
struct MaintenancePaused {
    bool paused = false;

    auto fields()
    {
        return std::tie(paused);
    }
};

/** Every instance maintained before this record is due. */
struct WaveStarted {
    /** Log time of the wave before, as the proposer saw it; holds if no other wave began since. */
    std::int64_t after = 0;

    auto fields()
    {
        return std::tie(after);
    }
};

/** An operator puts an instance off until the next wave. */
struct MaintenanceSkipped {
    std::string instance;
    std::uint64_t sequence = 0;

    auto fields()
    {
        return std::tie(instance, sequence);
    }
};

/** A piece of the state as of an offset; all pieces together replace the records before it. */
struct SnapshotChunk {
    RecordId snapshotId{};
    /** The state covers all records before this offset. */
    Offset through = 0;
    std::uint32_t index = 0;
    std::uint32_t count = 0;
    std::string bytes;

    auto fields()
    {
        return std::tie(snapshotId, through, index, count, bytes);
    }
};

/** Every kind of record. The position in this list is the kind's number on the wire: append only. */
using RecordBody = std::variant<ConfigurationChanged,
                                KeyGranted,
                                KeyWithdrawn,
                                NodeJoined,
                                NodeLeft,
                                NodeRemoved,
                                RequestsClaimed,
                                ClaimsReleased,
                                LimitPartTaken,
                                LimitPartReturned,
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

/** One entry of the log as its author proposes it. */
struct Record {
    RecordId id{};
    /** The operator or node that proposed it. */
    std::string author;
    /** Why, in words for the audit trail. */
    std::string reason;
    RecordBody body;
};

/** The name of a record's kind in the audit trail. */
std::string_view kindName(const RecordBody &body);

/** The name of @p purpose in output. */
std::string_view toName(OutagePurpose purpose);

}
