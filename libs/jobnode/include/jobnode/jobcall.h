#pragma once

#include "jobs/job.h"
#include "scheduling/orders.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace Cornelquay {

/** The kinds of calls to the owner of the jobs. */
enum class JobCallKind : std::uint8_t {
    Submit,
    State,
    Cancel,
    /** Counts the queue's jobs of which no task has been started. */
    CountPending,
    /** A node offers to query the advice service for the owner, and reports the result of its previous query. */
    ExchangeAdvice,
    /** A new owner tells its predecessor, so that nodes that cannot read the ownership log find the new owner through it. */
    AnnounceOwner,
    /** Asks where a job would be placed and why, without submitting it. Owners of earlier releases do not answer it. */
    Explain,
};

std::string_view toName(JobCallKind kind);

/** Where the owner of the jobs takes calls. Heard from a peer, it serves to find the owner, never as a permission to act. */
struct OwnerRoute {
    std::string node;
    std::int64_t incarnation = 0;
    std::string address;
    /** 0 for no route. */
    std::uint64_t epoch = 0;

    auto fields()
    {
        return std::tie(node, incarnation, address, epoch);
    }
};

/** The result of a query that a node sent to the advice service for the owner. */
struct AdviceReport {
    /** The query; its job is empty if there is no result to report. */
    AdviceOrder order;
    /** Whether the advice service answered. */
    bool answered = false;
    /** The permissions that it granted. */
    std::vector<Permission> permissions;

    auto fields()
    {
        return std::tie(order, answered, permissions);
    }
};

/** A call to the owner of the jobs: a client account's request, validated by the node that received it, or another node's offer. */
struct JobCall {
    JobCallKind kind = JobCallKind::State;
    std::string queue;
    std::string account;
    JobId job;
    /** The job to submit or to explain; set for Submit and Explain only. */
    JobSpec spec;
    /** When the caller stops waiting, in wall-clock milliseconds since 1970. */
    std::int64_t deadlineMs = 0;
    /** Set for ExchangeAdvice only. */
    AdviceReport advice;
    /** Cpu of the node that forwards the call, in thousandths of a core; 0 if the call was not forwarded. */
    std::uint32_t nodeCpuMillicores = 0;
    /** Set for AnnounceOwner only. */
    OwnerRoute owner;

    auto fields()
    {
        return std::tie(kind, queue, account, job, spec, deadlineMs, advice, nodeCpuMillicores, owner);
    }
};

/** The outcome of a call. */
enum class JobAnswerKind : std::uint8_t {
    /** The job, or its cancellation, is stored. */
    Done,
    /** The answer has the job's state. */
    State,
    /** The answer has the number of pending jobs. */
    Pending,
    UnknownJob,
    /** Not carried out; the caller may retry. */
    NotRun,
    /** It is unknown whether the call was or will be carried out. */
    Unknown,
    /** The node that made the offer is to send the query in the answer to the advice service. */
    Advice,
    /** As NotRun, because of the account's own load. Nodes of earlier releases do not know this kind. */
    OverShare,
    /** The answer has the JobExplanation. */
    Explained,
    /** Not carried out, because there were too many calls of this kind; the caller may retry. */
    TooMany,
};

std::string_view toName(JobAnswerKind kind);

/** The answer to one call. */
struct JobAnswer {
    JobAnswerKind kind = JobAnswerKind::NotRun;
    /** Set for State. */
    JobState state = JobState::Queued;
    /** Number of jobs of which no task has been started; set for Pending. */
    std::uint64_t pending = 0;
    /** How long the caller should wait before it retries, in milliseconds; set for NotRun, OverShare and TooMany. */
    std::int64_t retryAfterMs = 0;
    /**
     * Reason for the caller; set for NotRun, OverShare, TooMany and Unknown. For Explained, the encoded JobExplanation: a field of its
     * own would keep nodes of earlier releases from reading the answers to all other calls.
     */
    std::string reason;
    /** The query to send; set for Advice. */
    AdviceOrder advice;
    /** The owner as far as the answering node knows; may be set for NotRun. */
    OwnerRoute owner;

    auto fields()
    {
        return std::tie(kind, state, pending, retryAfterMs, reason, advice, owner);
    }

    static JobAnswer notRun(std::string reason, std::int64_t retryAfterMs);
    static JobAnswer overShare(std::string reason, std::int64_t retryAfterMs);
    static JobAnswer tooMany(std::string reason, std::int64_t retryAfterMs);
    static JobAnswer unknown(std::string reason);
    static JobAnswer of(JobAnswerKind kind);
};

// The encoding in which nodes forward calls and return answers. Decoding returns nothing if the bytes are malformed.
// Thread-safe.
std::string encode(const JobCall &call);
std::string encode(const JobAnswer &answer);
std::optional<JobCall> decodeJobCall(std::string_view bytes);
std::optional<JobAnswer> decodeJobAnswer(std::string_view bytes);

}
