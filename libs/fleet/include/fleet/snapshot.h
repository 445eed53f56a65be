#pragma once

#include "fleet/fleetstate.h"

#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace Cornelquay {

/** Bytes of state carried by one snapshot chunk. */
constexpr std::size_t SnapshotChunkBytes = 256ULL * 1024;

/** The state as bytes; equal states give equal bytes. */
std::string serialize(const FleetState &state);

/** Reads what serialize() wrote; the error says what is wrong. */
tl::expected<FleetState, std::string> deserialize(std::string_view bytes);

/** The state cut into records for the log, all with the same new snapshot id. */
std::vector<SnapshotChunk> toChunks(const FleetState &state);

/**
 * Gathers chunks of any number of snapshots, read in any order and repeated, until one is whole.
 *
 * Created by a starting node, which feeds every chunk it reads and stops at the first whole
 * snapshot; destroyed when recovery ends. Holds at most a few unfinished snapshots.
 * Not thread-safe.
 */
class SnapshotAssembler
{
public:
    /** Adds @p chunk; the whole snapshot's bytes once the last missing chunk arrived. */
    std::optional<std::string> add(const SnapshotChunk &chunk);

private:
    struct Partial {
        std::vector<std::string> pieces;
        std::size_t missing = 0;
    };
    std::map<RecordId, Partial> m_partials;
};

}
