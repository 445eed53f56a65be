#include "upstream/taskexchange.h"

#include "upstream/taskprotocol.h"

#include <httplib.h>

#include <charconv>
#include <thread>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

constexpr auto MinRetryDelay = 20ms;
/** A read may time out this much early, because socket timeouts are rounded to whole milliseconds. */
constexpr auto TimeoutTolerance = 5ms;

/** State and outcome of a task according to one HTTP answer. */
struct Reply {
    TaskState state = TaskState::NotStarted;
    TaskOutcome outcome;
};

/** Why an HTTP request gave no valid answer. */
enum class CallFailure {
    /** The request never reached the worker. */
    NotSent,
    /** The request may have reached the worker: there was no answer, or it was invalid. */
    NoValidAnswer,
    /** The worker at the address is another incarnation. */
    Replaced,
};

using CallResult = std::variant<Reply, CallFailure>;

std::optional<std::uint64_t> numberHeader(const httplib::Response &response, const char *name)
{
    const std::string text = response.get_header_value(name);
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

NotRunReason refusalReason(const httplib::Response &response)
{
    const std::string reason = response.get_header_value("Refusal");
    if (reason == "leaving") {
        return NotRunReason::Leaving;
    }
    if (reason == "replaced") {
        return NotRunReason::Replaced;
    }
    return reason == "lease-expired" ? NotRunReason::LeaseExpired : NotRunReason::NoSlot;
}

TaskOutcome outcomeOf(TaskState state, const httplib::Response &response)
{
    switch (state) {
    case TaskState::Finished:
    case TaskState::Failed:
        return TaskAnswered{state == TaskState::Finished, response.body, response.get_header_value("Content-Type")};
    case TaskState::Fenced:
        return TaskNotRun{NotRunReason::Fenced};
    case TaskState::NotStarted:
        return TaskNotRun{refusalReason(response)};
    case TaskState::Running:
    case TaskState::Stopped:
        break;
    }
    return TaskUnknown{"the task was " + std::string(toName(state))};
}

bool carriesAnswer(TaskState state)
{
    return state == TaskState::Finished || state == TaskState::Failed;
}

/** Checks an HTTP result and reads the state of task @p taskId from it; adds observations about the worker to @p report. */
CallResult interpret(const httplib::Result &result, const std::string &taskId, std::uint64_t incarnation, WorkerReport &report)
{
    if (!result) {
        return isNotSent(result.error()) ? CallFailure::NotSent : CallFailure::NoValidAnswer;
    }
    const httplib::Response &response = *result;
    const std::optional<std::uint64_t> answeredBy = numberHeader(response, TaskHeader::WorkerIncarnation);
    if (answeredBy && *answeredBy != incarnation) {
        return CallFailure::Replaced;
    }
    const std::optional<TaskState> state = parseTaskState(response.get_header_value(TaskHeader::TaskState));
    if (!answeredBy || !state || response.get_header_value(TaskHeader::TaskId) != taskId) {
        report.invalidAnswer = true;
        return CallFailure::NoValidAnswer;
    }
    if (carriesAnswer(*state) && response.get_header_value(TaskHeader::ContentDigest) != contentDigest(response.body)) {
        report.invalidAnswer = true;
        return CallFailure::NoValidAnswer;
    }
    if (const std::optional<std::uint64_t> slotsFree = numberHeader(response, TaskHeader::SlotsFree)) {
        // Limited so that the value fits into an int.
        report.slotsFree = static_cast<int>(std::min<std::uint64_t>(*slotsFree, 1000000));
    }
    return Reply{*state, outcomeOf(*state, response)};
}

/** One exchange about one task, with the parameters that all of its requests share. */
class Exchange
{
public:
    Exchange(
        HttpClientPool &clients, std::uint64_t incarnation, const ExchangeLimits &limits, const std::string &taskId, SteadyTime deadline, WorkerReport &report)
        : m_clients(clients)
        , m_incarnation(incarnation)
        , m_limits(limits)
        , m_taskId(taskId)
        , m_deadline(deadline)
        , m_report(report)
    {
    }

    TaskOutcome run(const Task &task)
    {
        m_mayRenew = task.mayRenew;
        const SteadyTime startedAt = steadyNow();
        const SteadyTime answerDeadline = std::min(m_deadline - m_limits.deadlineMargin, startedAt + m_limits.responseTimeout);
        if (answerDeadline <= startedAt) {
            return TaskNotRun{NotRunReason::Unreachable};
        }
        const CallResult sent = post(task, answerDeadline);
        if (const auto *reply = std::get_if<Reply>(&sent)) {
            return reply->state == TaskState::Running ? pollUntilEnded() : reply->outcome;
        }
        switch (std::get<CallFailure>(sent)) {
        case CallFailure::NotSent:
            return TaskNotRun{NotRunReason::Unreachable};
        case CallFailure::Replaced:
            // The request names the incarnation that it is meant for; a worker of another incarnation refuses it.
            return TaskNotRun{NotRunReason::Replaced};
        case CallFailure::NoValidAnswer:
            m_report.connectionTimedOut = m_report.connectionTimedOut || steadyNow() + TimeoutTolerance >= answerDeadline;
            return pollUntilEnded();
        }
        return TaskUnknown{"unreachable"};
    }

    // Polls for the answer on new connections, and ends the task shortly before the deadline.
    TaskOutcome pollUntilEnded()
    {
        int failures = 0;
        while (steadyNow() < m_deadline - m_limits.deadlineMargin) {
            const CallResult result = get(ConnectionReuse::Never);
            if (const auto *reply = std::get_if<Reply>(&result)) {
                failures = 0;
                if (reply->state == TaskState::NotStarted) {
                    return end();
                }
                if (reply->state != TaskState::Running) {
                    return reply->outcome;
                }
                continue;
            }
            if (std::get<CallFailure>(result) == CallFailure::Replaced) {
                return TaskUnknown{"the worker was replaced while it had the task"};
            }
            if (++failures >= m_limits.maxStatusAttempts) {
                return TaskUnknown{"the worker does not answer about the task"};
            }
            std::this_thread::sleep_until(std::min(m_deadline, steadyNow() + MinRetryDelay * (1 << failures)));
        }
        return end();
    }

    // Waits for a task that another sender starts. Ends it only if it still runs shortly before the deadline.
    TaskOutcome attach()
    {
        // An open connection may be reused: no request on it has failed, and it is closed if this one times out.
        const CallResult result = get(ConnectionReuse::Allowed);
        if (const auto *reply = std::get_if<Reply>(&result)) {
            if (reply->state == TaskState::Running) {
                return pollUntilEnded();
            }
            return reply->outcome;
        }
        if (std::get<CallFailure>(result) == CallFailure::Replaced) {
            return TaskUnknown{"the worker was replaced while it had the task"};
        }
        return TaskUnknown{"the worker does not answer about the task"};
    }

    TaskOutcome end()
    {
        const SteadyTime answerDeadline = std::max(m_deadline, steadyNow() + m_limits.deadlineMargin);
        for (int attempt = 0; attempt < m_limits.maxStatusAttempts && steadyNow() < answerDeadline; ++attempt) {
            HttpClientPool::ClientHandle client = m_clients.take(answerDeadline, ConnectionReuse::Never);
            if (!client) {
                break;
            }
            const httplib::Result answer = client->Delete("/tasks/" + m_taskId);
            const CallResult result = interpret(answer, m_taskId, m_incarnation, m_report);
            if (const auto *reply = std::get_if<Reply>(&result)) {
                m_clients.giveBack(std::move(client));
                return reply->outcome;
            }
            if (std::get<CallFailure>(result) == CallFailure::Replaced) {
                return TaskUnknown{"the worker was replaced while it had the task"};
            }
        }
        return TaskUnknown{"the worker does not answer about the task"};
    }

private:
    CallResult post(const Task &task, SteadyTime answerDeadline)
    {
        HttpClientPool::ClientHandle client = m_clients.take(answerDeadline);
        if (!client) {
            return CallFailure::NotSent;
        }
        const httplib::Headers headers{{TaskHeader::RequestId, task.requestId},
                                       {TaskHeader::Team, task.team},
                                       {TaskHeader::Service, task.service},
                                       {TaskHeader::WorkerIncarnation, std::to_string(m_incarnation)},
                                       {TaskHeader::LeaseUntil, leaseUntil(task.permitTakenAt)}};
        const httplib::Result answer = client->Post("/tasks/" + m_taskId, headers, task.payload, "application/octet-stream");
        return handleAnswer(std::move(client), answer);
    }

    CallResult get(ConnectionReuse reuse)
    {
        const SteadyTime now = steadyNow();
        const SteadyTime pollUntil = std::min(m_deadline - m_limits.deadlineMargin, now + m_limits.pollInterval);
        HttpClientPool::ClientHandle client = m_clients.take(std::min(m_deadline, pollUntil + m_limits.responseTimeout), reuse);
        if (!client) {
            return CallFailure::NotSent;
        }
        const std::string path = "/tasks/" + m_taskId + "/answer?wait-ms=" + std::to_string(remaining(pollUntil, now).count());
        httplib::Headers headers;
        // Only the sender that holds the team's permit may keep a task running.
        if (m_mayRenew && m_mayRenew()) {
            headers.emplace(TaskHeader::LeaseUntil, leaseUntil(wallNow()));
        }
        const httplib::Result answer = client->Get(path, headers);
        return handleAnswer(std::move(client), answer);
    }

    // A connection is reused only after a valid answer.
    CallResult handleAnswer(HttpClientPool::ClientHandle client, const httplib::Result &answer)
    {
        CallResult result = interpret(answer, m_taskId, m_incarnation, m_report);
        if (std::holds_alternative<Reply>(result)) {
            m_clients.giveBack(std::move(client));
        }
        return result;
    }

    std::string leaseUntil(WallTime from) const
    {
        const WallTime deadline = wallNow() + remaining(m_deadline, steadyNow());
        return std::to_string(toUnixMilliseconds(std::min(from + m_limits.leaseLifetime, deadline)));
    }

    HttpClientPool &m_clients;
    const std::uint64_t m_incarnation;
    const ExchangeLimits &m_limits;
    const std::string &m_taskId;
    const SteadyTime m_deadline;
    WorkerReport &m_report;
    std::function<bool()> m_mayRenew;
};

}

TaskExchange::TaskExchange(Address address, std::uint64_t incarnation, std::size_t maxConnections, ExchangeLimits limits)
    : m_clients(std::move(address), maxConnections)
    , m_incarnation(incarnation)
    , m_limits(limits)
{
}

TaskOutcome TaskExchange::run(const Task &task, SteadyTime deadline, WorkerReport &report)
{
    return Exchange(m_clients, m_incarnation, m_limits, task.id, deadline, report).run(task);
}

TaskOutcome TaskExchange::attach(const std::string &taskId, SteadyTime deadline, WorkerReport &report)
{
    return Exchange(m_clients, m_incarnation, m_limits, taskId, deadline, report).attach();
}

TaskOutcome TaskExchange::cancel(const std::string &taskId, SteadyTime deadline, WorkerReport &report)
{
    return Exchange(m_clients, m_incarnation, m_limits, taskId, deadline, report).end();
}

std::chrono::milliseconds TaskExchange::leaseLifetime() const
{
    return m_limits.leaseLifetime;
}

}
