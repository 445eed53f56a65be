#include "details/peerkeeper.h"

#include "telemetry/log.h"

#include <algorithm>
#include <cmath>

namespace Cornelquay::Details {

namespace {

using namespace std::chrono_literals;

constexpr auto Tick = 50ms;
/** Between exchanges when nothing is needed. */
constexpr auto ExchangeInterval = 1000ms;
/** Between exchanges while work waits for a permit. */
constexpr auto UrgentInterval = 200ms;
constexpr auto ExchangeTimeout = 800ms;
/** What loads may take of a node's 9 KB/s for control; positions and loans take the rest. */
constexpr double LoadBytesPerSecond = 5000;
constexpr auto LoadIntervalLeast = 150ms;
/** A node heard within this time counts as reachable. */
constexpr auto ReachableAge = 3000ms;
/** A node not heard for this long is proposed for removal. */
constexpr auto RemovalAge = 10s;
constexpr auto RemovalTimeout = 3s;
/** The lender keeps this part of its spare permits for itself: one of so many. */
constexpr std::int64_t LenderReserve = 4;
/** Parts below one slot go to another node after this time. */
constexpr std::int64_t RoundMilliseconds = 1000;
constexpr double SlotAllowance = 1.15;
constexpr std::size_t RelayBytesMax = 64ULL * 1024;

std::int64_t ageIn(SteadyTime time, SteadyTime now)
{
    return time == SteadyTime() ? -1 : std::chrono::duration_cast<std::chrono::milliseconds>(now - time).count();
}

std::vector<RelayedEntry> toRelayed(const std::vector<LogEntry> &entries)
{
    std::vector<RelayedEntry> result;
    result.reserve(entries.size());
    for (const LogEntry &entry : entries) {
        result.push_back({entry.offset, entry.appendedAt, entry.bytes});
    }
    return result;
}

std::int64_t waitingOf(const std::map<std::string, TeamLoad> &teams, const std::string &team)
{
    const auto found = teams.find(team);
    return found == teams.end() ? 0 : static_cast<std::int64_t>(found->second.waiting);
}

std::int64_t countOf(const std::map<std::string, std::int64_t> &counts, const std::string &team)
{
    const auto found = counts.find(team);
    return found == counts.end() ? 0 : found->second;
}

std::map<std::string, TeamDemand> toTeamDemand(const std::map<std::string, PeerDemand> &teams)
{
    std::map<std::string, TeamDemand> result;
    for (const auto &[team, tasks] : teams) {
        result[team] = {tasks.running, tasks.waiting};
    }
    return result;
}

std::vector<LogEntry> toLogEntries(const std::vector<RelayedEntry> &entries)
{
    std::vector<LogEntry> result;
    result.reserve(entries.size());
    for (const RelayedEntry &entry : entries) {
        result.push_back({entry.offset, entry.appendedAt, entry.bytes});
    }
    return result;
}

}

PeerKeeper::PeerKeeper(PeerKeeperServices services)
    : m_services(std::move(services))
    , m_grantedTotal(m_services.metrics->counter("loans_granted_total", "Permits lent to other nodes"))
    , m_removalsTotal(m_services.metrics->counter("node_removals_proposed_total", "Removals of silent nodes proposed"))
    , m_bytesGauge(m_services.metrics->gauge("peer_bytes", "Bytes exchanged with other nodes"))
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
    m_thread = std::thread([this] {
        run();
    });
}

void PeerKeeper::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wakeUp.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
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
    m_wakeUp.notify_all();
}

void PeerKeeper::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        lock.unlock();
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
        lock.lock();
        m_wakeUp.wait_for(lock, Tick);
    }
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

