#pragma once

#include "admission/fairqueue.h"
#include "admission/teamlimits.h"
#include "configuration/configuration.h"
#include "telemetry/metrics.h"
#include "upstream/upstreams.h"

#include <tl/expected.hpp>

#include <memory>
#include <string>
#include <variant>

namespace Cornelquay {

/** A request for a turn, that is, for permission to run one task. */
struct AdmissionRequest {
    std::string team;
    std::string pool;
    /** Largest fraction of any of the pool's resources that the work takes, from 0 to 1. */
    double cost = 0;
    Urgency urgency = Urgency::Normal;
    /** Time at which the request first entered the queue. Unchanged if it has to queue again, so that it keeps its place. */
    SteadyTime enteredAt;
    /** Time at which the request stops waiting for its turn. */
    SteadyTime deadline;
};

/** Reason why a request got no turn. In all cases it did not run. */
enum class AdmissionRefusal {
    /** AdmissionLimits::maxWaiting requests are waiting. */
    QueueFull,
    /** AdmissionLimits::maxWaitingPerTeam requests of the team are waiting. */
    TeamQueueFull,
    DeadlinePassed,
    /** stop() was called. */
    Stopping,
};

/** A refusal with the delay after which a retry makes sense. */
struct AdmissionRefused {
    AdmissionRefusal reason = AdmissionRefusal::QueueFull;
    std::chrono::milliseconds retryAfter{0};
};

/** A turn: a permit of the team and a slot on a worker. Must be ended by Admission::leave(). */
struct AdmissionTicket {
    std::string team;
    std::string pool;
    /** See AdmissionRequest::cost. */
    double cost = 0;
    UpstreamSlot slot;
    /** Time at which the permit was taken. */
    WallTime grantedAt;
};

/** Limits of the queues and the policy for the order of turns. */
struct AdmissionLimits {
    /** Maximum number of waiting requests on this node, in all pools. */
    std::size_t maxWaiting = 1000;
    /** Maximum number of waiting requests of one team on this node, in all pools. */
    std::size_t maxWaitingPerTeam = 400;
    TurnPolicy turns;
};

/** Permits and waiting requests of a team on this node. */
struct TeamLoad {
    TeamLimitStatus limits;
    /** Waiting requests, in all pools. */
    std::size_t waiting = 0;
};

/**
 * Controls when requests may run. Requests wait in bounded queues and get their turn in a fair order
 * per pool, as soon as there are a permit of the team and a free slot on a worker.
 *
 * Created once per node. Each caller waits in enter() on its own thread and ends its turn with
 * leave(). Thread-safe. Lock order: this object's mutex, then that of Upstreams.
 *
 * @code
 * auto ticket = admission.enter(request);
 * if (ticket) {
 *     ... // Run the task on ticket->slot and return the slot with Upstreams::giveBack().
 *     admission.leave(*ticket, SteadyTime());
 * }
 * @endcode
 */
class Admission
{
public:
    Admission(AdmissionLimits limits, Upstreams &upstreams, Metrics &metrics);
    ~Admission();

    // Commands.

    /** Waits for a turn, at most until the deadline of @p request. */
    tl::expected<AdmissionTicket, AdmissionRefused> enter(const AdmissionRequest &request);

    /**
     * Ends a turn. The caller must return the worker slot itself. The permit is released at
     * @p permitFreeAt, the time from which on the work is known to have ended. A time in the past
     * means that it has ended already.
     */
    void leave(const AdmissionTicket &ticket, SteadyTime permitFreeAt);

    /**
     * Takes another worker slot for the next attempt of the ticket's request, on none of the
     * workers @p excluded. Waits at most until @p deadline. Empty if there was none by then, or after stop().
     */
    std::optional<UpstreamSlot> acquireSlot(const AdmissionTicket &ticket, const std::set<std::string> &excluded, SteadyTime deadline);

    /** Applies the teams' shares of @p configuration to all pools. */
    void configure(const Configuration &configuration);
    /**
     * Calls @p change with the permits of all teams and then gives out the turns that became possible.
     * @p change is called under the lock and must not call this object.
     */
    void changeLimits(const std::function<void(TeamLimits &)> &change);
    /**
     * Sets the number of tasks that other nodes run in @p pool, and this node's quotas of the pool,
     * both by team. See FairQueue.
     */
    void setPoolQuotas(const std::string &pool, const std::map<std::string, std::int64_t> &remoteRunning, std::map<std::string, std::int64_t> quotas);
    /** Gives out turns only while @p gate returns true. It is called under the lock and must neither block nor call this object. */
    void setGate(std::function<bool()> gate);
    /** Refuses all waiting and future requests. Turns that were given out continue. */
    void stop();

    // Queries.

    /** Running and waiting tasks on this node, by pool and team. */
    std::map<std::string, std::map<std::string, TeamDemand>> demand() const;
    std::map<std::string, TeamLoad> teams() const;
    /** Number of waiting requests. */
    std::size_t waiting() const;
    /** Whether @p team runs more tasks on this node than its permits allow, for instance after a loan of quota was not confirmed. */
    bool isOverLimit(const std::string &team) const;
    /** Estimated time until a request that joins the queue of @p pool now gets its turn, from 100 ms to 30 s. */
    std::chrono::milliseconds retryAfter(const std::string &pool) const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/** The name of @p reason as used in answers to callers. */
std::string_view toName(AdmissionRefusal reason);

}
