#include "upstream/taskexchange.h"

#include "upstream/taskprotocol.h"

#include <httplib.h>

#include <charconv>
#include <thread>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

constexpr auto RetryDelayLeast = 20ms;
/** A read times out up to this much early, because sockets count whole milliseconds. */
constexpr auto TimerSlack = 5ms;

/** What one HTTP answer says of the task. */
struct Reply {
    TaskState state = TaskState::NotStarted;
    TaskOutcome outcome;
};

/** Why an HTTP call gave no usable reply. */
enum class CallFailure {
    /** The request never reached the worker. */
    NotSent,
    /** The request may have reached the worker. */
    Lost,
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

/** Turns an HTTP result into what it proves about the task @p taskId. */
CallResult interpret(const httplib::Result &result, const std::string &taskId, std::uint64_t incarnation, WorkerReport &report)
{
    if (!result) {
        return isNotSent(result.error()) ? CallFailure::NotSent : CallFailure::Lost;
    }
    const httplib::Response &response = *result;
    const std::optional<std::uint64_t> answeredBy = numberHeader(response, TaskHeader::WorkerIncarnation);
    if (answeredBy && *answeredBy != incarnation) {
        return CallFailure::Replaced;
    }
    const std::optional<TaskState> state = parseTaskState(response.get_header_value(TaskHeader::TaskState));
    if (!answeredBy || !state || response.get_header_value(TaskHeader::TaskId) != taskId) {
        report.badAnswer = true;
        return CallFailure::Lost;
    }
    if (carriesAnswer(*state) && response.get_header_value(TaskHeader::ContentDigest) != contentDigest(response.body)) {
        report.badAnswer = true;
        return CallFailure::Lost;
    }
    if (const std::optional<std::uint64_t> slotsFree = numberHeader(response, TaskHeader::SlotsFree)) {
        report.slotsFree = static_cast<int>(std::min<std::uint64_t>(*slotsFree, 1000000));
    }
    return Reply{*state, outcomeOf(*state, response)};
}

/** One exchange about one task: holds what its steps share. */
class Exchange
{
public:
    Exchange(
        HttpClients &clients, std::uint64_t incarnation, const ExchangeLimits &limits, const std::string &taskId, SteadyTime deadline, WorkerReport &report)
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
        const SteadyTime begun = steadyNow();
        const SteadyTime answerBy = std::min(m_deadline - m_limits.reserve, begun + m_limits.silence);
        if (answerBy <= begun) {
            return TaskNotRun{NotRunReason::Unreachable};
        }
        const CallResult sent = post(task, answerBy);
        if (const auto *reply = std::get_if<Reply>(&sent)) {
            return reply->state == TaskState::Running ? follow() : reply->outcome;
        }
        switch (std::get<CallFailure>(sent)) {
        case CallFailure::NotSent:
            return TaskNotRun{NotRunReason::Unreachable};
        case CallFailure::Replaced:
            // The request names the incarnation it is for; another one refuses it.
            return TaskNotRun{NotRunReason::Replaced};
        case CallFailure::Lost:
            m_report.silentConnection = m_report.silentConnection || steadyNow() + TimerSlack >= answerBy;
            return follow();
        }
        return TaskUnknown{"unreachable"};
    }

    // Asks for the answer on new connections until it is there, or ends the task at the deadline.
    TaskOutcome follow()
    {
        int failures = 0;
        while (steadyNow() < m_deadline - m_limits.reserve) {
            const CallResult result = get(Reuse::Never);
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
            if (++failures >= m_limits.resolveAttempts) {
                return TaskUnknown{"the worker does not answer about the task"};
            }
            std::this_thread::sleep_until(std::min(m_deadline, steadyNow() + RetryDelayLeast * (1 << failures)));
        }
        return end();
    }

    // Waits for a task that some other sender is to start; never ends it.
    TaskOutcome attach()
    {
        // Nothing is known against the open connections; a silent one times out and is closed.
        const CallResult result = get(Reuse::Allowed);
        if (const auto *reply = std::get_if<Reply>(&result)) {
            if (reply->state == TaskState::Running) {
                return follow();
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
        const SteadyTime answerBy = std::max(m_deadline, steadyNow() + m_limits.reserve);
        for (int attempt = 0; attempt < m_limits.resolveAttempts && steadyNow() < answerBy; ++attempt) {
            HttpClients::Lease client = m_clients.take(answerBy, Reuse::Never);
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
    CallResult post(const Task &task, SteadyTime answerBy)
    {
        HttpClients::Lease client = m_clients.take(answerBy);
        if (!client) {
            return CallFailure::NotSent;
        }
        const httplib::Headers headers{{TaskHeader::RequestId, task.requestId},
                                       {TaskHeader::Team, task.team},
                                       {TaskHeader::Service, task.service},
                                       {TaskHeader::WorkerIncarnation, std::to_string(m_incarnation)},
                                       {TaskHeader::LeaseUntil, leaseUntil(task.permitAt)}};
        const httplib::Result answer = client->Post("/tasks/" + m_taskId, headers, task.payload, "application/octet-stream");
        return settle(std::move(client), answer);
    }

    CallResult get(Reuse reuse)
    {
        const SteadyTime now = steadyNow();
        const SteadyTime pollUntil = std::min(m_deadline - m_limits.reserve, now + m_limits.poll);
        HttpClients::Lease client = m_clients.take(std::min(m_deadline, pollUntil + m_limits.silence), reuse);
        if (!client) {
            return CallFailure::NotSent;
        }
        const std::string path = "/tasks/" + m_taskId + "/answer?wait-ms=" + std::to_string(remaining(pollUntil, now).count());
        httplib::Headers headers;
        // Only the sender that holds the team's permit keeps a task running.
        if (m_mayRenew && m_mayRenew()) {
            headers.emplace(TaskHeader::LeaseUntil, leaseUntil(wallNow()));
        }
        const httplib::Result answer = client->Get(path, headers);
        return settle(std::move(client), answer);
    }

    // Only a connection with a whole and matching answer is used again.
    CallResult settle(HttpClients::Lease client, const httplib::Result &answer)
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
        return std::to_string(toUnixMilliseconds(std::min(from + m_limits.lease, deadline)));
    }

    HttpClients &m_clients;
    const std::uint64_t m_incarnation;
    const ExchangeLimits &m_limits;
    const std::string &m_taskId;
    const SteadyTime m_deadline;
    WorkerReport &m_report;
    std::function<bool()> m_mayRenew;
};

}

TaskExchange::TaskExchange(Address address, std::uint64_t incarnation, std::size_t connectionsMax, ExchangeLimits limits)
    : m_clients(std::move(address), connectionsMax)
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

TaskOutcome TaskExchange::end(const std::string &taskId, SteadyTime deadline, WorkerReport &report)
{
    return Exchange(m_clients, m_incarnation, m_limits, taskId, deadline, report).end();
}

std::chrono::milliseconds TaskExchange::lease() const
{
    return m_limits.lease;
}

}
