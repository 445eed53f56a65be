#include "details/peerkeeper.h"

#include "telemetry/log.h"

#include <algorithm>

namespace Cornelquay::Details {

namespace {

using namespace std::chrono_literals;

constexpr auto Tick = 50ms;
/** Between exchanges when nothing is needed. */
constexpr auto ExchangeInterval = 1000ms;
/** Between exchanges while work waits for a permit. */
constexpr auto UrgentInterval = 200ms;
constexpr auto ExchangeTimeout = 800ms;
/** A node not heard for this long is proposed for removal. */
constexpr auto RemovalAge = 10s;
constexpr auto RemovalTimeout = 3s;
constexpr std::size_t RelayBytesMax = 64ULL * 1024;

std::int64_t ageIn(SteadyTime time, SteadyTime now)
{
    return time == SteadyTime() ? -1 : std::chrono::duration_cast<std::chrono::milliseconds>(now - time).count();
}

}

PeerKeeper::PeerKeeper(PeerKeeperServices services)
    : m_services(std::move(services))
    , m_grantedTotal(m_services.metrics->counter("loans_granted_total", "Permits lent to other nodes"))
    , m_removalsTotal(m_services.metrics->counter("node_removals_proposed_total", "Removals of silent nodes proposed"))
    , m_bytesGauge(m_services.metrics->gauge("peer_bytes", "Bytes exchanged with other nodes"))
    , m_task(Tick, [this] {
        work();
    })
{
    m_mesh = PeerMesh::Builder()
                 .self(m_services.self)
                 .address(m_services.address)
                 .secret(m_services.secret)
                 .metrics(*m_services.metrics)
                 .onRequest([this](const Incarnation &from, const std::string &body) {
                     return answer(from, body);
                 })
                 .build();
}

PeerKeeper::~PeerKeeper()
{
    stop();
}

void PeerKeeper::start()
{
    m_mesh->start();
    m_task.start();
}

void PeerKeeper::stop()
{
    m_task.stop();
    m_mesh->stop();
}

bool PeerKeeper::isBound() const
{
    return m_mesh->isBound();
}

std::uint16_t PeerKeeper::port() const
{
    return m_mesh->port();
}

std::uint64_t PeerKeeper::bytes() const
{
    return m_mesh->bytes();
}

void PeerKeeper::refreshPeers()
{
    std::vector<PeerEndpoint> endpoints;
    m_services.replica->query([&](const FleetState &state) {
        for (const auto &[name, member] : state.members) {
            const std::optional<Address> address = parseAddress(member.peerAddress);
            if (member.present && name != m_services.self.name && address) {
                endpoints.push_back({{name, member.incarnation}, *address});
            }
        }
    });
    const SteadyTime now = steadyNow();
    const std::lock_guard lock(m_mutex);
    std::map<std::string, Peer> next;
    for (const PeerEndpoint &endpoint : endpoints) {
        const auto known = m_peers.find(endpoint.node.name);
        if (known != m_peers.end() && known->second.endpoint == endpoint) {
            next[endpoint.node.name] = std::move(known->second);
        } else {
            Peer &peer = next[endpoint.node.name];
            peer.endpoint = endpoint;
            peer.knownSince = now;
        }
    }
    m_peers = std::move(next);
    m_mesh->setPeers(std::move(endpoints));
}

void PeerKeeper::hasten()
{
    const std::lock_guard lock(m_mutex);
    for (auto &[name, peer] : m_peers) {
        peer.dueAt = SteadyTime();
    }
    m_task.hasten();
}

void PeerKeeper::work()
{
    const SteadyTime now = steadyNow();
    updateView(now);
    updateReport(now);
    exchangeWithDue(now);
    applyLoans(now);
    if (m_services.sharesFleetWide) {
        applyParts(now);
    }
    removeSilent(now);
    m_bytesGauge.set(static_cast<double>(m_mesh->bytes()));
}

void PeerKeeper::exchangeWithDue(SteadyTime now)
{
    const std::map<std::string, TeamLoad> teams = m_services.admission->teams();
    const bool wanting = std::any_of(teams.begin(), teams.end(), [](const auto &entry) {
        const TeamLimitStatus &limits = entry.second.limits;
        return entry.second.waiting > 0 && limits.held + limits.borrowed - limits.lent <= limits.running;
    });
    const std::lock_guard lock(m_mutex);
    for (auto &[name, peer] : m_peers) {
        const bool urgentlyDue = wanting && now - peer.lastSentAt >= UrgentInterval;
        if (!peer.underWay && (now >= peer.dueAt || urgentlyDue)) {
            sendTo(peer, teams, now);
        }
    }
}

void PeerKeeper::sendTo(Peer &peer, const std::map<std::string, TeamLoad> &teams, SteadyTime now)
{
    peer.underWay = true;
    peer.lastSentAt = now;
    peer.dueAt = now + ExchangeInterval;
    peer.sequence += 1;
    PeerRequest request;
    request.sequence = peer.sequence;
    request.position = position(now);
    request.asks = asksTo(peer, teams);
    peer.keptAtSend.clear();
    for (const LoanAsk &ask : request.asks) {
        peer.keptAtSend[ask.team] = ask.kept;
    }
    const std::string name = peer.endpoint.node.name;
    m_mesh->send(name, encode(request), ExchangeTimeout, [this, name, sequence = peer.sequence, now](const std::optional<std::string> &body) {
        onReply(name, sequence, now, body);
    });
}

void PeerKeeper::onReply(const std::string &name, std::uint64_t sequence, SteadyTime sentAt, const std::optional<std::string> &body)
{
    const std::optional<PeerReply> reply = body ? decodePeerReply(*body) : std::nullopt;
    {
        const std::lock_guard lock(m_mutex);
        const auto peer = m_peers.find(name);
        if (peer == m_peers.end() || peer->second.sequence != sequence) {
            return;
        }
        peer->second.underWay = false;
        if (!reply || reply->sequence != sequence) {
            return;
        }
        takeIn(peer->second, *reply, sentAt);
    }
    if (reply->position.viewAge >= 0) {
        m_services.replica->relay(reply->entries, reply->position.next, sentAt - std::chrono::milliseconds(reply->position.viewAge));
    }
    applyLoans(steadyNow());
}

void PeerKeeper::takeIn(Peer &peer, const PeerReply &reply, SteadyTime sentAt)
{
    peer.heardAt = sentAt;
    peer.position = reply.position;
    if (!reply.load.empty()) {
        peer.load = reply.load.front();
    }
    for (const LoanGrant &grant : reply.grants) {
        const auto kept = peer.keptAtSend.find(grant.team);
        if (kept != peer.keptAtSend.end()) {
            m_borrowed.confirm(peer.endpoint.node, grant, kept->second, sentAt);
        }
    }
}

PeerPosition PeerKeeper::position(SteadyTime now) const
{
    return {m_services.replica->next(), ageIn(m_services.replica->confirmedAt(), now), ageIn(m_services.replica->lastReadAt(), now)};
}

PeerLoad PeerKeeper::load() const
{
    PeerLoad load;
    load.demand = m_reported;
    for (const auto &[team, entry] : m_services.admission->teams()) {
        const std::int64_t own = entry.limits.held - entry.limits.lent - entry.limits.running;
        const std::int64_t spare = own - (entry.waiting > 0 ? 1 : 0);
        if (spare > 0) {
            load.spare[team] = spare;
        }
    }
    return load;
}

std::string PeerKeeper::answer(const Incarnation &from, const std::string &body)
{
    const std::optional<PeerRequest> request = decodePeerRequest(body);
    PeerReply reply;
    if (!request) {
        return encode(reply);
    }
    reply.sequence = request->sequence;
    reply.grants = lend(from, *request);
    addLoadIfDue(from, reply);
    reply.entries = m_services.replica->recentEntries(request->position.next, RelayBytesMax);
    reply.position = position(steadyNow());
    return encode(reply);
}

PeerView PeerKeeper::view() const
{
    const std::lock_guard lock(m_viewMutex);
    return m_view;
}

void PeerKeeper::updateView(SteadyTime now)
{
    const std::lock_guard lock(m_mutex);
    PeerView view;
    view.members = static_cast<int>(m_peers.size());
    for (const auto &[name, peer] : m_peers) {
        if (peer.heardAt == SteadyTime() || now - peer.heardAt > ReachableAge) {
            continue;
        }
        view.reachable += 1;
        const std::int64_t logAge = peer.position.logReadAge < 0 ? -1 : peer.position.logReadAge + ageIn(peer.heardAt, now);
        view.readingLog += logAge >= 0 && logAge <= ViewAgeMax.count() ? 1 : 0;
    }
    const std::lock_guard viewLock(m_viewMutex);
    m_view = view;
}

std::map<std::string, Offset> PeerKeeper::offsets(SteadyTime now) const
{
    const std::lock_guard lock(m_mutex);
    std::map<std::string, Offset> result;
    for (const auto &[name, peer] : m_peers) {
        if (peer.heardAt != SteadyTime() && now - peer.heardAt <= ReachableAge) {
            result[name] = peer.position.next;
        }
    }
    return result;
}

bool PeerKeeper::isMajorityHeard() const
{
    const PeerView current = view();
    return 2 * (current.reachable + 1) > current.members + 1;
}

// Only a node that hears most nodes proposes, so that a part that is cut off removes no one.
void PeerKeeper::removeSilent(SteadyTime now)
{
    std::vector<Incarnation> silent;
    bool firstInOrder = true;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[name, peer] : m_peers) {
            const SteadyTime last = std::max(peer.heardAt, peer.knownSince);
            if (now - last > RemovalAge) {
                silent.push_back(peer.endpoint.node);
            } else if (name < m_services.self.name) {
                firstInOrder = false;
            }
        }
    }
    if (silent.empty() || !firstInOrder || !isMajorityHeard() || !m_services.mayAcceptWork()) {
        return;
    }
    for (const Incarnation &node : silent) {
        m_removalsTotal.increment();
        logChange("peers", "removing a silent node", {{"node", node.name}, {"incarnation", std::to_string(node.number)}});
        m_services.replica->propose(NodeRemoved{node.name, node.number}, m_services.self.name, "not heard by most nodes", steadyNow() + RemovalTimeout);
    }
}

}
