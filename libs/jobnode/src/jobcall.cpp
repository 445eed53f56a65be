#include "jobnode/jobcall.h"

#include "jobnode/ports.h"
#include "records/packing.h"

namespace Cornelquay {

namespace {

constexpr std::array<std::string_view, 7> CallNames = {"submit", "state", "cancel", "count-pending", "take-advice", "announce-owner", "explain"};
constexpr std::array<std::string_view, 10> AnswerNames
    = {"done", "state", "pending", "unknown-job", "not-run", "unknown", "advice", "over-share", "explained", "too-many"};
constexpr std::array<std::string_view, 5> FailureNames = {"refused", "unanswered", "conflict", "fenced", "invalid"};

}

std::string_view toName(JobCallKind kind)
{
    return CallNames.at(static_cast<std::size_t>(kind));
}

std::string_view toName(JobAnswerKind kind)
{
    return AnswerNames.at(static_cast<std::size_t>(kind));
}

std::string_view toName(StoreFailure failure)
{
    return FailureNames.at(static_cast<std::size_t>(failure));
}

JobAnswer JobAnswer::notRun(std::string reason, std::int64_t retryAfterMs)
{
    JobAnswer answer;
    answer.kind = JobAnswerKind::NotRun;
    answer.reason = std::move(reason);
    answer.retryAfterMs = retryAfterMs;
    return answer;
}

JobAnswer JobAnswer::overShare(std::string reason, std::int64_t retryAfterMs)
{
    JobAnswer answer = notRun(std::move(reason), retryAfterMs);
    answer.kind = JobAnswerKind::OverShare;
    return answer;
}

JobAnswer JobAnswer::tooMany(std::string reason, std::int64_t retryAfterMs)
{
    JobAnswer answer = notRun(std::move(reason), retryAfterMs);
    answer.kind = JobAnswerKind::TooMany;
    return answer;
}

JobAnswer JobAnswer::unknown(std::string reason)
{
    JobAnswer answer;
    answer.kind = JobAnswerKind::Unknown;
    answer.reason = std::move(reason);
    return answer;
}

JobAnswer JobAnswer::of(JobAnswerKind kind)
{
    JobAnswer answer;
    answer.kind = kind;
    return answer;
}

std::string encode(const JobCall &call)
{
    return Packing::toBytes(call);
}

std::string encode(const JobAnswer &answer)
{
    return Packing::toBytes(answer);
}

std::optional<JobCall> decodeJobCall(std::string_view bytes)
{
    return Packing::fromBytes<JobCall>(bytes);
}

std::optional<JobAnswer> decodeJobAnswer(std::string_view bytes)
{
    return Packing::fromBytes<JobAnswer>(bytes);
}

}
