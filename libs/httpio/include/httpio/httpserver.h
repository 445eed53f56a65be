#pragma once

#include "httpio/message.h"
#include "transport/address.h"

#include <asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

namespace Cornelquay {

/** Limits on requests and connections of a server. Time-outs are checked every 0.5 s. */
struct HttpLimits {
    /** Target, header names and header values of a request together; a larger one is answered with 431. */
    std::size_t maxHeaderBytes = 16384;
    /** A larger body is answered with 413. */
    std::size_t maxBodyBytes = 262144;
    /** Maximum time from the first byte of a request to its last; the connection of a slower request is closed. */
    std::chrono::milliseconds requestTimeout{3000};
    /** Connections on which no request begins for longer than this are closed. */
    std::chrono::milliseconds idleTimeout{15000};
    /** Further connections are closed on arrival. */
    std::size_t maxConnections = 2000;
};

/**
 * HTTP/1.1 server on one address; all connections are served on the thread of one io_context.
 *
 * Listens from construction until close(). The handler receives complete requests and answers each
 * through its responder, at once or later. Only the first call of a responder has an effect, and
 * none if the connection has been closed meanwhile. Pipelined requests of one connection are passed
 * to the handler one at a time, each after the response to the one before.
 *
 * Not thread-safe: the server and its responders are used on the thread of the io_context only.
 *
 * @code
 * HttpServer server(io, address, limits, [](HttpRequest request, HttpServer::Responder respond) {
 *     respond({200, "{}", {}});
 * });
 * @endcode
 */
class HttpServer
{
public:
    using Responder = std::function<void(HttpResponse response)>;
    using Handler = std::function<void(HttpRequest request, Responder respond)>;

    HttpServer(asio::io_context &io, const Address &address, HttpLimits limits, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // Commands.
    /**
     * Header and body sizes apply to connections accepted from now on, time-outs and the number of
     * connections at once.
     */
    void setLimits(const HttpLimits &limits);
    /** Closes each connection after its next response, and idle connections within 0.5 s. Keeps accepting connections. */
    void beginDrain();
    /** Stops listening and closes all connections; requests in progress get no response. */
    void close();

    // Queries.
    /** Whether the constructor could listen on the address. */
    bool isBound() const;
    /** The port listened on, also where the address asked for any port (0); 0 when not listening. */
    std::uint16_t port() const;
    /** Number of requests passed to the handler and not yet answered. */
    std::size_t inFlight() const;

    struct Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

}
