#include "peering/peermesh.h"

#include "details/peerconnection.h"
#include "transport/listening.h"

#include <algorithm>
#include <atomic>
#include <set>
#include <thread>
#include <utility>

namespace Cornelquay {

namespace {

/** Messages this far or further behind the highest sequence number are rejected. A smaller lag is normal: streams of one connection overtake each other. */
constexpr std::uint64_t ReplayWindow = 4096;
constexpr std::chrono::milliseconds AcceptRetryDelay{100};

/** State of one accepted connection: the session key, set by the handshake, and the sequence numbers for replay protection. */
struct IncomingConnection {
    std::optional<SessionKey> key;
    Incarnation from;
    /** When the latest request arrived; before the first, when the connection was accepted. */
    SteadyTime usedAt = steadyNow();
    std::uint64_t highestSequenceNumber = 0;
    /** Sequence numbers received within the replay window. */
    std::set<std::uint64_t> recentSequenceNumbers;

    /** Records @p sequenceNumber; false if it was received before or lies below the replay window. */
    bool acceptSequenceNumber(std::uint64_t sequenceNumber)
    {
        if (sequenceNumber + ReplayWindow <= highestSequenceNumber || !recentSequenceNumbers.insert(sequenceNumber).second) {
            return false;
        }
        highestSequenceNumber = std::max(highestSequenceNumber, sequenceNumber);
        while (!recentSequenceNumbers.empty() && *recentSequenceNumbers.begin() + ReplayWindow <= highestSequenceNumber) {
            recentSequenceNumbers.erase(recentSequenceNumbers.begin());
        }
        return true;
    }
};

}

struct PeerMesh::Impl {
    explicit Impl(Builder &builder)
        : secret(builder.m_secret)
        , maxAcceptedConnections(builder.m_maxAcceptedConnections)
        , onRequest(std::move(builder.m_onRequest))
        , acceptor(io)
        , acceptTimer(io)
        , context{io,
                  builder.m_self,
                  builder.m_secret,
                  wireBytes,
                  builder.m_metrics->counter("peer_connects_total", "Connections opened to other nodes"),
                  builder.m_metrics->counter("peer_silent_total", "Connections to other nodes closed because a request timed out")}
        , rejectedTotal(
              builder.m_metrics->counter("peer_rejected_total", "Messages of other nodes rejected because authentication or replay protection failed"))
        , evictedTotal(builder.m_metrics->counter("peer_evicted_total", "Connections of other nodes closed to make room for new ones"))
    {
    }

    const std::string secret;
    const std::size_t maxAcceptedConnections;
    const DeferredHandler onRequest;
    std::atomic<std::uint64_t> wireBytes = 0;
    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> workGuard = asio::make_work_guard(io);
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer acceptTimer;
    Details::PeerConnectionContext context;
    Counter rejectedTotal;
    Counter evictedTotal;
    bool bound = false;
    std::uint16_t port = 0;
    std::map<std::string, std::shared_ptr<Details::PeerConnection>> connections;
    std::map<std::shared_ptr<Details::Http2Session>, std::shared_ptr<IncomingConnection>> accepted;
    std::thread thread;

    void bind(const Address &address);
    void accept();
    /** Closes the accepted connection that was used least recently; its node opens a new one for its next request. */
    void evictLeastRecentlyUsed();
    void startSession(asio::ip::tcp::socket socket);
    void handleRequest(const std::shared_ptr<IncomingConnection> &incoming,
                       const std::string &path,
                       const std::string &body,
                       const Details::Http2Session::Responder &respond);
    std::optional<std::string> handleHello(IncomingConnection &incoming, const std::string &body);
    void closeAll();
};

void PeerMesh::Impl::bind(const Address &address)
{
    bound = !listenOn(acceptor, address, asio::socket_base::max_listen_connections);
    asio::error_code error;
    port = acceptor.local_endpoint(error).port();
}

void PeerMesh::Impl::accept()
{
    acceptor.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted || !acceptor.is_open()) {
            return;
        }
        if (error) {
            // The process has no free descriptors, for instance; accepting again at once would occupy the thread of the mesh.
            acceptTimer.expires_after(AcceptRetryDelay);
            acceptTimer.async_wait([this](const asio::error_code &waitError) {
                if (!waitError && acceptor.is_open()) {
                    accept();
                }
            });
            return;
        }
        // A newcomer is not refused: a node that the owner of the jobs refuses cannot serve its callers at all.
        if (accepted.size() >= maxAcceptedConnections) {
            evictLeastRecentlyUsed();
        }
        startSession(std::move(socket));
        accept();
    });
}

