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

/** A checked request of a caller. */
struct WorkOrder {
    std::string team;
    std::string requestId;
    std::string service;
    std::string payload;
    bool idempotent = false;
    Urgency urgency = Urgency::Normal;
    /** What the caller says it takes, instead of the service's declared size. */
    std::optional<Resources> size;
    SteadyTime receivedAt;
    SteadyTime deadline;
};

/**
 * Takes requests through their turn, their claim and their attempts on workers to an outcome.
 *
 * Created once per node; run() is called by callers' threads at once. An outcome of "not run" is
 * given only if every attempt provably did not run. Thread-safe.
 */
class Dispatcher
{
public:
    Dispatcher(Replica &replica,
               const ServiceTables &services,
               Admission &admission,
               Upstreams &upstreams,
               ClaimWriter &claims,
               RetryBudget &retries,
               std::function<bool(const std::string &team)> mayRenew,
               Metrics &metrics);

    Outcome run(const WorkOrder &order);

private:
    /** A service as an order needs it. */
    struct Target {
        std::string pool;
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
    std::function<bool(const std::string &team)> m_mayRenew;
    Counter m_retriesTotal;
    Counter m_joinsTotal;
    LatencyHistogram m_queueSeconds;
    LatencyHistogram m_claimSeconds;
    LatencyHistogram m_taskSeconds;
};

}
