#include "httpio/httpserver.h"

#include "details/messageparser.h"
#include "details/receivetime.h"
#include "details/serialization.h"
#include "timing/instant.h"
#include "transport/listening.h"

#include <asio.hpp>
#include <asio/ssl.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <list>
#include <variant>

namespace Cornelquay {

namespace {

using Details::MessageParser;
using Details::ParseState;

constexpr std::size_t ReadBufferBytes = 8192;
// Interval between searches for connections that have timed out.
constexpr std::chrono::milliseconds SweepInterval{500};
constexpr int ListenBacklog = 1024;
// Memory of a connection that holds no bytes of a message: mostly its read buffer.
constexpr std::size_t ConnectionBytes = 10240;
// Buffers of the encrypted bytes and the state of the TLS library.
constexpr std::size_t TlsBytes = 65536;
// Bytes behind a request that is not answered yet; the rest is left to flow control until then.
constexpr std::size_t MaxPipelinedBytes = ReadBufferBytes;
// A request is copied when it is decoded, encoded and stored.
constexpr std::size_t CopiesOfRequest = 4;
// Memory of the decoded form of a small body, which may describe as many steps as a large one.
constexpr std::size_t DecodedBodyBytes = 16384;
constexpr std::size_t BodilessRequestBytes = 2048;
// After a refusal, how long the rest of the request is read and discarded, so that the client gets the response before a reset.
constexpr std::chrono::milliseconds DiscardTimeout{1000};
// Without a pause, a process without free descriptors would try to accept the same connection over and over.
constexpr std::chrono::milliseconds AcceptRetryDelay{100};
constexpr std::chrono::seconds MinRetryAfter{1};
constexpr std::chrono::seconds MaxRetryAfter{30};

/** What a connection does. All phases but InProgress have a deadline. */
enum class Phase : std::uint8_t {
    /** The TLS handshake is under way. */
    Opening,
    /** No request has begun. */
    Idle,
    /** A request has begun and is not complete. */
    Receiving,
    /** The handler has the request. */
    InProgress,
    /** A response is being sent. */
    Answering,
    /** A refusal has been sent; the rest of the request is discarded. */
    Discarding,
};
constexpr std::size_t Phases = 6;

class Connection;

/** A request that the handler has. Its memory stays charged when its client closes the connection, since it is still worked on. */
class PendingRequest
{
public:
    PendingRequest(const std::shared_ptr<Connection> &connection, std::uint64_t number, std::size_t bytes);

    void answer(const HttpResponse &response) const;

private:
    const std::weak_ptr<Connection> m_connection;
    const std::uint64_t m_number;
    const MemoryCharge m_charge;
};

/** Connections in one phase, the one that entered it first at the front. */
using ConnectionList = std::list<std::shared_ptr<Connection>>;

std::size_t memoryOf(const HttpRequest &request)
{
    return request.body.empty() ? BodilessRequestBytes : DecodedBodyBytes + CopiesOfRequest * request.body.size();
}

}

struct HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl> {
    Impl(asio::io_context &ioContext,
         HttpLimits initialLimits,
         Handler requestHandler,
         std::shared_ptr<MemoryBudget> memoryBudget,
         asio::ssl::context *tlsContext)
        : io(ioContext)
        , limits(initialLimits)
        , handler(std::move(requestHandler))
        , budget(std::move(memoryBudget))
        , tls(tlsContext)
        , acceptor(ioContext)
        , acceptTimer(ioContext)
        , sweepTimer(ioContext)
    {
    }

    asio::io_context &io;
    HttpLimits limits;
    Handler handler;
    RefusalHandler onRefusal;
    EventHandler onEvent;
    /** Null for no limit. */
    const std::shared_ptr<MemoryBudget> budget;
    /** Null for connections that are not encrypted. */
    asio::ssl::context *const tls;
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer acceptTimer;
    asio::steady_timer sweepTimer;
    std::array<ConnectionList, Phases> connections;
    /** Atomic, because it may be queried on any thread. */
    std::atomic<std::size_t> openConnections = 0;
    bool bound = false;
    bool draining = false;
    bool closed = false;

