#pragma once

#include "admission/admission.h"
#include "cornelquay/outcome.h"
#include "details/claimwriter.h"
#include "details/retrybudget.h"
#include "details/servicetable.h"
#include "replica/replica.h"
#include "upstream/upstreams.h"

#include <memory>
#include <optional>
#include <string>

namespace Cornelquay::Details {

/** A caller's request after validation. */
struct WorkOrder {
    std::string team;
    std::string requestId;
    std::string service;
    std::string payload;
    bool idempotent = false;
    Urgency urgency = Urgency::Normal;
    /**
     * Resources stated by the caller, which replace the size declared for the service. If the caller
     * states only some of them, the others are 0.
     */
    std::optional<Resources> size;
    SteadyTime receivedAt;
    SteadyTime deadline;
};

/**
 * Runs requests: admission, claim (unless idempotent), attempts on workers, and the final outcome.
 *
 * Created once per node; run() is called concurrently from the callers' threads and blocks until
 * the outcome is known. The outcome is NotRun only if every attempt provably did not run.
 * Thread-safe.
 */
class Dispatcher
{
public:
    /** @p mayRenewLeases returns whether running tasks of a team may renew their leases. */
    Dispatcher(Replica &replica,
               const ServiceTables &services,
               Admission &admission,
               Upstreams &upstreams,
               ClaimWriter &claims,
               RetryBudget &retries,
               std::function<bool(const std::string &team)> mayRenewLeases,
               Metrics &metrics);

    Outcome run(const WorkOrder &order);

private:
    /** The pool that runs an order, and the order's cost there. */
    struct Target {
        std::string pool;
        /** Dominant share of the pool, from 0 to 1. */
        double cost = 0;
    };

    tl::expected<Target, NotRun> findTarget(const WorkOrder &order) const;
    bool isClaimed(const ClaimKey &key) const;
    Outcome runIdempotent(const WorkOrder &order, const Target &target);
    Outcome runAtMostOnce(const WorkOrder &order, const Target &target);
    std::optional<Outcome> claimAndRun(const WorkOrder &order, const ClaimKey &key, const AdmissionTicket &ticket);
    Outcome joinClaimed(const WorkOrder &order, const ClaimKey &key, bool &claimEnded);
    TaskOutcome runBound(const WorkOrder &order, const AdmissionTicket &ticket, const std::string &taskId);
    TaskOutcome runTask(const WorkOrder &order, const AdmissionTicket &ticket, const std::string &taskId);
    tl::expected<AdmissionTicket, NotRun> admit(const WorkOrder &order, const Target &target);
    NotRun noCapacity(const Target &target, const std::string &message) const;
    SteadyTime leaseEnd(const UpstreamSlot &slot) const;

    Replica &m_replica;
    const ServiceTables &m_services;
    Admission &m_admission;
    Upstreams &m_upstreams;
    ClaimWriter &m_claims;
    RetryBudget &m_retries;
    std::function<bool(const std::string &team)> m_mayRenewLeases;
    Counter m_retriesTotal;
    Counter m_joinsTotal;
    LatencyHistogram m_queueSeconds;
    LatencyHistogram m_claimSeconds;
    LatencyHistogram m_taskSeconds;
};

}
