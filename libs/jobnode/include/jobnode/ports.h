#pragma once

#include "jobs/job.h"
#include "scheduling/fleetpolicy.h"
#include "scheduling/instances.h"
#include "scheduling/orders.h"
#include "transport/address.h"

#include <tl/expected.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Cornelquay {

/** Why a call to the store has no result. */
enum class StoreFailure {
    /** Refused or not sent; it had no effect. */
    Refused,
    /** Not answered; it may have taken effect or may still do so. */
    Unanswered,
    /** The condition of the call did not hold. */
    Conflict,
    /** The call carried an epoch below that of a later owner. */
    Fenced,
    /** Refused for its content, for instance the size of a record; it had no effect, and the same call is refused in each partition. */
    Invalid,
};

std::string_view toName(StoreFailure failure);

/**
 * Whether an order may still be sent. The port checks it when it writes the order to a connection, not when it is given the
 * order; an order that may not be sent anymore is dropped, with a result that says that it was not sent. Never null.
 */
using SendCondition = std::function<bool()>;

/** Number of a partition of the store; one may be unavailable while others answer. */
using StorePartition = std::uint32_t;

/** A record of the ownership log: who owns the jobs. The newest record is in force; the owner's heartbeats are new records. */
struct OwnershipRecord {
    /** Name of the owner. */
    std::string node;
    /** Start time of the owner's process, in wall-clock milliseconds since 1970; distinguishes it from earlier processes of the node. */
    std::int64_t incarnation = 0;
    /** Address at which the owner listens for calls that other nodes forward. */
    std::string address;
    /** Number of the ownership, higher for each later one. Fences calls and orders of earlier owners. */
    std::uint64_t epoch = 0;
    /** The owner has released the ownership and gives no more orders. */
    bool released = false;
    /** Workers that have runs and that the owner cannot reach, each with the longest remaining time of its lease, in milliseconds. */
    std::map<WorkerId, std::int64_t> unreachableWorkers;
    /**
     * Set on release: instances for which the owner gave recent orders, and how long before the release, in milliseconds;
     * negative for an order that may still arrive after it.
     */
    std::map<InstanceId, std::int64_t> recentInstanceOrders;
    /** The partition that holds the jobs; the next owner reads them from there. */
    StorePartition jobsPartition = 0;
    /** Set on release: the node that should claim the ownership next; empty if any node may. */
    std::string successor;

    auto fields()
    {
        return std::tie(node, incarnation, address, epoch, released, unreachableWorkers, recentInstanceOrders, jobsPartition, successor);
    }
};

/** Consecutive records of the ownership log. */
struct OwnershipPage {
    /** Offset after the last record of the log. */
    std::uint64_t endOffset = 0;
    std::vector<OwnershipRecord> records;
};

/** One page of stored records with their keys. Records may change between two reads, so the pages together are not a consistent snapshot. */
struct JobPage {
    std::vector<std::pair<std::string, std::string>> records;
    /** Where the next page begins, to be passed to StorePort::readJobs; empty after the last page. */
    std::string next;
};

/** The durable store: the ownership log, and the records of jobs in partitions. Handlers run on the node's thread. */
struct StorePort {
    using OwnershipHandler = std::function<void(tl::expected<OwnershipPage, StoreFailure> page)>;
    using OffsetHandler = std::function<void(tl::expected<std::uint64_t, StoreFailure> offset)>;
    using JobPageHandler = std::function<void(tl::expected<JobPage, StoreFailure> page)>;

    /** Reads the newest ownership record; the page is empty if there is none. */
    std::function<void(OwnershipHandler handler)> newestOwnership;
    /** Reads the records from offset @p from on. If there are none, waits for one for up to @p wait and then gives an empty page. */
    std::function<void(std::uint64_t from, std::chrono::milliseconds wait, OwnershipHandler handler)> followOwnership;
    /**
     * Appends a record, for a claim, a heartbeat or a release, if the log ends at offset @p at, and gives the record's
     * offset. Fails with Conflict if the log does not end there, and with Unanswered after @p wait.
     */
    std::function<void(const OwnershipRecord &record, std::uint64_t at, std::chrono::milliseconds wait, OffsetHandler handler)> claimOwnership;
    /** Fences @p partition: from now on calls of fenceJobs() and storeJobs() for it with an epoch below @p epoch fail with Fenced. */
    std::function<void(StorePartition partition, std::uint64_t epoch, OffsetHandler handler)> fenceJobs;
    /**
     * Atomically stores @p records, which are pairs of a key and its bytes, and removes the records with the keys in
     * @p dropped. Keys are those of jobs and of waves. @p sequence starts at 1 after a fence with a higher epoch and rises by one
     * with each call for the partition. A call that repeats a number of its epoch has no effect and gets the answer of the former one,
     * whatever it contains. A fence with the same epoch changes nothing.
     */
    std::function<void(StorePartition partition,
                       std::uint64_t epoch,
                       std::uint64_t sequence,
                       const std::vector<std::pair<JobId, std::string>> &records,
                       const std::vector<JobId> &dropped,
                       OffsetHandler handler)>
        storeJobs;
    /** Reads a page of the newest records in @p partition; @p after is JobPage::next of the page before, empty for the first. */
    std::function<void(StorePartition partition, const std::string &after, JobPageHandler handler)> readJobs;
    /** Number of partitions that may hold the jobs; they are numbered from 0. */
    StorePartition partitionCount = 1;
    /** Maximum size of one call of storeJobs(), in bytes. */
    std::size_t maxCallBytes = 2097152;
    /** Maximum size of a record with its key, in bytes. */
    std::size_t maxRecordBytes = 262144;
};

