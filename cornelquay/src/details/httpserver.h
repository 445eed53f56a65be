#pragma once

#include "cornelquay/nodesettings.h"
#include "details/certificate.h"

#include <httplib.h>

#include <atomic>
#include <memory>
#include <thread>

namespace Cornelquay::Details {

/**
 * An HTTP listener with its threads. Exposes the HTTP library, so include it in sources only.
 *
 * The constructor binds the address; add handlers to server() before start(). With TLS, a renewed
 * certificate is loaded without a restart.
 */
class HttpServer
{
public:
    explicit HttpServer(const ListenerSettings &settings);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    httplib::Server &server();
    /** Whether the address could be bound and, with TLS, the certificate could be loaded. */
    bool isBound() const;
    /** The bound port; meaningful only if isBound(). */
    std::uint16_t port() const;

    /** Starts serving and returns once connections are accepted; requires isBound(). */
    void start();
    /** Sets the flag that isDraining() returns; serving continues. */
    void beginDrain();
    bool isDraining() const;
    /** Stops accepting connections and blocks until requests in flight are answered. */
    void stop();

private:
    ListenerSettings m_settings;
    std::unique_ptr<Certificate> m_certificate;
    std::unique_ptr<httplib::Server> m_server;
    int m_port = -1;
    std::atomic<bool> m_draining = false;
    std::thread m_listener;
};

}