// Gives back what is not used and asks for what is short.
std::vector<LoanAsk> PeerKeeper::asksTo(Peer &peer, const std::map<std::string, TeamLoad> &teams)
{
    std::vector<LoanAsk> asks;
    for (const auto &[team, load] : teams) {
        const LoanKey key{peer.endpoint.node, team};
        const std::int64_t keptBefore = m_borrowed.kept(key);
        const std::int64_t available = load.limits.held + load.limits.borrowed - load.limits.lent - load.limits.running;
        const bool unused = load.waiting == 0 && available > 0;
        if (keptBefore > 0 && (unused || m_borrowed.recalled(key) > 0)) {
            returnLoan(key, unused);
        }
        const auto spare = peer.load.spare.find(team);
        const bool short_ = load.waiting > 0 && available <= 0 && spare != peer.load.spare.end();
        const std::int64_t wanted = short_ ? std::min<std::int64_t>(static_cast<std::int64_t>(load.waiting), spare->second) : 0;
        const std::int64_t kept = m_borrowed.kept(key);
        if (kept > 0 || wanted > 0 || keptBefore > 0) {
            asks.push_back({team, kept, wanted});
        }
    }
    return asks;
}

// The permits are withheld here before the lender may use them again.
void PeerKeeper::returnLoan(const LoanKey &key, bool unused)
{
    m_services.admission->changeLimits([&](TeamLimits &limits) {
        const std::int64_t recalled = m_borrowed.recalled(key);
        // What is recalled is not counted as available, so it may be returned on top of that.
        const std::int64_t free = limits.available(key.team, steadyNow()) + recalled;
        const std::int64_t returned = m_borrowed.giveBack(key, std::max<std::int64_t>(0, unused ? free : std::min(free, recalled)));
        limits.setBorrowed(key.team, limits.status(steadyNow())[key.team].borrowed - returned);
        limits.setRecalled(key.team, m_borrowed.recalled()[key.team]);
    });
}

void PeerKeeper::onReply(const std::string &name, std::uint64_t sequence, SteadyTime sentAt, const std::optional<std::string> &body)
{
    const std::optional<PeerReply> reply = body ? decodePeerReply(*body) : std::nullopt;
    std::vector<LogEntry> entries;
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
        entries = toLogEntries(reply->entries);
    }
    if (reply->position.viewAge >= 0) {
        m_services.replica->relay(entries, reply->position.next, sentAt - std::chrono::milliseconds(reply->position.viewAge));
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
    reply.entries = toRelayed(m_services.replica->recentEntries(request->position.next, RelayBytesMax));
    reply.position = position(steadyNow());
    return encode(reply);
}

// A load goes out as often as its size allows within the bytes that control may take.
void PeerKeeper::addLoadIfDue(const Incarnation &from, PeerReply &reply)
{
    const SteadyTime now = steadyNow();
    const std::lock_guard lock(m_mutex);
    const auto peer = m_peers.find(from.name);
    if (peer == m_peers.end() || now < peer->second.loadDueAt) {
        return;
    }
    reply.load.push_back(load());
    // Each load is sent to every peer, and one as large comes from each.
    const double bytes = 2.0 * static_cast<double>(encode(reply).size()) * static_cast<double>(m_peers.size());
    const auto paced = std::chrono::milliseconds(static_cast<std::int64_t>(bytes / LoadBytesPerSecond * 1000));
    peer->second.loadDueAt = now + std::max<std::chrono::milliseconds>(LoadIntervalLeast, paced);
}

std::vector<LoanGrant> PeerKeeper::lend(const Incarnation &from, const PeerRequest &request)
{
    std::vector<LoanGrant> grants;
    bool present = false;
    m_services.replica->query([&](const FleetState &state) {
        present = isPresent(state, from) && isPresent(state, m_services.self);
    });
    const bool mayLend = present && m_services.mayAcceptWork();
    const std::map<std::string, TeamLoad> teams = m_services.admission->teams();
    const SteadyTime now = steadyNow();
    const std::lock_guard lock(m_mutex);
    for (const LoanAsk &ask : request.asks) {
        m_services.admission->changeLimits([&](TeamLimits &limits) {
            const TeamLimitStatus status = limits.status(now)[ask.team];
            // Only this node's own part is lent on, never what it has borrowed itself.
            const std::int64_t own = status.held - status.lent - status.running;
            const std::int64_t reserve = std::max<std::int64_t>(waitingOf(teams, ask.team) > 0 ? 1 : 0, own / LenderReserve);
            const std::int64_t spare = mayLend ? own - reserve : 0;
            LoanGrant grant = m_lent.update(from, ask, request.sequence, spare, now);
            limits.setLent(ask.team, m_lent.lent(now)[ask.team]);
            if (own <= 0) {
                const std::int64_t waiting = waitingOf(teams, ask.team);
                grant.recalled = std::min(waiting, m_lent.lentTo(from, ask.team));
            }
            m_grantedTotal.increment(static_cast<double>(grant.granted));
            grants.push_back(grant);
        });
    }
    return grants;
}

