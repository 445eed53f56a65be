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

/** Why a call of the store has no result. */
enum class StoreFailure {
    /** Refused or not sent: nothing was done. */
    Refused,
    /** May have been done, or may be later. */
    Unanswered,
    /** The condition of the call did not hold. */
    Conflict,
    /** A later owner has taken over. */
    Fenced,
};

std::string_view toName(StoreFailure failure);

/** A part of the store that may be away while others answer. */
using StorePartition = std::uint32_t;

/** Who owns the jobs. The newest record in the ownership log holds. */
struct OwnershipRecord {
    std::string node;
    /** Start of the owner's process, in wall-clock milliseconds; tells its lives apart. */
    std::int64_t life = 0;
    /** Where the owner takes calls of other nodes. */
    std::string address;
    /** Rises with each owner. */
    std::uint64_t epoch = 0;
    /** The owner lets go: it gives no orders any more. */
    bool released = false;
    /** Workers with runs that the owner cannot reach, and what may be left of their leases, in milliseconds. */
    std::map<WorkerId, std::int64_t> silentWorkers;
    /** Written on release: instances that were ordered about recently, and how long ago, in milliseconds. */
    std::map<InstanceId, std::int64_t> recentInstanceOrders;
    /** The partition whose records of jobs hold. */
    StorePartition jobsPartition = 0;
    /** Written on release: the node that is to follow; empty if any may. */
    std::string successor;

    auto fields()
    {
        return std::tie(node, life, address, epoch, released, silentWorkers, recentInstanceOrders, jobsPartition, successor);
    }
};

/** Records of the ownership log, in their order. */
struct OwnershipPage {
    /** Offset after the last record of the log. */
    std::uint64_t end = 0;
    std::vector<OwnershipRecord> records;
};

/** One page of stored records by key; pages together are not a snapshot. */
struct JobPage {
    std::vector<std::pair<std::string, std::string>> records;
    /** Where the next page begins; empty after the last one. */
    std::string next;
};

/** Where what must last is kept. Handlers run on the node's thread. */
struct StorePort {
    using OwnershipHandler = std::function<void(tl::expected<OwnershipPage, StoreFailure> page)>;
    using OffsetHandler = std::function<void(tl::expected<std::uint64_t, StoreFailure> offset)>;
    using JobPageHandler = std::function<void(tl::expected<JobPage, StoreFailure> page)>;

    /** The newest ownership record, if there is one. */
    std::function<void(OwnershipHandler handler)> newestOwnership;
    /** Records from offset @p from on; waits for one for @p wait. */
    std::function<void(std::uint64_t from, std::chrono::milliseconds wait, OwnershipHandler handler)> followOwnership;
    /** Appends if the log ends at @p at; gives the record's offset, or no answer after @p wait. */
    std::function<void(const OwnershipRecord &record, std::uint64_t at, std::chrono::milliseconds wait, OffsetHandler handler)> claimOwnership;
    /** From now on nobody with an epoch below @p epoch can store jobs in @p partition. */
    std::function<void(StorePartition partition, std::uint64_t epoch, OffsetHandler handler)> fenceJobs;
    /**
     * Stores jobs and removals, all or nothing; @p sequence rises by one with each call of an
     * epoch for a partition, and a repeat of the same call has no further effect.
     */
    std::function<void(StorePartition partition,
                       std::uint64_t epoch,
                       std::uint64_t sequence,
                       const std::vector<std::pair<JobId, std::string>> &records,
                       const std::vector<JobId> &dropped,
                       OffsetHandler handler)>
        storeJobs;
    /** A page of the newest record of each job in @p partition, from @p after on. */
    std::function<void(StorePartition partition, const std::string &after, JobPageHandler handler)> readJobs;
    /** Partitions in which jobs may be kept, numbered from 0. */
    StorePartition partitions = 1;
    /** Most bytes that one call of storeJobs() may carry. */
    std::size_t callBytesMax = 2097152;
};

/** The workers. Handlers run on the node's thread, after the latest moment that the order says. */
struct WorkerPort {
    using OrderHandler = std::function<void(OrderResult result)>;
    using HoldHandler = std::function<void(HoldResult result)>;
    using AdviceHandler = std::function<void(AdviceResult result)>;

    std::function<void(const WorkerFacts &worker, const StartOrder &order, const std::string &payload, OrderHandler handler)> start;
    std::function<void(const WorkerFacts &worker, const StopOrder &order, OrderHandler handler)> stop;
    std::function<void(const WorkerFacts &worker, const PaceOrder &order, OrderHandler handler)> pace;
    std::function<void(const WorkerFacts &worker, const HoldOrder &order, HoldHandler handler)> hold;
    std::function<void(const AdviceOrder &order, AdviceHandler handler)> advise;
    /** Ends the connections to workers of which @p isKnown does not hold. */
    std::function<void(const std::function<bool(const WorkerId &worker)> &isKnown)> retain;
};

/** What the registry of workers says. */
struct RegistryPort {
    using WorkersHandler = std::function<void(std::vector<WorkerFacts> seen, std::vector<WorkerId> removed)>;

    /** Calls @p handler with all workers and then with changes, until stop(). */
    std::function<void(WorkersHandler handler)> watch;
    std::function<void()> stop;
};

/** One page of the instances' list. */
struct InstancePage {
    std::vector<InstanceFacts> instances;
    /** Names the next page; empty after the last one. */
    std::string next;
};

/** The control plane of the instances. Handlers run on the node's thread. */
struct InstancePort {
    using ListHandler = std::function<void(std::optional<InstancePage> page)>;
    using OrderHandler = std::function<void(InstanceResult result)>;
    using ReportHandler = std::function<void(bool stored)>;

    std::function<void(const std::string &page, ListHandler handler)> list;
    /** @p epoch fences owners: of two orders the one with the higher epoch is the later owner's. */
    std::function<void(const InstanceOrder &order, std::uint64_t epoch, OrderHandler handler)> order;
    /** Tells the operators how far a wave is. */
    std::function<void(std::uint64_t wave, bool completed, ReportHandler handler)> reportWave;
};

/** One path on which callers reach a queue. */
struct QueueRoute {
    std::string host;
    std::string pathPrefix;
    std::string queue;
    /** Needs no key. */
    bool isPublic = false;
};

/** The operators' configuration, as far as nodes go by it. */
struct NodeConfiguration {
    std::uint64_t version = 0;
    std::vector<QueueRoute> routes;
    /** Client accounts by key. */
    std::map<std::string, std::string> accountByKey;
    std::shared_ptr<const FleetPolicy> policy;
};

/** Where a configuration comes from. */
struct ConfigurationPort {
    /** Calls @p handler with each newer configuration. */
    std::function<void(std::function<void(std::shared_ptr<const NodeConfiguration> configuration)> handler)> watch;
};

}
