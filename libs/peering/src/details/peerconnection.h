#pragma once

#include "details/http2session.h"
#include "peering/envelope.h"
#include "peering/peermesh.h"

namespace Cornelquay::Details {

/** State shared by all connections of one mesh. Must outlive them. */
struct PeerConnectionContext {
    asio::io_context &io;
    Incarnation self;
    std::string secret;
    std::atomic<std::uint64_t> &wireBytes;
    Counter connectsTotal;
    Counter timeoutsTotal;
};

/**
 * The outgoing connection to one other node: connects, performs the handshake, sends requests, and
 * connects again for the next request after a timeout or a failure. Used from the io_context's
 * thread only.
 */
class PeerConnection : public std::enable_shared_from_this<PeerConnection>
{
public:
    PeerConnection(PeerConnectionContext &context, PeerEndpoint peer);

    /** Sends one request, once the connection is open. @p onResult is called exactly once. */
    void send(std::string body, std::chrono::milliseconds timeout, PeerMesh::ResultHandler onResult);
    void close();
    const PeerEndpoint &peer() const;

private:
    /** A pending request and its timeout. */
    struct Call {
        std::string body;
        PeerMesh::ResultHandler onResult;
        std::unique_ptr<asio::steady_timer> timer;
        bool sent = false;
        bool done = false;
    };
    using CallPointer = std::shared_ptr<Call>;

    void connect();
    void sendHello();
    /** Sends @p call over the open connection. */
    void sendNow(const CallPointer &call);
    /** Closes the connection. Calls that wait for it fail with NotSent at once, calls that were sent with NoReply soon after. */
    void disconnect();
    static void finish(const CallPointer &call, tl::expected<std::string, PeerFailure> reply);
    /** Reports NoReply if the request was sent, else NotSent. */
    static void fail(const CallPointer &call);

    PeerConnectionContext &m_context;
    const PeerEndpoint m_peer;
    /** Set while a TCP connect is pending. */
    std::shared_ptr<asio::ip::tcp::socket> m_connectingSocket;
    /** Calls to be sent after the handshake. */
    std::vector<CallPointer> m_waitingCalls;
    std::shared_ptr<Http2Session> m_session;
    /** Set by the handshake. */
    std::optional<SessionKey> m_sessionKey;
    std::uint64_t m_lastSequenceNumber = 0;
};

}
