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
constexpr std::chrono::milliseconds ReachableTimeout{3000};

/** What the keeper needs from the node. */
struct PeerControllerDependencies {
    Replica *replica = nullptr;
    Admission *admission = nullptr;
    Metrics *metrics = nullptr;
    Incarnation self;
    Address address;
    std::string secret;
    /** Tasks that the instances of a pool run at once. */
    std::function<std::int64_t(const std::string &pool)> slotCount;
    /** Whether teams' shares count over all nodes; false only for comparison. */
    bool isFairShareFleetWide = true;
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
    /** Brings the nodes to dial up to date with the fleet's state. */
    void refreshPeers();
    /** Makes the next exchange with every node due now. */
    void exchangeNow();

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
        SteadyTime lastContactAt;
        SteadyTime lastRequestAt;
        SteadyTime exchangeDueAt;
        /** When this node's load is next told to the other. */
        SteadyTime loadDueAt;
        bool exchangeInProgress = false;
        std::uint64_t sequence = 0;
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
    /** This node's demand as told to others, by pool and team. */
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
