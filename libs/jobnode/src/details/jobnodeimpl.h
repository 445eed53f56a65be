#pragma once

#include "jobnode/jobnode.h"

#include "jobnode/reign.h"
#include "peering/peermesh.h"
#include "telemetry/log.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

namespace Cornelquay {

/** A node that handed on a call to the owner. */
struct CallingNode {
    /** Wall-clock milliseconds when its process began. */
    std::uint64_t startedMs = 0;
    /** Thousandths of a core. */
    std::uint32_t strength = 0;
    BootTime heardAt{};
};

struct JobNode::Impl : public std::enable_shared_from_this<JobNode::Impl> {
    Impl(asio::io_context &givenIo,
         JobNodeSettings givenSettings,
         StorePort givenStore,
         WorkerPort givenWorkers,
         RegistryPort givenRegistry,
         InstancePort givenInstances,
         Metrics &givenMetrics)
        : io(givenIo)
        , settings(std::move(givenSettings))
        , store(std::move(givenStore))
        , workers(std::move(givenWorkers))
        , registry(std::move(givenRegistry))
        , instances(std::move(givenInstances))
        , metrics(givenMetrics)
        , life(toUnixMilliseconds(wallNow()))
        , view(settings.ownership, claimDelayOf(settings), settings.name)
        , timer(givenIo)
        , heartbeatTimer(givenIo)
        , adviceTimer(givenIo)
        , takeoversTotal(givenMetrics.counter("takeovers_total", "Times that this node became the owner of the jobs"))
        , handedOnTotal(givenMetrics.counter("calls_handed_on_total", "Calls handed to the owner of the jobs"))
        , owning(givenMetrics.gauge("owner", "1 while this node owns the jobs"))
    {
    }

    asio::io_context &io;
    const JobNodeSettings settings;
    StorePort store;
    WorkerPort workers;
    RegistryPort registry;
    InstancePort instances;
    std::map<std::uint64_t, std::pair<WaveSpec, BootTime>> waves;
    Metrics &metrics;
    const std::int64_t life;
    OwnershipView view;
    asio::steady_timer timer;
    asio::steady_timer heartbeatTimer;
    asio::steady_timer adviceTimer;
    Counter takeoversTotal;
    Counter handedOnTotal;
    Gauge owning;
    std::unique_ptr<PeerMesh> mesh;
    std::shared_ptr<Reign> reign;
    std::shared_ptr<const NodeConfiguration> configuration;
    std::optional<PeerEndpoint> dialled;
    /** The owner before this node's claim. */
    std::optional<OwnershipRecord> predecessor;
    BootTime predecessorHeardAt{};
    /** Workers that successors may take for silent. */
    std::map<WorkerId, std::int64_t> published;
    /** Nodes that handed on calls to this owner, by name. */
    std::map<std::string, CallingNode> callingNodes;
    /** Of the reign that was ended last. */
    std::map<InstanceId, std::int64_t> recentOrders;
    /** The latest epoch of this life that is over. */
    std::uint64_t endedEpoch = 0;
    bool claiming = false;
    bool heartbeatInFlight = false;
    /** The next heartbeat follows the present one at once. */
    bool heartbeatWanted = false;
    bool releasing = false;
    bool stopped = false;

    void build();
    /** A claim waits this long, so that those of several nodes do not meet. */
    static std::chrono::milliseconds claimDelayOf(const JobNodeSettings &settings);
    void again(std::chrono::milliseconds delay, std::function<void()> action);
    void readNewest();
    void follow();
    /** Takes in what a read of the ownership log that is sent now answers, and reads on. */
    std::function<void(const tl::expected<OwnershipPage, StoreFailure> &)> onOwnershipPage();
    void notePage(const OwnershipPage &page, BootTime sentAt);
    void claimIfDue();
    void claim();
    void beginReign(std::uint64_t offset);
    void endReign(const std::string &reason);
    void heartbeatIn(std::chrono::milliseconds delay);
    void heartbeat();
    void noteHeartbeat(const OwnershipRecord &record, BootTime sentAt, const tl::expected<std::uint64_t, StoreFailure> &offset);
    void storeRelease(const OwnershipRecord &record, int triesLeft, const std::function<void()> &onDone);
    OwnershipRecord ownRecord() const;
    /** The node that is to own the jobs after this one; empty if none is known. */
    std::string chooseSuccessor() const;
    PredecessorLeases predecessorLeases() const;
    InstanceHandOver instanceHandOver() const;
    /** The former owner was an earlier life of this node, which is over. */
    bool isFormerSelf(const OwnershipRecord &record) const;
    bool isOwn(const OwnershipRecord &record) const;
    void dialOwner();
    void handle(const JobCall &call, const Responder &respond);
    void handOn(const JobCall &call, const Responder &respond);
    bool needsAdvice() const;
    void offerAdviceIn(std::chrono::milliseconds delay, AdviceReport report);
    /** Asks the advice service for the owner, as long as some queue needs it. */
    void offerAdvice(AdviceReport report);
};

}
