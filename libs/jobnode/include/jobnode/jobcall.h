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

/** What a caller asks of the owner. */
enum class JobCallKind : std::uint8_t {
    Submit,
    State,
    Cancel,
    /** Counts the queue's jobs that have not begun. */
    CountPending,
    /** A node offers to ask the advice service, and brings what it said before. */
    TakeAdvice,
};

std::string_view toName(JobCallKind kind);

/** What the advice service said to a node that asked for the owner. */
struct AdviceReport {
    /** Names no job if there is nothing to report. */
    AdviceOrder order;
    bool answered = false;
    std::vector<Permission> permissions;

    auto fields()
    {
        return std::tie(order, answered, permissions);
    }
};

/** One call of a client account, checked by the node that took it. */
struct JobCall {
    JobCallKind kind = JobCallKind::State;
    std::string queue;
    std::string account;
    JobId job;
    /** Of a submit. */
    JobSpec spec;
    /** Wall-clock milliseconds after which the caller does not wait any more. */
    std::int64_t deadlineMs = 0;
    /** Of an offer to ask the advice service. */
    AdviceReport advice;
    /** Thousandths of a core that the node has which hands the call on. */
    std::uint32_t nodeStrength = 0;

    auto fields()
    {
        return std::tie(kind, queue, account, job, spec, deadlineMs, advice, nodeStrength);
    }
};

/** What came of a call. */
enum class JobAnswerKind : std::uint8_t {
    /** The job is stored; or its cancel is. */
    Done,
    State,
    Pending,
    UnknownJob,
    /** Not carried out; the caller may come back. */
    NotRun,
    /** May have been carried out. */
    Unknown,
    /** The advice service is to be asked. */
    Advice,
};

std::string_view toName(JobAnswerKind kind);

/** The answer to one call. */
struct JobAnswer {
    JobAnswerKind kind = JobAnswerKind::NotRun;
    JobState state = JobState::Queued;
    std::uint64_t pending = 0;
    /** When coming back makes sense, in milliseconds. */
    std::int64_t retryAfterMs = 0;
    std::string reason;
    AdviceOrder advice;

    auto fields()
    {
        return std::tie(kind, state, pending, retryAfterMs, reason, advice);
    }

    static JobAnswer notRun(std::string reason, std::int64_t retryAfterMs);
    static JobAnswer unknown(std::string reason);
    static JobAnswer of(JobAnswerKind kind);
};

// The form in which nodes hand calls to each other. Thread-safe.
std::string encode(const JobCall &call);
std::string encode(const JobAnswer &answer);
std::optional<JobCall> decodeJobCall(std::string_view bytes);
std::optional<JobAnswer> decodeJobAnswer(std::string_view bytes);

}
