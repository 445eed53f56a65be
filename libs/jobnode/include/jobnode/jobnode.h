#pragma once

#include "jobnode/fleetkeeper.h"
#include "jobnode/jobcall.h"
#include "jobnode/ownershipview.h"
#include "jobnode/ports.h"
#include "scheduling/scheduler.h"
#include "telemetry/metrics.h"
#include "transport/address.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace Cornelquay {

/** What tells one node from the others. */
struct JobNodeSettings {
    std::string name;
    /** Where other nodes hand in calls. */
    Address peerAddress;
    /** Shared by all nodes. */
    std::string peerSecret;
    /** The node's share of a core; of nodes that would take over, the strongest goes first. */
    double cpuShare = 1.0;
    SchedulerTimes times;
    OwnershipTimes ownership;
    InstanceTimes instanceTimes;
};

/**
 * One node of a fleet of equals. Answers callers itself while it owns the jobs, and hands their
 * calls to the owner otherwise; takes over when the owner is silent. Lives on the io_context's
 * thread.
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
    void start();
    /** Lets the ownership go; calls @p onDone when another node may take over. Calls are still handed on. */
    void release(std::function<void()> onDone);
    void stop();
    void setConfiguration(std::shared_ptr<const NodeConfiguration> configuration);
    /** A wave of maintenance that the operators ask for; repeats are ignored. */
    void addWave(const WaveSpec &spec);
    void handle(const JobCall &call, const Responder &respond);

    // Queries.
    bool isBound() const;
    std::uint16_t peerPort() const;
    bool isOwner() const;
    /** Some owner is known, or this node is it. */
    bool knowsOwner() const;
    std::shared_ptr<const NodeConfiguration> configuration() const;

    struct Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

}
