#pragma once

#include "telemetry/metrics.h"
#include "upstream/taskexchange.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Cornelquay {

/** One worker, as described by the fleet's state and the platform's list. */
struct UpstreamInstance {
    std::string name;
    std::uint64_t incarnation = 0;
    std::string pool;
    Address address;
    /** False if the worker is not in service by the fleet's state or not live by the platform's list: it gets no new work. */
    bool acceptsWork = true;

    bool operator==(const UpstreamInstance &) const = default;
};

/** Result of an attempt on a worker, as far as it concerns the worker's health. */
enum class AttemptResult {
    Succeeded,
    /** The worker ran the task and reported an error. */
    Failed,
    /** The worker could not be reached or did not answer. */
    Unreachable,
    /** The worker refused the task because all of its slots were taken. */
    NoSlot,
    /** The worker refused the task for another reason, which says nothing about its health. */
    Refused,
};

/** Limits for the choice of workers. */
struct UpstreamLimits {
    int slotsPerInstance = 8;
    std::size_t connectionsPerInstance = 64;
    /** Failures in a row after which a worker is ejected. */
    int failuresBeforeEjection = 5;
    /** Largest fraction of a pool's workers that may be ejected at once, from 0 to 1. The number is rounded down: 0.3 allows none of three workers. */
    double maxEjectedFraction = 0.3;
    /** Length of the first ejection; it doubles with each further one without a success between, up to maxEjectionPeriod. */
    std::chrono::milliseconds minEjectionPeriod{2000};
    std::chrono::milliseconds maxEjectionPeriod{60000};
    /** Time for which a worker gets no task after it refused one for lack of a slot. */
    std::chrono::milliseconds noSlotDelay{5};
    ExchangeLimits exchange;
};

/** A slot on a worker, taken for one attempt. Must be given back with Upstreams::giveBack(). */
struct UpstreamSlot {
    std::string instance;
    std::uint64_t incarnation = 0;
    std::string pool;
    std::shared_ptr<TaskExchange> exchange;
    SteadyTime takenAt;
};

/** State of one worker, for the operators' view. */
struct UpstreamStatus {
    UpstreamInstance instance;
    /** Tasks that this node has on the worker. */
    int inFlight = 0;
    bool ejected = false;
    int failuresInRow = 0;
    /** Moving average of the time that an attempt takes. */
    double latencySeconds = 0;
};

/**
 * The workers of all pools, with their load and health.
 *
 * Created once per node, updated when the fleet's state or the list changes. pick() draws two
 * workers at random and takes the one with the better combination of load and success rate (power
 * of two choices). A worker with several failures in a row is ejected, each time for longer, and
 * then gets single tasks as probes until one succeeds. Thread-safe; its mutex is held only inside
 * the calls, which take no other lock of the project.
 *
 * @code
 * if (std::optional<UpstreamSlot> slot = upstreams.pick("quotes", {}, steadyNow())) {
 *     ... slot->exchange->run(...) ...
 *     upstreams.giveBack(*slot, AttemptResult::Succeeded, report, steadyNow());
 * }
 * @endcode
 */
class Upstreams
{
public:
    Upstreams(UpstreamLimits limits, std::uint64_t seed, Metrics &metrics);
    ~Upstreams();

    // Commands.

    /** Replaces the set of workers. Slots in use stay valid. A worker with a new incarnation or address starts with fresh health. */
    void update(const std::vector<UpstreamInstance> &instances);
    /** Takes a slot of a worker in @p pool that is not in @p excluded; nothing if each one is full, ejected, busy with a probe or accepts no work. */
    std::optional<UpstreamSlot> pick(const std::string &pool, const std::set<std::string> &excluded, SteadyTime now);
    /** Takes a slot on one worker regardless of its load and health; nothing if the worker is unknown. */
    std::optional<UpstreamSlot> pickInstance(const std::string &instance, SteadyTime now);
    /** Gives a slot back and updates the health of its worker. */
    void giveBack(const UpstreamSlot &slot, AttemptResult result, const WorkerReport &report, SteadyTime now);

    // Queries.

    /** The exchange with one worker, for requests about a task; null if this incarnation is unknown. */
    std::shared_ptr<TaskExchange> exchange(const std::string &instance, std::uint64_t incarnation) const;
    /** Number of workers in @p pool that accept work, ejected ones included. */
    int instanceCount(const std::string &pool) const;
    std::vector<UpstreamStatus> status(SteadyTime now) const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}
