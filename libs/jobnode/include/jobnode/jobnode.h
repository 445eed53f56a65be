#pragma once

#include "jobnode/fleetcontroller.h"
#include "jobnode/jobcall.h"
#include "jobnode/jobexplanation.h"
#include "jobnode/ownershipview.h"
#include "jobnode/ports.h"
#include "memorybudget/memorybudget.h"
#include "scheduling/scheduler.h"
#include "telemetry/metrics.h"
#include "transport/address.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace Cornelquay {

/** The settings of one node. */
struct JobNodeSettings {
    /** Unique among the nodes; kept across restarts. */
    std::string name;
    /** Where the node listens for calls that other nodes forward. */
    Address peerAddress;
    /** Authenticates nodes to each other; the same for all of them. */
    std::string peerSecret;
    /** Cpu that the node may use, in cores. Nodes with more cpu claim the ownership earlier. */
    double cpuShare = 1.0;
    SchedulerTimes schedulerTimes;
    SchedulerOptions schedulerOptions;
    OwnershipTimes ownershipTimes;
    InstanceTimes instanceTimes;
    /** Charged with the calls that other nodes forward until they are answered; null for no limit. */
    std::shared_ptr<MemoryBudget> budget;
};

/**
 * One of several equal nodes. Answers calls itself while it owns the jobs and forwards them to the
 * owner otherwise; takes over the ownership when the owner stops writing heartbeats or releases it.
 * Must be used on the io_context's thread; handlers run there.
 *
 * @code
 * JobNode node(io, settings, store, workers, registry, instances, metrics);
 * node.start();
 * node.setConfiguration(configuration);
 * node.handle(call, [](JobAnswer answer) { ... });
 * @endcode
 */
class JobNode
{
public:
    using Responder = std::function<void(JobAnswer answer)>;

    JobNode(
        asio::io_context &io, JobNodeSettings settings, StorePort store, WorkerPort workers, RegistryPort registry, InstancePort instances, Metrics &metrics);
    ~JobNode();
    JobNode(const JobNode &) = delete;
    JobNode &operator=(const JobNode &) = delete;

    // Commands.
    /** Connects to other nodes and follows the ownership log; the node claims ownership only once it has a configuration. */
    void start();
    /**
     * Releases the ownership and makes no further claim; calls are still forwarded. Calls @p onDone once the release is stored
     * or all attempts to store it have failed; at once if this node is not the owner.
     */
    void release(std::function<void()> onDone);
    /** Ends all activity without a release; calls that wait for the store are answered as unknown. */
    void stop();
    /** @p configuration must not be null. */
    void setConfiguration(std::shared_ptr<const NodeConfiguration> configuration);
    /** Adds a wave of maintenance that the operators requested; ignored if the wave is known. */
    void addWave(const WaveSpec &spec);
    /**
     * The operators' records evacuate @p zones, by the read whose request was sent at @p readAt. Call it after each read, also
     * if nothing changed: an owner places nothing until the set was read during its ownership, or for 3 s.
     */
    void setEvacuatedZones(const std::set<std::string> &zones, BootTime readAt);
    /** Sets a function that requests the set of evacuated zones to be read at once; it is called when this node becomes the owner. */
    void setEvacuationReader(std::function<void()> readNow);
    /** Carries out or forwards @p call and calls @p respond once with the answer. */
    void handle(const JobCall &call, const Responder &respond);

    // Queries.
    /** Whether the node listens at its peer address. */
    bool isBound() const;
    /** The port on which the node listens; chosen by the system if the settings have port 0. */
    std::uint16_t peerPort() const;
    bool isOwner() const;
    /** Whether this node owns the jobs or knows another node that does. */
    bool knowsOwner() const;
    /** What this node knows of the ownership and of the operators' records, and how old that is. */
    NodeKnowledge knowledge(BootTime now) const;
    /** The configuration that was last set; null before. */
    std::shared_ptr<const NodeConfiguration> configuration() const;

    struct Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

}
