#include "details/peercontroller.h"

#include "telemetry/log.h"

#include <algorithm>

namespace Cornelquay::Details {

namespace {

using namespace std::chrono_literals;

constexpr auto CycleInterval = 50ms;
/** Time between exchanges with a node while no permits are needed. */
constexpr auto ExchangeInterval = 1000ms;
/** Time between exchanges with a node while work waits for a permit. */
constexpr auto UrgentExchangeInterval = 200ms;
constexpr auto ExchangeTimeout = 800ms;
/** A node that answers no request for this time is proposed for removal. */
constexpr auto UnreachableRemovalTimeout = 10s;
constexpr auto RemovalRecordTimeout = 3s;
/** Limit for the log entries in one reply. */
constexpr std::size_t MaxRelayBytes = 64ULL * 1024;

/** Negative if @p time is the default value, which means never. */
std::int64_t ageMs(SteadyTime time, SteadyTime now)
{
    return time == SteadyTime() ? -1 : std::chrono::duration_cast<std::chrono::milliseconds>(now - time).count();
}

}

PeerController::PeerController(PeerControllerDependencies dependencies)
    : m_dependencies(std::move(dependencies))
    , m_grantedLoansTotal(m_dependencies.metrics->counter("loans_granted_total", "Permits lent to other nodes"))
    , m_proposedRemovalsTotal(m_dependencies.metrics->counter("node_removals_proposed_total", "Proposed removals of unreachable nodes"))
    , m_bytesGauge(m_dependencies.metrics->gauge("peer_bytes", "Bytes exchanged with other nodes"))
    , m_task(CycleInterval, [this] {
        runCycle();
    })
{
    m_mesh = PeerMesh::Builder()
                 .self(m_dependencies.self)
                 .address(m_dependencies.address)
                 .secret(m_dependencies.secret)
                 .metrics(*m_dependencies.metrics)
                 .onRequest([this](const Incarnation &from, const std::string &body) {
                     return onRequest(from, body);
                 })
                 .build();
}

PeerController::~PeerController()
{
    stop();
}

void PeerController::start()
{
    m_mesh->start();
    m_task.start();
}

void PeerController::stop()
{
    m_task.stop();
    m_mesh->stop();
}

bool PeerController::isBound() const
{
    return m_mesh->isBound();
}

std::uint16_t PeerController::port() const
{
    return m_mesh->port();
}

std::uint64_t PeerController::bytes() const
{
    return m_mesh->transferredBytes();
}

void PeerController::refreshPeers()
{
    std::vector<PeerEndpoint> endpoints;
    m_dependencies.replica->query([&](const FleetState &state) {
        for (const auto &[name, member] : state.members) {
            const std::optional<Address> address = parseAddress(member.peerAddress);
            if (member.present && name != m_dependencies.self.name && address) {
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

void PeerController::exchangeNow()
{
    const std::lock_guard lock(m_mutex);
    for (auto &[name, peer] : m_peers) {
        peer.exchangeDueAt = SteadyTime();
    }
    m_task.runNow();
}

void PeerController::runCycle()
{
    const SteadyTime now = steadyNow();
    updateView(now);
    updateReport(now);
    exchangeWithDuePeers(now);
    applyLoans(now);
    if (m_dependencies.isFairShareFleetWide) {
        applyPoolQuotas(now);
    }
    removeUnreachableNodes(now);
    m_bytesGauge.set(static_cast<double>(m_mesh->transferredBytes()));
}

void PeerController::exchangeWithDuePeers(SteadyTime now)
{
    const std::map<std::string, TeamLoad> teams = m_dependencies.admission->teams();
    const bool needsPermits = std::any_of(teams.begin(), teams.end(), [](const auto &entry) {
        const TeamLimitStatus &limits = entry.second.limits;
        return entry.second.waiting > 0 && limits.held + limits.borrowed - limits.lent <= limits.running;
    });
    const std::lock_guard lock(m_mutex);
    for (auto &[name, peer] : m_peers) {
        const bool isUrgentlyDue = needsPermits && now - peer.lastRequestAt >= UrgentExchangeInterval;
        if (!peer.exchangeInProgress && (now >= peer.exchangeDueAt || isUrgentlyDue)) {
            sendTo(peer, teams, now);
        }
    }
}

void PeerController::sendTo(Peer &peer, const std::map<std::string, TeamLoad> &teams, SteadyTime now)
{
    peer.exchangeInProgress = true;
    peer.lastRequestAt = now;
    peer.exchangeDueAt = now + ExchangeInterval;
    peer.sequence += 1;
    PeerRequest request;
    request.sequence = peer.sequence;
    request.position = position(now);
    request.loanRequests = loanRequestsFor(peer, teams);
    peer.retainedAtSend.clear();
    for (const LoanRequest &loanRequest : request.loanRequests) {
        peer.retainedAtSend[loanRequest.team] = loanRequest.retained;
    }
    const std::string name = peer.endpoint.node.name;
    m_mesh->send(name, encode(request), ExchangeTimeout, [this, name, sequence = peer.sequence, now](const std::optional<std::string> &body) {
        onReply(name, sequence, now, body);
    });
}

void PeerController::onReply(const std::string &name, std::uint64_t sequence, SteadyTime sentAt, const std::optional<std::string> &body)
{
    const std::optional<PeerReply> reply = body ? decodePeerReply(*body) : std::nullopt;
    {
        const std::lock_guard lock(m_mutex);
        const auto peer = m_peers.find(name);
        if (peer == m_peers.end() || peer->second.sequence != sequence) {
            return;
        }
        peer->second.exchangeInProgress = false;
        if (!reply || reply->sequence != sequence) {
            return;
        }
        applyReply(peer->second, *reply, sentAt);
    }
    // The age is subtracted from the send time of the request, which is earlier than the reply, so that the
    // view never counts as more recent than it is.
    if (reply->position.viewAgeMs >= 0) {
        m_dependencies.replica->applyForwarded(reply->entries, reply->position.nextOffset, sentAt - std::chrono::milliseconds(reply->position.viewAgeMs));
    }
    applyLoans(steadyNow());
}

void PeerController::applyReply(Peer &peer, const PeerReply &reply, SteadyTime sentAt)
{
    peer.lastContactAt = sentAt;
    peer.position = reply.position;
    if (!reply.load.empty()) {
        peer.load = reply.load.front();
    }
    for (const LoanGrant &grant : reply.grants) {
        const auto retained = peer.retainedAtSend.find(grant.team);
        if (retained != peer.retainedAtSend.end()) {
            m_borrowedQuota.confirm(peer.endpoint.node, grant, retained->second, sentAt);
        }
    }
}

PeerPosition PeerController::position(SteadyTime now) const
{
    return {m_dependencies.replica->nextOffset(), ageMs(m_dependencies.replica->confirmedAt(), now), ageMs(m_dependencies.replica->lastReadAt(), now)};
}

PeerLoad PeerController::load() const
{
    PeerLoad load;
    load.demand = m_reportedDemand;
    for (const auto &[team, entry] : m_dependencies.admission->teams()) {
        const std::int64_t unusedOwn = entry.limits.held - entry.limits.lent - entry.limits.running;
        const std::int64_t spare = unusedOwn - (entry.waiting > 0 ? 1 : 0);
        if (spare > 0) {
            load.sparePermits[team] = spare;
        }
    }
    return load;
}

std::string PeerController::onRequest(const Incarnation &from, const std::string &body)
{
    const std::optional<PeerRequest> request = decodePeerRequest(body);
    PeerReply reply;
    if (!request) {
        return encode(reply);
    }
    reply.sequence = request->sequence;
    reply.grants = grantLoans(from, *request);
    addLoadWhenDue(from, reply);
    reply.entries = m_dependencies.replica->recentEntries(request->position.nextOffset, MaxRelayBytes);
    reply.position = position(steadyNow());
    return encode(reply);
}

PeerView PeerController::view() const
{
    const std::lock_guard lock(m_viewMutex);
    return m_view;
}

void PeerController::updateView(SteadyTime now)
{
    const std::lock_guard lock(m_mutex);
    PeerView view;
    view.members = static_cast<int>(m_peers.size());
    for (const auto &[name, peer] : m_peers) {
        if (peer.lastContactAt == SteadyTime() || now - peer.lastContactAt > ReachableTimeout) {
            continue;
        }
        view.reachable += 1;
        const std::int64_t logAgeMs = peer.position.logReadAgeMs < 0 ? -1 : peer.position.logReadAgeMs + ageMs(peer.lastContactAt, now);
        view.readingLog += logAgeMs >= 0 && logAgeMs <= MaxViewAge.count() ? 1 : 0;
    }
    const std::lock_guard viewLock(m_viewMutex);
    m_view = view;
}

std::map<std::string, Offset> PeerController::offsets(SteadyTime now) const
{
    const std::lock_guard lock(m_mutex);
    std::map<std::string, Offset> result;
    for (const auto &[name, peer] : m_peers) {
        if (peer.lastContactAt != SteadyTime() && now - peer.lastContactAt <= ReachableTimeout) {
            result[name] = peer.position.nextOffset;
        }
    }
    return result;
}

bool PeerController::isMajorityReachable() const
{
    const PeerView current = view();
    return 2 * (current.reachable + 1) > current.members + 1;
}

// Only a node that reaches a majority proposes removals, so that a minority that is cut off from the
// others removes no node. The first reachable node by name proposes, to avoid duplicate records.
void PeerController::removeUnreachableNodes(SteadyTime now)
{
    std::vector<Incarnation> unreachable;
    bool isFirstReachable = true;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[name, peer] : m_peers) {
            const SteadyTime lastHeardAt = std::max(peer.lastContactAt, peer.knownSince);
            if (now - lastHeardAt > UnreachableRemovalTimeout) {
                unreachable.push_back(peer.endpoint.node);
            } else if (name < m_dependencies.self.name) {
                isFirstReachable = false;
            }
        }
    }
    if (unreachable.empty() || !isFirstReachable || !isMajorityReachable() || !m_dependencies.mayAcceptWork()) {
        return;
    }
    for (const Incarnation &node : unreachable) {
        m_proposedRemovalsTotal.increment();
        logChange("peers", "removing an unreachable node", {{"node", node.name}, {"incarnation", std::to_string(node.number)}});
        m_dependencies.replica->propose(
            NodeRemoved{node.name, node.number}, m_dependencies.self.name, "not heard by most nodes", steadyNow() + RemovalRecordTimeout);
    }
}

}
