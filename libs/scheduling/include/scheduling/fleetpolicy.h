#pragma once

#include "jobs/job.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Cornelquay {

/** A service that alone knows which workers may run a queue's steps, and what asking it costs. */
struct AdvicePolicy {
    std::chrono::milliseconds timePerCall{0};
    std::chrono::milliseconds timePerWorker{0};
    /** For how long a permission can be used after it was given. */
    std::chrono::milliseconds validity{0};
};

/** How a queue's jobs are treated. */
struct QueuePolicy {
    QueueTerms terms;
    std::optional<AdvicePolicy> advice;
};

/** A client account's claim on the fleet. */
struct AccountPolicy {
    /** Share when all is full; also the jobs a second that are within the agreement. */
    double weight = 1.0;
    /** Most that may run at once; 0 in a field for no limit. */
    Resources cap;
};

/** A pool of instances. */
struct PoolPolicy {
    /** Its instances are switched off and cost nothing. */
    bool standby = false;
};

/** The operators' configuration as far as scheduling goes. */
struct FleetPolicy {
    std::uint64_t version = 0;
    std::map<std::string, QueuePolicy> queues;
    std::map<std::string, AccountPolicy> accounts;
    std::map<std::string, PoolPolicy> pools;
};

}