    ConnectionList &in(Phase phase);
    void bind(const Address &address);
    void accept();
    void addConnection(asio::ip::tcp::socket socket);
    /** Closes the connection that has been longest in its phase, if any waits for its client. */
    bool closeOldest();
    /**
     * Ends requests and connections that wait for their clients until the budget is kept: the request that has been received for longest
     * if it holds much, otherwise the connection that has waited longest.
     */
    void releaseMemory();
    /** After which time memory is expected to be free: when the oldest request that is being received or answered gives its memory back. */
    std::chrono::seconds retryAfter() const;
    HttpResponse refusal(const HttpRefusal &refusal) const;
    void noteEvent(HttpServerEvent event);
    void scheduleSweep();
};

namespace {

using PlainStream = asio::ip::tcp::socket;
using TlsStream = asio::ssl::stream<asio::ip::tcp::socket>;
using Stream = std::variant<PlainStream, TlsStream>;

Stream makeStream(asio::ip::tcp::socket socket, asio::ssl::context *tls)
{
    if (tls == nullptr) {
        return socket;
    }
    return Stream(std::in_place_type<TlsStream>, std::move(socket), *tls);
}

/** The connection of one client. Answers its requests one at a time, in order. */
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(std::shared_ptr<HttpServer::Impl> server, asio::ip::tcp::socket socket)
        : m_server(std::move(server))
        , m_stream(makeStream(std::move(socket), m_server->tls))
        , m_parser(HTTP_REQUEST, m_server->limits.maxHeaderBytes, m_server->limits.maxBodyBytes)
        , m_charge(m_server->budget, MemoryUse::Connections, fixedBytes())
    {
    }

    /** Call once, after construction. */
    void start()
    {
        ConnectionList &opening = m_server->in(Phase::Opening);
        m_position = opening.insert(opening.end(), shared_from_this());
        ++m_server->openConnections;
        enter(Phase::Opening);
        asio::error_code ignored;
        socket().set_option(asio::ip::tcp::no_delay(true), ignored);
        if (TlsStream *stream = std::get_if<TlsStream>(&m_stream)) {
            stream->async_handshake(asio::ssl::stream_base::server, [self = shared_from_this()](const asio::error_code &error) {
                if (error || self->m_closed) {
                    self->close();
                } else {
                    self->begin();
                }
            });
        } else {
            begin();
        }
    }

    void close()
    {
        if (m_closed) {
            return;
        }
        m_closed = true;
        asio::error_code ignored;
        socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
        socket().close(ignored);
        const auto self = shared_from_this();
        m_server->in(m_phase).erase(m_position);
        --m_server->openConnections;
        // The object lives until the handlers of its operations have run; whoever closes connections to release memory must not wait for that.
        m_charge.set(0);
    }

    HttpServer::Impl &server()
    {
        return *m_server;
    }

    Phase phase() const
    {
        return m_phase;
    }

    SteadyTime phaseBeganAt() const
    {
        return m_phaseBeganAt;
    }

    /** SteadyTime::max() while a request is in progress. */
    SteadyTime deadline() const
    {
        return m_deadline;
    }

    void answer(std::uint64_t number, const HttpResponse &response)
    {
        if (!m_closed && m_phase == Phase::InProgress && number == m_requestNumber) {
            write(response);
        }
    }

    /** Whether the message takes more memory than the connection. */
    bool holdsMuch() const
    {
        return m_charge.bytes() > 2 * fixedBytes();
    }

    /** Ends a request that is being received, with a response that says that it has not run. */
    void refuseForMemory(std::chrono::seconds retryAfter)
    {
        refuse(503, "too many requests are being received", retryAfter);
    }

private:
    std::size_t fixedBytes() const
    {
        return ConnectionBytes + (m_server->tls == nullptr ? 0 : TlsBytes);
    }

    asio::ip::tcp::socket &socket()
    {
        TlsStream *stream = std::get_if<TlsStream>(&m_stream);
        return stream == nullptr ? std::get<PlainStream>(m_stream) : stream->next_layer();
    }

    void begin()
    {
        enter(Phase::Idle);
        read();
    }

    void enter(Phase phase)
    {
        ConnectionList &list = m_server->in(phase);
        list.splice(list.end(), m_server->in(m_phase), m_position);
        m_phase = phase;
        m_phaseBeganAt = steadyNow();
        m_deadline = deadlineOf(phase);
    }

