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

/** What the control plane says an instance does. */
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
    /** Its present worker; empty if there is none. */
    WorkerId worker;
};

/** An instance with what runs on it. */
struct InstanceView {
    InstanceFacts facts;
    /** Its worker answers, is registered and takes work. */
    bool usable = false;
    std::size_t runs = 0;
    /** Runs that last. */
    std::size_t lasting = 0;
    /** When the last of its other runs will have ended, by their progress so far. */
    std::chrono::milliseconds emptyIn{0};
    /** An order for the instance is under way or just took effect. */
    bool ordered = false;
    /** The pool of a move that is under way or just took effect and is not listed yet; empty for none. */
    std::string movingTo;

    /** The pool that the instance works for, or will. */
    const std::string &pool() const
    {
        return movingTo.empty() ? facts.pool : movingTo;
    }
};

/** The instance goes to another pool; everything on it ends. */
struct MoveInstance {
    InstanceId instance;
    std::string pool;
};

/** The instance is maintained for a wave; everything on it ends. */
struct MaintainInstance {
    InstanceId instance;
    std::uint64_t wave = 0;
};

using InstanceOrder = std::variant<MoveInstance, MaintainInstance>;

/** Why the control plane provably did not carry out an order. */
enum class InstanceRefusal : std::uint8_t {
    Fenced,
    /** Not up, or leaving. */
    Busy,
    /** The instance is not of that wave. */
    OtherWave,
    /** No such instance, or the pool is one of other instances. */
    Invalid,
    /** Too many calls, or the control plane is away. */
    Later,
};

std::string_view toName(InstanceRefusal refusal);

struct InstanceOrderTaken {
};

using InstanceResult = std::variant<InstanceOrderTaken, InstanceRefusal, OrderUnanswered>;

/** A demand of the operators that instances be maintained. */
struct WaveSpec {
    std::uint64_t number = 0;
    std::vector<InstanceId> instances;
    std::chrono::milliseconds duration{0};
    /** Most of them out at once. */
    std::size_t outMax = 1;
};

/** What must last of a wave. */
struct WaveRecord {
    std::uint64_t number = 0;
    std::vector<InstanceId> done;
    bool completed = false;

    auto fields()
    {
        return std::tie(number, done, completed);
    }
};

}
