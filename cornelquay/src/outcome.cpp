#include "cornelquay/outcome.h"

#include <array>

namespace Cornelquay {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusTaskFailed = 500;
constexpr int StatusUnknownOutcome = 504;

struct ReasonEntry {
    std::string_view name;
    int status;
};

/** Name and HTTP status code of each RefusalReason, in the order of its enumerators. */
constexpr std::array<ReasonEntry, 11> Reasons{{
    {"invalid-request", 400},
    {"too-large", 413},
    {"key-invalid", 401},
    {"unknown-service", 404},
    {"impossible", 422},
    {"queue-full", 429},
    {"deadline-passed", 503},
    {"no-capacity", 503},
    {"claim-unavailable", 503},
    {"stale-view", 503},
    {"stopping", 503},
}};

struct StatusOf {
    int operator()(const Answered &answered) const
    {
        return answered.succeeded ? StatusOk : StatusTaskFailed;
    }
    int operator()(const NotRun &notRun) const
    {
        return Reasons[static_cast<std::size_t>(notRun.reason)].status;
    }
    int operator()(const OutcomeUnknown &) const
    {
        return StatusUnknownOutcome;
    }
};

}

std::string_view toName(RefusalReason reason)
{
    return Reasons[static_cast<std::size_t>(reason)].name;
}

std::string_view outcomeName(const Outcome &outcome)
{
    constexpr std::array<std::string_view, 3> Names{"answered", "not-run", "unknown"};
    return Names[outcome.index()];
}

int httpStatus(const Outcome &outcome)
{
    return std::visit(StatusOf(), outcome);
}

}
