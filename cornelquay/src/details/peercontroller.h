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

/** A node counts as reachable for this time after the sending of the last request that it answered. */
constexpr std::chrono::milliseconds ReachableTimeout{3000};

/** Objects and functions of the node that the PeerController uses. The pointers outlive it. */
struct PeerControllerDependencies {
    Replica *replica = nullptr;
    Admission *admission = nullptr;
    Metrics *metrics = nullptr;
    Incarnation self;
    Address address;
    /** Secret shared by all nodes. */
    std::string secret;
    /** Number of tasks that the instances of a pool can run concurrently. */
    std::function<std::int64_t(const std::string &pool)> slotCount;
    /** Whether pools are shared fairly among teams over all nodes; false only for comparison. */
    bool isFairShareFleetWide = true;
    /**
     * Whether this node was not removed and the state of its view allows ViewAction::AcceptWork; lending
     * and proposing removals require it as well.
     */
    std::function<bool()> mayAcceptWork;
};

/**
 * Exchanges log positions, loads and loans of quota with all other present nodes, and proposes the
 * removal of nodes that have become unreachable.
 *
 * Created once per node. An exchange is one request to another node and its reply. At most one exchange
 * with each node is in progress; exchanges take place every second, or every 200 ms while work of a team
 * waits and this node has no free permit for the team. Thread-safe. Lock order: m_mutex, the mutex of the
 * admission, m_viewMutex. view() locks only m_viewMutex, because the gate of the admission calls it.
 */
class PeerController
{
public:
    explicit PeerController(PeerControllerDependencies dependencies);
    ~PeerController();
    PeerController(const PeerController &) = delete;
    PeerController &operator=(const PeerController &) = delete;

    // Commands.
    void start();
    void stop();
    /** Updates the set of nodes to dial from the fleet state. */
    void refreshPeers();
    /** Starts the next exchange with each node without waiting for the interval. */
    void exchangeNow();

    // Queries.
    /** Whether the address could be bound. */
    bool isBound() const;
    std::uint16_t port() const;
    /** How many nodes are reachable, and how many of them read the log. Updated in each cycle. */
    PeerView view() const;
    /** Next offset to fold of each reachable node, by name. */
    std::map<std::string, Offset> offsets(SteadyTime now) const;
    /** Bytes sent to and received from other nodes so far. */
    std::uint64_t bytes() const;

private:
    /** The state kept for another node. */
    struct Peer {
        PeerEndpoint endpoint;
        SteadyTime knownSince;
        /** Send time of the last request that was answered. */
        SteadyTime lastContactAt;
        SteadyTime lastRequestAt;
        SteadyTime exchangeDueAt;
        /** When this node's load is next included in a reply to the peer. */
        SteadyTime loadDueAt;
        bool exchangeInProgress = false;
        /** Number of the last request to the peer. */
        std::uint64_t sequence = 0;
        /** Borrowed permits that the last request reported as retained, by team. */
        std::map<std::string, std::int64_t> retainedAtSend;
        PeerPosition position;
        PeerLoad load;
    };

    void runCycle();
    void exchangeWithDuePeers(SteadyTime now);
    void sendTo(Peer &peer, const std::map<std::string, TeamLoad> &teams, SteadyTime now);
    std::vector<LoanRequest> loanRequestsFor(Peer &peer, const std::map<std::string, TeamLoad> &teams);
    void returnLoan(const LoanKey &key, bool unused);
    void onReply(const std::string &name, std::uint64_t sequence, SteadyTime sentAt, const std::optional<std::string> &body);
    void applyReply(Peer &peer, const PeerReply &reply, SteadyTime sentAt);
    std::string onRequest(const Incarnation &from, const std::string &body);
    std::vector<LoanGrant> grantLoans(const Incarnation &from, const PeerRequest &request);
    PeerPosition position(SteadyTime now) const;
    PeerLoad load() const;
    void addLoadWhenDue(const Incarnation &from, PeerReply &reply);
    void applyLoans(SteadyTime now);
    void applyPoolQuotas(SteadyTime now);
    void addDemand(const std::string &pool, SteadyTime now, PoolDemand &demand, std::map<std::string, std::int64_t> &remoteRunning) const;
    void updateView(SteadyTime now);
    void updateReport(SteadyTime now);
    void removeUnreachableNodes(SteadyTime now);
    bool isMajorityReachable() const;

    const PeerControllerDependencies m_dependencies;
    std::unique_ptr<PeerMesh> m_mesh;
    mutable std::mutex m_mutex;
    mutable std::mutex m_viewMutex;
    PeerView m_view;
    std::map<std::string, Peer> m_peers;
    /** This node's demand as last reported to other nodes, by pool and team. */
    std::map<std::string, std::map<std::string, PeerDemand>> m_reportedDemand;
    SteadyTime m_demandReportDueAt;
    LentQuota m_lentQuota;
    BorrowedQuota m_borrowedQuota;
    Counter m_grantedLoansTotal;
    Counter m_proposedRemovalsTotal;
    Gauge m_bytesGauge;
    PeriodicTask m_task;
};

}
