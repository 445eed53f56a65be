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

/** Whether a worker takes new work. */
enum class WorkerState : std::uint8_t {
    Ready,
    /** About to leave; serves what it has for a while. */
    Draining,
};

/** What a worker says of itself. */
struct WorkerFacts {
    WorkerId id;
    /** Wall-clock milliseconds of the start of this life; 0 if unknown. */
    std::int64_t bornMs = 0;
    std::string pool;
    std::string address;
    std::string zone;
    /** Names its rack and its kind, among others. */
    std::vector<std::string> labels;
    std::string rack;
    Resources capacity;
    WorkerState state = WorkerState::Ready;
    /** While draining: least time until it leaves, in milliseconds; negative if it did not say. */
    std::int64_t leavesInMs = -1;
};

/** Where a run resumes, on whom, and for how long without a further sign of its owner. */
struct StartOrder {
    WorkerId worker;
    TaskName task;
    std::uint32_t run = 0;
    /** On the worker's clock. */
    std::int64_t leaseUntilMs = 0;
    std::uint64_t fencingToken = 0;
    std::string checkpoint;
    /** Permission of the advice service; empty if the queue has none. */
    std::string ticket;
};

/** Ends one run. */
struct StopOrder {
    WorkerId worker;
    TaskName task;
    std::uint32_t run = 0;
    std::uint64_t fencingToken = 0;
};

/** Lets one run work at a share of its speed. */
struct PaceOrder {
    WorkerId worker;
    TaskName task;
    std::uint32_t run = 0;
    int percent = 100;
    std::uint64_t fencingToken = 0;
};

/** Extends a worker's lease, acknowledges ends and asks for a listing. */
struct HoldOrder {
    WorkerId worker;
    std::uint64_t fencingToken = 0;
    std::uint64_t acknowledgedEnd = 0;
    /** On the worker's clock; 0 extends nothing. */
    std::int64_t leaseUntilMs = 0;
    /** How long the answer may wait for an end. */
    std::chrono::milliseconds wait{0};
};

/** Asks the advice service which of some workers may run a step. */
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

using Order = std::variant<StartOrder, StopOrder, PaceOrder, HoldOrder, AdviceOrder>;

/** One run that a worker has. */
struct ListedRun {
    TaskName task;
    std::uint32_t run = 0;
    std::string checkpoint;
    /** Progress; of a lasting task, 100 once it is at work. Negative if unknown. */
    int percent = -1;
    /** Of the last half second: of a serving task the tail in milliseconds, of others the cpu in use. Negative if unknown. */
    std::int64_t load = -1;
};

/** One run that ended, until its end is acknowledged. */
struct ListedEnd {
    std::uint64_t number = 0;
    TaskName task;
    std::uint32_t run = 0;
    RunEnd how = RunEnd::Done;
    std::string checkpoint;
};

/** All that a worker has at one moment of one life. */
struct Listing {
    std::int64_t bornMs = 0;
    std::int64_t clockMs = 0;
    std::vector<ListedRun> running;
    std::vector<ListedEnd> ended;
};

/** Why a worker provably did not carry out an order. */
enum class OrderRefusal : std::uint8_t {
    /** A higher fencing token was seen. */
    Fenced,
    /** The run is not higher than one that ended there. */
    OldRun,
    /** The lease was over on arrival. */
    Late,
    NoRoom,
    /** The permission of the advice service is missing or over. */
    Ticket,
    Invalid,
    /** The worker is unhealthy or overloaded. */
    Unhealthy,
    /** Another instance answers at the address. */
    OtherInstance,
    /** The order never left this process. */
    NotSent,
};

std::string_view toName(OrderRefusal refusal);

/** The worker may have carried out the order, or may do so later. */
struct OrderUnanswered {
};

/** The worker took the order; what its clock showed. */
struct OrderTaken {
    std::int64_t clockMs = 0;
};

using OrderResult = std::variant<OrderTaken, OrderRefusal, OrderUnanswered>;
using HoldResult = std::variant<Listing, OrderRefusal, OrderUnanswered>;

/** One permission of the advice service. */
struct Permission {
    WorkerId worker;
    std::string ticket;

    auto fields()
    {
        return std::tie(worker, ticket);
    }
};

/** The workers that may run a step; nothing if the service gave no answer. */
using AdviceResult = std::optional<std::vector<Permission>>;

}
