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

/** The request is bound to the requested instance; only the sender that claimed it may start it there. */
struct ClaimBound {
    /** Offset of the record that carries the claim. */
    Offset bindingOffset = 0;
};

/** Another sender had already bound the request. */
struct ClaimTaken {
};

/** The claim was not decided in time. It may still take effect, so the request must not be started. */
struct ClaimUndecided {
};

using ClaimResult = std::variant<ClaimBound, ClaimTaken, ClaimUndecided>;

/**
 * Writes claims and releases to the log in batches.
 *
 * While a batch is being appended, arriving claims and releases are collected for the next one (group
 * commit), so this object never has more than one append in flight, whatever the request rate.
 * Created once per node; call stop() before the replica is destroyed. Thread-safe.
 */
class ClaimWriter
{
public:
    ClaimWriter(Replica &replica, Incarnation self, Metrics &metrics);
    ~ClaimWriter();
    ClaimWriter(const ClaimWriter &) = delete;
    ClaimWriter &operator=(const ClaimWriter &) = delete;

    /** Binds a request to an instance; blocks until the claim is decided, at most until @p deadline. */
    ClaimResult claim(const Claim &claim, SteadyTime deadline);

    /** Ends a binding in the background; retried until it is in the log or the writer stops. */
    void release(const Release &release);

    /** Writes the collected claims, tries once more to write the releases, and ends the thread. */
    void stop();

private:
    /** A claim that waits for its result. */
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
