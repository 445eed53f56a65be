#pragma once

#include "records/identifiers.h"
#include "telemetry/metrics.h"
#include "timing/instant.h"
#include "transport/address.h"

#include <tl/expected.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Cornelquay {

/** Identity and address of another node. */
struct PeerEndpoint {
    Incarnation node;
    Address address;

    bool operator==(const PeerEndpoint &) const = default;
};

/** Why a request to another node has no reply. */
enum class PeerFailure {
    /**
     * The other node has not seen the request: it is not in the set of peers, or no connection to it
     * could be opened in time.
     */
    NotSent,
    /** The other node may have acted on the request. */
    NoReply,
};

/**
 * Authenticated message streams between the nodes, over HTTP/2.
 *
 * Created once per node; build() binds the listening socket, and isBound() tells whether that
 * succeeded. A node opens a connection to another one for its first request and keeps it. If a
 * request gets no reply within its timeout, the connection is closed and the next request uses a
 * new one. Every message is authenticated with a key derived from the shared secret and cannot be
 * replayed. Handlers run on the mesh's one thread and must not block. Thread-safe.
 *
 * @code
 * auto mesh = PeerMesh::Builder().self(self).address(address).secret(secret).metrics(metrics)
 *                 .onRequest([](const Incarnation &from, const std::string &body) { return reply; }).build();
 * mesh->start();
 * mesh->setPeers(endpoints);
 * mesh->send("node-2", body, 800ms, [](std::optional<std::string> reply) { ... });
 * @endcode
 */
class PeerMesh
{
public:
    using RequestHandler = std::function<std::string(const Incarnation &from, const std::string &body)>;
    using ReplyHandler = std::function<void(std::optional<std::string> reply)>;
    /** Sends the reply to one request. Callable from any thread, at most once and only while the mesh exists. */
    using Replier = std::function<void(std::string reply)>;
    using DeferredHandler = std::function<void(const Incarnation &from, const std::string &body, Replier reply)>;
    using ResultHandler = std::function<void(tl::expected<std::string, PeerFailure> reply)>;

    class Builder
    {
    public:
        Builder &self(Incarnation self);
        Builder &address(Address address);
        Builder &secret(std::string secret);
        Builder &onRequest(RequestHandler handler);
        /** Alternative to onRequest(): a handler that may reply after it has returned. */
        Builder &onDeferredRequest(DeferredHandler handler);
        Builder &metrics(Metrics &metrics);
        /**
         * Maximum number of connections that other nodes have open to this one, at least 1; the one used least recently is
         * closed for a further one. The default is above the number of nodes of the largest fleet served, 300, so that none is closed.
         */
        Builder &maxAcceptedConnections(std::size_t count);
        /** Creates the mesh and binds its socket. All properties must be set; of the two handlers, the one set last is used. */
        std::unique_ptr<PeerMesh> build();

    private:
        friend class PeerMesh;
        Incarnation m_self;
        Address m_address;
        std::string m_secret;
        DeferredHandler m_onRequest;
        Metrics *m_metrics = nullptr;
        std::size_t m_maxAcceptedConnections = 1024;
    };

    ~PeerMesh();
    PeerMesh(const PeerMesh &) = delete;
    PeerMesh &operator=(const PeerMesh &) = delete;

    // Commands.
    void start();
    /** Closes all connections, fails pending requests and waits for the mesh's thread. Must not be called from a handler. */
    void stop();
    /** Replaces the set of nodes that requests can be sent to. Closes connections to all others, and to nodes with a new incarnation or address. */
    void setPeers(std::vector<PeerEndpoint> peers);
    /**
     * Sends one request. @p onReply is called once: with the reply, or with nothing after @p timeout, if the
     * connection fails or if @p peer is unknown. It is not called for a request sent after stop().
     */
    void send(const std::string &peer, std::string body, std::chrono::milliseconds timeout, ReplyHandler onReply);
    /** As send(), but a failure says whether the request was not sent or not answered. */
    void request(const std::string &peer, std::string body, std::chrono::milliseconds timeout, ResultHandler onResult);

    // Queries.
    /** Whether the listening socket could be bound. */
    bool isBound() const;
    /** Port of the listening socket, also if the address asked for port 0. */
    std::uint16_t port() const;
    /** Bytes sent and received over all connections since creation. */
    std::uint64_t transferredBytes() const;

private:
    explicit PeerMesh(Builder &builder);
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}
