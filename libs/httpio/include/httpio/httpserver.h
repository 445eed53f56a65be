#pragma once

#include "httpio/message.h"
#include "transport/address.h"

#include <asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

namespace Cornelquay {

/** What a server accepts. */
struct HttpLimits {
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 262144;
    /** From the first byte of a request to its last. */
    std::chrono::milliseconds requestTime{3000};
    std::chrono::milliseconds idleTime{15000};
    std::size_t connections = 2000;
};

/**
 * Serves HTTP/1.1 on one address, with any number of connections on the thread of @p io.
 *
 * Bound on creation, serves until close(). The handler gets each request whole and answers
 * through the responder, at any later time, once, on the io_context's thread; further calls of a
 * responder and answers to connections that ended are ignored.
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
    void setLimits(const HttpLimits &limits);
    /** From now on each answer ends its connection, and idle connections are closed. */
    void beginDrain();
    /** Stops listening and ends all connections. */
    void close();

    // Queries.
    bool isBound() const;
    std::uint16_t port() const;
    /** Requests received and not yet answered. */
    std::size_t inFlight() const;

    struct Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

}
