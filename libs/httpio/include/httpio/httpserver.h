#pragma once

#include "httpio/message.h"
#include "memorybudget/memorybudget.h"
#include "transport/address.h"

#include <asio/io_context.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

// Declared here, so that only those who use TLS include its headers.
namespace asio::ssl { // NOLINT(readability-identifier-naming): the name is Asio's.
class context;
}

namespace Cornelquay {

/** Limits on requests and connections of a server. Time-outs are checked every 0.5 s. */
struct HttpLimits {
    /** Target, header names and header values of a request together, trailers included; a larger one is answered with 431. */
    std::size_t maxHeaderBytes = 16384;
    /** A larger body is answered with 413. */
    std::size_t maxBodyBytes = 262144;
    /** Maximum time from the first byte of a request to its last; the connection of a slower request is closed. */
    std::chrono::milliseconds requestTimeout{3000};
    /** Connections on which no request begins for longer than this are closed. */
    std::chrono::milliseconds idleTimeout{15000};
    /** The connection of a client that takes longer than this to receive a response is closed. */
    std::chrono::milliseconds answerTimeout{10000};
    /** For a further connection, the one that has waited longest for its client is closed. If all have requests in progress, the new one is. */
    std::size_t maxConnections = 2000;
    /** Size of the send buffer and of the receive buffer of a connection in the kernel; 0 leaves them to the system. */
    std::size_t socketBufferBytes = 0;
};

/** Why a request is refused before the handler gets it. */
struct HttpRefusal {
    /** 400, 413, 431 or 503. */
    int status = 503;
    std::string_view reason;
    /** After which time the client may try again; 0 if that does not help. */
    std::chrono::seconds retryAfter{0};
};

/** A connection or request that a server did not serve. */
enum class HttpServerEvent : std::uint8_t {
    /** All connections were taken, so one was closed. */
    NoPlaceLeft,
    /** A connection could not be accepted, for instance for want of descriptors. */
    AcceptFailed,
    /** A request that was being received was refused, as the memory budget was exceeded. */
    RequestEnded,
    /** The connection that had waited longest for its client was closed, as the memory budget was exceeded. */
    ConnectionEnded,
    /** A complete request was refused, as the requests in progress take their part of the memory budget. */
    RequestRefused,
    /** A request or the receipt of a response took too long. */
    TimedOut,
};
constexpr std::array<std::string_view, 6> HttpServerEventNames
    = {"no-place-left", "accept-failed", "request-ended", "connection-ended", "request-refused", "timed-out"};

std::string_view toName(HttpServerEvent event);

/**
 * HTTP/1.1 server on one address; all connections are served on the thread of one io_context.
 *
 * Listens from construction until close(). The handler receives complete requests and answers each
 * through its responder, at once or later. Only the first call of a responder has an effect, and
 * none if the connection has been closed meanwhile. A response with the header "Connection: close" closes the connection. Pipelined requests of one connection
 * are passed to the handler one at a time, each after the response to the one before.
 *
 * All connections together charge what they hold to a memory budget, if there is one. A request in progress is charged until its
 * responder is destroyed. When the budget is exceeded, the requests that have been received for longest without being complete
 * are refused with 503 and Retry-After; if they hold little, the connections that have waited longest are closed. A complete request
 * for which there is no memory is refused before the handler gets it.
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
    /** Makes the response to a request that is refused. */
    using RefusalHandler = std::function<HttpResponse(const HttpRefusal &refusal)>;
    using EventHandler = std::function<void(HttpServerEvent event)>;

    /** @p budget is null for no limit on the memory of all connections, @p tls for connections that are not encrypted. */
    HttpServer(asio::io_context &io,
               const Address &address,
               HttpLimits limits,
               Handler handler,
               std::shared_ptr<MemoryBudget> budget = nullptr,
               asio::ssl::context *tls = nullptr);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // Commands.
    /**
     * The number of connections applies at once, time-outs to what a connection waits for next, and sizes to connections accepted from
     * now on. The sizes of the buffers in the kernel do not change.
     */
    void setLimits(const HttpLimits &limits);
    /** Replaces the responses to refused requests, which have the reason as the field "error" of a JSON body. */
    void setRefusalHandler(RefusalHandler handler);
    /** @p handler is told of connections and requests that are not served. It must not use the server. */
    void setEventHandler(EventHandler handler);
    /** Closes each connection after its next response, and idle connections within 0.5 s. Keeps accepting connections. */
    void beginDrain();
    /** Stops listening; the connections stay. */
    void stopAccepting();
    /** Stops listening and closes all connections; requests in progress get no response. */
    void close();

    // Queries.
    /** Whether the constructor could listen on the address. */
    bool isBound() const;
    /** The port listened on, also where the address asked for any port (0); 0 when not listening. */
    std::uint16_t port() const;
    /** Number of requests passed to the handler and not yet answered. */
    std::size_t inFlight() const;
    /** Thread-safe. */
    std::size_t connectionCount() const;
    /** Number of responses that are being sent. */
    std::size_t unsentResponses() const;

    struct Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

}