    SteadyTime deadlineOf(Phase phase) const
    {
        switch (phase) {
        case Phase::Idle:
            return m_phaseBeganAt + m_server->limits.idleTimeout;
        case Phase::Opening:
        case Phase::Receiving:
            return m_phaseBeganAt + m_server->limits.requestTimeout;
        case Phase::Answering:
            return m_phaseBeganAt + m_server->limits.answerTimeout;
        case Phase::Discarding:
            return m_phaseBeganAt + DiscardTimeout;
        case Phase::InProgress:
            break;
        }
        return SteadyTime::max();
    }

    void read()
    {
        m_reading = true;
        const auto onRead = [self = shared_from_this()](const asio::error_code &error, std::size_t length) {
            self->m_reading = false;
            if (error || self->m_closed) {
                self->close();
                return;
            }
            if (!self->m_closeAfterAnswer) {
                self->m_input.append(self->m_buffer.data(), length);
                self->m_receivedAt = Details::lastReceivedAt(self->socket());
            }
            self->processInput();
        };
        std::visit(
            [&](auto &stream) {
                stream.async_read_some(asio::buffer(m_buffer), onRead);
            },
            m_stream);
    }

    void readUnlessReading()
    {
        if (!m_reading) {
            read();
        }
    }

    void processInput()
    {
        if (m_phase != Phase::Idle && m_phase != Phase::Receiving) {
            // Reading continues, so that it is noticed if the client closes the connection before its request is answered.
            if (m_input.size() < MaxPipelinedBytes) {
                readUnlessReading();
            }
            updateCharge();
            return;
        }
        if (!m_input.empty()) {
            if (m_phase == Phase::Idle) {
                enter(Phase::Receiving);
            }
            m_input.erase(0, m_parser.feed(m_input));
        }
        updateCharge();
        if (m_closed || m_phase == Phase::Answering) {
            return;
        }
        switch (m_parser.state()) {
        case ParseState::Empty:
        case ParseState::Reading:
            readUnlessReading();
            return;
        case ParseState::Complete:
            dispatch();
            return;
        case ParseState::HeadersTooLarge:
            refuse(431, "the headers are larger than the limit");
            return;
        case ParseState::BodyTooLarge:
            refuse(413, "the body is larger than the limit");
            return;
        case ParseState::Malformed:
            refuse(400, "not an HTTP/1.1 request");
            return;
        }
    }

    /** Charges what the connection holds now. This may end other connections, or this one. */
    void updateCharge()
    {
        if (m_input.empty() && m_input.capacity() > MaxPipelinedBytes) {
            m_input = {};
        }
        if (m_closed) {
            return;
        }
        const std::size_t before = m_charge.bytes();
        m_charge.set(fixedBytes() + m_input.capacity() + m_parser.heldBytes() + m_outgoing.capacity());
        if (m_charge.bytes() > before) {
            m_server->releaseMemory();
        }
    }

    void refuse(int status, std::string_view reason, std::chrono::seconds retryAfter = std::chrono::seconds(0))
    {
        m_closeAfterAnswer = true;
        m_discardsInput = true;
        m_input = {};
        m_parser.reset();
        write(m_server->refusal({status, reason, retryAfter}));
        readUnlessReading();
    }

    void dispatch()
    {
        m_closeAfterAnswer = !m_parser.keepsAlive();
        HttpRequest request = m_parser.takeRequest();
        request.receivedAt = m_receivedAt;
        const std::size_t memory = memoryOf(request);
        if (m_server->budget && !m_server->budget->admits(memory)) {
            m_server->noteEvent(HttpServerEvent::RequestRefused);
            write(m_server->refusal({503, "too many requests are in progress", m_server->retryAfter()}));
            return;
        }
        enter(Phase::InProgress);
        const std::uint64_t number = ++m_requestNumber;
        updateCharge();
        readUnlessReading();
        const auto pending = std::make_shared<PendingRequest>(shared_from_this(), number, memory);
        m_server->handler(std::move(request), [pending](const HttpResponse &response) {
            pending->answer(response);
        });
    }

