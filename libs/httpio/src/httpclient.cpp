#include "httpio/httpclient.h"

#include "details/messageparser.h"
#include "details/serialization.h"

#include <asio.hpp>

#include <netinet/tcp.h>

#include <array>
#include <deque>
#include <unordered_set>
#include <vector>

namespace Cornelquay {

namespace {

using Details::MessageParser;
using Details::ParseState;

constexpr std::size_t ReadBytes = 16384;
constexpr std::size_t HeaderBytesMax = 16384;
// The largest answer of any service that is called: a page of records.
constexpr std::size_t BodyBytesMax = 8ULL << 20;
// Unacknowledged bytes end a connection after this, so that a lost path is noticed.
constexpr int UserTimeoutMs = 2500;

class ClientConnection;

}

std::string_view toName(CallFailure failure)
{
    return failure == CallFailure::NotSent ? "not-sent" : "no-answer";
}

struct HttpClient::Impl : public std::enable_shared_from_this<HttpClient::Impl> {
    /** One call with its handler. */
    struct Pending {
        HttpCall call;
        Handler handler;
    };

    Impl(asio::io_context &givenIo, Address givenAddress, std::size_t givenMax)
        : io(givenIo)
        , address(std::move(givenAddress))
        , connectionsMax(givenMax)
        , queueTimer(givenIo)
    {
    }

    asio::io_context &io;
    const Address address;
    const std::size_t connectionsMax;
    std::vector<std::shared_ptr<ClientConnection>> idle;
    std::unordered_set<std::shared_ptr<ClientConnection>> open;
    std::deque<Pending> waiting;
    asio::steady_timer queueTimer;
    bool closed = false;

    void submit(Pending pending);
    void serveWaiting();
    void watchWaiting();
};

namespace {

/** One connection to the called address; serves one call at a time. */
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    ClientConnection(const std::shared_ptr<HttpClient::Impl> &client)
        : m_client(client)
        , m_socket(client->io)
        , m_timer(client->io)
        , m_parser(HTTP_RESPONSE, HeaderBytesMax, BodyBytesMax)
    {
    }

    void start(HttpClient::Impl::Pending pending)
    {
        m_pending = std::move(pending);
        m_busy = true;
        m_sent = false;
        m_parser.reset();
        m_timer.expires_at(m_pending.call.deadline);
        m_timer.async_wait([self = shared_from_this(), number = ++m_callNumber](const asio::error_code &error) {
            if (!error && self->m_busy && number == self->m_callNumber) {
                self->fail();
            }
        });
        if (m_connected) {
            transmit();
        } else {
            connect();
        }
    }

    void close()
    {
        m_closed = true;
        m_timer.cancel();
        asio::error_code ignored;
        m_socket.close(ignored);
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
            self->m_socket.set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(UserTimeoutMs), ignored);
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
        m_outgoing = Details::serialize(m_pending.call.request, client->address);
        m_sent = true;
        asio::async_write(m_socket, asio::buffer(m_outgoing), [self = shared_from_this()](const asio::error_code &error, std::size_t) {
            if (error && self->m_busy && !self->m_closed) {
                self->fail();
            }
        });
    }

    // Reads on while idle too, so that a connection ended by the other side is not used again.
    void read()
    {
        m_socket.async_read_some(asio::buffer(m_buffer), [self = shared_from_this()](const asio::error_code &error, std::size_t length) {
            if (self->m_closed) {
                return;
            }
            if (!error && self->m_busy) {
                self->m_parser.feed({self->m_buffer.data(), length});
            } else if (error == asio::error::eof && self->m_busy) {
                self->m_parser.finish();
            }
            if (self->m_busy && self->m_parser.state() == ParseState::Complete) {
                self->succeed(!error);
            } else if (error || !self->m_busy || self->m_parser.state() > ParseState::Complete) {
                self->fail();
                return;
            }
            if (!self->m_closed) {
                self->read();
            }
        });
    }

