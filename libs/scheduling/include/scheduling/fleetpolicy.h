#pragma once

#include "jobs/job.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Cornelquay {

/**
 * An external advice service that decides which workers may run the steps of a queue.
 *
 * A request about n workers keeps the service busy for timePerCall + n * timePerWorker.
 */
struct AdvicePolicy {
    std::chrono::milliseconds timePerCall{0};
    std::chrono::milliseconds timePerWorker{0};
    /** How long a permission can be used after the service granted it. */
    std::chrono::milliseconds validity{0};
};

/** Scheduling settings of one queue. */
struct QueuePolicy {
    QueueTerms terms;
    /** Set if the queue's steps need permissions of an advice service. */
    std::optional<AdvicePolicy> advice;
};

/** Share and limits of one client account. */
struct AccountPolicy {
    /**
     * The agreed submission rate in jobs per second. The allowance grows at this rate up to the jobs of one second
     * or one job, whichever is more, and starts with the jobs of one second. A job that finds an allowance of less
     * than one job is placed after the jobs of the same priority within the rate. It also uses up that allowance,
     * so at a steady rate above the agreed one, all jobs are beyond it once the allowance is spent.
     * With AccountOrder::Weighted, full pools are divided among the accounts in proportion to it, see PoolShares.
     */
    double weight = 1.0;
    /** Upper limit of the resources that the account's runs use at once; a field of 0 means no limit. */
    Resources cap;
};

/** A pool of instances. */
struct PoolPolicy {
    /** Instances of this pool are switched off and incur no cost. */
    bool standby = false;
};

/** The part of the operators' configuration that scheduling uses. Keys are names of queues, client accounts and pools. */
struct FleetPolicy {
    std::uint64_t version = 0;
    std::map<std::string, QueuePolicy> queues;
    std::map<std::string, AccountPolicy> accounts;
    std::map<std::string, PoolPolicy> pools;
};

}
