#include "load/runner.h"

#include "records/identifiers.h"
#include "standin/workerstandin.h"
#include "timing/instant.h"
#include "transport/httpclients.h"
#include "upstream/taskexchange.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <array>
#include <mutex>
#include <thread>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

/** How much longer than a request's deadline a caller waits for the answer. */
constexpr auto AnswerGrace = 3s;
constexpr std::size_t ConnectionsPerTarget = 4096;
constexpr auto ReadinessInterval = 50ms;
constexpr auto ReadinessTimeout = 500ms;
constexpr int StatusOk = 200;

CallResult resultOf(const std::string &outcome)
{
    if (outcome == "answered") {
        return CallResult::Answered;
    }
    return outcome == "not-run" ? CallResult::NotRun : CallResult::Unknown;
}

/** Sends requests from several threads and gathers their records. */
class PlanRunner
{
public:
    PlanRunner(const LoadSettings &settings, const std::vector<PlannedRequest> &plan, const std::atomic<bool> &stopping)
        : m_settings(settings)
        , m_plan(plan)
        , m_stopping(stopping)
        , m_begun(steadyNow())
        , m_ready(settings.targets.size())
    {
        for (std::atomic<bool> &ready : m_ready) {
            ready = true;
        }
        for (const Address &target : settings.targets) {
            m_clients.push_back(std::make_unique<HttpClients>(target, ConnectionsPerTarget));
        }
        for (const DirectTarget &target : settings.direct) {
            m_workers.push_back(std::make_unique<TaskExchange>(target.address, target.incarnation, ConnectionsPerTarget, ExchangeLimits{}));
        }
    }

    std::vector<CallRecord> run()
    {
        std::thread watcher;
        if (m_settings.balance) {
            watcher = std::thread([this] {
                watchReadiness();
            });
        }
        std::vector<std::thread> threads;
        for (std::size_t index = 0; index < m_settings.threads; ++index) {
            threads.emplace_back([this] {
                work();
            });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        m_finished = true;
        if (watcher.joinable()) {
            watcher.join();
        }
        return std::move(m_records);
    }

private:
    void work()
    {
        while (!m_stopping) {
            const std::size_t index = m_next++;
            if (index >= m_plan.size()) {
                return;
            }
            const PlannedRequest &request = m_plan[index];
            std::this_thread::sleep_until(m_begun + request.at);
            sendCopies(request);
        }
    }

    void sendCopies(const PlannedRequest &request)
    {
        std::vector<std::thread> others;
        for (std::size_t copy = 1; copy < request.targets.size(); ++copy) {
            others.emplace_back([this, &request, copy] {
                add(send(request, request.targets[copy]));
            });
        }
        add(send(request, request.targets.front()));
        for (std::thread &other : others) {
            other.join();
        }
    }

    // Without a node the task goes round robin to the workers, in their own protocol.
    CallRecord sendDirect(const PlannedRequest &request)
    {
        const SteadyTime begun = steadyNow();
        CallRecord record;
        record.request = request.index;
        record.startedAt = std::chrono::duration_cast<std::chrono::microseconds>(begun - m_begun);
        TaskExchange &worker = *m_workers[request.index % m_workers.size()];
        const std::string &team = m_settings.teams[request.team].name;
        WorkerReport report;
        const Task task{toHex(newRecordId()), request.requestId, team, request.service, request.payload, wallNow(), nullptr};
        const TaskOutcome outcome = worker.run(task, begun + m_settings.deadline, report);
        record.latency = std::chrono::duration_cast<std::chrono::microseconds>(steadyNow() - begun);
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
        for (std::size_t tried = 0; tried < m_ready.size(); ++tried) {
            const std::size_t candidate = (target + tried) % m_ready.size();
            if (!m_ready[candidate]) {
                continue;
            }
            record = sendTo(request, candidate);
            const bool elsewhere = record.result == CallResult::NotSent || record.reason == "stopping" || record.reason == "stale-view";
            if (!elsewhere) {
                break;
            }
        }
        return record;
    }

    // Health checks as a balancer makes them.
    void watchReadiness()
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
        const SteadyTime begun = steadyNow();
        const SteadyTime deadline = begun + m_settings.deadline;
        CallRecord record;
        record.request = request.index;
        record.target = target;
        record.startedAt = std::chrono::duration_cast<std::chrono::microseconds>(begun - m_begun);
        record.startedWall = toUnixMilliseconds(wallNow());
        HttpClients::Lease client = m_clients[target]->take(deadline + AnswerGrace);
        const httplib::Result result = client->Post("/v1/services/" + request.service + "/requests", headers(request), request.payload, "text/plain");
        record.latency = std::chrono::duration_cast<std::chrono::microseconds>(steadyNow() - begun);
        if (!result) {
            record.result = isNotSent(result.error()) ? CallResult::NotSent : CallResult::Cut;
            return record;
        }
        m_clients[target]->giveBack(std::move(client));
        judge(request, *result, record);
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

    static void judge(const PlannedRequest &request, const httplib::Response &response, CallRecord &record)
    {
        record.status = response.status;
        record.result = resultOf(response.get_header_value("Outcome"));
        if (record.result == CallResult::Answered) {
            const bool failedTask = response.status >= 500;
            record.correct = failedTask || response.body == answerFor(request.requestId, request.payload);
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
    const SteadyTime m_begun;
    std::vector<std::atomic<bool>> m_ready;
    std::atomic<bool> m_finished = false;
    std::vector<std::unique_ptr<HttpClients>> m_clients;
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