    void succeed(bool stillOpen)
    {
        m_busy = false;
        m_timer.cancel();
        HttpResponse response = m_parser.takeResponse();
        const bool reusable = stillOpen && m_parser.keepsAlive();
        HttpClient::Handler handler = std::move(m_pending.handler);
        m_pending = {};
        const auto client = m_client.lock();
        if (!reusable) {
            close();
        }
        if (client) {
            if (reusable) {
                client->idle.push_back(shared_from_this());
            } else {
                client->open.erase(shared_from_this());
            }
        }
        handler(std::move(response));
        if (client) {
            client->serveWaiting();
        }
    }

    void fail()
    {
        if (m_closed) {
            return;
        }
        close();
        const bool wasBusy = m_busy;
        m_busy = false;
        HttpClient::Handler handler = std::move(m_pending.handler);
        m_pending = {};
        const auto client = m_client.lock();
        if (client) {
            std::erase(client->idle, shared_from_this());
            client->open.erase(shared_from_this());
        }
        if (wasBusy && handler) {
            handler(tl::make_unexpected(m_sent ? CallFailure::NoAnswer : CallFailure::NotSent));
        }
        if (client) {
            client->serveWaiting();
        }
    }

    std::weak_ptr<HttpClient::Impl> m_client;
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    MessageParser m_parser;
    std::array<char, ReadBytes> m_buffer{};
    std::string m_outgoing;
    HttpClient::Impl::Pending m_pending;
    std::uint64_t m_callNumber = 0;
    bool m_connected = false;
    bool m_busy = false;
    bool m_sent = false;
    bool m_closed = false;
};

}

void HttpClient::Impl::submit(Pending pending)
{
    if (!idle.empty()) {
        const auto connection = idle.back();
        idle.pop_back();
        connection->start(std::move(pending));
    } else if (open.size() < connectionsMax) {
        auto connection = std::make_shared<ClientConnection>(shared_from_this());
        open.insert(connection);
        connection->start(std::move(pending));
    } else {
        waiting.push_back(std::move(pending));
        watchWaiting();
    }
}

void HttpClient::Impl::serveWaiting()
{
    while (!closed && !waiting.empty() && (!idle.empty() || open.size() < connectionsMax)) {
        Pending next = std::move(waiting.front());
        waiting.pop_front();
        if (next.call.deadline <= steadyNow()) {
            next.handler(tl::make_unexpected(CallFailure::NotSent));
            continue;
        }
        submit(std::move(next));
    }
}

// Ends calls that are past their deadline while they wait for a connection.
void HttpClient::Impl::watchWaiting()
{
    if (waiting.empty()) {
        return;
    }
    queueTimer.expires_at(waiting.front().call.deadline);
    queueTimer.async_wait([weak = weak_from_this()](const asio::error_code &error) {
        const auto self = weak.lock();
        if (error || !self || self->closed) {
            return;
        }
        std::vector<Handler> expired;
        const SteadyTime now = steadyNow();
        for (auto pending = self->waiting.begin(); pending != self->waiting.end();) {
            if (pending->call.deadline <= now) {
                expired.push_back(std::move(pending->handler));
                pending = self->waiting.erase(pending);
            } else {
                ++pending;
            }
        }
        self->watchWaiting();
        for (const Handler &handler : expired) {
            handler(tl::make_unexpected(CallFailure::NotSent));
        }
    });
}

HttpClient::HttpClient(asio::io_context &io, Address address, std::size_t connectionsMax)
    : m_impl(std::make_shared<Impl>(io, std::move(address), connectionsMax))
{
}

HttpClient::~HttpClient()
{
    m_impl->closed = true;
    m_impl->waiting.clear();
    m_impl->queueTimer.cancel();
    for (const auto &connection : m_impl->open) {
        connection->close();
    }
    m_impl->open.clear();
    m_impl->idle.clear();
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
