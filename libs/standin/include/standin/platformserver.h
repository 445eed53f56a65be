#pragma once

#include "platform/logservice.h"
#include "standin/fleetstandin.h"

#include <memory>
#include <vector>

namespace Cornelquay {

/** Injected faults of one log listener. */
struct ListenerFaults {
    /** Added to each request. */
    std::chrono::milliseconds delay{0};
    /** Every request on this listener is answered with status 503. */
    bool down = false;
    /** Appends take effect, but the answer breaks off. */
    bool loseAppendAnswers = false;
};

/**
 * Serves a MemoryLog and a FleetStandin over HTTP on loopback, with routes that inject faults.
 *
 * Has several listeners for the same log, so that the log can be made unreachable for a single node.
 * Advances the fleet in a thread of its own. The destructor closes the log. Thread-safe.
 */
class PlatformServer
{
public:
    /**
     * @p logListeners is the number of log listeners, which get free ports. @p port serves the list of
     * instances, the faults and the run ledger; 0 takes a free port. @p fleet must outlive the server.
     */
    PlatformServer(std::shared_ptr<MemoryLog> log, FleetStandin &fleet, int logListeners, std::uint16_t port);
    ~PlatformServer();
    PlatformServer(const PlatformServer &) = delete;
    PlatformServer &operator=(const PlatformServer &) = delete;

    std::uint16_t platformPort() const;
    std::vector<std::uint16_t> logPorts() const;
    /** Sets the faults of the log listener @p index, or of all if it is -1. */
    void setLogFaults(int index, ListenerFaults faults);
    /** While true, the platform's list and commands are answered with status 503. */
    void setListDown(bool down);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}
