#include "httpio/httpserver.h"

#include "details/messageparser.h"
#include "details/serialization.h"
#include "timing/instant.h"
#include "transport/listening.h"

#include <asio.hpp>

#include <array>
#include <unordered_set>

namespace Cornelquay {

namespace {

using Details::MessageParser;
using Details::ParseState;

constexpr std::size_t ReadBufferBytes = 8192;
// Interval between searches for connections that have timed out.
constexpr std::chrono::milliseconds SweepInterval{500};
constexpr int ListenBacklog = 1024;

class Connection;

}

struct HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl> {
    Impl(asio::io_context &ioContext, HttpLimits initialLimits, Handler requestHandler)
        : io(ioContext)
        , limits(initialLimits)
        , handler(std::move(requestHandler))
        , acceptor(ioContext)
        , sweepTimer(ioContext)
    {
    }

    asio::io_context &io;
    HttpLimits limits;
    Handler handler;
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer sweepTimer;
    std::unordered_set<std::shared_ptr<Connection>> connections;
    std::size_t inFlight = 0;
    bool bound = false;
    bool draining = false;
    bool closed = false;

    void bind(const Address &address);
    void accept();
    void scheduleSweep();
};

namespace {

/** The connection of one client. Answers its requests one at a time, in order. */
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(std::shared_ptr<HttpServer::Impl> server, asio::ip::tcp::socket socket)
        : m_server(std::move(server))
        , m_socket(std::move(socket))
        , m_parser(HTTP_REQUEST, m_server->limits.maxHeaderBytes, m_server->limits.maxBodyBytes)
        , m_phaseStartedAt(steadyNow())
    {
    }

    void start()
    {
        asio::error_code ignored;
        m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        read();
    }

    void close()
    {
        if (m_closed) {
            return;
        }
        m_closed = true;
        if (m_awaitsAnswer) {
            --m_server->inFlight;
            m_awaitsAnswer = false;
        }
        asio::error_code ignored;
        m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
        m_socket.close(ignored);
        m_server->connections.erase(shared_from_this());
    }

    bool isIdle() const
    {
        return !m_awaitsAnswer && !m_writing && m_parser.state() == ParseState::Empty;
    }

    bool isTimedOut(SteadyTime now) const
    {
        if (m_awaitsAnswer || m_writing) {
            return false;
        }
        const auto timeout = m_parser.state() == ParseState::Empty ? m_server->limits.idleTimeout : m_server->limits.requestTimeout;
        return now - m_phaseStartedAt > timeout;
    }

private:
    void read()
    {
        m_reading = true;
        m_socket.async_read_some(asio::buffer(m_buffer), [self = shared_from_this()](const asio::error_code &error, std::size_t length) {
            self->m_reading = false;
            if (error || self->m_closed) {
                self->close();
                return;
            }
            self->m_input.append(self->m_buffer.data(), length);
            self->processInput();
        });
    }

    void processInput()
    {
        if (m_awaitsAnswer || m_writing) {
            // A pipelined request waits for the response to the one before; at most one request of the largest size is buffered.
            if (m_input.size() > m_server->limits.maxBodyBytes + m_server->limits.maxHeaderBytes) {
                close();
            } else if (!m_reading) {
                read();
            }
            return;
        }
        if (!m_input.empty()) {
            if (m_parser.state() == ParseState::Empty) {
                m_phaseStartedAt = steadyNow();
            }
            m_input.erase(0, m_parser.feed(m_input));
        }
        switch (m_parser.state()) {
        case ParseState::Empty:
        case ParseState::Reading:
            if (!m_reading) {
                read();
            }
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

    void refuse(int status, const std::string &reason)
    {
        m_closeAfterAnswer = true;
        write({status, R"({"error":")" + reason + "\"}", {}});
    }

    void dispatch()
    {
        m_closeAfterAnswer = !m_parser.keepsAlive();
        HttpRequest request = m_parser.takeRequest();
        m_awaitsAnswer = true;
        ++m_server->inFlight;
        const std::uint64_t number = ++m_requestNumber;
        std::weak_ptr<Connection> weak = weak_from_this();
        // Reading continues, so that it is noticed if the client closes the connection before its request is answered.
        if (!m_reading) {
            read();
        }
        m_server->handler(std::move(request), [weak, number](const HttpResponse &response) {
            if (const auto self = weak.lock()) {
                self->answer(number, response);
            }
        });
    }

    void answer(std::uint64_t number, const HttpResponse &response)
    {
        if (m_closed || !m_awaitsAnswer || number != m_requestNumber) {
            return;
        }
        m_awaitsAnswer = false;
        --m_server->inFlight;
        write(response);
    }

    void write(const HttpResponse &response)
    {
        m_closeAfterAnswer = m_closeAfterAnswer || m_server->draining;
        m_outgoing = Details::serialize(response, m_closeAfterAnswer);
        m_writing = true;
        asio::async_write(m_socket, asio::buffer(m_outgoing), [self = shared_from_this()](const asio::error_code &error, std::size_t) {
            self->m_writing = false;
            if (error || self->m_closed || self->m_closeAfterAnswer) {
                self->close();
                return;
            }
            self->m_phaseStartedAt = steadyNow();
            self->m_parser.reset();
            self->processInput();
        });
    }

    std::shared_ptr<HttpServer::Impl> m_server;
    asio::ip::tcp::socket m_socket;
    MessageParser m_parser;
    std::array<char, ReadBufferBytes> m_buffer{};
    std::string m_input;
    std::string m_outgoing;
    /** Start of the request being read; while idle, end of the last response or, before the first request, the time of acceptance. */
    SteadyTime m_phaseStartedAt;
    std::uint64_t m_requestNumber = 0;
    bool m_reading = false;
    bool m_awaitsAnswer = false;
    bool m_writing = false;
    bool m_closeAfterAnswer = false;
    bool m_closed = false;
};

}

void HttpServer::Impl::bind(const Address &address)
{
    bound = !listenOn(acceptor, address, ListenBacklog);
}

void HttpServer::Impl::accept()
{
    acceptor.async_accept([self = shared_from_this()](const asio::error_code &error, asio::ip::tcp::socket socket) {
        if (self->closed) {
            return;
        }
        if (!error && self->connections.size() < self->limits.maxConnections) {
            auto connection = std::make_shared<Connection>(self, std::move(socket));
            self->connections.insert(connection);
            connection->start();
        }
        self->accept();
    });
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
        for (const auto &connection : self->connections) {
            if (connection->isTimedOut(now) || (self->draining && connection->isIdle())) {
                closing.push_back(connection);
            }
        }
        for (const auto &connection : closing) {
            connection->close();
        }
        self->scheduleSweep();
    });
}

HttpServer::HttpServer(asio::io_context &io, const Address &address, HttpLimits limits, Handler handler)
    : m_impl(std::make_shared<Impl>(io, limits, std::move(handler)))
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

void HttpServer::beginDrain()
{
    m_impl->draining = true;
}

void HttpServer::close()
{
    if (m_impl->closed) {
        return;
    }
    m_impl->closed = true;
    asio::error_code ignored;
    m_impl->acceptor.close(ignored);
    m_impl->sweepTimer.cancel();
    const auto connections = m_impl->connections;
    for (const auto &connection : connections) {
        connection->close();
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
    return m_impl->inFlight;
}

}
