#pragma once

#include "cornelquay/nodesettings.h"
#include "details/dispatcher.h"
#include "telemetry/metrics.h"

#include <functional>
#include <memory>

namespace Cornelquay::Details {

/** What the caller interface needs from the node. */
struct CallerServerDependencies {
    /** The team of a key; nothing if the key is not valid. */
    std::function<std::optional<std::string>(const std::string &key)> teamOfKey;
    /** Whether the node's view allows taking work. */
    std::function<bool()> mayAcceptWork;
    std::function<Outcome(const WorkOrder &)> run;
    /** Whether the node takes part: recovered and not stopping. */
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
    CallerServer(const NodeSettings &settings, CallerServerDependencies services, Metrics &metrics);
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /** Whether the address could be bound. */
    bool isBound() const;
    std::uint16_t port() const;

    void start();
    /** Asks callers to close their connections, while everything is still served. */
    void beginDrain();
    /** Ends after the requests in flight are answered. */
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}
