#pragma once

#include "admission/admission.h"
#include "details/periodictask.h"
#include "records/identifiers.h"
#include "replica/replica.h"

#include <map>
#include <mutex>

namespace Cornelquay::Details {

/** How a node's part of one team's limit should change. */
struct QuotaChange {
    /** Positive: take this much; negative: give this much back. */
    std::int64_t count = 0;
};

/** What a node knows when it decides about its part of one team's limit. */
struct QuotaSituation {
    std::int64_t limit = 0;
    std::int64_t unassigned = 0;
    std::int64_t held = 0;
    std::int64_t running = 0;
    std::int64_t lent = 0;
    std::int64_t waiting = 0;
    int members = 1;
    /** This node's place among the members, from 0; the first ones get what does not divide evenly. */
    int rank = 0;
};

/** Decides the next change by record; pure. Short-lived needs are met by loans between nodes. */
QuotaChange decideQuotaChange(const QuotaSituation &situation);

/**
 * Holds this node's parts of the teams' limits by records, and tells the admission of them.
 *
 * Created once per node. While the log is down the parts stay as they are and stay valid.
 */
class QuotaController
{
public:
    QuotaController(Replica &replica, Admission &admission, Incarnation self);

    void start();
    void stop();
    /** Brings the admission's permits up to date with the fleet's state. */
    void refreshPermits();

private:
    /** A part given back by a record that is not folded yet. */
    struct PendingReturn {
        std::int64_t count = 0;
        std::uint64_t sequence = 0;
    };

    void adjustQuotas();
    std::map<std::string, QuotaChange> neededChanges(std::uint64_t &sequence) const;
    bool proposeChange(const std::string &team, std::int64_t count, std::uint64_t sequence);
    std::int64_t reserveReturn(const std::string &team, std::int64_t count, std::uint64_t sequence);

    Replica &m_replica;
    Admission &m_admission;
    const Incarnation m_self;
    /** Taken before the replica's and the admission's locks. */
    std::mutex m_returnsMutex;
    std::map<std::string, PendingReturn> m_pendingReturns;
    PeriodicTask m_task;
};

}
