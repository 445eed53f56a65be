#include "httpio/httpclient.h"

#include "details/messageparser.h"
#include "details/serialization.h"

#include <asio.hpp>

#include <netinet/tcp.h>

#include <array>
#include <deque>
#include <optional>
#include <unordered_set>
#include <utility>
#include <vector>

namespace Cornelquay {

namespace {

using Details::MessageParser;
using Details::ParseState;

constexpr std::size_t ReadBufferBytes = 16384;
constexpr std::size_t MaxHeaderBytes = 16384;
// Large enough for a page of records of the store, the largest response of all services called.
constexpr std::size_t MaxBodyBytes = 8ULL << 20;
// Closes a connection whose data stays unacknowledged for this long, so that a broken network path is noticed.
constexpr int TcpUserTimeoutMs = 2500;

class ClientConnection;

}

std::string_view toName(CallFailure failure)
{
    return failure == CallFailure::NotSent ? "not-sent" : "no-answer";
}

struct HttpClient::Impl : public std::enable_shared_from_this<HttpClient::Impl> {
    /** A call and the handler of its result. */
    struct PendingCall {
        HttpCall call;
        Handler handler;
    };

    Impl(asio::io_context &ioContext, Address serverAddress, std::size_t connectionLimit)
        : io(ioContext)
        , address(std::move(serverAddress))
        , maxConnections(connectionLimit)
        , queueTimer(ioContext)
    {
    }

    asio::io_context &io;
    const Address address;
    const std::size_t maxConnections;
    std::vector<std::shared_ptr<ClientConnection>> idleConnections;
    std::unordered_set<std::shared_ptr<ClientConnection>> openConnections;
    std::deque<PendingCall> queue;
    asio::steady_timer queueTimer;
    bool closed = false;

    void submit(PendingCall pending);
    void startQueuedCalls();
    void scheduleQueueExpiry();
};

namespace {

/** One connection to the server; serves one call at a time. */
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    ClientConnection(const std::shared_ptr<HttpClient::Impl> &client)
        : m_client(client)
        , m_socket(client->io)
        , m_timer(client->io)
        , m_parser(HTTP_RESPONSE, MaxHeaderBytes, MaxBodyBytes)
    {
    }

    void startCall(HttpClient::Impl::PendingCall pending)
    {
        m_call = std::move(pending);
        m_hasCall = true;
        m_writeStarted = false;
        m_parser.reset();
        if (m_call.call.answerTimeout > std::chrono::milliseconds::zero()) {
            m_call.call.deadline = steadyNow() + m_call.call.answerTimeout;
        }
        m_timer.expires_at(m_call.call.deadline);
        m_timer.async_wait([self = shared_from_this(), number = ++m_callNumber](const asio::error_code &error) {
            if (!error && self->m_hasCall && number == self->m_callNumber) {
                self->handleTimeout();
            }
        });
        if (m_connected) {
            transmit();
        } else {
            connect();
        }
    }

    /** Closes the connection; resets it if a call is unanswered, so that the rest of its request is discarded. */
    void close()
    {
        m_closed = true;
        m_timer.cancel();
        asio::error_code ignored;
        if (m_hasCall && m_writeStarted) {
            m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
        }
        m_socket.close(ignored);
    }

    /** Closes the connection. Returns the handler of its call and the result of that call, if it has one. */
    std::optional<std::pair<HttpClient::Handler, CallFailure>> abandon()
    {
        const bool hadCall = m_hasCall;
        close();
        m_hasCall = false;
        HttpClient::Handler handler = std::move(m_call.handler);
        m_call = {};
        if (!hadCall) {
            return std::nullopt;
        }
        return std::pair(std::move(handler), m_writeStarted ? CallFailure::NoAnswer : CallFailure::NotSent);
    }

