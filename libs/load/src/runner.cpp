#include "load/runner.h"

#include "records/identifiers.h"
#include "standin/workerstandin.h"
#include "timing/instant.h"
#include "transport/httpclientpool.h"
#include "upstream/taskexchange.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <array>
#include <mutex>
#include <thread>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

/** A caller waits this much longer than a request's deadline for its answer. */
constexpr auto AnswerGrace = 3s;
constexpr std::size_t MaxConnectionsPerTarget = 4096;
constexpr auto ReadinessInterval = 50ms;
constexpr auto ReadinessTimeout = 500ms;
constexpr int StatusOk = 200;

CallResult toResult(const std::string &outcome)
{
    if (outcome == "answered") {
        return CallResult::Answered;
    }
    return outcome == "not-run" ? CallResult::NotRun : CallResult::Unknown;
}

/** Sends the schedule from several threads and collects the records. */
class PlanRunner
{
public:
    PlanRunner(const LoadSettings &settings, const std::vector<PlannedRequest> &plan, const std::atomic<bool> &stopping)
        : m_settings(settings)
        , m_plan(plan)
        , m_stopping(stopping)
        , m_startedAt(steadyNow())
        , m_ready(settings.targets.size())
    {
        for (std::atomic<bool> &ready : m_ready) {
            ready = true;
        }
        for (const Address &target : settings.targets) {
            m_clients.push_back(std::make_unique<HttpClientPool>(target, MaxConnectionsPerTarget));
        }
        for (const DirectTarget &target : settings.direct) {
            m_workers.push_back(std::make_unique<TaskExchange>(target.address, target.incarnation, MaxConnectionsPerTarget, ExchangeLimits{}));
        }
    }

