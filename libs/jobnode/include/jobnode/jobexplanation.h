#pragma once

#include "jobnode/jobcall.h"
#include "scheduling/explanation.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace Cornelquay {

/** What the owner would answer to a submission. */
struct AdmissionExplanation {
    /** Done if the job would be accepted. */
    JobAnswerKind kind = JobAnswerKind::Done;
    /** See JobAnswer. */
    std::int64_t retryAfterMs = 0;
    std::string reason;

    auto fields()
    {
        return std::tie(kind, retryAfterMs, reason);
    }
};

/** How recent the owner's knowledge is, beside that of its scheduler. Ages are in milliseconds; see UnknownAgeMs. */
struct OwnerViews {
    std::uint64_t epoch = 0;
    /** Time since this owner took over. */
    std::int64_t ownershipAgeMs = UnknownAgeMs;
    /** Time since the latest store call that confirmed the ownership was sent. */
    std::int64_t storeContactAgeMs = UnknownAgeMs;
    /** Time since the owner uses its configuration. */
    std::int64_t configurationAgeMs = UnknownAgeMs;
    /** Time since the registry last told of a worker. */
    std::int64_t registryAgeMs = UnknownAgeMs;

    auto fields()
    {
        return std::tie(epoch, ownershipAgeMs, storeContactAgeMs, configurationAgeMs, registryAgeMs);
    }
};

/** The owner's answer to the question where a job would be placed. */
struct JobExplanation {
    AdmissionExplanation admission;
    PlacementExplanation placement;
    OwnerViews owner;

    auto fields()
    {
        return std::tie(admission, placement, owner);
    }
};

// The encoding in JobAnswer::reason. Decoding returns nothing if the bytes are malformed. Thread-safe.
std::string encode(const JobExplanation &explanation);
std::optional<JobExplanation> decodeJobExplanation(std::string_view bytes);

/** What a node itself knows, whether it reaches the owner or not. Ages are in milliseconds; see UnknownAgeMs. */
struct NodeKnowledge {
    std::string node;
    /** The node that owns the jobs, as far as this one knows; empty if none is known. */
    std::string owner;
    std::uint64_t ownerEpoch = 0;
    /** Time since the newest record of the ownership log was read. */
    std::int64_t ownershipAgeMs = UnknownAgeMs;
    std::uint64_t configurationVersion = 0;
    /** Time since the configuration came into force on this node. */
    std::int64_t configurationAgeMs = UnknownAgeMs;
    /** Time since the latest complete read of the operators' records was sent. */
    std::int64_t operatorRecordsAgeMs = UnknownAgeMs;
};

}
