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
    UnknownService,
    /** No instance could ever run it. */
    Impossible,
    QueueFull,
    DeadlinePassed,
    /** Instances, slots or permits did not come free in time. */
    NoCapacity,
    /** The request could not be claimed, so that it would run at most once. */
    ClaimUnavailable,
    /** The node's view of keys and limits is too old to accept work. */
    StaleView,
    Stopping,
};

/** The worker's whole answer. */
struct Answered {
    bool succeeded = true;
    std::string body;
    std::string contentType;
};

/** The request did not run; the same request id may be sent again. */
struct NotRun {
    RefusalReason reason = RefusalReason::InvalidRequest;
    std::string message;
    /** When it makes sense to come back; 0 if coming back unchanged is of no use. */
    std::chrono::milliseconds retryAfter{0};
};

/** The request may have run. */
struct OutcomeUnknown {
    std::string message;
};

/** Exactly one of the three things that a caller can learn. */
using Outcome = std::variant<Answered, NotRun, OutcomeUnknown>;

/** The name of @p reason in headers and bodies. */
std::string_view toName(RefusalReason reason);

/** "answered", "not-run" or "unknown". */
std::string_view outcomeName(const Outcome &outcome);

/** The HTTP status that goes with @p outcome. */
int httpStatus(const Outcome &outcome);

}