    bool isClosed() const
    {
        return m_closed;
    }

private:
    void connect()
    {
        const auto client = m_client.lock();
        if (!client) {
            return;
        }
        asio::error_code error;
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(client->address.host, error), client->address.port);
        m_socket.async_connect(endpoint, [self = shared_from_this()](const asio::error_code &connectError) {
            if (self->m_closed) {
                return;
            }
            if (connectError) {
                self->fail();
                return;
            }
            self->m_connected = true;
            asio::error_code ignored;
            self->m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
            self->m_socket.set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(TcpUserTimeoutMs), ignored);
            self->transmit();
            self->read();
        });
    }

    void transmit()
    {
        const auto client = m_client.lock();
        if (!client) {
            return;
        }
        if (m_call.call.maySend && !m_call.call.maySend()) {
            // Deferred, because a handler must not run inside HttpClient::call().
            asio::post(client->io, [self = shared_from_this(), number = m_callNumber] {
                if (!self->m_closed && self->m_hasCall && number == self->m_callNumber) {
                    self->withdraw();
                }
            });
            return;
        }
        m_outgoing = Details::serialize(m_call.call.request, client->address);
        m_writeStarted = true;
        asio::async_write(m_socket, asio::buffer(m_outgoing), [self = shared_from_this()](const asio::error_code &error, std::size_t) {
            if (error && self->m_hasCall && !self->m_closed) {
                self->fail();
            }
        });
    }

    // Also reads while idle, so that a connection closed by the server is removed from the pool.
    void read()
    {
        m_socket.async_read_some(asio::buffer(m_buffer), [self = shared_from_this()](const asio::error_code &error, std::size_t length) {
            if (self->m_closed) {
                return;
            }
            if (!error && self->m_hasCall) {
                self->m_parser.feed({self->m_buffer.data(), length});
            } else if (error == asio::error::eof && self->m_hasCall) {
                self->m_parser.finish();
            }
            if (self->m_hasCall && self->m_parser.state() == ParseState::Complete) {
                self->succeed(!error);
            } else if (error || !self->m_hasCall || self->m_parser.state() > ParseState::Complete) {
                self->fail();
                return;
            }
            if (!self->m_closed) {
                self->read();
            }
        });
    }

    void succeed(bool isOpen)
    {
        m_hasCall = false;
        m_timer.cancel();
        HttpResponse response = m_parser.takeResponse();
        const bool isReusable = isOpen && m_parser.keepsAlive();
        HttpClient::Handler handler = std::move(m_call.handler);
        m_call = {};
        const auto client = m_client.lock();
        if (!isReusable) {
            close();
        }
        if (client) {
            if (isReusable) {
                client->idleConnections.push_back(shared_from_this());
            } else {
                client->openConnections.erase(shared_from_this());
            }
        }
        handler(std::move(response));
        if (client) {
            client->startQueuedCalls();
        }
    }

    /** Ends a call whose request must not be sent anymore; the connection stays usable. */
    void withdraw()
    {
        m_hasCall = false;
        m_timer.cancel();
        HttpClient::Handler handler = std::move(m_call.handler);
        m_call = {};
        const auto client = m_client.lock();
        if (client) {
            client->idleConnections.push_back(shared_from_this());
        }
        handler(tl::make_unexpected(CallFailure::NotSent));
        if (client) {
            client->startQueuedCalls();
        }
    }

    void handleTimeout()
    {
        std::deque<HttpClient::Impl::PendingCall> waiting;
        const auto client = m_client.lock();
        if (client && m_call.call.answerTimeout > std::chrono::milliseconds::zero()) {
            waiting = std::exchange(client->queue, {});
        }
        fail();
        for (const HttpClient::Impl::PendingCall &pending : waiting) {
            pending.handler(tl::make_unexpected(CallFailure::NotSent));
        }
    }

    void fail()
    {
        if (m_closed) {
            return;
        }
        close();
        const bool hadCall = m_hasCall;
        m_hasCall = false;
        HttpClient::Handler handler = std::move(m_call.handler);
        m_call = {};
        const auto client = m_client.lock();
        if (client) {
            std::erase(client->idleConnections, shared_from_this());
            client->openConnections.erase(shared_from_this());
        }
        if (hadCall && handler) {
            handler(tl::make_unexpected(m_writeStarted ? CallFailure::NoAnswer : CallFailure::NotSent));
        }
        if (client) {
            client->startQueuedCalls();
        }
    }

    std::weak_ptr<HttpClient::Impl> m_client;
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    MessageParser m_parser;
    std::array<char, ReadBufferBytes> m_buffer{};
    std::string m_outgoing;
    HttpClient::Impl::PendingCall m_call;
    std::uint64_t m_callNumber = 0;
    bool m_connected = false;
    bool m_hasCall = false;
    bool m_writeStarted = false;
    bool m_closed = false;
};

}

