#pragma once

#include "fleet/entries.h"

#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>

namespace Cornelquay {

/** How long a claim keeps a request id from running again, in milliseconds of log time. */
constexpr std::int64_t ClaimRetentionMilliseconds = 60LL * 60 * 1000;

/** Claims held at most; more are refused as not run. */
constexpr std::size_t ClaimsMax = 1000000;

/** Audit entries kept in memory; older ones are in the log as long as it keeps them. */
constexpr std::size_t AuditEntriesMax = 5000;

/**
 * How long the part of a removed node stays unused, in milliseconds of log time. Longer than the
 * longest time for which a node acts on an old view plus the longest worker lease.
 */
constexpr std::int64_t QuarantineMilliseconds = 30LL * 1000;

/**
 * What the records up to an offset add up to. Every node that folded the same records has the
 * same state. Changed only by fold(); plain data, copied or locked by its owner.
 */
struct FleetState {
    /** The offset of the next record to fold. */
    Offset next = 0;
    /** Log time of the newest folded record, Unix milliseconds; never decreases. */
    std::int64_t logTime = 0;

    ConfigurationEntry configuration;
    /** The parsed text of configuration; derived, never null. */
    std::shared_ptr<const Configuration> parsed = std::make_shared<Configuration>();

    std::map<std::string, KeyEntry> keys;
    std::map<std::string, MemberEntry> members;
    std::vector<QuarantinedPart> quarantine;
    std::map<std::string, InstanceEntry> instances;
    /** Instances of each pool that are out, planned or not; derived from instances. */
    std::map<std::string, int> outByPool;
    bool maintenancePaused = false;
    /** Log time at which the newest wave began; 0 if there was none. */
    std::int64_t waveStartedAt = 0;

    std::unordered_map<ClaimKey, ClaimEntry, IdentifierHash> claims;
    /** Claims in order of expiry; derived from claims. */
    std::deque<std::pair<std::int64_t, ClaimKey>> claimExpiries;
    std::vector<std::string> instanceNames;
    /** Index of each name in instanceNames; derived. */
    std::unordered_map<std::string, std::uint32_t> instanceNameIndexes;

    std::deque<AuditEntry> audit;

    /** Grows with each accepted record other than claims; local to the process. */
    std::uint64_t revision = 0;
};

/** The claim on @p key that is in force: neither released nor expired. */
std::optional<ClaimEntry> claimOf(const FleetState &state, const ClaimKey &key);

/** The part of @p team's limit that no node holds, at the state's log time. */
std::int64_t unassignedLimit(const FleetState &state, const std::string &team);

/** The part of @p team's limit that the present incarnation @p node holds. */
std::int64_t heldLimit(const FleetState &state, const Incarnation &node, const std::string &team);

/** Whether @p instance counts against its pool's availability budget. */
bool isOut(const InstanceEntry &instance);

/** Instances of @p pool that are out, planned or not. */
int instancesOut(const FleetState &state, const std::string &pool);

/** Present nodes. */
int memberCount(const FleetState &state);

/** How many present nodes come before @p node in the order of names, which saves work, never safety. */
int memberRank(const FleetState &state, const std::string &node);

/** Whether @p node is the newest incarnation of its name and present. */
bool isPresent(const FleetState &state, const Incarnation &node);

}
