#pragma once

#include "jobnode/jobnode.h"

#include "jobnode/jobowner.h"
#include "peering/peermesh.h"
#include "telemetry/log.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

namespace Cornelquay {

/** A node that has forwarded a call to the owner. */
struct ForwardingNode {
    /** Start time of its process, in wall-clock milliseconds since 1970. */
    std::uint64_t startedMs = 0;
    /** Its cpu, in thousandths of a core. */
    std::uint32_t cpuMillicores = 0;
    BootTime lastCallAt{};
};

struct JobNode::Impl : public std::enable_shared_from_this<JobNode::Impl> {
    Impl(asio::io_context &ioContext,
         JobNodeSettings nodeSettings,
         StorePort storePort,
         WorkerPort workerPort,
         RegistryPort registryPort,
         InstancePort instancePort,
         Metrics &metricsRegistry)
        : io(ioContext)
        , settings(std::move(nodeSettings))
        , store(std::move(storePort))
        , workers(std::move(workerPort))
        , registry(std::move(registryPort))
        , instances(std::move(instancePort))
        , metrics(metricsRegistry)
        , incarnation(toUnixMilliseconds(wallNow()))
        , view(settings.ownershipTimes, claimDelay(settings.cpuShare, settings.name), settings.name)
        , timer(ioContext)
        , heartbeatTimer(ioContext)
        , adviceTimer(ioContext)
        , announcementTimer(ioContext)
        , takeoversTotal(metricsRegistry.counter("takeovers_total", "Times that this node became the owner of the jobs"))
        , forwardedTotal(metricsRegistry.counter("calls_handed_on_total", "Calls forwarded to the owner of the jobs"))
        , forwardedRefusedTotal(
              metricsRegistry.counter("forwarded_calls_refused_total", "Calls of other nodes refused because those in progress take their part of the memory"))
        , ownerGauge(metricsRegistry.gauge("owner", "1 while this node owns the jobs"))
        , evacuatedZones(metricsRegistry.gauge("evacuated_zones", "Zones that the operators evacuate, as this node has read"))
    {
    }

    asio::io_context &io;
    const JobNodeSettings settings;
    StorePort store;
    WorkerPort workers;
    RegistryPort registry;
    InstancePort instances;
    /** Waves of maintenance by number, and when each was first seen. */
    std::map<std::uint64_t, std::pair<WaveSpec, BootTime>> waves;
    Metrics &metrics;
    /** Start time of this process, in wall-clock milliseconds since 1970. */
    const std::int64_t incarnation;
    OwnershipView view;
    /** For the next read of the ownership log after a failed one. */
    asio::steady_timer timer;
    /** While this node is the owner, for heartbeats; otherwise for repeated attempts to store a release and to check whether a claim is due. */
    asio::steady_timer heartbeatTimer;
    asio::steady_timer adviceTimer;
    asio::steady_timer announcementTimer;
    Counter takeoversTotal;
    Counter forwardedTotal;
    Counter forwardedRefusedTotal;
    Gauge ownerGauge;
    Gauge evacuatedZones;
    ZoneEvacuation evacuation;
    /** Requests a read of the evacuated zones; null if nothing reads them. */
    std::function<void()> readEvacuation;
    std::unique_ptr<PeerMesh> mesh;
    /** Null unless this node owns the jobs. */
    std::shared_ptr<JobOwner> jobOwner;
    std::shared_ptr<const NodeConfiguration> configuration;
    BootTime configurationSetAt{};
    /** The owner to which the mesh connects. */
    std::optional<PeerEndpoint> ownerEndpoint;
    /** The newest ownership record when this node made its latest claim. */
    std::optional<OwnershipRecord> predecessor;
    /** When this node read that record. */
    BootTime predecessorRecordAt{};
    /** Workers that a record in the ownership log lists, or may list, as unreachable. */
    std::map<WorkerId, std::int64_t> publishedUnreachable;
    /** Nodes that have forwarded calls to this node as the owner, by name. */
    std::map<std::string, ForwardingNode> forwardingNodes;
    /** Instances for which orders were given shortly before the latest release, and how long before, in milliseconds. */
    std::map<InstanceId, std::int64_t> recentOrders;
    /** The latest epoch in which this process was the owner and has ended; 0 for none. */
    std::uint64_t lastEndedEpoch = 0;
    /** End of the ownership log after the latest record that confirmed the present ownership. */
    std::uint64_t confirmedEndOffset = 0;
    /** When the first heartbeat after that record was sent. */
    std::optional<BootTime> unconfirmedSentAt;
    bool claiming = false;
    bool heartbeatInFlight = false;
    /** Another heartbeat must be sent as soon as the one in flight is answered. */
    bool heartbeatWanted = false;
    bool releasing = false;
    bool stopped = false;

    void build();
    void runAfter(std::chrono::milliseconds delay, std::function<void()> action);
    void readNewestOwnership();
    void followOwnership();
    /** Reads the newest ownership record once, beside the read that waits for the next one. */
    void rereadOwnership();
    /** The handler for a read of the ownership log; it applies the answer and continues to read. */
    std::function<void(const tl::expected<OwnershipPage, StoreFailure> &)> onOwnershipPage();
    void notePage(const OwnershipPage &page);
    void claimIfDue();
    void claim();
    /** Starts the ownership that follows from this node's record at @p offset of the ownership log; its epoch is @p offset + 1. */
    void beginOwnership(std::uint64_t offset);
    void endOwnership(const std::string &reason);
    void scheduleHeartbeat(std::chrono::milliseconds delay);
    void sendHeartbeat();
    void noteHeartbeat(const OwnershipRecord &record, BootTime sentAt, const tl::expected<std::uint64_t, StoreFailure> &offset);
    /** Stores @p record, with up to @p attemptsLeft attempts, and then calls @p onDone whether it is stored or not. */
    void storeRelease(const OwnershipRecord &record, int attemptsLeft, const std::function<void()> &onDone);
    OwnershipRecord ownRecord() const;
    /** The node that should own the jobs after this one; empty if none is known. */
    std::string chooseSuccessor() const;
    PredecessorLeases predecessorLeases() const;
    InstanceHandOver instanceHandOver() const;
    /** Whether @p record was written by an earlier process of this node. */
    bool isPreviousIncarnation(const OwnershipRecord &record) const;
    /** Whether @p record was written by this process. */
    bool isOwn(const OwnershipRecord &record) const;
    void dialOwner();
    void handle(const JobCall &call, const Responder &respond);
    /** Sends the call to the owner. If that node is not the owner and tells of a later one, that one is tried @p redirectsLeft times. */
    void forward(const JobCall &call, const Responder &respond, int redirectsLeft);
    void handleForwarded(const Incarnation &from, const JobCall &call, const Responder &respond);
    /** Tells the predecessor that this node owns the jobs, and repeats that while it fails. */
    void announceOwnership(int attemptsMade);
    void handleAnnouncement(const OwnerRoute &route);
    /** Whether @p route leads to this process. */
    bool isOwn(const OwnerRoute &route) const;
    bool needsAdvice() const;
    void scheduleAdviceOffer(std::chrono::milliseconds delay, AdviceReport report);
    /** Offers the owner to send its queries to the advice service, and repeats; waits while no queue uses the service. */
    void offerAdvice(AdviceReport report);
};

}
