#pragma once

#include "admission/admission.h"
#include "details/periodictask.h"
#include "records/identifiers.h"
#include "replica/replica.h"

#include <map>
#include <mutex>

namespace Cornelquay::Details {

/** A change of a node's quota of one team's limit. */
struct QuotaChange {
    /** Permits to take from the unassigned ones if positive, to return to them if negative. */
    std::int64_t count = 0;
};

/**
 * The input for deciding on a node's quota of one team's limit. Limit, unassigned, held and lent count
 * permits; running and waiting count the team's tasks on this node.
 */
struct QuotaSituation {
    /** The team's limit over all nodes. */
    std::int64_t limit = 0;
    /** Part of the limit that no node holds; negative if the limit was lowered below the sum held. */
    std::int64_t unassigned = 0;
    /** This node's quota by the records. */
    std::int64_t held = 0;
    std::int64_t running = 0;
    std::int64_t lent = 0;
    std::int64_t waiting = 0;
    /** Number of present nodes. */
    int members = 1;
    /** This node's position among the members, from 0; the first ones get the remainder of the division. */
    int rank = 0;
};

/**
 * Decides the next change of the quota, which aims at equal quotas for all nodes. Pure. Temporary
 * shortages are covered by loans between nodes instead.
 */
QuotaChange decideQuotaChange(const QuotaSituation &situation);

/**
 * Adjusts this node's quotas of the teams' limits through records, and passes them to the admission.
 *
 * Created once per node. While the log is unavailable the quotas stay unchanged and valid.
 */
class QuotaController
{
public:
    QuotaController(Replica &replica, Admission &admission, Incarnation self);

    void start();
    void stop();
    /** Updates the admission's permits from the fleet state. Thread-safe. */
    void refreshPermits();

private:
    /** Permits being returned by a record that is not folded yet. */
    struct PendingReturn {
        std::int64_t count = 0;
        std::uint64_t sequence = 0;
    };

    void adjustQuotas();
    /** Changes by team; sets @p sequence to the number of this node's last limit record. */
    std::map<std::string, QuotaChange> neededChanges(std::uint64_t &sequence) const;
    /** Returns false if the log did not answer. */
    bool proposeChange(const std::string &team, std::int64_t count, std::uint64_t sequence);
    /** Withholds up to @p count free permits from the admission; returns how many. */
    std::int64_t reserveReturn(const std::string &team, std::int64_t count, std::uint64_t sequence);

    Replica &m_replica;
    Admission &m_admission;
    const Incarnation m_self;
    /** Lock order: before the locks of the replica and the admission. */
    std::mutex m_returnsMutex;
    std::map<std::string, PendingReturn> m_pendingReturns;
    PeriodicTask m_task;
};

}
