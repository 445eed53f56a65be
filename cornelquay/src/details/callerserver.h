#pragma once

#include "cornelquay/nodesettings.h"
#include "details/dispatcher.h"
#include "memorybudget/memorybudget.h"
#include "telemetry/metrics.h"

#include <functional>
#include <memory>

namespace Cornelquay::Details {

/** Functions of the node that the callers' interface uses; called from any of its threads. */
struct CallerServerDependencies {
    /** The team that owns the key; nullopt if the key is not valid. */
    std::function<std::optional<std::string>(const std::string &key)> teamOfKey;
    /** Whether the node was not removed and the state of its view allows ViewAction::AcceptWork. */
    std::function<bool()> mayAcceptWork;
    /** Runs a request and blocks until its outcome is known. */
    std::function<Outcome(const WorkOrder &)> run;
    /**
     * Whether the node has joined the other nodes and was not removed by them. Stays true while the node
     * stops, since it serves requests during the drain delay.
     */
    std::function<bool()> isReady;
};

/**
 * The callers' interface over HTTP, as docs/CALLERS.md describes it.
 *
 * Created by the node, bound on creation, serves from start() until stop(). Thread-safe.
 */
class CallerServer
{
public:
    /** @p budget must not be null. */
    CallerServer(const NodeSettings &settings, CallerServerDependencies services, const std::shared_ptr<MemoryBudget> &budget, Metrics &metrics);
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /** Whether the address could be bound. */
    bool isBound() const;
    std::uint16_t port() const;

    void start();
    /** Brings the gauges about callers up to date. */
    void updateGauges();
    /**
     * Makes the readiness check fail and asks callers to close their connections; requests are still
     * served.
     */
    void beginDrain();
    /** Blocks until the requests in flight are answered. */
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}
