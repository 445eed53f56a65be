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

/** Where another node is reached. */
struct PeerEndpoint {
    Incarnation node;
    Address address;

    bool operator==(const PeerEndpoint &) const = default;
};

/** Why a request to another node has no reply. */
enum class PeerFailure {
    /** No connection stood, so the other node has not seen the request. */
    NotSent,
    /** The other node may have acted on the request. */
    NoReply,
};

/**
 * Authenticated message streams between the nodes, over HTTP/2.
 *
 * Created once per node, bound on creation. Each node dials every other one and keeps the
 * connection; a request that gets no reply in time is taken as a sign that the connection went
 * silent, and the next one goes over a new connection. Every message is authenticated with a key
 * derived from the shared secret and cannot be replayed. Handlers run on the mesh's one thread and
 * must not block. Thread-safe.
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
    /** Takes the reply to one request, from any thread, at most once. */
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
        /** In place of onRequest(): a handler that replies at any later time. */
        Builder &onDeferredRequest(DeferredHandler handler);
        Builder &metrics(Metrics &metrics);
        std::unique_ptr<PeerMesh> build();

    private:
        friend class PeerMesh;
        Incarnation m_self;
        Address m_address;
        std::string m_secret;
        DeferredHandler m_onRequest;
        Metrics *m_metrics = nullptr;
    };

    ~PeerMesh();
    PeerMesh(const PeerMesh &) = delete;
    PeerMesh &operator=(const PeerMesh &) = delete;

    // Commands.
    void start();
    void stop();
    /** Replaces the set of nodes to dial; connections to others are closed. */
    void setPeers(std::vector<PeerEndpoint> peers);
    /** Sends one request; @p onReply is called once, with nothing after @p timeout or a loss. */
    void send(const std::string &peer, std::string body, std::chrono::milliseconds timeout, ReplyHandler onReply);
    /** As send(), but tells a request that was not sent from one that was not answered. */
    void ask(const std::string &peer, std::string body, std::chrono::milliseconds timeout, ResultHandler onResult);

    // Queries.
    bool isBound() const;
    std::uint16_t port() const;
    /** Bytes sent and received so far. */
    std::uint64_t bytes() const;

private:
    explicit PeerMesh(Builder &builder);
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}
