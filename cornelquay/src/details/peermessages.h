#pragma once

#include "details/loans.h"
#include "platform/logservice.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Cornelquay::Details {

/** How recent a node's view of the log is. Ages are in milliseconds; negative if it never happened. */
struct PeerPosition {
    /** Offset of the next record to fold. */
    Offset nextOffset = 0;
    /** Time since the view was last confirmed to include everything in the log. */
    std::int64_t viewAgeMs = -1;
    /** Time since the node itself last read the log. */
    std::int64_t logReadAgeMs = -1;

    auto fields()
    {
        return std::tie(nextOffset, viewAgeMs, logReadAgeMs);
    }
};

/** Number of tasks of one team in one pool on one node. */
struct PeerDemand {
    std::int64_t running = 0;
    std::int64_t waiting = 0;

    auto fields()
    {
        return std::tie(running, waiting);
    }
};

/** A node's demand and free permits, used for fair sharing and loans. */
struct PeerLoad {
    /** Running and waiting tasks, by pool and team. */
    std::map<std::string, std::map<std::string, PeerDemand>> demand;
    /**
     * Unused permits of the node's own quota, less one if work of the team waits, by team; teams without
     * any are left out. A lender also keeps a reserve, so it may grant fewer.
     */
    std::map<std::string, std::int64_t> sparePermits;

    auto fields()
    {
        return std::tie(demand, sparePermits);
    }
};

/** The request of an exchange between two nodes, sent about once per second. */
struct PeerRequest {
    /** Increases with each request from this sender to this receiver. */
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
    /** The sequence of the request; 0 if the request was malformed. */
    std::uint64_t sequence = 0;
    PeerPosition position;
    /** One load or none: loads are large, so their rate is limited by their size. */
    std::vector<PeerLoad> load;
    std::vector<LoanGrant> grants;
    /** Log entries that the requesting node does not have yet. */
    std::vector<LogEntry> entries;

    auto fields()
    {
        return std::tie(sequence, position, load, grants, entries);
    }
};

std::string encode(const PeerRequest &request);
std::string encode(const PeerReply &reply);
/** Returns nullopt if the bytes are malformed. */
std::optional<PeerRequest> decodePeerRequest(std::string_view bytes);
std::optional<PeerReply> decodePeerReply(std::string_view bytes);

}
