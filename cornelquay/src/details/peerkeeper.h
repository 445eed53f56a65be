#pragma once

#include "admission/admission.h"
#include "details/loans.h"
#include "details/peermessages.h"
#include "details/periodictask.h"
#include "details/viewpolicy.h"
#include "peering/peermesh.h"
#include "replica/replica.h"

#include <map>
#include <mutex>

namespace Cornelquay::Details {

/** A node heard within this time counts as reachable. */
constexpr std::chrono::milliseconds ReachableAge{3000};

/** What the keeper needs from the node. */
struct PeerKeeperServices {
    Replica *replica = nullptr;
    Admission *admission = nullptr;
    Metrics *metrics = nullptr;
    Incarnation self;
    Address address;
    std::string secret;
    /** Tasks that the instances of a pool run at once. */
    std::function<std::int64_t(const std::string &pool)> slotsOf;
    /** Whether teams' shares count over all nodes; false only for comparison. */
    bool sharesFleetWide = true;
    /** Whether this node's view allows starting work, and so lending. */
    std::function<bool()> mayAcceptWork;
};

/**
 * Talks to all other present nodes: about positions in the log, loads, and loans of team limits;
 * and proposes the removal of nodes that most nodes no longer hear.
 *
 * Created once per node. One exchange with each node is under way at most; an exchange comes every
 * second, or sooner while work waits for a permit that another node may have. Lock order: this
 * object's mutex, the admission's, then that of view(), which the admission's gate asks.
 */
class PeerKeeper
{
public:
    explicit PeerKeeper(PeerKeeperServices services);
    ~PeerKeeper();
    PeerKeeper(const PeerKeeper &) = delete;
    PeerKeeper &operator=(const PeerKeeper &) = delete;

    // Commands.
    void start();
    void stop();
    /** Brings the nodes to dial up to date with the fleet's state. */
    void refreshPeers();
    /** Makes the next exchange with every node due now. */
    void hasten();

    // Queries.
    bool isBound() const;
    std::uint16_t port() const;
    /** What other nodes say about the log. */
    PeerView view() const;
    /** Next offsets of the nodes heard lately, by name. */
    std::map<std::string, Offset> offsets(SteadyTime now) const;
    std::uint64_t bytes() const;

private:
    /** One other node. */
    struct Peer {
        PeerEndpoint endpoint;
        SteadyTime knownSince;
        /** When the last answered exchange was sent. */
        SteadyTime heardAt;
        SteadyTime lastSentAt;
        SteadyTime dueAt;
        /** When this node's load is next told to the other. */
        SteadyTime loadDueAt;
        bool underWay = false;
        std::uint64_t sequence = 0;
        std::map<std::string, std::int64_t> keptAtSend;
        PeerPosition position;
        PeerLoad load;
    };

    void work();
    void exchangeWithDue(SteadyTime now);
    void sendTo(Peer &peer, const std::map<std::string, TeamLoad> &teams, SteadyTime now);
    std::vector<LoanAsk> asksTo(Peer &peer, const std::map<std::string, TeamLoad> &teams);
    void returnLoan(const LoanKey &key, bool unused);
    void onReply(const std::string &name, std::uint64_t sequence, SteadyTime sentAt, const std::optional<std::string> &body);
    void takeIn(Peer &peer, const PeerReply &reply, SteadyTime sentAt);
    std::string answer(const Incarnation &from, const std::string &body);
    std::vector<LoanGrant> lend(const Incarnation &from, const PeerRequest &request);
    PeerPosition position(SteadyTime now) const;
    PeerLoad load() const;
    void addLoadIfDue(const Incarnation &from, PeerReply &reply);
    void applyLoans(SteadyTime now);
    void applyParts(SteadyTime now);
    void addDemand(const std::string &pool, SteadyTime now, PoolDemand &demand, std::map<std::string, std::int64_t> &remoteRunning) const;
    void updateView(SteadyTime now);
    void updateReport(SteadyTime now);
    void removeSilent(SteadyTime now);
    bool isMajorityHeard() const;

    const PeerKeeperServices m_services;
    std::unique_ptr<PeerMesh> m_mesh;
    mutable std::mutex m_mutex;
    mutable std::mutex m_viewMutex;
    PeerView m_view;
    std::map<std::string, Peer> m_peers;
    /** This node's demand as told to others, by pool and team. */
    std::map<std::string, std::map<std::string, PeerDemand>> m_reported;
    SteadyTime m_reportDueAt;
    LentParts m_lent;
    BorrowedParts m_borrowed;
    Counter m_grantedTotal;
    Counter m_removalsTotal;
    Gauge m_bytesGauge;
    PeriodicTask m_task;
};

}
