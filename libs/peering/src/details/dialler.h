#pragma once

#include "details/http2session.h"
#include "peering/envelope.h"
#include "peering/peermesh.h"

namespace Cornelquay::Details {

/** What diallers of one mesh share. Outlives them. */
struct DiallerContext {
    asio::io_context &io;
    Incarnation self;
    std::string secret;
    std::atomic<std::uint64_t> &wireBytes;
    Counter connectsTotal;
    Counter silentTotal;
};

/**
 * The connection to one other node: dials, proves, sends, and dials anew after a silence or loss.
 * Used from the io_context's thread only.
 */
class Dialler : public std::enable_shared_from_this<Dialler>
{
public:
    Dialler(DiallerContext &context, PeerEndpoint peer);

    /** Sends one request, dialling first if need be. */
    void send(std::string body, std::chrono::milliseconds timeout, PeerMesh::ResultHandler onResult);
    void close();
    const PeerEndpoint &peer() const;

private:
    /** A request under way, with the timer that ends it. */
    struct Call {
        std::string body;
        PeerMesh::ResultHandler onResult;
        std::unique_ptr<asio::steady_timer> timer;
        bool sent = false;
        bool done = false;
    };
    using CallPointer = std::shared_ptr<Call>;

    void dial();
    void greet();
    void transmit(const CallPointer &call);
    /** Ends the connection; calls that wait for it were not sent. */
    void drop();
    static void finish(const CallPointer &call, tl::expected<std::string, PeerFailure> reply);
    static void fail(const CallPointer &call);

    DiallerContext &m_context;
    const PeerEndpoint m_peer;
    std::shared_ptr<asio::ip::tcp::socket> m_dialling;
    /** Calls that wait until the connection stands. */
    std::vector<CallPointer> m_waiting;
    std::shared_ptr<Http2Session> m_session;
    std::optional<SessionKey> m_key;
    std::uint64_t m_lastNumber = 0;
};

}
