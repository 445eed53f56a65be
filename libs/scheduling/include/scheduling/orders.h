#pragma once

#include "jobs/job.h"
#include "timing/instant.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

namespace Cornelquay {

/** Whether a worker accepts new work. */
enum class WorkerState : std::uint8_t {
    Ready,
    /** About to leave; its runs continue for a limited time. */
    Draining,
};

/** Properties of a worker as reported by its registration. */
struct WorkerFacts {
    WorkerId id;
    /** Start time of this incarnation in milliseconds since 1970; 0 if unknown. Distinguishes restarts under the same id. */
    std::int64_t startTimeMs = 0;
    std::string pool;
    std::string address;
    std::string zone;
    /** Labels that steps can require; among others they name the rack and the kind of worker. */
    std::vector<std::string> labels;
    std::string rack;
    Resources capacity;
    WorkerState state = WorkerState::Ready;
    /** While draining: minimum time until the worker leaves, in milliseconds; negative if unknown. */
    std::int64_t leavesInMs = -1;
    /** How much longer the worker is slow after its start, in milliseconds from the registration. */
    std::int64_t coldLeftMs = 0;
};

/** Starts a run of a task on a worker. */
struct StartOrder {
    WorkerId worker;
    TaskName task;
    std::uint32_t run = 0;
    /** The worker ends the run at this time of its own clock unless the lease is extended, in milliseconds. */
    std::int64_t leaseUntilMs = 0;
    std::uint64_t fencingToken = 0;
    /** State from which the run resumes; empty for none. */
    std::string checkpoint;
    /** Proof of the advice service's permission; empty if the queue needs none. */
    std::string ticket;
};

/** Stops one run. */
struct StopOrder {
    WorkerId worker;
    TaskName task;
    std::uint32_t run = 0;
    std::uint64_t fencingToken = 0;
};

/** Limits the speed of one run. */
struct ThrottleOrder {
    WorkerId worker;
    TaskName task;
    std::uint32_t run = 0;
    /** Allowed share of the full speed, 0 to 100; 0 pauses the run. */
    int percent = 100;
    std::uint64_t fencingToken = 0;
};

/** Renews the lease of all runs of a worker, acknowledges ended runs and requests a listing. */
struct RenewLeaseOrder {
    WorkerId worker;
    std::uint64_t fencingToken = 0;
    /** The worker may forget ends up to this number; 0 acknowledges none. */
    std::uint64_t acknowledgedEnd = 0;
    /** New end of the lease on the worker's clock, in milliseconds; 0 does not extend the lease. */
    std::int64_t leaseUntilMs = 0;
    /** Long polling: the worker may delay its answer by this time until a run ends. */
    std::chrono::milliseconds wait{0};
};

/** Requests from the advice service which of the given workers may run a step. */
struct AdviceOrder {
    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::vector<WorkerId> workers;

    auto fields()
    {
        return std::tie(job, occurrence, step, workers);
    }
};

using Order = std::variant<StartOrder, StopOrder, ThrottleOrder, RenewLeaseOrder, AdviceOrder>;

/** When an order to a worker counts as unanswered. A worker usually answers within a few milliseconds. */
struct OrderTimes {
    /**
     * For orders that start, stop or throttle a run. Short, because a listing with a higher fencing token then shows within
     * milliseconds whether the order took effect, and a job waits for its slowest task.
     */
    std::chrono::milliseconds orderTimeout{300};
    /**
     * Time for which an order may wait until those before it to the same worker are answered. It does not count towards orderTimeout:
     * otherwise a busy owner would give up and place anew what it has not sent yet, which makes it busier.
     */
    std::chrono::milliseconds orderQueueTimeout{1000};
    /** For lease renewals, in addition to the time by which the worker may delay its answer. */
    std::chrono::milliseconds leaseRenewalMargin{300};
};

/** An active run in a worker's listing. */
struct ListedRun {
    TaskName task;
    std::uint32_t run = 0;
    std::string checkpoint;
    /** Progress, 0 to 100; a long-running task reports 100 once it is ready to serve. Negative if unknown. */
    int percent = -1;
    /** Over the last half second: tail latency in milliseconds of a serving task, CPU in use of other tasks. Negative if unknown. */
    std::int64_t load = -1;
};

/** An ended run. A worker lists it until the end is acknowledged. */
struct ListedEnd {
    /** Increases with each end of one incarnation of the worker. */
    std::uint64_t number = 0;
    TaskName task;
    std::uint32_t run = 0;
    RunEnd runEnd = RunEnd::Done;
    std::string checkpoint;
};

/** All runs and unacknowledged ends of one incarnation of a worker at one moment. */
struct Listing {
    /** Start time of the incarnation in milliseconds since 1970. */
    std::int64_t startTimeMs = 0;
    /** The worker's own clock in milliseconds. */
    std::int64_t clockMs = 0;
    std::vector<ListedRun> running;
    std::vector<ListedEnd> ended;
    /**
     * The worker may have further ends, which later listings contain once these are acknowledged. A run that the listing does not
     * show may be among them.
     */
    bool mayHaveMoreEnds = false;
};

/** Why a worker rejected an order. A rejected order certainly had no effect. */
enum class OrderRefusal : std::uint8_t {
    /** The worker has seen a higher fencing token. */
    Fenced,
    /** The run number is not above that of a run of the task that ended on this worker. */
    OldRun,
    /** The lease in the order had expired on arrival. */
    LeaseExpired,
    /** The worker has too little free capacity. */
    NotEnoughCapacity,
    /** The ticket of the advice service is missing or expired. */
    InvalidTicket,
    Invalid,
    /** The worker is unhealthy or overloaded. */
    Unhealthy,
    /** Another instance answers at the worker's address. */
    OtherInstance,
    /** The order was not sent. */
    NotSent,
};

std::string_view toName(OrderRefusal refusal);

/** There was no answer: the worker may have executed the order, or may still do so. */
struct OrderUnanswered {
};

/** The worker accepted the order. */
struct OrderAccepted {
    /** The worker's own clock in milliseconds. */
    std::int64_t clockMs = 0;
};

using OrderResult = std::variant<OrderAccepted, OrderRefusal, OrderUnanswered>;
using RenewLeaseResult = std::variant<Listing, OrderRefusal, OrderUnanswered>;

/** Permission of the advice service to run a step on one worker. */
struct Permission {
    WorkerId worker;
    std::string ticket;

    auto fields()
    {
        return std::tie(worker, ticket);
    }
};

/** The permitted workers of a request; std::nullopt if the advice service did not answer. */
using AdviceResult = std::optional<std::vector<Permission>>;

}
