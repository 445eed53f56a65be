#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <variant>

namespace Cornelquay {

/** Why a request provably did not run. */
enum class RefusalReason {
    InvalidRequest,
    TooLarge,
    KeyInvalid,
    /** The service, or the path of the request, does not exist. */
    UnknownService,
    /** The requested size exceeds every instance of the pool. */
    Impossible,
    QueueFull,
    DeadlinePassed,
    /** The pool has no instance, or no instance accepted the work. */
    NoCapacity,
    /** The claim that makes the request run at most once could not be confirmed in the log. */
    ClaimUnavailable,
    /** The view of keys and limits on this node may be out of date, so it accepts no work. */
    StaleView,
    /** The node is stopping, has not joined the other nodes yet, or was removed by them. */
    Stopping,
};

/** The request ran and this is the worker's complete answer. */
struct Answered {
    /** Whether the worker reported success. */
    bool succeeded = true;
    std::string body;
    std::string contentType;
};

/** The request provably did not run; it may be sent again with the same request id. */
struct NotRun {
    RefusalReason reason = RefusalReason::InvalidRequest;
    std::string message;
    /** Suggested delay before a retry; 0 if the same request would be refused again. */
    std::chrono::milliseconds retryAfter{0};
};

/** The request may or may not have run. */
struct OutcomeUnknown {
    std::string message;
};

/** The result of a request as reported to its caller. */
using Outcome = std::variant<Answered, NotRun, OutcomeUnknown>;

/** The name of @p reason in the body of an answer. */
std::string_view toName(RefusalReason reason);

/** "answered", "not-run" or "unknown". */
std::string_view outcomeName(const Outcome &outcome);

/** The HTTP status code for @p outcome. */
int httpStatus(const Outcome &outcome);

}
