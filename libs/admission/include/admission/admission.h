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

/** A request that asks for its turn. */
struct AdmissionRequest {
    std::string team;
    std::string pool;
    /** Dominant share of the pool that the work takes, from 0 to 1. */
    double cost = 0;
    Urgency urgency = Urgency::Normal;
    /** When the request came first; kept when it is sent back to wait again. */
    SteadyTime enteredAt;
    SteadyTime deadline;
};

/** Why a request did not get its turn. It did not run. */
enum class AdmissionRefusal {
    QueueFull,
    TeamQueueFull,
    DeadlinePassed,
    Stopping,
};

/** A refusal and when it makes sense to come back. */
struct AdmissionRefused {
    AdmissionRefusal reason = AdmissionRefusal::QueueFull;
    std::chrono::milliseconds retryAfter{0};
};

/** A turn: a permit of the team and a slot on a worker. Ended by Admission::leave(). */
struct AdmissionTicket {
    std::string team;
    std::string pool;
    double cost = 0;
    UpstreamSlot slot;
    /** When the permit was taken. */
    WallTime grantedAt;
};

/** Bounds of the queues. */
struct AdmissionLimits {
    std::size_t waitingMax = 1000;
    std::size_t waitingPerTeamMax = 400;
    TurnPolicy turns;
};

/** A team's permits on this node and how much of its work waits. */
struct TeamLoad {
    TeamLimitStatus limits;
    std::size_t waiting = 0;
};

/**
 * Gives requests their turn: bounded queues, one fair order per pool, team permits and worker slots.
 *
 * Created once per node. Each caller's thread waits in enter() and ends its turn with leave().
 * Thread-safe. Lock order: this object's mutex, then that of Upstreams.
 *
 * @code
 * auto ticket = admission.enter(request);
 * if (ticket) { ... ticket->slot.exchange->run(...) ...; admission.leave(*ticket, SteadyTime()); }
 * @endcode
 */
class Admission
{
public:
    Admission(AdmissionLimits limits, Upstreams &upstreams, Metrics &metrics);
    ~Admission();

    // Commands.

    /** Waits for a turn until the request's deadline. */
    tl::expected<AdmissionTicket, AdmissionRefused> enter(const AdmissionRequest &request);

    /**
     * Ends a turn. The worker slot must be given back by the caller. @p permitFreeAt is when the
     * work is provably over; the past if it is over already.
     */
    void leave(const AdmissionTicket &ticket, SteadyTime permitFreeAt);

    /** Takes another slot for the ticket's next attempt; waits for one until @p deadline. */
    std::optional<UpstreamSlot> nextSlot(const AdmissionTicket &ticket, const std::set<std::string> &excluded, SteadyTime deadline);

    /** Takes over shares and pools of a new configuration. */
    void configure(const Configuration &configuration);
    /** Changes the permits; @p change runs under the lock. */
    void changeLimits(const std::function<void(TeamLimits &)> &change);
    /** Sets what other nodes run in @p pool by team, and this node's parts of it; see FairQueue. */
    void setPoolParts(const std::string &pool, const std::map<std::string, std::int64_t> &remoteRunning, std::map<std::string, std::int64_t> parts);
    /** Turns are given out only while @p gate is true; called under the lock, must not block. */
    void setGate(std::function<bool()> gate);
    /** Refuses everything that waits or comes. */
    void stop();

    // Queries.

    /** Tasks on this node, by pool and team. */
    std::map<std::string, std::map<std::string, TeamDemand>> demand() const;
    std::map<std::string, TeamLoad> teams() const;
    std::size_t waiting() const;
    /** Whether @p team runs more on this node than its permits allow, as after a lost loan. */
    bool isOverLimit(const std::string &team) const;
    /** An estimate of when a queue of the present length has moved on. */
    std::chrono::milliseconds retryAfter(const std::string &pool) const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/** The name of @p reason for callers. */
std::string_view toName(AdmissionRefusal reason);

}
