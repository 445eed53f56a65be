#include "standin/workerstandin.h"

#include "details/connectionthreads.h"
#include "details/tasktable.h"

#include <atomic>
#include <charconv>
#include <random>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

constexpr int StatusOk = 200;
constexpr int StatusFailed = 500;
constexpr int StatusRefused = 409;
constexpr std::size_t MaxRequestsPerConnection = 1000000;
constexpr time_t KeepAliveSeconds = 5;
constexpr const char *AnswerType = "text/plain";

/** The fault injected into one answer. */
enum class AnswerFault {
    None,
    Lose,
    Silent,
    Cross,
    Truncate,
    Duplicate,
    Damage,
};

std::int64_t number(const std::string &text)
{
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

}

std::string answerFor(const std::string &requestId, const std::string &payload)
{
    return "answer to " + requestId + ' ' + contentDigest(payload) + ' ' + payload;
}

struct WorkerStandin::Impl {
    Impl(WorkerSettings workerSettings, RunLedger &ledger)
        : settings(std::move(workerSettings))
        , incarnation(settings.incarnation)
        , tasks(settings.slots, ledger)
        , random(settings.seed)
    {
    }

    const WorkerSettings settings;
    std::atomic<std::uint64_t> incarnation;
    Details::TaskTable tasks;
    httplib::Server server;
    int port = -1;
    std::thread listener;

    mutable std::mutex mutex;
    std::condition_variable changed;
    WorkerFaults faults;
    std::mt19937_64 random;
    bool stopping = false;

    void addHandlers();
    WorkerFaults currentFaults() const;
    AnswerFault drawFault();
    void waitWhilePaused();
    void waitSilent();
    void describe(httplib::Response &response, const std::string &taskId, TaskState state) const;
    void refuse(httplib::Response &response, const std::string &taskId, TaskState state, const char *refusal) const;
    void writeRecord(httplib::Response &response, const std::string &taskId, const Details::TaskRecord &task) const;
    void writeWithFault(httplib::Response &response, const std::string &taskId, const Details::TaskRecord &task);
    void runTask(const httplib::Request &request, httplib::Response &response);
};

WorkerFaults WorkerStandin::Impl::currentFaults() const
{
    const std::lock_guard lock(mutex);
    return faults;
}

AnswerFault WorkerStandin::Impl::drawFault()
{
    const std::lock_guard lock(mutex);
    double draw = std::uniform_real_distribution<double>(0, 1)(random);
    const std::pair<double, AnswerFault> choices[] = {{faults.loseAnswer, AnswerFault::Lose},
                                                      {faults.silent, AnswerFault::Silent},
                                                      {faults.cross, AnswerFault::Cross},
                                                      {faults.truncate, AnswerFault::Truncate},
                                                      {faults.duplicate, AnswerFault::Duplicate},
                                                      {faults.damage, AnswerFault::Damage}};
    for (const auto &[rate, fault] : choices) {
        if (draw < rate) {
            return fault;
        }
        draw -= rate;
    }
    return AnswerFault::None;
}

void WorkerStandin::Impl::waitWhilePaused()
{
    std::unique_lock lock(mutex);
    changed.wait(lock, [&] {
        return stopping || !faults.paused;
    });
}

void WorkerStandin::Impl::waitSilent()
{
    constexpr auto SilentAnswerTimeout = 20s;
    std::unique_lock lock(mutex);
    changed.wait_for(lock, SilentAnswerTimeout, [&] {
        return stopping;
    });
}

void WorkerStandin::Impl::describe(httplib::Response &response, const std::string &taskId, TaskState state) const
{
    response.set_header(TaskHeader::WorkerIncarnation, std::to_string(incarnation));
    response.set_header(TaskHeader::TaskId, taskId);
    response.set_header(TaskHeader::TaskState, std::string(toName(state)));
    response.set_header(TaskHeader::SlotsFree, std::to_string(tasks.slotsFree()));
}

void WorkerStandin::Impl::refuse(httplib::Response &response, const std::string &taskId, TaskState state, const char *refusal) const
{
    describe(response, taskId, state);
    response.status = StatusRefused;
    response.set_header("Refusal", refusal);
}

void WorkerStandin::Impl::writeRecord(httplib::Response &response, const std::string &taskId, const Details::TaskRecord &task) const
{
    describe(response, taskId, task.state);
    const bool hasAnswer = task.state == TaskState::Finished || task.state == TaskState::Failed;
    response.status = task.state == TaskState::Failed ? StatusFailed : StatusOk;
    if (hasAnswer) {
        response.set_header(TaskHeader::ContentDigest, contentDigest(task.answer));
        response.set_content(task.answer, AnswerType);
    }
}

void WorkerStandin::Impl::writeWithFault(httplib::Response &response, const std::string &taskId, const Details::TaskRecord &task)
{
    const AnswerFault fault = drawFault();
    const std::string answer = task.answer;
    if (fault == AnswerFault::Silent) {
        waitSilent();
    }
    if (fault == AnswerFault::Cross) {
        if (const auto other = tasks.findOtherFinished(taskId)) {
            writeRecord(response, other->first, other->second);
            return;
        }
    }
    writeRecord(response, taskId, task);
    if (answer.empty()) {
        return;
    }
    if (fault == AnswerFault::Lose || fault == AnswerFault::Truncate || fault == AnswerFault::Silent) {
        const std::size_t sentBytes = fault == AnswerFault::Truncate ? answer.size() / 2 : 0;
        response.set_content_provider(answer.size(), AnswerType, [answer, sentBytes](std::size_t, std::size_t, httplib::DataSink &sink) {
            if (sentBytes > 0) {
                sink.write(answer.data(), sentBytes);
            }
            return false;
        });
    } else if (fault == AnswerFault::Damage) {
        response.body.back() = static_cast<char>(response.body.back() ^ 1);
    } else if (fault == AnswerFault::Duplicate) {
        const std::string second = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale";
        response.set_content_provider(answer.size(), AnswerType, [answer, second](std::size_t, std::size_t, httplib::DataSink &sink) {
            const std::string both = answer + second;
            return sink.write(both.data(), both.size());
        });
    }
}

