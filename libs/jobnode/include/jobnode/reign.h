#pragma once

#include "jobnode/fleetkeeper.h"
#include "jobnode/jobcall.h"
#include "jobnode/ownershipview.h"
#include "jobnode/ports.h"
#include "scheduling/scheduler.h"
#include "telemetry/metrics.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>

namespace Cornelquay {

/** What an owner needs. */
struct ReignContext {
    asio::io_context &io;
    StorePort &store;
    WorkerPort &workers;
    RegistryPort &registry;
    InstancePort &instances;
    Metrics &metrics;
    SchedulerTimes times;
    OwnershipTimes ownership;
    InstanceTimes instanceTimes;
    /** Has the ownership record written at once; noteJobsPartition() says when it was. */
    std::function<void()> publish;
};

/** What an owner takes over from the one before it. */
struct Inheritance {
    PredecessorLeases leases;
    InstanceHandOver instances;
    /** Where the newest records of the jobs are. */
    StorePartition jobsPartition = 0;
};

/**
 * One node's ownership of all jobs, from the takeover to the end.
 *
 * Fences its predecessors, reads the stored jobs, and then drives the scheduler: stores its batches,
 * carries out its orders, and answers calls once what they ask for is stored. When the partition of
 * the jobs is away while the ownership log answers, all jobs are written to another partition. Orders leave only
 * while the latest success in the store is fresh, so that a node that was suspended or cut off does
 * not act after a successor may have begun. Lives on the io_context's thread.
 *
 * @code
 * auto reign = std::make_shared<Reign>(context, epoch, inheritance, [this](std::string reason) { ... });
 * reign->begin(policy);
 * reign->handle(call, [](JobAnswer answer) { ... });
 * @endcode
 */
class Reign : public std::enable_shared_from_this<Reign>
{
public:
    using Responder = std::function<void(JobAnswer answer)>;

    /** @p onDeposed is called once, when another owner is seen. */
    Reign(const ReignContext &context, std::uint64_t epoch, Inheritance inheritance, std::function<void(std::string reason)> onDeposed);
    ~Reign();

    // Commands.
    void begin(std::shared_ptr<const FleetPolicy> policy);
    /** Ends all activity; pending calls are answered as unknown. */
    void end();
    /** Stops giving orders, stores what is decided, then calls @p onSettled, at the latest after a second. */
    void settle(std::function<void()> onSettled);
    void setPolicy(std::shared_ptr<const FleetPolicy> policy);
    void addWave(const WaveSpec &spec, BootTime seenAt);
    /** Successors read from the ownership log that these workers are silent. */
    void notePublished(const std::map<WorkerId, std::int64_t> &silentWorkers);
    /** Successors read from the ownership log that the jobs are in @p partition. */
    void noteJobsPartition(StorePartition partition);
    /** The owner was heard in the store at a call sent at @p sentAt. */
    void noteFresh(BootTime sentAt);
    void handle(const JobCall &call, const Responder &respond);

    // Queries.
    /** For the ownership log. */
    std::map<WorkerId, std::int64_t> silentWorkers() const;
    std::map<InstanceId, std::int64_t> recentInstanceOrders() const;
    /** The partition that a successor is to read the jobs from. */
    StorePartition jobsPartition() const;
    bool isServing() const;
    std::uint64_t epoch() const;
    const Scheduler &scheduler() const;

    struct Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

}
