#include "fleet/snapshot.h"

#include "configuration/reader.h"
#include "records/packing.h"

#include <algorithm>

namespace Cornelquay {

namespace {

constexpr std::uint32_t SnapshotVersion = 1;
constexpr std::size_t MaxPartialSnapshots = 4;
constexpr std::uint32_t MaxSnapshotChunks = 4096;

/** A claim with its key. Claims are stored in order of expiry, since the order of FleetState::claims may differ between equal states. */
struct StoredClaim {
    ClaimKey key{};
    ClaimEntry entry;

    auto fields()
    {
        return std::tie(key, entry);
    }
};

/** The members of FleetState that are not derived from others. The serialized form of a snapshot. */
struct StoredState {
    std::uint32_t version = SnapshotVersion;
    Offset next = 0;
    std::int64_t logTime = 0;
    ConfigurationEntry configuration;
    std::map<std::string, KeyEntry> keys;
    std::map<std::string, MemberEntry> members;
    std::vector<QuarantinedQuota> quarantine;
    std::map<std::string, InstanceEntry> instances;
    bool maintenancePaused = false;
    std::int64_t waveStartedAt = 0;
    std::vector<StoredClaim> claims;
    std::vector<std::string> instanceNames;
    std::vector<AuditEntry> audit;

    auto fields()
    {
        return std::tie(
            version, next, logTime, configuration, keys, members, quarantine, instances, maintenancePaused, waveStartedAt, claims, instanceNames, audit);
    }
};

std::vector<StoredClaim> toStoredClaims(const FleetState &state)
{
    std::vector<StoredClaim> claims;
    claims.reserve(state.claims.size());
    for (const auto &[expiresAt, key] : state.claimExpiries) {
        const auto found = state.claims.find(key);
        // A claim that was bound again has two expiry entries. Only the newer one matches its expiry time, unless both were bound
        // at the same log time. The claim is then stored twice, and restoreClaims() restores both expiry entries.
        if (found != state.claims.end() && found->second.expiresAt == expiresAt) {
            claims.push_back({key, found->second});
        }
    }
    return claims;
}

StoredState toStored(const FleetState &state)
{
    StoredState stored;
    stored.next = state.nextOffset;
    stored.logTime = state.logTime;
    stored.configuration = state.configuration;
    stored.keys = state.keys;
    stored.members = state.members;
    stored.quarantine = state.quarantine;
    stored.instances = state.instances;
    stored.maintenancePaused = state.maintenancePaused;
    stored.waveStartedAt = state.waveStartedAt;
    stored.claims = toStoredClaims(state);
    stored.instanceNames = state.instanceNames;
    stored.audit.assign(state.audit.begin(), state.audit.end());
    return stored;
}

void restoreClaims(FleetState &state, const std::vector<StoredClaim> &claims)
{
    state.claims.reserve(claims.size());
    for (const StoredClaim &claim : claims) {
        state.claims.emplace(claim.key, claim.entry);
        state.claimExpiries.emplace_back(claim.entry.expiresAt, claim.key);
    }
    for (std::uint32_t index = 0; index < state.instanceNames.size(); ++index) {
        state.instanceNameIndexes.emplace(state.instanceNames[index], index);
    }
}

FleetState fromStored(StoredState stored)
{
    FleetState state;
    state.nextOffset = stored.next;
    state.logTime = stored.logTime;
    state.configuration = std::move(stored.configuration);
    state.keys = std::move(stored.keys);
    state.members = std::move(stored.members);
    state.quarantine = std::move(stored.quarantine);
    state.instances = std::move(stored.instances);
    for (const auto &[name, instance] : state.instances) {
        state.outOfServiceByPool[instance.pool] += isOutOfService(instance) ? 1 : 0;
    }
    state.maintenancePaused = stored.maintenancePaused;
    state.waveStartedAt = stored.waveStartedAt;
    state.instanceNames = std::move(stored.instanceNames);
    state.audit.assign(stored.audit.begin(), stored.audit.end());
    restoreClaims(state, stored.claims);
    if (state.configuration.version > 0) {
        state.parsedConfiguration = std::make_shared<const Configuration>(readConfiguration("configuration", state.configuration.text).configuration);
    }
    return state;
}

bool isValid(const SnapshotChunk &chunk)
{
    return chunk.count > 0 && chunk.count <= MaxSnapshotChunks && chunk.index < chunk.count && chunk.bytes.size() <= MaxSnapshotChunkBytes;
}

}

std::string serialize(const FleetState &state)
{
    return Packing::toBytes(toStored(state));
}

tl::expected<FleetState, std::string> deserialize(std::string_view bytes)
{
    std::optional<StoredState> stored = Packing::fromBytes<StoredState>(bytes);
    if (!stored) {
        return tl::make_unexpected(std::string("malformed snapshot"));
    }
    if (stored->version != SnapshotVersion) {
        return tl::make_unexpected("snapshot version " + std::to_string(stored->version) + " is not known");
    }
    return fromStored(std::move(*stored));
}

std::vector<SnapshotChunk> toChunks(const FleetState &state)
{
    const std::string bytes = serialize(state);
    const std::size_t count = std::max<std::size_t>(1, (bytes.size() + MaxSnapshotChunkBytes - 1) / MaxSnapshotChunkBytes);
    const RecordId id = newRecordId();
    std::vector<SnapshotChunk> chunks;
    for (std::size_t index = 0; index < count; ++index) {
        chunks.push_back({id,
                          state.nextOffset,
                          static_cast<std::uint32_t>(index),
                          static_cast<std::uint32_t>(count),
                          bytes.substr(index * MaxSnapshotChunkBytes, MaxSnapshotChunkBytes)});
    }
    return chunks;
}

std::optional<std::string> SnapshotAssembler::add(const SnapshotChunk &chunk)
{
    if (!isValid(chunk)) {
        return std::nullopt;
    }
    if (m_partialSnapshots.size() >= MaxPartialSnapshots && !m_partialSnapshots.contains(chunk.snapshotId)) {
        m_partialSnapshots.erase(m_partialSnapshots.begin());
    }
    PartialSnapshot &snapshot = m_partialSnapshots[chunk.snapshotId];
    if (snapshot.chunks.empty()) {
        snapshot.chunks.resize(chunk.count);
        snapshot.missingChunks = chunk.count;
    }
    if (snapshot.chunks.size() != chunk.count || !snapshot.chunks[chunk.index].empty()) {
        return std::nullopt;
    }
    snapshot.chunks[chunk.index] = chunk.bytes;
    snapshot.missingChunks -= 1;
    if (snapshot.missingChunks > 0) {
        return std::nullopt;
    }
    std::string bytes;
    for (const std::string &chunkBytes : snapshot.chunks) {
        bytes += chunkBytes;
    }
    m_partialSnapshots.erase(chunk.snapshotId);
    return bytes;
}

}