void WorkerStandin::Impl::runTask(const httplib::Request &request, httplib::Response &response)
{
    waitWhilePaused();
    const std::string taskId = request.matches[1];
    if (static_cast<std::uint64_t>(number(request.get_header_value(TaskHeader::WorkerIncarnation))) != incarnation) {
        refuse(response, taskId, TaskState::NotStarted, "replaced");
        return;
    }
    const WorkerFaults current = currentFaults();
    const Details::TaskStart start{taskId,
                                   request.get_header_value(TaskHeader::RequestId),
                                   request.get_header_value(TaskHeader::Team),
                                   request.body,
                                   fromUnixMilliseconds(number(request.get_header_value(TaskHeader::LeaseUntil))),
                                   current.failing};
    switch (tasks.run(start)) {
    case Details::TaskRefusal::NoSlot:
        refuse(response, taskId, TaskState::NotStarted, "no-slot");
        return;
    case Details::TaskRefusal::Leaving:
        refuse(response, taskId, TaskState::NotStarted, "leaving");
        return;
    case Details::TaskRefusal::LeaseExpired:
        refuse(response, taskId, TaskState::NotStarted, "lease-expired");
        return;
    case Details::TaskRefusal::Fenced:
        refuse(response, taskId, TaskState::Fenced, "fenced");
        return;
    case Details::TaskRefusal::None:
        break;
    }
    if (current.delay > 0ms) {
        std::unique_lock lock(mutex);
        changed.wait_for(lock, current.delay, [&] {
            return stopping;
        });
    }
    waitWhilePaused();
    writeWithFault(response, taskId, tasks.find(taskId));
}

void WorkerStandin::Impl::addHandlers()
{
    server.Post("/tasks/([0-9a-f-]+)", [this](const httplib::Request &request, httplib::Response &response) {
        runTask(request, response);
    });
    server.Get("/tasks/([0-9a-f-]+)/answer", [this](const httplib::Request &request, httplib::Response &response) {
        waitWhilePaused();
        const std::string taskId = request.matches[1];
        std::optional<WallTime> lease;
        if (request.has_header(TaskHeader::LeaseUntil)) {
            lease = fromUnixMilliseconds(number(request.get_header_value(TaskHeader::LeaseUntil)));
        }
        const SteadyTime until = steadyNow() + std::chrono::milliseconds(number(request.get_param_value("wait-ms")));
        writeRecord(response, taskId, tasks.await(taskId, until, lease));
    });
    server.Delete("/tasks/([0-9a-f-]+)", [this](const httplib::Request &request, httplib::Response &response) {
        waitWhilePaused();
        const std::string taskId = request.matches[1];
        writeRecord(response, taskId, tasks.end(taskId));
    });
    server.Get("/health", [this](const httplib::Request &, httplib::Response &response) {
        waitWhilePaused();
        response.set_header(TaskHeader::WorkerIncarnation, std::to_string(incarnation));
        response.set_content("ok\n", "text/plain");
    });
}

WorkerStandin::WorkerStandin(WorkerSettings settings, RunLedger &ledger)
    : m_impl(std::make_unique<Impl>(std::move(settings), ledger))
{
    m_impl->server.new_task_queue = [] {
        return new Details::ConnectionThreads();
    };
    m_impl->server.set_keep_alive_max_count(MaxRequestsPerConnection);
    m_impl->server.set_keep_alive_timeout(KeepAliveSeconds);
    m_impl->server.set_tcp_nodelay(true);
    m_impl->addHandlers();
    m_impl->port = m_impl->server.bind_to_any_port("127.0.0.1");
    m_impl->listener = std::thread([this] {
        m_impl->server.listen_after_bind();
    });
    while (!m_impl->server.is_running()) {
        std::this_thread::yield();
    }
}

WorkerStandin::~WorkerStandin()
{
    stop();
}

void WorkerStandin::setFaults(WorkerFaults faults)
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->faults = faults;
    m_impl->changed.notify_all();
}

void WorkerStandin::setLeaving(bool leaving)
{
    m_impl->tasks.setLeavingSince(leaving ? std::optional(steadyNow()) : std::nullopt);
}

void WorkerStandin::setDraining(bool draining)
{
    m_impl->tasks.setDraining(draining);
}

void WorkerStandin::restart(std::uint64_t incarnation)
{
    m_impl->incarnation = incarnation;
    m_impl->tasks.clear();
    m_impl->tasks.setDraining(false);
    m_impl->tasks.setLeavingSince(std::nullopt);
}

void WorkerStandin::stop()
{
    {
        const std::lock_guard lock(m_impl->mutex);
        m_impl->stopping = true;
        m_impl->changed.notify_all();
    }
    m_impl->tasks.clear();
    if (m_impl->listener.joinable()) {
        m_impl->server.stop();
        m_impl->listener.join();
    }
}

Address WorkerStandin::address() const
{
    return {"127.0.0.1", static_cast<std::uint16_t>(m_impl->port)};
}

std::uint64_t WorkerStandin::incarnation() const
{
    return m_impl->incarnation;
}

int WorkerStandin::running() const
{
    return m_impl->tasks.running();
}

}
