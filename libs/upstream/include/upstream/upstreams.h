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

/** One worker as the fleet's state and the platform's list describe it. */
struct UpstreamInstance {
    std::string name;
    std::uint64_t incarnation = 0;
    std::string pool;
    Address address;
    /** False while it leaves, drains, is out or arrives: it gets no new work. */
    bool acceptsWork = true;

    bool operator==(const UpstreamInstance &) const = default;
};

/** How an attempt on a worker went, as far as the worker's health is concerned. */
enum class AttemptResult {
    Succeeded,
    /** The worker ran the task and reports an error. */
    Failed,
    /** The worker could not be reached or did not answer. */
    Unreachable,
    /** The worker refused for lack of a slot. */
    NoSlot,
    /** The worker refused for another reason; says nothing about its health. */
    Refused,
};

/** Limits of the choice among workers. */
struct UpstreamLimits {
    int slotsPerInstance = 8;
    std::size_t connectionsPerInstance = 64;
    /** Failures in a row after which a worker is ejected. */
    int failuresBeforeEjection = 5;
    /** Never more than this fraction of a pool is ejected. */
    double ejectedFractionMax = 0.3;
    std::chrono::milliseconds ejectionLeast{2000};
    std::chrono::milliseconds ejectionMost{60000};
    /** How long a worker without a free slot is passed over. */
    std::chrono::milliseconds fullPause{5};
    ExchangeLimits exchange;
};

/** A slot on a worker taken for one attempt; given back by Upstreams::giveBack(). */
struct UpstreamSlot {
    std::string instance;
    std::uint64_t incarnation = 0;
    std::string pool;
    std::shared_ptr<TaskExchange> exchange;
    SteadyTime takenAt;
};

/** What operators see of one worker. */
struct UpstreamStatus {
    UpstreamInstance instance;
    int inFlight = 0;
    bool ejected = false;
    int failuresInRow = 0;
    double latencySeconds = 0;
};

/**
 * The workers of all pools: which may take work, how loaded and how healthy each is.
 *
 * Created once per node, updated when the fleet's state or the list changes. A slot is picked by
 * the power of two choices over load and failure rate; a worker that fails everything is ejected
 * for a growing time and then probed by single tasks. Thread-safe; one mutex, taken last.
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

    /** Replaces the set of workers. Slots in use stay valid. */
    void update(const std::vector<UpstreamInstance> &instances);
    /** Takes a slot of a worker in @p pool that is not in @p excluded; nothing if none is free. */
    std::optional<UpstreamSlot> pick(const std::string &pool, const std::set<std::string> &excluded, SteadyTime now);
    /** Takes a slot on one worker, whatever its load. */
    std::optional<UpstreamSlot> pickInstance(const std::string &instance, SteadyTime now);
    void giveBack(const UpstreamSlot &slot, AttemptResult result, const WorkerReport &report, SteadyTime now);

    // Queries.

    /** The exchange with one worker for questions about a task; null if it is not known. */
    std::shared_ptr<TaskExchange> exchange(const std::string &instance, std::uint64_t incarnation) const;
    /** Workers in @p pool that accept work. */
    int instanceCount(const std::string &pool) const;
    std::vector<UpstreamStatus> status(SteadyTime now) const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}