void PeerMesh::Impl::evictLeastRecentlyUsed()
{
    const auto oldest = std::min_element(accepted.begin(), accepted.end(), [](const auto &left, const auto &right) {
        return left.second->usedAt < right.second->usedAt;
    });
    if (oldest == accepted.end()) {
        return;
    }
    evictedTotal.increment();
    const std::shared_ptr<Details::Http2Session> session = oldest->first;
    accepted.erase(oldest);
    session->close();
}

void PeerMesh::Impl::startSession(asio::ip::tcp::socket socket)
{
    const auto incoming = std::make_shared<IncomingConnection>();
    const auto weakSession = std::make_shared<std::weak_ptr<Details::Http2Session>>();
    auto session = std::make_shared<Details::Http2Session>(
        std::move(socket),
        Details::Http2Session::Role::Server,
        wireBytes,
        [this, incoming](const std::string &path, const std::string &body, const Details::Http2Session::Responder &respond) {
            handleRequest(incoming, path, body, respond);
        },
        [this, weakSession] {
            const auto closed = weakSession->lock();
            if (closed) {
                accepted.erase(closed);
            }
        });
    *weakSession = session;
    accepted.emplace(session, incoming);
    session->start();
}

std::optional<std::string> PeerMesh::Impl::handleHello(IncomingConnection &incoming, const std::string &body)
{
    const std::optional<Hello> hello = decodeHello(body);
    if (!hello || incoming.key) {
        return std::nullopt;
    }
    const HelloReply reply = makeHelloReply(secret, *hello, context.self);
    incoming.key = deriveKey(secret, *hello, reply.from, reply.nonce);
    incoming.from = hello->from;
    return encode(reply);
}

void PeerMesh::Impl::handleRequest(const std::shared_ptr<IncomingConnection> &incoming,
                                   const std::string &path,
                                   const std::string &body,
                                   const Details::Http2Session::Responder &respond)
{
    incoming->usedAt = steadyNow();
    if (path == "/hello") {
        respond(handleHello(*incoming, body));
        return;
    }
    const std::optional<std::uint64_t> sequenceNumber = claimedSequenceNumber(body);
    const std::optional<std::string> payload
        = incoming->key && sequenceNumber ? verifyMessage(*incoming->key, Direction::Request, *sequenceNumber, body) : std::nullopt;
    if (!payload || !incoming->acceptSequenceNumber(*sequenceNumber)) {
        rejectedTotal.increment();
        respond(std::nullopt);
        return;
    }
    onRequest(incoming->from, *payload, [this, key = *incoming->key, sequenceNumber = *sequenceNumber, respond](const std::string &reply) {
        asio::post(io, [respond, signedMessage = signMessage(key, Direction::Reply, sequenceNumber, reply)] {
            respond(signedMessage);
        });
    });
}

void PeerMesh::Impl::closeAll()
{
    asio::error_code ignored;
    acceptor.close(ignored);
    acceptTimer.cancel();
    for (auto &[name, connection] : connections) {
        connection->close();
    }
    connections.clear();
    const auto sessions = accepted;
    for (const auto &[session, incoming] : sessions) {
        session->close();
    }
}

