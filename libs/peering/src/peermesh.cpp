#include "peering/peermesh.h"

#include "details/dialler.h"
#include "transport/listening.h"

#include <atomic>
#include <set>
#include <thread>
#include <utility>

namespace Cornelquay {

namespace {

/** Connections accepted at once; more than all nodes together need. */
constexpr std::size_t AcceptedMax = 128;

/** How far behind the highest number a message may come; streams of one connection overtake each other. */
constexpr std::uint64_t NumberWindow = 4096;

/** The listening end of one connection: its key after the hello, and the messages' numbers. */
struct Acceptance {
    std::optional<SessionKey> key;
    Incarnation from;
    std::uint64_t highestNumber = 0;
    /** Numbers seen within the window. */
    std::set<std::uint64_t> seen;

    /** Whether @p number is new; it is not afterwards. */
    bool take(std::uint64_t number)
    {
        if (number + NumberWindow <= highestNumber || !seen.insert(number).second) {
            return false;
        }
        highestNumber = std::max(highestNumber, number);
        while (!seen.empty() && *seen.begin() + NumberWindow <= highestNumber) {
            seen.erase(seen.begin());
        }
        return true;
    }
};

}

struct PeerMesh::Impl {
    explicit Impl(Builder &builder)
        : secret(builder.m_secret)
        , onRequest(std::move(builder.m_onRequest))
        , acceptor(io)
        , context{io,
                  builder.m_self,
                  builder.m_secret,
                  wireBytes,
                  builder.m_metrics->counter("peer_connects_total", "Connections opened to other nodes"),
                  builder.m_metrics->counter("peer_silent_total", "Connections to other nodes given up as silent")}
        , rejectedTotal(builder.m_metrics->counter("peer_rejected_total", "Messages of other nodes that were not authentic"))
    {
    }

    const std::string secret;
    const DeferredHandler onRequest;
    std::atomic<std::uint64_t> wireBytes = 0;
    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> guard = asio::make_work_guard(io);
    asio::ip::tcp::acceptor acceptor;
    Details::DiallerContext context;
    Counter rejectedTotal;
    bool bound = false;
    std::uint16_t port = 0;
    std::map<std::string, std::shared_ptr<Details::Dialler>> diallers;
    std::set<std::shared_ptr<Details::Http2Session>> accepted;
    std::thread thread;

    void bind(const Address &address);
    void accept();
    void serve(asio::ip::tcp::socket socket);
    void
    answer(const std::shared_ptr<Acceptance> &acceptance, const std::string &path, const std::string &body, const Details::Http2Session::Responder &respond);
    std::optional<std::string> greet(Acceptance &acceptance, const std::string &body);
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
        if (!error && accepted.size() < AcceptedMax) {
            serve(std::move(socket));
        }
        accept();
    });
}

void PeerMesh::Impl::serve(asio::ip::tcp::socket socket)
{
    const auto acceptance = std::make_shared<Acceptance>();
    const auto slot = std::make_shared<std::weak_ptr<Details::Http2Session>>();
    auto session = std::make_shared<Details::Http2Session>(
        std::move(socket),
        Details::Http2Session::Role::Listener,
        wireBytes,
        [this, acceptance](const std::string &path, const std::string &body, const Details::Http2Session::Responder &respond) {
            answer(acceptance, path, body, respond);
        },
        [this, slot] {
            const auto closed = slot->lock();
            if (closed) {
                accepted.erase(closed);
            }
        });
    *slot = session;
    accepted.insert(session);
    session->start();
}

std::optional<std::string> PeerMesh::Impl::greet(Acceptance &acceptance, const std::string &body)
{
    const std::optional<Hello> hello = decodeHello(body);
    if (!hello || acceptance.key) {
        return std::nullopt;
    }
    const HelloReply reply = makeHelloReply(secret, *hello, context.self);
    acceptance.key = deriveKey(secret, *hello, reply.from, reply.nonce);
    acceptance.from = hello->from;
    return encode(reply);
}

void PeerMesh::Impl::answer(const std::shared_ptr<Acceptance> &acceptance,
                            const std::string &path,
                            const std::string &body,
                            const Details::Http2Session::Responder &respond)
{
    if (path == "/hello") {
        respond(greet(*acceptance, body));
        return;
    }
    const std::optional<std::uint64_t> number = claimedNumber(body);
    const std::optional<std::string> payload = acceptance->key && number ? unseal(*acceptance->key, Direction::Request, *number, body) : std::nullopt;
    if (!payload || !acceptance->take(*number)) {
        rejectedTotal.increment();
        respond(std::nullopt);
        return;
    }
    onRequest(acceptance->from, *payload, [this, key = *acceptance->key, number = *number, respond](const std::string &reply) {
        asio::post(io, [respond, sealed = seal(key, Direction::Reply, number, reply)] {
            respond(sealed);
        });
    });
}

void PeerMesh::Impl::closeAll()
{
    asio::error_code ignored;
    acceptor.close(ignored);
    for (auto &[name, dialler] : diallers) {
        dialler->close();
    }
    diallers.clear();
    const std::set<std::shared_ptr<Details::Http2Session>> sessions = accepted;
    for (const auto &session : sessions) {
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
        m_impl->guard.reset();
    });
    m_impl->thread.join();
}

void PeerMesh::setPeers(std::vector<PeerEndpoint> peers)
{
    asio::post(m_impl->io, [this, peers = std::move(peers)] {
        std::map<std::string, std::shared_ptr<Details::Dialler>> next;
        for (const PeerEndpoint &peer : peers) {
            const auto known = m_impl->diallers.find(peer.node.name);
            const bool same = known != m_impl->diallers.end() && known->second->peer() == peer;
            next[peer.node.name] = same ? known->second : std::make_shared<Details::Dialler>(m_impl->context, peer);
        }
        for (const auto &[name, dialler] : m_impl->diallers) {
            const auto kept = next.find(name);
            if (kept == next.end() || kept->second != dialler) {
                dialler->close();
            }
        }
        m_impl->diallers = std::move(next);
    });
}

void PeerMesh::send(const std::string &peer, std::string body, std::chrono::milliseconds timeout, ReplyHandler onReply)
{
    ask(peer, std::move(body), timeout, [onReply = std::move(onReply)](tl::expected<std::string, PeerFailure> reply) {
        onReply(reply ? std::optional(std::move(*reply)) : std::nullopt);
    });
}

void PeerMesh::ask(const std::string &peer, std::string body, std::chrono::milliseconds timeout, ResultHandler onResult)
{
    asio::post(m_impl->io, [this, peer, body = std::move(body), timeout, onResult = std::move(onResult)]() mutable {
        const auto dialler = m_impl->diallers.find(peer);
        if (dialler == m_impl->diallers.end()) {
            onResult(tl::make_unexpected(PeerFailure::NotSent));
            return;
        }
        dialler->second->send(std::move(body), timeout, std::move(onResult));
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

std::uint64_t PeerMesh::bytes() const
{
    return m_impl->wireBytes;
}

}