/**
 * Orders to workers, and queries to the advice service. Each handler is called once, on the node's thread and possibly
 * before the call returns; the result is OrderUnanswered, or no advice, if there was no answer in time.
 */
struct WorkerPort {
    using OrderHandler = std::function<void(OrderResult result)>;
    using RenewLeaseHandler = std::function<void(RenewLeaseResult result)>;
    using AdviceHandler = std::function<void(AdviceResult result)>;

    /** Starts a run; @p payload is passed unchanged to the task. */
    std::function<void(const WorkerFacts &worker, const StartOrder &order, const std::string &payload, const SendCondition &maySend, OrderHandler handler)>
        start;
    std::function<void(const WorkerFacts &worker, const StopOrder &order, const SendCondition &maySend, OrderHandler handler)> stop;
    /** Limits the speed of a run. */
    std::function<void(const WorkerFacts &worker, const ThrottleOrder &order, const SendCondition &maySend, OrderHandler handler)> throttle;
    /** Renews the worker's lease and reads its list of runs. */
    std::function<void(const WorkerFacts &worker, const RenewLeaseOrder &order, const SendCondition &maySend, RenewLeaseHandler handler)> renewLease;
    /** Asks the advice service which workers may run a step. */
    std::function<void(const AdviceOrder &order, AdviceHandler handler)> advise;
    /** Closes the connections to all workers for which @p isKnown returns false. */
    std::function<void(const std::function<bool(const WorkerId &worker)> &isKnown)> retainConnections;
};

/** The registry of workers. Handlers run on the node's thread. */
struct RegistryPort {
    using WorkersHandler = std::function<void(std::vector<WorkerFacts> seen, std::vector<WorkerId> removed)>;

    /** Calls @p handler once with all workers, and then with those that are new, changed or removed, until stop(). */
    std::function<void(WorkersHandler handler)> watch;
    std::function<void()> stop;
};

/** One page of the list of instances. */
struct InstancePage {
    std::vector<InstanceFacts> instances;
    /** Token of the next page, to be passed to InstancePort::list; empty after the last page. */
    std::string next;
};

/** The control plane of the instances. Handlers run on the node's thread. */
struct InstancePort {
    using ListHandler = std::function<void(std::optional<InstancePage> page)>;
    using OrderHandler = std::function<void(InstanceResult result)>;
    using ReportHandler = std::function<void(bool stored)>;

    /** Reads the page of the list with the token @p page, empty for the first; nothing on failure. */
    std::function<void(const std::string &page, ListHandler handler)> list;
    /**
     * Sends an order, and gives OrderUnanswered if there is no answer within @p timeout from now. A control plane may refuse
     * orders with an epoch below the highest that it has seen.
     */
    std::function<void(const InstanceOrder &order, std::uint64_t epoch, const SendCondition &maySend, std::chrono::milliseconds timeout, OrderHandler handler)>
        order;
    /** Reports to the operators that a wave is running or completed; @p handler gets whether the report was stored. */
    std::function<void(std::uint64_t wave, bool completed, const SendCondition &maySend, ReportHandler handler)> reportWave;
};

/** A host and path prefix through which callers reach a queue. */
struct QueueRoute {
    std::string host;
    std::string pathPrefix;
    std::string queue;
    /** Whether callers need no key. */
    bool isPublic = false;
};

/** The parts of the operators' configuration that nodes use. */
struct NodeConfiguration {
    std::uint64_t version = 0;
    std::vector<QueueRoute> routes;
    /** Client accounts by the key that identifies their callers. */
    std::map<std::string, std::string> accountByKey;
    /** Must not be null. */
    std::shared_ptr<const FleetPolicy> policy;
};

/** The source of the configuration. */
struct ConfigurationPort {
    /** Calls @p handler with each newer configuration. */
    std::function<void(std::function<void(std::shared_ptr<const NodeConfiguration> configuration)> handler)> watch;
};

}
