#include "details/dialler.h"

#include <utility>

namespace Cornelquay::Details {

Dialler::Dialler(DiallerContext &context, PeerEndpoint peer)
    : m_context(context)
    , m_peer(std::move(peer))
{
}

const PeerEndpoint &Dialler::peer() const
{
    return m_peer;
}

void Dialler::send(std::string body, std::chrono::milliseconds timeout, PeerMesh::ResultHandler onResult)
{
    auto call = std::make_shared<Call>();
    call->body = std::move(body);
    call->onResult = std::move(onResult);
    call->timer = std::make_unique<asio::steady_timer>(m_context.io, timeout);
    call->timer->async_wait([self = shared_from_this(), call](const asio::error_code &error) {
        if (error || call->done) {
            return;
        }
        // No reply in time: whatever is between the two nodes may have lost track of the connection.
        self->m_context.silentTotal.increment();
        fail(call);
        self->drop();
    });
    if (m_session && m_key) {
        transmit(call);
        return;
    }
    m_waiting.push_back(call);
    if (!m_dialling && !m_session) {
        dial();
    }
}

void Dialler::dial()
{
    asio::error_code error;
    const asio::ip::address ip = asio::ip::make_address(m_peer.address.host, error);
    if (error) {
        drop();
        return;
    }
    m_dialling = std::make_shared<asio::ip::tcp::socket>(m_context.io);
    const auto socket = m_dialling;
    socket->async_connect({ip, m_peer.address.port}, [self = shared_from_this(), socket](const asio::error_code &failure) {
        if (self->m_dialling != socket) {
            return;
        }
        self->m_dialling = nullptr;
        if (failure) {
            self->drop();
            return;
        }
        self->m_context.connectsTotal.increment();
        self->m_session = std::make_shared<Http2Session>(std::move(*socket), Http2Session::Role::Dialler, self->m_context.wireBytes, nullptr, nullptr);
        self->m_session->start();
        self->greet();
    });
}

void Dialler::greet()
{
    const Hello hello{m_context.self, newNonce()};
    m_session->request("/hello", encode(hello), [self = shared_from_this(), session = m_session, hello](std::optional<std::string> body) {
        if (self->m_session != session) {
            return;
        }
        const std::optional<HelloReply> reply = body ? decodeHelloReply(*body) : std::nullopt;
        if (!reply || reply->from != self->m_peer.node || !isProven(self->m_context.secret, hello, *reply)) {
            self->drop();
            return;
        }
        self->m_key = deriveKey(self->m_context.secret, hello, reply->from, reply->nonce);
        self->m_lastNumber = 0;
        const std::vector<CallPointer> waiting = std::exchange(self->m_waiting, {});
        for (const CallPointer &call : waiting) {
            if (!call->done) {
                self->transmit(call);
            }
        }
    });
}

void Dialler::transmit(const CallPointer &call)
{
    if (!m_session || !m_key) {
        fail(call);
        return;
    }
    const std::uint64_t number = ++m_lastNumber;
    std::string sealed = seal(*m_key, Direction::Request, number, call->body);
    call->sent = true;
    m_session->request(
        "/message", std::move(sealed), [self = shared_from_this(), session = m_session, key = *m_key, number, call](std::optional<std::string> body) {
            std::optional<std::string> reply = body ? unseal(key, Direction::Reply, number, *body) : std::nullopt;
            if (reply) {
                finish(call, std::move(*reply));
                return;
            }
            fail(call);
            if (self->m_session == session) {
                self->drop();
            }
        });
}

void Dialler::drop()
{
    m_dialling = nullptr;
    m_key.reset();
    const std::vector<CallPointer> waiting = std::exchange(m_waiting, {});
    for (const CallPointer &call : waiting) {
        fail(call);
    }
    if (!m_session) {
        return;
    }
    const std::shared_ptr<Http2Session> session = std::move(m_session);
    m_session = nullptr;
    // Closing calls back into pending requests, which must not meet this session again.
    asio::post(m_context.io, [session] {
        session->close();
    });
}

void Dialler::close()
{
    drop();
}

void Dialler::finish(const CallPointer &call, tl::expected<std::string, PeerFailure> reply)
{
    if (call->done) {
        return;
    }
    call->done = true;
    call->timer->cancel();
    call->onResult(std::move(reply));
}

void Dialler::fail(const CallPointer &call)
{
    finish(call, tl::make_unexpected(call->sent ? PeerFailure::NoReply : PeerFailure::NotSent));
}

}
