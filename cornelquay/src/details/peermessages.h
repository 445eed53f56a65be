#pragma once

#include "details/loans.h"
#include "platform/logservice.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Cornelquay::Details {

/** How current a node is, as it tells others. Ages are in milliseconds; negative: never. */
struct PeerPosition {
    Offset nextOffset = 0;
    /** Since its view was last confirmed to hold everything in the log. */
    std::int64_t viewAgeMs = -1;
    /** Since it last read the log itself. */
    std::int64_t logReadAgeMs = -1;

    auto fields()
    {
        return std::tie(nextOffset, viewAgeMs, logReadAgeMs);
    }
};

/** Tasks of one team in one pool. */
struct PeerDemand {
    std::int64_t running = 0;
    std::int64_t waiting = 0;

    auto fields()
    {
        return std::tie(running, waiting);
    }
};

/** What a node uses and has to spare, for fair turns and loans. */
struct PeerLoad {
    /** Running and waiting tasks, by pool and team. */
    std::map<std::string, std::map<std::string, PeerDemand>> demand;
    /** Permits that are free, by team; teams without any are left out. */
    std::map<std::string, std::int64_t> sparePermits;

    auto fields()
    {
        return std::tie(demand, sparePermits);
    }
};

/** What one node says to another, about once a second. */
struct PeerRequest {
    /** Grows with each request from this node to that one. */
    std::uint64_t sequence = 0;
    PeerPosition position;
    std::vector<LoanRequest> loanRequests;

    auto fields()
    {
        return std::tie(sequence, position, loanRequests);
    }
};

/** The answer to a PeerRequest. */
struct PeerReply {
    std::uint64_t sequence = 0;
    PeerPosition position;
    /** One load, or none if it is not its turn: loads are large and paced by their size. */
    std::vector<PeerLoad> load;
    std::vector<LoanGrant> grants;
    /** Entries that the other node does not have yet. */
    std::vector<LogEntry> entries;

    auto fields()
    {
        return std::tie(sequence, position, load, grants, entries);
    }
};

std::string encode(const PeerRequest &request);
std::string encode(const PeerReply &reply);
/** Nothing if the bytes are malformed. */
std::optional<PeerRequest> decodePeerRequest(std::string_view bytes);
std::optional<PeerReply> decodePeerReply(std::string_view bytes);

}