    void write(const HttpResponse &response)
    {
        m_closeAfterAnswer = m_closeAfterAnswer || m_server->draining || response.header("Connection") == "close";
        m_outgoing = Details::serialize(response, m_closeAfterAnswer);
        enter(Phase::Answering);
        const auto onWritten = [self = shared_from_this()](const asio::error_code &error, std::size_t) {
            self->m_outgoing = {};
            if (error || self->m_closed || (self->m_closeAfterAnswer && !self->m_discardsInput)) {
                self->close();
                return;
            }
            if (self->m_discardsInput) {
                asio::error_code ignored;
                self->socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
                self->enter(Phase::Discarding);
                return;
            }
            self->m_parser.reset();
            self->enter(Phase::Idle);
            self->processInput();
        };
        std::visit(
            [&](auto &stream) {
                asio::async_write(stream, asio::buffer(m_outgoing), onWritten);
            },
            m_stream);
        updateCharge();
    }

    std::shared_ptr<HttpServer::Impl> m_server;
    Stream m_stream;
    MessageParser m_parser;
    MemoryCharge m_charge;
    std::array<char, ReadBufferBytes> m_buffer{};
    std::string m_input;
    std::string m_outgoing;
    Phase m_phase = Phase::Opening;
    /** When the kernel had received the newest bytes of m_input. */
    BootTime m_receivedAt{};
    SteadyTime m_phaseBeganAt{};
    SteadyTime m_deadline{};
    /** In the list of connections in m_phase. */
    ConnectionList::iterator m_position;
    std::uint64_t m_requestNumber = 0;
    bool m_reading = false;
    bool m_closeAfterAnswer = false;
    bool m_discardsInput = false;
    bool m_closed = false;
};

PendingRequest::PendingRequest(const std::shared_ptr<Connection> &connection, std::uint64_t number, std::size_t bytes)
    : m_connection(connection)
    , m_number(number)
    , m_charge(connection->server().budget, MemoryUse::Requests, bytes)
{
}

void PendingRequest::answer(const HttpResponse &response) const
{
    if (const auto connection = m_connection.lock()) {
        connection->answer(m_number, response);
    }
}

}

std::string_view toName(HttpServerEvent event)
{
    return HttpServerEventNames.at(static_cast<std::size_t>(event));
}

ConnectionList &HttpServer::Impl::in(Phase phase)
{
    return connections.at(static_cast<std::size_t>(phase));
}

void HttpServer::Impl::bind(const Address &address)
{
    bound = !listenOn(acceptor, address, ListenBacklog);
    if (bound && limits.socketBufferBytes > 0) {
        // Accepted sockets inherit these.
        const int bytes = static_cast<int>(limits.socketBufferBytes);
        asio::error_code ignored;
        acceptor.set_option(asio::socket_base::receive_buffer_size(bytes), ignored);
        acceptor.set_option(asio::socket_base::send_buffer_size(bytes), ignored);
    }
}

void HttpServer::Impl::accept()
{
    acceptor.async_accept([self = shared_from_this()](const asio::error_code &error, asio::ip::tcp::socket socket) {
        if (self->closed || !self->acceptor.is_open()) {
            return;
        }
        if (!error) {
            self->addConnection(std::move(socket));
            self->accept();
            return;
        }
        self->noteEvent(HttpServerEvent::AcceptFailed);
        self->closeOldest();
        self->acceptTimer.expires_after(AcceptRetryDelay);
        self->acceptTimer.async_wait([self](const asio::error_code &waitError) {
            if (!waitError && !self->closed) {
                self->accept();
            }
        });
    });
}

void HttpServer::Impl::addConnection(asio::ip::tcp::socket socket)
{
    if (openConnections >= limits.maxConnections) {
        noteEvent(HttpServerEvent::NoPlaceLeft);
        if (!closeOldest()) {
            return;
        }
    }
    std::make_shared<Connection>(shared_from_this(), std::move(socket))->start();
    releaseMemory();
}

bool HttpServer::Impl::closeOldest()
{
    std::shared_ptr<Connection> oldest;
    for (const Phase phase : {Phase::Discarding, Phase::Opening, Phase::Receiving, Phase::Answering, Phase::Idle}) {
        if (!in(phase).empty() && (!oldest || in(phase).front()->phaseBeganAt() < oldest->phaseBeganAt())) {
            oldest = in(phase).front();
        }
    }
    if (oldest) {
        oldest->close();
    }
    return oldest != nullptr;
}

void HttpServer::Impl::releaseMemory()
{
    while (budget && budget->isExceeded()) {
        const std::shared_ptr<Connection> oldest = in(Phase::Receiving).empty() ? nullptr : in(Phase::Receiving).front();
        if (oldest && oldest->holdsMuch()) {
            noteEvent(HttpServerEvent::RequestEnded);
            oldest->refuseForMemory(retryAfter());
        } else if (closeOldest()) {
            noteEvent(HttpServerEvent::ConnectionEnded);
        } else {
            return;
        }
    }
}