void HttpClient::Impl::submit(PendingCall pending)
{
    if (!idleConnections.empty()) {
        const auto connection = idleConnections.back();
        idleConnections.pop_back();
        connection->startCall(std::move(pending));
    } else if (openConnections.size() < maxConnections) {
        auto connection = std::make_shared<ClientConnection>(shared_from_this());
        openConnections.insert(connection);
        connection->startCall(std::move(pending));
    } else {
        queue.push_back(std::move(pending));
        scheduleQueueExpiry();
    }
}

void HttpClient::Impl::startQueuedCalls()
{
    while (!closed && !queue.empty() && (!idleConnections.empty() || openConnections.size() < maxConnections)) {
        PendingCall next = std::move(queue.front());
        queue.pop_front();
        if (next.call.deadline <= steadyNow() || (next.call.maySend && !next.call.maySend())) {
            next.handler(tl::make_unexpected(CallFailure::NotSent));
            continue;
        }
        submit(std::move(next));
    }
}

// When the deadline of the first queued call passes, fails all queued calls whose deadlines have passed.
void HttpClient::Impl::scheduleQueueExpiry()
{
    if (queue.empty()) {
        return;
    }
    queueTimer.expires_at(queue.front().call.deadline);
    queueTimer.async_wait([weak = weak_from_this()](const asio::error_code &error) {
        const auto self = weak.lock();
        if (error || !self || self->closed) {
            return;
        }
        std::vector<Handler> expired;
        const SteadyTime now = steadyNow();
        for (auto pending = self->queue.begin(); pending != self->queue.end();) {
            if (pending->call.deadline <= now) {
                expired.push_back(std::move(pending->handler));
                pending = self->queue.erase(pending);
            } else {
                ++pending;
            }
        }
        self->scheduleQueueExpiry();
        for (const Handler &handler : expired) {
            handler(tl::make_unexpected(CallFailure::NotSent));
        }
    });
}

HttpClient::HttpClient(asio::io_context &io, Address address, std::size_t maxConnections)
    : m_impl(std::make_shared<Impl>(io, std::move(address), maxConnections))
{
}

HttpClient::~HttpClient()
{
    m_impl->closed = true;
    m_impl->queueTimer.cancel();
    std::vector<std::pair<Handler, CallFailure>> pending;
    for (const auto &connection : m_impl->openConnections) {
        if (auto call = connection->abandon()) {
            pending.push_back(std::move(*call));
        }
    }
    for (Impl::PendingCall &queued : m_impl->queue) {
        pending.emplace_back(std::move(queued.handler), CallFailure::NotSent);
    }
    m_impl->queue.clear();
    m_impl->openConnections.clear();
    m_impl->idleConnections.clear();
    if (!pending.empty()) {
        // Deferred, because a handler may use the object that destroys the client.
        asio::post(m_impl->io, [pending = std::move(pending)] {
            for (const auto &[handler, failure] : pending) {
                handler(tl::make_unexpected(failure));
            }
        });
    }
}

void HttpClient::call(HttpCall call, Handler handler)
{
    m_impl->submit({std::move(call), std::move(handler)});
}

const Address &HttpClient::address() const
{
    return m_impl->address;
}

}
