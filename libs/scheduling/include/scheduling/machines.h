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

using MachineId = std::string;

/** What the control plane says a machine does. */
enum class MachineState : std::uint8_t {
    Up,
    Moving,
    Maintenance,
    Down,
};

/** A machine as the control plane lists it. */
struct MachineFacts {
    MachineId id;
    std::string pool;
    MachineState state = MachineState::Up;
    std::string zone;
    std::string rack;
    std::vector<std::string> labels;
    Resources capacity;
    /** Its present worker; empty if there is none. */
    WorkerId worker;
};

/** A machine with what runs on it. */
struct MachineView {
    MachineFacts facts;
    /** Its worker answers, is registered and takes work. */
    bool usable = false;
    std::size_t runs = 0;
    /** Runs that last. */
    std::size_t lasting = 0;
    /** When the last of its other runs will have ended, by their progress so far. */
    std::chrono::milliseconds emptyIn{0};
    /** An order for the machine is under way or just took effect. */
    bool ordered = false;
};

/** The machine goes to another pool; everything on it ends. */
struct MoveMachine {
    MachineId machine;
    std::string pool;
};

/** The machine is maintained for a wave; everything on it ends. */
struct MaintainMachine {
    MachineId machine;
    std::uint64_t wave = 0;
};

using MachineOrder = std::variant<MoveMachine, MaintainMachine>;

/** Why the control plane provably did not carry out an order. */
enum class MachineRefusal : std::uint8_t {
    Fenced,
    /** Not up, or leaving. */
    Busy,
    /** The machine is not of that wave. */
    OtherWave,
    /** No such machine, or the pool is one of other machines. */
    Invalid,
    /** Too many calls, or the control plane is away. */
    Later,
};

std::string_view toName(MachineRefusal refusal);

struct MachineOrderTaken {
};

using MachineResult = std::variant<MachineOrderTaken, MachineRefusal, OrderUnanswered>;

/** A demand of the operators that machines be maintained. */
struct WaveSpec {
    std::uint64_t number = 0;
    std::vector<MachineId> machines;
    std::chrono::milliseconds duration{0};
    /** Most of them out at once. */
    std::size_t outMax = 1;
};

/** What must last of a wave. */
struct WaveRecord {
    std::uint64_t number = 0;
    std::vector<MachineId> done;
    bool completed = false;

    auto fields()
    {
        return std::tie(number, done, completed);
    }
};

}
