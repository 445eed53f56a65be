#pragma once

#include "records/record.h"
#include "replica/replica.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <variant>
#include <vector>

namespace Cornelquay::Details {

/** The request is bound as asked; only the asker may start it there. */
struct ClaimBound {
    Offset boundAt = 0;
};

/** Another sender bound the request before. */
struct ClaimTaken {
};

/** The claim could not be decided in time; it may take effect later, so the request must not be started. */
struct ClaimUndecided {
};

using ClaimResult = std::variant<ClaimBound, ClaimTaken, ClaimUndecided>;

/**
 * Writes claims and releases to the log, many in one record.
 *
 * While one record is on its way, all that arrives is gathered for the next (group commit), so the
 * log sees at most one append in flight from each node whatever the rate of requests. Created once
 * per node; stop() before destruction of the replica. Thread-safe.
 */
class ClaimWriter
{
public:
    ClaimWriter(Replica &replica, Incarnation self, Metrics &metrics);
    ~ClaimWriter();
    ClaimWriter(const ClaimWriter &) = delete;
    ClaimWriter &operator=(const ClaimWriter &) = delete;

    /** Binds a request; waits until it is decided or @p deadline. */
    ClaimResult claim(const Claim &claim, SteadyTime deadline);

    /** Ends a binding in the background; repeated until it stands in the log. */
    void release(const Release &release);

    /** Writes what is gathered, as far as the log answers, and ends the thread. */
    void stop();

private:
    struct Pending {
        Claim claim;
        SteadyTime deadline;
        std::optional<ClaimResult> result;
    };

    void writeBatches();
    void writeClaims(const std::vector<std::shared_ptr<Pending>> &batch);
    std::vector<ClaimResult> results(const std::vector<std::shared_ptr<Pending>> &batch, Offset offset) const;
    void writeReleases(std::vector<Release> batch);

    Replica &m_replica;
    const Incarnation m_self;
    std::mutex m_mutex;
    std::condition_variable m_workArrived;
    std::condition_variable m_decided;
    std::deque<std::shared_ptr<Pending>> m_claims;
    std::vector<Release> m_releases;
    bool m_stopping = false;
    Counter m_claimsTotal;
    Counter m_batchesTotal;
    std::thread m_thread;
};

}
