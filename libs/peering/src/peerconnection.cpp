#include "details/peerconnection.h"

#include <utility>

namespace Cornelquay::Details {

PeerConnection::PeerConnection(PeerConnectionContext &context, PeerEndpoint peer)
    : m_context(context)
    , m_peer(std::move(peer))
{
}

const PeerEndpoint &PeerConnection::peer() const
{
    return m_peer;
}

void PeerConnection::send(std::string body, std::chrono::milliseconds timeout, PeerMesh::ResultHandler onResult)
{
    auto call = std::make_shared<Call>();
    call->body = std::move(body);
    call->onResult = std::move(onResult);
    call->timer = std::make_unique<asio::steady_timer>(m_context.io, timeout);
    call->timer->async_wait([self = shared_from_this(), call](const asio::error_code &error) {
        if (error || call->done) {
            return;
        }
        // A device between the two nodes may have dropped the connection without closing it, so the next request uses a new one.
        self->m_context.timeoutsTotal.increment();
        fail(call);
        self->disconnect();
    });
    if (m_session && m_sessionKey) {
        sendNow(call);
        return;
    }
    m_waitingCalls.push_back(call);
    if (!m_connectingSocket && !m_session) {
        connect();
    }
}

void PeerConnection::connect()
{
    asio::error_code error;
    const asio::ip::address ip = asio::ip::make_address(m_peer.address.host, error);
    if (error) {
        disconnect();
        return;
    }
    m_connectingSocket = std::make_shared<asio::ip::tcp::socket>(m_context.io);
    const auto socket = m_connectingSocket;
    socket->async_connect({ip, m_peer.address.port}, [self = shared_from_this(), socket](const asio::error_code &failure) {
        if (self->m_connectingSocket != socket) {
            return;
        }
        self->m_connectingSocket = nullptr;
        if (failure) {
            self->disconnect();
            return;
        }
        self->m_context.connectsTotal.increment();
        self->m_session = std::make_shared<Http2Session>(std::move(*socket), Http2Session::Role::Client, self->m_context.wireBytes, nullptr, nullptr);
        self->m_session->start();
        self->sendHello();
    });
}

void PeerConnection::sendHello()
{
    const Hello hello{m_context.self, newNonce()};
    m_session->request("/hello", encode(hello), [self = shared_from_this(), session = m_session, hello](std::optional<std::string> body) {
        if (self->m_session != session) {
            return;
        }
        const std::optional<HelloReply> reply = body ? decodeHelloReply(*body) : std::nullopt;
        if (!reply || reply->from != self->m_peer.node || !isProofValid(self->m_context.secret, hello, *reply)) {
            self->disconnect();
            return;
        }
        self->m_sessionKey = deriveKey(self->m_context.secret, hello, reply->from, reply->nonce);
        self->m_lastSequenceNumber = 0;
        const std::vector<CallPointer> waiting = std::exchange(self->m_waitingCalls, {});
        for (const CallPointer &call : waiting) {
            if (!call->done) {
                self->sendNow(call);
            }
        }
    });
}

void PeerConnection::sendNow(const CallPointer &call)
{
    if (!m_session || !m_sessionKey) {
        fail(call);
        return;
    }
    const std::uint64_t sequenceNumber = ++m_lastSequenceNumber;
    std::string signedMessage = signMessage(*m_sessionKey, Direction::Request, sequenceNumber, call->body);
    call->sent = true;
    m_session->request("/message",
                       std::move(signedMessage),
                       [self = shared_from_this(), session = m_session, key = *m_sessionKey, sequenceNumber, call](std::optional<std::string> body) {
                           std::optional<std::string> reply = body ? verifyMessage(key, Direction::Reply, sequenceNumber, *body) : std::nullopt;
                           if (reply) {
                               finish(call, std::move(*reply));
                               return;
                           }
                           fail(call);
                           if (self->m_session == session) {
                               self->disconnect();
                           }
                       });
}

void PeerConnection::disconnect()
{
    m_connectingSocket = nullptr;
    m_sessionKey.reset();
    const std::vector<CallPointer> waiting = std::exchange(m_waitingCalls, {});
    for (const CallPointer &call : waiting) {
        fail(call);
    }
    if (!m_session) {
        return;
    }
    const std::shared_ptr<Http2Session> session = std::move(m_session);
    m_session = nullptr;
    // Deferred, because close() runs the handlers of pending requests, which must not find this session here any more.
    asio::post(m_context.io, [session] {
        session->close();
    });
}

void PeerConnection::close()
{
    disconnect();
}

void PeerConnection::finish(const CallPointer &call, tl::expected<std::string, PeerFailure> reply)
{
    if (call->done) {
        return;
    }
    call->done = true;
    call->timer->cancel();
    call->onResult(std::move(reply));
}

void PeerConnection::fail(const CallPointer &call)
{
    finish(call, tl::make_unexpected(call->sent ? PeerFailure::NoReply : PeerFailure::NotSent));
}

}
