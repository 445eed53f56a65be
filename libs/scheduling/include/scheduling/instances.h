#pragma once

#include "jobs/jobspec.h"
#include "scheduling/orders.h"
#include "timing/instant.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

namespace Cornelquay {

using InstanceId = std::string;

/** State of an instance as the control plane reports it. */
enum class InstancePhase : std::uint8_t {
    Up,
    Moving,
    Maintenance,
    Down,
};

/** An instance as the control plane lists it. */
struct InstanceFacts {
    InstanceId id;
    std::string pool;
    InstancePhase state = InstancePhase::Up;
    std::string zone;
    std::string rack;
    std::vector<std::string> labels;
    Resources capacity;
    /** The worker that currently runs on the instance; empty if there is none. */
    WorkerId worker;
};

/** An instance and a summary of its worker's runs. */
struct InstanceView {
    InstanceFacts facts;
    /** Its worker is reachable, registered and ready for new work. */
    bool usable = false;
    /** Number of runs, including long-running ones. */
    std::size_t runs = 0;
    /** Number of runs of long-running tasks. */
    std::size_t longRunningRuns = 0;
    /** Resources in use by the runs of long-running tasks. */
    Resources longRunningDemand;
    /** A run of a long-running task is being stopped, by this owner or a former one, because the instance is to be taken out of service. */
    bool isBeingEmptied = false;
    /** Time until the last run that is not long-running ends, extrapolated from the progress of these runs. */
    std::chrono::milliseconds emptyAfter{0};
    /** An order for the instance is in flight, or took effect too recently to be visible in the control plane's list. */
    bool hasPendingOrder = false;
    /** Its zone is evacuated: it is no capacity for its pool and is not moved to another one. */
    bool evacuated = false;
    /** Target pool of a move that the control plane's list does not show yet; empty if there is none. */
    std::string movingTo;

    /** The pool that the instance belongs to once pending moves are complete. */
    const std::string &pool() const
    {
        return movingTo.empty() ? facts.pool : movingTo;
    }
};

/** Moves an instance to another pool. All runs on the instance end. */
struct MoveInstance {
    InstanceId instance;
    std::string pool;
};

/** Starts maintenance of an instance as part of a wave. All runs on the instance end. */
struct MaintainInstance {
    InstanceId instance;
    std::uint64_t wave = 0;
};

using InstanceOrder = std::variant<MoveInstance, MaintainInstance>;

/** Why the control plane rejected an order. A rejected order certainly had no effect. */
enum class InstanceRefusal : std::uint8_t {
    /** The control plane has seen a higher fencing token. */
    Fenced,
    /** The instance is not up, or is about to leave. */
    Busy,
    /** The instance does not belong to that wave. */
    OtherWave,
    /** There is no such instance, or the instance cannot join that pool. */
    Invalid,
    /** The control plane is rate limiting or unavailable; the order can be retried. */
    Later,
};

std::string_view toName(InstanceRefusal refusal);

/** The control plane accepted the order. */
struct InstanceOrderAccepted {
};

using InstanceResult = std::variant<InstanceOrderAccepted, InstanceRefusal, OrderUnanswered>;

/** A maintenance wave that the operators requested. */
struct WaveSpec {
    std::uint64_t number = 0;
    std::vector<InstanceId> instances;
    /** Time until the wave should be complete, from the moment when its WavePlan is told of it. */
    std::chrono::milliseconds duration{0};
    /** Maximum number of its instances that are out of service at once; at least 1. */
    std::size_t maxUnavailable = 1;
};

/** The durable state of a wave. */
struct WaveRecord {
    std::uint64_t number = 0;
    /** Instances whose maintenance has begun. */
    std::vector<InstanceId> done;
    bool completed = false;

    auto fields()
    {
        return std::tie(number, done, completed);
    }
};

}
