#pragma once

#include "cornelquay/nodesettings.h"
#include "details/certificate.h"

#include <httplib.h>

#include <atomic>
#include <memory>
#include <thread>

namespace Cornelquay::Details {

/**
 * One HTTP listener with its threads. Private to the servers' sources: it shows the HTTP library.
 *
 * Created bound; handlers are added to server() before start(). With TLS, the certificate is read
 * anew when its file has changed, so that renewals need no restart.
 */
class HttpServer
{
public:
    explicit HttpServer(const ListenerSettings &settings);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    httplib::Server &server();
    bool isBound() const;
    std::uint16_t port() const;

    void start();
    void beginDrain();
    bool isDraining() const;
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
