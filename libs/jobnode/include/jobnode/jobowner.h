#pragma once

#include "jobnode/fleetcontroller.h"
#include "jobnode/jobcall.h"
#include "jobnode/ownershipview.h"
#include "jobnode/ports.h"
#include "scheduling/scheduler.h"
#include "telemetry/metrics.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>

namespace Cornelquay {

/** The ports and times that a JobOwner uses. All references must outlive it. */
struct JobOwnerContext {
    asio::io_context &io;
    StorePort &store;
    WorkerPort &workers;
    RegistryPort &registry;
    InstancePort &instances;
    Metrics &metrics;
    SchedulerTimes schedulerTimes;
    SchedulerOptions schedulerOptions;
    OwnershipTimes ownershipTimes;
    InstanceTimes instanceTimes;
    /**
     * Requests that a heartbeat be written at once, with the present ownership record. Whoever writes it reports the stored
     * record through notePublishedUnreachable(), noteStoreContact(), noteRecordStored() and notePublishedPartition().
     */
    std::function<void()> publishRecord;
};

/** State that an owner takes over from its predecessor. */
struct PredecessorState {
    PredecessorLeases leases;
    InstanceHandOver instances;
    /** The partition that holds the newest records of the jobs. */
    StorePartition jobsPartition = 0;
};

/**
 * Acts as the owner of all jobs during one epoch, from the takeover to the end.
 *
 * Fences its predecessors, reads the stored jobs, and then drives the scheduler: stores its batches, carries out
 * its orders, and answers a call once the records that the answer depends on are stored. When the partition that
 * holds the jobs is unavailable while the ownership log answers, all jobs are written to another partition. Orders
 * are given only while the latest successful store call is recent enough (see OwnershipTimes), so that a node that
 * was suspended or cut off does not act after a successor may have started. Must be used on the io_context's thread.
 *
 * @code
 * auto jobOwner = std::make_shared<JobOwner>(context, epoch, predecessorState, [this](std::string reason) { ... });
 * jobOwner->begin(policy);
 * jobOwner->handle(call, [](JobAnswer answer) { ... });
 * @endcode
 */
class JobOwner : public std::enable_shared_from_this<JobOwner>
{
public:
    using Responder = std::function<void(JobAnswer answer)>;

    /** @p onOwnershipLost is called at most once, with the reason, when a later owner is found to exist. */
    JobOwner(const JobOwnerContext &context, std::uint64_t epoch, PredecessorState predecessorState, std::function<void(std::string reason)> onOwnershipLost);
    ~JobOwner();

    // Commands.
    /** Starts the takeover. */
    void begin(std::shared_ptr<const FleetPolicy> policy);
    /** Ends all activity; calls that wait for the store are answered as unknown. */
    void end();
    /**
     * Stops giving orders other than lease renewals, stores the decisions already made, ends, and calls @p onDrained, after
     * one second at the latest; at once unless isServing().
     */
    void drain(std::function<void()> onDrained);
    void setPolicy(std::shared_ptr<const FleetPolicy> policy);
    /** Adds a wave of maintenance that was first seen at @p seenAt. */
    void addWave(const WaveSpec &spec, BootTime seenAt);
    /** The zones that the operators evacuate, as this node has read. Nothing is placed before they were read after begin(), or for 3 s. */
    void setEvacuation(const ZoneEvacuation &evacuation);
    /**
     * The ownership log has, or may have, a record that lists these workers as unreachable, with the remaining time of
     * their leases. A successor may rely on it, so their leases are not extended.
     */
    void notePublishedUnreachable(const std::map<WorkerId, std::int64_t> &unreachableWorkers);
    /** The ownership log has a record that says that the jobs are in @p partition. */
    void notePublishedPartition(StorePartition partition);
    /** An append to the ownership log that was sent at @p sentAt, or later, is known to be stored; see OwnerPermission. */
    void noteStoreContact(BootTime sentAt);
    /** A record of this ownership was appended to the ownership log, which ended at @p endOffset after it. */
    void noteRecordStored(std::uint64_t endOffset);
    /** Carries out @p call and calls @p respond once, possibly before it returns; answers NotRun while it is not serving or drains. */
    void handle(const JobCall &call, const Responder &respond);

    // Queries.
    /** For OwnershipRecord::unreachableWorkers. */
    std::map<WorkerId, std::int64_t> unreachableWorkers() const;
    /** For OwnershipRecord::recentInstanceOrders. */
    std::map<InstanceId, std::int64_t> recentInstanceOrders() const;
    /** For OwnershipRecord::jobsPartition: the partition from which a successor must read the jobs. */
    StorePartition jobsPartition() const;
    /** Whether the takeover is completed and the owner has not ended. */
    bool isServing() const;
    std::uint64_t epoch() const;
    const Scheduler &scheduler() const;

    struct Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

}