PeerMesh::Builder &PeerMesh::Builder::self(Incarnation self)
{
    m_self = std::move(self);
    return *this;
}

PeerMesh::Builder &PeerMesh::Builder::address(Address address)
{
    m_address = std::move(address);
    return *this;
}

PeerMesh::Builder &PeerMesh::Builder::secret(std::string secret)
{
    m_secret = std::move(secret);
    return *this;
}

PeerMesh::Builder &PeerMesh::Builder::onRequest(RequestHandler handler)
{
    m_onRequest = [handler = std::move(handler)](const Incarnation &from, const std::string &body, const Replier &reply) {
        reply(handler(from, body));
    };
    return *this;
}

PeerMesh::Builder &PeerMesh::Builder::onDeferredRequest(DeferredHandler handler)
{
    m_onRequest = std::move(handler);
    return *this;
}

PeerMesh::Builder &PeerMesh::Builder::metrics(Metrics &metrics)
{
    m_metrics = &metrics;
    return *this;
}

PeerMesh::Builder &PeerMesh::Builder::maxAcceptedConnections(std::size_t count)
{
    m_maxAcceptedConnections = count;
    return *this;
}

std::unique_ptr<PeerMesh> PeerMesh::Builder::build()
{
    const Address address = m_address;
    std::unique_ptr<PeerMesh> mesh(new PeerMesh(*this));
    mesh->m_impl->bind(address);
    return mesh;
}

PeerMesh::PeerMesh(Builder &builder)
    : m_impl(std::make_unique<Impl>(builder))
{
}

PeerMesh::~PeerMesh()
{
    stop();
}

void PeerMesh::start()
{
    m_impl->accept();
    m_impl->thread = std::thread([this] {
        m_impl->io.run();
    });
}

void PeerMesh::stop()
{
    if (!m_impl->thread.joinable()) {
        return;
    }
    asio::post(m_impl->io, [this] {
        m_impl->closeAll();
        m_impl->workGuard.reset();
    });
    m_impl->thread.join();
}

void PeerMesh::setPeers(std::vector<PeerEndpoint> peers)
{
    asio::post(m_impl->io, [this, peers = std::move(peers)] {
        std::map<std::string, std::shared_ptr<Details::PeerConnection>> next;
        for (const PeerEndpoint &peer : peers) {
            const auto known = m_impl->connections.find(peer.node.name);
            const bool same = known != m_impl->connections.end() && known->second->peer() == peer;
            next[peer.node.name] = same ? known->second : std::make_shared<Details::PeerConnection>(m_impl->context, peer);
        }
        for (const auto &[name, connection] : m_impl->connections) {
            const auto kept = next.find(name);
            if (kept == next.end() || kept->second != connection) {
                connection->close();
            }
        }
        m_impl->connections = std::move(next);
    });
}

void PeerMesh::send(const std::string &peer, std::string body, std::chrono::milliseconds timeout, ReplyHandler onReply)
{
    request(peer, std::move(body), timeout, [onReply = std::move(onReply)](tl::expected<std::string, PeerFailure> reply) {
        onReply(reply ? std::optional(std::move(*reply)) : std::nullopt);
    });
}

void PeerMesh::request(const std::string &peer, std::string body, std::chrono::milliseconds timeout, ResultHandler onResult)
{
    asio::post(m_impl->io, [this, peer, body = std::move(body), timeout, onResult = std::move(onResult)]() mutable {
        const auto connection = m_impl->connections.find(peer);
        if (connection == m_impl->connections.end()) {
            onResult(tl::make_unexpected(PeerFailure::NotSent));
            return;
        }
        connection->second->send(std::move(body), timeout, std::move(onResult));
    });
}

bool PeerMesh::isBound() const
{
    return m_impl->bound;
}

std::uint16_t PeerMesh::port() const
{
    return m_impl->port;
}

std::uint64_t PeerMesh::transferredBytes() const
{
    return m_impl->wireBytes;
}

}
