#pragma once

#include "platform/logservice.h"
#include "standin/fleetstandin.h"

#include <memory>
#include <vector>

namespace Cornelquay {

/** Faults of one log listener, beyond those of the log itself. */
struct ListenerFaults {
    std::chrono::milliseconds delay{0};
    /** Every request on this listener is refused. */
    bool down = false;
    /** Appends take effect but are not answered. */
    bool loseAppendAnswers = false;
};

/**
 * Serves a MemoryLog and a FleetStandin over HTTP on loopback, and takes commands for faults.
 *
 * Has several log listeners over one log, so that the log can be lost to one node only. Bound to
 * the given port, or to ports of the kernel's choice. Thread-safe.
 */
class PlatformServer
{
public:
    /** @p logListeners is the number of log listeners; @p port is for list and faults, 0 for any. */
    PlatformServer(std::shared_ptr<MemoryLog> log, FleetStandin &fleet, int logListeners, std::uint16_t port);
    ~PlatformServer();
    PlatformServer(const PlatformServer &) = delete;
    PlatformServer &operator=(const PlatformServer &) = delete;

    std::uint16_t platformPort() const;
    std::vector<std::uint16_t> logPorts() const;
    /** Faults of the listener @p index; -1 for all. */
    void setLogFaults(int index, ListenerFaults faults);
    /** The platform's list and commands are refused. */
    void setListDown(bool down);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}
