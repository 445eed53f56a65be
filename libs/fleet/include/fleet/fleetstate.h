#pragma once

#include "fleet/entries.h"

#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>

namespace Cornelquay {

/** Time for which a claim prevents a request id from running again, in milliseconds of log time. */
constexpr std::int64_t ClaimRetentionMs = 60LL * 60 * 1000;

/** Maximum number of claims in the state, including released ones. Further claims are refused, and their requests do not run. */
constexpr std::size_t MaxClaims = 1000000;

/** Maximum number of audit entries in memory. Older entries remain only in the log, until they expire there. */
constexpr std::size_t MaxAuditEntries = 5000;

/**
 * Time for which the quotas of a removed node stay unassigned, in milliseconds of log time. Must
 * exceed the longest time for which a node acts on an outdated view plus the longest worker lease,
 * or the removed node's tasks could still run when another node starts tasks on the same quota.
 */
constexpr std::int64_t QuotaQuarantineMs = 30LL * 1000;

/**
 * The state of the fleet after folding all records up to an offset. All nodes that folded the same
 * records have the same state. Changed only by fold() and skip(). Not thread-safe: the owner copies
 * or locks it.
 */
struct FleetState {
    /** The offset of the next record to fold. */
    Offset nextOffset = 0;
    /** Log time: the latest append time of all folded records, in Unix milliseconds. Never decreases, even if the clock of the log does. */
    std::int64_t logTime = 0;

    ConfigurationEntry configuration;
    /** The parsed text of the configuration. Derived from configuration, never null. */
    std::shared_ptr<const Configuration> parsedConfiguration = std::make_shared<Configuration>();

    std::map<std::string, KeyEntry> keys;
    std::map<std::string, MemberEntry> members;
    std::vector<QuarantinedQuota> quarantine;
    std::map<std::string, InstanceEntry> instances;
    /** Number of instances of each pool that are out of service, planned or not. Derived from instances. */
    std::map<std::string, int> outOfServiceByPool;
    bool maintenancePaused = false;
    /** Log time at which the newest wave began, in Unix milliseconds. 0 if there was none. */
    std::int64_t waveStartedAt = 0;

    std::unordered_map<ClaimKey, ClaimEntry, IdentifierHash> claims;
    /** Expiry time and key of each claim, in order of expiry. May hold outdated entries of claims that were bound again. */
    std::deque<std::pair<std::int64_t, ClaimKey>> claimExpiries;
    /** Names of the instances in claims, so that each claim stores an index only. A name stays after its last claim has expired. */
    std::vector<std::string> instanceNames;
    /** Index of each name in instanceNames. Derived from instanceNames. */
    std::unordered_map<std::string, std::uint32_t> instanceNameIndexes;

    std::deque<AuditEntry> audit;

    /** Grows with each accepted record other than claims, their releases and snapshot chunks. Local to the process, not part of snapshots. */
    std::uint64_t revision = 0;
};

/** The active claim on @p key. Empty if there is none or if it was released or has expired. */
std::optional<ClaimEntry> activeClaim(const FleetState &state, const ClaimKey &key);

/**
 * The quota of @p team's limit that is neither assigned to a node nor in quarantine at the state's
 * log time, in tasks. Negative after a new configuration set the limit below the assigned quotas.
 */
std::int64_t unassignedQuota(const FleetState &state, const std::string &team);

/** The quota of @p team's limit that is assigned to @p node, in tasks. 0 if this incarnation is not present. */
std::int64_t heldQuota(const FleetState &state, const Incarnation &node, const std::string &team);

/** Whether @p instance counts against its pool's availability budget: in a planned outage or failed. */
bool isOutOfService(const InstanceEntry &instance);

/** Number of instances of @p pool that are out of service, planned or not. */
int outOfServiceCount(const FleetState &state, const std::string &pool);

/** Number of present nodes. */
int memberCount(const FleetState &state);

/**
 * Number of present nodes whose names sort before @p node. Nodes delay shared work by their rank, so
 * that they do not all do it at once. Correctness must not depend on it, since nodes may have
 * different views.
 */
int memberRank(const FleetState &state, const std::string &node);

/** Whether @p node is the newest incarnation of its name and present. */
bool isPresent(const FleetState &state, const Incarnation &node);

}