    std::vector<CallRecord> run()
    {
        std::thread readinessPoller;
        if (m_settings.balance) {
            readinessPoller = std::thread([this] {
                pollReadiness();
            });
        }
        std::vector<std::thread> threads;
        for (std::size_t index = 0; index < m_settings.threads; ++index) {
            threads.emplace_back([this] {
                sendUntilDone();
            });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        m_finished = true;
        if (readinessPoller.joinable()) {
            readinessPoller.join();
        }
        return std::move(m_records);
    }

private:
    void sendUntilDone()
    {
        while (!m_stopping) {
            const std::size_t index = m_next++;
            if (index >= m_plan.size()) {
                return;
            }
            const PlannedRequest &request = m_plan[index];
            std::this_thread::sleep_until(m_startedAt + request.sendOffset);
            sendCopies(request);
        }
    }

    void sendCopies(const PlannedRequest &request)
    {
        std::vector<std::thread> otherCopies;
        for (std::size_t copy = 1; copy < request.targets.size(); ++copy) {
            otherCopies.emplace_back([this, &request, copy] {
                add(send(request, request.targets[copy]));
            });
        }
        add(send(request, request.targets.front()));
        for (std::thread &otherCopy : otherCopies) {
            otherCopy.join();
        }
    }

    // Sends the task directly to a worker, round robin, in the worker protocol.
    CallRecord sendDirect(const PlannedRequest &request)
    {
        const SteadyTime startedAt = steadyNow();
        CallRecord record;
        record.request = request.index;
        record.startOffset = std::chrono::duration_cast<std::chrono::microseconds>(startedAt - m_startedAt);
        TaskExchange &worker = *m_workers[request.index % m_workers.size()];
        const std::string &team = m_settings.teams[request.team].name;
        WorkerReport report;
        const Task task{toHex(newRecordId()), request.requestId, team, request.service, request.payload, wallNow(), nullptr};
        const TaskOutcome outcome = worker.run(task, startedAt + m_settings.deadline, report);
        record.latency = std::chrono::duration_cast<std::chrono::microseconds>(steadyNow() - startedAt);
        const auto *answered = std::get_if<TaskAnswered>(&outcome);
        record.result = answered != nullptr ? CallResult::Answered : CallResult::NotRun;
        record.correct = answered == nullptr || answered->body == answerFor(request.requestId, request.payload);
        return record;
    }

    CallRecord send(const PlannedRequest &request, std::size_t target)
    {
        if (!m_workers.empty()) {
            return sendDirect(request);
        }
        if (!m_settings.balance) {
            return sendTo(request, target);
        }
        CallRecord record;
        for (std::size_t attempt = 0; attempt < m_ready.size(); ++attempt) {
            const std::size_t candidate = (target + attempt) % m_ready.size();
            if (!m_ready[candidate]) {
                continue;
            }
            record = sendTo(request, candidate);
            const bool tryNextTarget = record.result == CallResult::NotSent || record.reason == "stopping" || record.reason == "stale-view";
            if (!tryNextTarget) {
                break;
            }
        }
        return record;
    }

    // Polls the readiness of the nodes, like the health checks of a load balancer.
    void pollReadiness()
    {
        std::vector<std::unique_ptr<httplib::Client>> clients;
        for (const Address &target : m_settings.targets) {
            clients.push_back(std::make_unique<httplib::Client>(target.host, target.port));
            clients.back()->set_connection_timeout(ReadinessTimeout);
            clients.back()->set_read_timeout(ReadinessTimeout);
        }
        while (!m_finished) {
            for (std::size_t index = 0; index < clients.size(); ++index) {
                const httplib::Result result = clients[index]->Get("/ready");
                m_ready[index] = result && result->status == StatusOk;
            }
            std::this_thread::sleep_until(steadyNow() + ReadinessInterval);
        }
    }

    CallRecord sendTo(const PlannedRequest &request, std::size_t target)
    {
        const SteadyTime startedAt = steadyNow();
        const SteadyTime deadline = startedAt + m_settings.deadline;
        CallRecord record;
        record.request = request.index;
        record.target = target;
        record.startOffset = std::chrono::duration_cast<std::chrono::microseconds>(startedAt - m_startedAt);
        record.startedAtUnixMs = toUnixMilliseconds(wallNow());
        HttpClientPool::ClientHandle client = m_clients[target]->take(deadline + AnswerGrace);
        const httplib::Result result = client->Post("/v1/services/" + request.service + "/requests", headers(request), request.payload, "text/plain");
        record.latency = std::chrono::duration_cast<std::chrono::microseconds>(steadyNow() - startedAt);
        if (!result) {
            record.result = isNotSent(result.error()) ? CallResult::NotSent : CallResult::ConnectionLost;
            return record;
        }
        m_clients[target]->giveBack(std::move(client));
        checkAnswer(request, *result, record);
        return record;
    }

    httplib::Headers headers(const PlannedRequest &request) const
    {
        const WallTime deadline = wallNow() + m_settings.deadline;
        return {{"Authorization", "Bearer " + m_settings.teams[request.team].key},
                {"Request-Id", request.requestId},
                {"Idempotent", request.idempotent ? "true" : "false"},
                {"Urgency", request.urgent ? "urgent" : "normal"},
                {"Deadline", std::to_string(toUnixMilliseconds(deadline))}};
    }

    static void checkAnswer(const PlannedRequest &request, const httplib::Response &response, CallRecord &record)
    {
        record.status = response.status;
        record.result = toResult(response.get_header_value("Outcome"));
        if (record.result == CallResult::Answered) {
            const bool taskFailed = response.status >= 500;
            record.correct = taskFailed || response.body == answerFor(request.requestId, request.payload);
            return;
        }
        const nlohmann::json body = nlohmann::json::parse(response.body, nullptr, false);
        record.reason = body.is_object() ? body.value("reason", "") : "";
        record.correct = body.is_object() && body.value("request-id", "") == request.requestId;
    }

    void add(CallRecord record)
    {
        const std::lock_guard lock(m_mutex);
        m_records.push_back(std::move(record));
    }

    const LoadSettings &m_settings;
    const std::vector<PlannedRequest> &m_plan;
    const std::atomic<bool> &m_stopping;
    const SteadyTime m_startedAt;
    std::vector<std::atomic<bool>> m_ready;
    std::atomic<bool> m_finished = false;
    std::vector<std::unique_ptr<HttpClientPool>> m_clients;
    std::vector<std::unique_ptr<TaskExchange>> m_workers;
    std::atomic<std::size_t> m_next = 0;
    std::mutex m_mutex;
    std::vector<CallRecord> m_records;
};

}

std::string_view toName(CallResult result)
{
    constexpr std::array<std::string_view, 5> Names{"answered", "not-run", "unknown", "not-sent", "cut"};
    return Names[static_cast<std::size_t>(result)];
}

std::vector<CallRecord> runPlan(const LoadSettings &settings, const std::vector<PlannedRequest> &plan, const std::atomic<bool> &stopping)
{
    return PlanRunner(settings, plan, stopping).run();
}

}
