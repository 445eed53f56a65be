#pragma once

#include "fleet/fleetstate.h"

#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace Cornelquay {

/** Maximum size of the state data in one snapshot chunk, in bytes. */
constexpr std::size_t MaxSnapshotChunkBytes = 256ULL * 1024;

/** Serializes @p state. Equal states give equal bytes. */
std::string serialize(const FleetState &state);

/** Restores a state from bytes written by serialize(). The error describes why the bytes cannot be read. */
tl::expected<FleetState, std::string> deserialize(std::string_view bytes);

/** Splits the serialized state into records for the log. All of them carry the same new snapshot id. */
std::vector<SnapshotChunk> toChunks(const FleetState &state);

/**
 * Collects snapshot chunks until one snapshot is complete. Chunks of several snapshots may come in
 * any order and more than once.
 *
 * Used during recovery only. Keeps at most a few incomplete snapshots and drops one of them when
 * another begins. Not thread-safe.
 *
 * @code
 * SnapshotAssembler assembler;
 * if (const auto bytes = assembler.add(chunk)) {
 *     auto state = deserialize(*bytes);
 * }
 * @endcode
 */
class SnapshotAssembler
{
public:
    /** Adds @p chunk. Returns the bytes of its snapshot if that is now complete. Invalid and repeated chunks are ignored. */
    std::optional<std::string> add(const SnapshotChunk &chunk);

private:
    struct PartialSnapshot {
        std::vector<std::string> chunks;
        std::size_t missingChunks = 0;
    };
    std::map<RecordId, PartialSnapshot> m_partialSnapshots;
};

}
