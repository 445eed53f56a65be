#include "details/reignimpl.h"
#include "telemetry/log.h"

#include <algorithm>
#include <utility>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// A store call that is out longer than this means that the store is away.
constexpr auto StoreAwayAfter = 700ms;
constexpr std::int64_t StoreAwayRetryAfterMs = 1000;
constexpr std::int64_t TakeoverRetryAfterMs = 300;
constexpr std::int64_t ConfigurationRetryAfterMs = 300;
// An answer must still reach the caller through another node.
constexpr std::int64_t AnswerMarginMs = 150;
// Several times what the store takes for a batch.
constexpr std::int64_t AnswerTimeLeastMs = 400;

}

void Reign::Impl::expireAnswers()
{
    const std::int64_t wallMs = toUnixMilliseconds(wallNow());
    std::vector<WaitingAnswer> expired;
    for (auto waiting = answers.begin(); waiting != answers.end();) {
        if (wallMs > waiting->expiresMs) {
            expired.push_back(std::move(*waiting));
            waiting = answers.erase(waiting);
        } else {
            ++waiting;
        }
    }
    for (const WaitingAnswer &waiting : expired) {
        logChange("owner", "answer not in time", {{"job", waiting.job}, {"batch", std::to_string(waiting.batch)}});
        waiting.respond(JobAnswer::unknown("the store did not answer in time"));
    }
}

bool Reign::Impl::isStoreAway(BootTime now) const
{
    return (storeInFlight && now - storeWaitsSince > StoreAwayAfter) || now - freshAt > context.ownership.orderFreshness;
}

void Reign::Impl::handle(const JobCall &call, const Responder &respond)
{
    if (!serving || settling) {
        respond(JobAnswer::notRun("the owner of the jobs is changing", TakeoverRetryAfterMs));
        return;
    }
    switch (call.kind) {
    case JobCallKind::Submit:
        submit(call, respond);
        break;
    case JobCallKind::Cancel: {
        const CancelOutcome outcome = scheduler.cancel(call.job, toUnixMilliseconds(wallNow()));
        if (outcome.known) {
            answerAfter(outcome.batch, call, JobAnswer::of(JobAnswerKind::Done), respond);
        } else {
            respond(JobAnswer::of(JobAnswerKind::UnknownJob));
        }
        break;
    }
    case JobCallKind::State: {
        const std::optional<JobState> state = scheduler.stateOf(call.job);
        JobAnswer answer = JobAnswer::of(state ? JobAnswerKind::State : JobAnswerKind::UnknownJob);
        answer.state = state.value_or(JobState::Queued);
        respond(std::move(answer));
        break;
    }
    case JobCallKind::CountPending: {
        JobAnswer answer = JobAnswer::of(JobAnswerKind::Pending);
        answer.pending = scheduler.pendingOf(call.queue);
        respond(std::move(answer));
        break;
    }
    case JobCallKind::TakeAdvice:
        advice.take(call.advice, respond, BootClock::now());
        break;
    }
    schedulePump();
}

void Reign::Impl::submit(const JobCall &call, const Responder &respond)
{
    const BootTime now = BootClock::now();
    if (scheduler.findJob(call.job) == nullptr) {
        const auto queue = policy->queues.find(call.queue);
        if (queue == policy->queues.end()) {
            respond(JobAnswer::notRun("the owner does not have this configuration yet", ConfigurationRetryAfterMs));
            return;
        }
        if (isStoreAway(now)) {
            respond(JobAnswer::notRun("the store does not answer", StoreAwayRetryAfterMs));
            return;
        }
        JobRecord record;
        record.id = call.job;
        record.queue = call.queue;
        record.account = call.account;
        record.terms = queue->second.terms;
        record.spec = call.spec;
        if (const std::optional<std::chrono::milliseconds> behind = scheduler.adviceBehind(record)) {
            respond(JobAnswer::notRun("the advice service is too far behind", behind->count()));
            return;
        }
        const SubmitOutcome outcome = scheduler.submit(std::move(record), now, toUnixMilliseconds(wallNow()));
        answerAfter(outcome.batch, call, JobAnswer::of(JobAnswerKind::Done), respond);
        return;
    }
    if (scheduler.stateOf(call.job)) {
        respond(JobAnswer::of(JobAnswerKind::Done));
        return;
    }
    JobRecord repeat;
    repeat.id = call.job;
    const SubmitOutcome outcome = scheduler.submit(std::move(repeat), now, toUnixMilliseconds(wallNow()));
    answerAfter(outcome.batch, call, JobAnswer::of(JobAnswerKind::Done), respond);
}

void Reign::Impl::answerAfter(std::uint64_t batch, const JobCall &call, JobAnswer answer, Responder respond)
{
    if (scheduler.isStored(batch)) {
        respond(std::move(answer));
        return;
    }
    // The caller's node may have another time of day, so what the store does in its usual time is waited for.
    const std::int64_t wallMs = toUnixMilliseconds(wallNow());
    const std::int64_t expiresMs = std::max(call.deadlineMs - AnswerMarginMs, wallMs + AnswerTimeLeastMs);
    answers.push_back({batch, std::move(answer), expiresMs, call.job, std::move(respond)});
}

Reign::Reign(const ReignContext &context, std::uint64_t epoch, Inheritance inheritance, std::function<void(std::string reason)> onDeposed)
    : m_impl(std::make_shared<Impl>(context, epoch, std::move(inheritance), std::move(onDeposed)))
{
}

Reign::~Reign()
{
    m_impl->end();
}

}