std::chrono::seconds HttpServer::Impl::retryAfter() const
{
    const ConnectionList &receiving = connections.at(static_cast<std::size_t>(Phase::Receiving));
    const ConnectionList &inProgress = connections.at(static_cast<std::size_t>(Phase::InProgress));
    const SteadyTime now = steadyNow();
    auto delay = SteadyTime::duration::zero();
    if (!receiving.empty()) {
        delay = receiving.front()->deadline() - now;
    } else if (!inProgress.empty()) {
        // A request that comes now is expected to take as long as the oldest one has taken so far.
        delay = now - inProgress.front()->phaseBeganAt();
    }
    return std::clamp(std::chrono::ceil<std::chrono::seconds>(delay), MinRetryAfter, MaxRetryAfter);
}

HttpResponse HttpServer::Impl::refusal(const HttpRefusal &refusal) const
{
    if (onRefusal) {
        return onRefusal(refusal);
    }
    HttpResponse response{refusal.status, R"({"error":")" + std::string(refusal.reason) + "\"}", {}};
    if (refusal.retryAfter.count() > 0) {
        response.headers.push_back({"Retry-After", std::to_string(refusal.retryAfter.count())});
    }
    return response;
}

void HttpServer::Impl::noteEvent(HttpServerEvent event)
{
    if (onEvent) {
        onEvent(event);
    }
}

void HttpServer::Impl::scheduleSweep()
{
    sweepTimer.expires_after(SweepInterval);
    sweepTimer.async_wait([self = shared_from_this()](const asio::error_code &error) {
        if (error || self->closed) {
            return;
        }
        const SteadyTime now = steadyNow();
        std::vector<std::shared_ptr<Connection>> closing;
        for (const ConnectionList &list : self->connections) {
            for (const auto &connection : list) {
                if (now > connection->deadline() || (self->draining && connection->phase() == Phase::Idle)) {
                    closing.push_back(connection);
                }
            }
        }
        for (const auto &connection : closing) {
            if (connection->phase() != Phase::Idle) {
                self->noteEvent(HttpServerEvent::TimedOut);
            }
            connection->close();
        }
        self->scheduleSweep();
    });
}

HttpServer::HttpServer(
    asio::io_context &io, const Address &address, HttpLimits limits, Handler handler, std::shared_ptr<MemoryBudget> budget, asio::ssl::context *tls)
    : m_impl(std::make_shared<Impl>(io, limits, std::move(handler), std::move(budget), tls))
{
    m_impl->bind(address);
    if (m_impl->bound) {
        m_impl->accept();
        m_impl->scheduleSweep();
    }
}

HttpServer::~HttpServer()
{
    close();
}

void HttpServer::setLimits(const HttpLimits &limits)
{
    m_impl->limits = limits;
}

void HttpServer::setRefusalHandler(RefusalHandler handler)
{
    m_impl->onRefusal = std::move(handler);
}

void HttpServer::setEventHandler(EventHandler handler)
{
    m_impl->onEvent = std::move(handler);
}

void HttpServer::beginDrain()
{
    m_impl->draining = true;
}

void HttpServer::stopAccepting()
{
    asio::error_code ignored;
    m_impl->acceptor.close(ignored);
    m_impl->acceptTimer.cancel();
}

void HttpServer::close()
{
    if (m_impl->closed) {
        return;
    }
    m_impl->closed = true;
    stopAccepting();
    m_impl->sweepTimer.cancel();
    const auto connections = m_impl->connections;
    for (const ConnectionList &list : connections) {
        for (const auto &connection : list) {
            connection->close();
        }
    }
}

bool HttpServer::isBound() const
{
    return m_impl->bound;
}

std::uint16_t HttpServer::port() const
{
    asio::error_code ignored;
    return m_impl->acceptor.local_endpoint(ignored).port();
}

std::size_t HttpServer::inFlight() const
{
    return m_impl->in(Phase::InProgress).size();
}

std::size_t HttpServer::unsentResponses() const
{
    return m_impl->in(Phase::Answering).size();
}

std::size_t HttpServer::connectionCount() const
{
    return m_impl->openConnections;
}

}