void PeerKeeper::applyLoans(SteadyTime now)
{
    const std::lock_guard lock(m_mutex);
    m_services.admission->changeLimits([&](TeamLimits &limits) {
        const std::map<std::string, std::int64_t> borrowed = m_borrowed.usable(now);
        const std::map<std::string, std::int64_t> lent = m_lent.lent(now);
        const std::map<std::string, std::int64_t> recalled = m_borrowed.recalled();
        for (const auto &[team, status] : limits.status(now)) {
            limits.setBorrowed(team, countOf(borrowed, team));
            limits.setLent(team, countOf(lent, team));
            limits.setRecalled(team, countOf(recalled, team));
        }
    });
}

// All nodes divide each full pool in the same way, from the same reports.
void PeerKeeper::applyParts(SteadyTime now)
{
    std::map<std::string, double> shares;
    m_services.replica->query([&](const FleetState &state) {
        for (const auto &[name, team] : state.parsed->teams) {
            shares[name] = team.share;
        }
    });
    const auto round = static_cast<std::uint64_t>(toUnixMilliseconds(wallNow()) / RoundMilliseconds);
    for (const auto &[pool, teams] : m_services.admission->demand()) {
        // Slots between two tasks are idle for a moment; the allowance keeps the pool full.
        const auto slots = static_cast<std::int64_t>(std::ceil(static_cast<double>(m_services.slotsOf(pool)) * SlotAllowance));
        PoolDemand demand{slots, {}};
        std::map<std::string, std::int64_t> remoteRunning;
        addDemand(pool, now, demand, remoteRunning);
        m_services.admission->setPoolParts(pool, remoteRunning, fairParts(demand, shares, m_services.self.name, round));
    }
}

void PeerKeeper::addDemand(const std::string &pool, SteadyTime now, PoolDemand &demand, std::map<std::string, std::int64_t> &remoteRunning) const
{
    const std::lock_guard lock(m_mutex);
    if (const auto own = m_reported.find(pool); own != m_reported.end()) {
        demand.nodes.push_back({m_services.self.name, toTeamDemand(own->second)});
    }
    for (const auto &[name, peer] : m_peers) {
        const auto teams = peer.load.demand.find(pool);
        const bool heard = peer.heardAt != SteadyTime() && now - peer.heardAt <= ReachableAge;
        if (!heard || teams == peer.load.demand.end()) {
            continue;
        }
        for (const auto &[team, tasks] : teams->second) {
            remoteRunning[team] += tasks.running;
        }
        demand.nodes.push_back({name, toTeamDemand(teams->second)});
    }
}

PeerView PeerKeeper::view() const
{
    const std::lock_guard lock(m_viewMutex);
    return m_view;
}

// What others are told is also what this node computes its own parts from, so that all agree.
void PeerKeeper::updateReport(SteadyTime now)
{
    std::map<std::string, std::map<std::string, PeerDemand>> report;
    for (const auto &[pool, teams] : m_services.admission->demand()) {
        for (const auto &[team, tasks] : teams) {
            report[pool][team] = {tasks.running, tasks.waiting};
        }
    }
    const std::lock_guard lock(m_mutex);
    if (now >= m_reportDueAt) {
        m_reported = std::move(report);
        m_reportDueAt = now + ExchangeInterval;
    }
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
