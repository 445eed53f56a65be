#pragma once

#include "cornelquay/nodesettings.h"
#include "details/certificate.h"
#include "httpio/httpserver.h"

#include <httplib.h>

#include <asio/io_context.hpp>
#include <asio/ssl/context.hpp>
#include <asio/thread_pool.hpp>

#include <atomic>
#include <memory>
#include <regex>
#include <string>
#include <thread>
#include <vector>

namespace Cornelquay::Details {

/**
 * An HTTP listener that runs blocking handlers. Exposes the types of the HTTP library, so include it in sources only.
 *
 * One thread receives requests and sends responses, so that a slow client holds no other thread. Complete requests are handled by the
 * threads of the settings. The constructor binds the address; add handlers before start(). With TLS, a renewed certificate is loaded
 * without a restart.
 */
class BlockingHttpServer
{
public:
    using Handler = httplib::Server::Handler;
    /** Makes the response to a request that is not handled; @p request is empty if it was refused before it was complete. */
    using RefusalHandler = std::function<void(const HttpRefusal &refusal, const httplib::Request &request, httplib::Response &response)>;

    /** @p budget is shared by the listeners of a process; null for no limit. */
    explicit BlockingHttpServer(const ListenerSettings &settings, const HttpLimits &limits = {}, std::shared_ptr<MemoryBudget> budget = nullptr);
    ~BlockingHttpServer();
    BlockingHttpServer(const BlockingHttpServer &) = delete;
    BlockingHttpServer &operator=(const BlockingHttpServer &) = delete;

    // Commands, before start().
    /** @p pattern is matched with the whole path; its groups are Request::matches. */
    void get(const std::string &pattern, Handler handler);
    void post(const std::string &pattern, Handler handler);
    /** As get(), for a handler that never blocks: it runs at once, also when all threads are occupied. */
    void getAtOnce(const std::string &pattern, Handler handler);
    void setRefusalHandler(RefusalHandler handler);
    void setEventHandler(HttpServer::EventHandler handler);

    // Commands.
    /** Starts serving; requires isBound(). */
    void start();
    /** Sets the flag that isDraining() returns, and closes each connection after its next response; serving continues. */
    void beginDrain();
    /** Stops accepting connections, refuses further requests, and blocks until those in flight are answered. */
    void stop();

    // Queries. Thread-safe.
    /** Whether the address could be bound and, with TLS, the certificate could be loaded. */
    bool isBound() const;
    /** The bound port; meaningful only if isBound(). */
    std::uint16_t port() const;
    bool isDraining() const;
    std::size_t connectionCount() const;

private:
    struct Route {
        std::string method;
        std::regex pattern;
        Handler handler;
        bool isAtOnce = false;
    };

    void receive(const HttpRequest &received, const HttpServer::Responder &respond);
    /** The route for the request, whose matches are set; nullptr if there is none. */
    const Route *findRoute(httplib::Request &request) const;
    HttpResponse refusal(const HttpRefusal &refusal, const httplib::Request &request) const;
    HttpResponse toResponse(const httplib::Response &response) const;
    HttpResponse run(const Route &route, const httplib::Request &request) const;
    void awaitSentResponses();

    const ListenerSettings m_settings;
    std::unique_ptr<Certificate> m_certificate;
    std::vector<Route> m_routes;
    RefusalHandler m_refusalHandler;
    std::atomic<bool> m_draining = false;
    /** Requests that wait for a thread or are handled. */
    std::atomic<std::size_t> m_inFlight = 0;
    std::uint16_t m_port = 0;
    bool m_stopping = false;
    asio::io_context m_io{1};
    std::unique_ptr<asio::ssl::context> m_tls;
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<asio::thread_pool> m_pool;
    std::thread m_thread;
};

}
