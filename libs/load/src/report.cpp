#include "load/report.h"

#include "platform/platformservice.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace Cornelquay {

namespace {

using Json = nlohmann::ordered_json;
constexpr std::chrono::seconds ReadTimeout{10};

using Latencies = std::vector<std::chrono::microseconds>;

std::chrono::microseconds quantile(Latencies &latencies, double fraction)
{
    if (latencies.empty()) {
        return std::chrono::microseconds(0);
    }
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(latencies.size() - 1));
    std::nth_element(latencies.begin(), latencies.begin() + static_cast<std::ptrdiff_t>(index), latencies.end());
    return latencies[index];
}

double milliseconds(std::chrono::microseconds span)
{
    return static_cast<double>(span.count()) / 1000.0;
}

/** The combined result of all copies of one request. */
struct RequestOutcome {
    bool anyAnswered = false;
    /** All copies were reported as not run, or were not sent. */
    bool allNotRun = true;
};

/** Counts contradictions between the results that callers got and the workers' run counts. */
void compareWithRuns(const std::vector<PlannedRequest> &plan, const std::vector<CallRecord> &records, const RunCounts &runs, LoadSummary &summary)
{
    std::map<std::size_t, RequestOutcome> outcomes;
    for (const CallRecord &record : records) {
        RequestOutcome &entry = outcomes[record.request];
        entry.anyAnswered = entry.anyAnswered || record.result == CallResult::Answered;
        entry.allNotRun = entry.allNotRun && (record.result == CallResult::NotRun || record.result == CallResult::NotSent);
    }
    for (const auto &[index, entry] : outcomes) {
        const PlannedRequest &request = plan[index];
        const auto found = runs.find(request.requestId);
        const std::int64_t count = found == runs.end() ? 0 : found->second;
        summary.falseRefusals += entry.allNotRun && count > 0 ? 1 : 0;
        summary.doubleRuns += !request.idempotent && count > 1 ? 1 : 0;
        summary.answersWithoutRun += entry.anyAnswered && count == 0 ? 1 : 0;
    }
}

Json toJsonValue(const TeamSummary &team)
{
    return {{"submitted", team.submitted},
            {"answered", team.answered},
            {"not-run", team.notRun},
            {"unknown", team.unknown},
            {"latency-p50-ms", milliseconds(team.latencyMedian)},
            {"latency-p99-ms", milliseconds(team.latencyP99)}};
}

}

LoadSummary
summarize(const LoadSettings &settings, const std::vector<PlannedRequest> &plan, const std::vector<CallRecord> &records, const std::optional<RunCounts> &runs)
{
    LoadSummary summary;
    Latencies all;
    std::map<std::string, Latencies> byTeam;
    for (const CallRecord &record : records) {
        const PlannedRequest &request = plan[record.request];
        const std::string &teamName = settings.teams[request.team].name;
        TeamSummary &team = summary.teams[teamName];
        summary.results[std::string(toName(record.result))] += 1;
        if (!record.reason.empty()) {
            summary.reasons[record.reason] += 1;
        }
        team.submitted += 1;
        team.answered += record.result == CallResult::Answered ? 1 : 0;
        team.notRun += record.result == CallResult::NotRun || record.result == CallResult::NotSent ? 1 : 0;
        team.unknown += record.result == CallResult::Unknown || record.result == CallResult::ConnectionLost ? 1 : 0;
        summary.wrongAnswers += record.correct ? 0 : 1;
        if (record.result == CallResult::Answered) {
            all.push_back(record.latency);
            byTeam[teamName].push_back(record.latency);
            summary.maxLatency = std::max(summary.maxLatency, record.latency);
            summary.maxUrgentLatency = std::max(summary.maxUrgentLatency, request.urgent ? record.latency : std::chrono::microseconds(0));
        }
    }
    summary.latencyMedian = quantile(all, 0.5);
    summary.latencyP99 = quantile(all, 0.99);
    for (auto &[name, latencies] : byTeam) {
        summary.teams[name].latencyMedian = quantile(latencies, 0.5);
        summary.teams[name].latencyP99 = quantile(latencies, 0.99);
    }
    if (runs) {
        compareWithRuns(plan, records, *runs, summary);
    }
    return summary;
}

std::string toJson(const LoadSummary &summary)
{
    Json body;
    body["results"] = summary.results;
    body["reasons"] = summary.reasons;
    body["latency-p50-ms"] = milliseconds(summary.latencyMedian);
    body["latency-p99-ms"] = milliseconds(summary.latencyP99);
    body["latency-max-ms"] = milliseconds(summary.maxLatency);
    body["urgent-latency-max-ms"] = milliseconds(summary.maxUrgentLatency);
    body["wrong-answers"] = summary.wrongAnswers;
    body["false-refusals"] = summary.falseRefusals;
    body["double-runs"] = summary.doubleRuns;
    body["answers-without-run"] = summary.answersWithoutRun;
    for (const auto &[name, team] : summary.teams) {
        body["teams"][name] = toJsonValue(team);
    }
    return body.dump();
}

std::string toJsonLines(const LoadSettings &settings, const std::vector<PlannedRequest> &plan, const std::vector<CallRecord> &records)
{
    std::string text;
    for (const CallRecord &record : records) {
        const PlannedRequest &request = plan[record.request];
        const Json line{{"request-id", request.requestId},
                        {"target", record.target},
                        {"service", request.service},
                        {"idempotent", request.idempotent},
                        {"urgent", request.urgent},
                        {"result", toName(record.result)},
                        {"correct", record.correct},
                        {"status", record.status},
                        {"reason", record.reason},
                        {"team", settings.teams[request.team].name},
                        {"started-ms", milliseconds(record.startOffset)},
                        {"started-unix-ms", record.startedAtUnixMs},
                        {"latency-ms", milliseconds(record.latency)}};
        text += line.dump() + '\n';
    }
    return text;
}

std::vector<DirectTarget> readWorkers(const Address &standin)
{
    const PlatformService platform(standin);
    const auto listed = platform.instances(steadyNow() + ReadTimeout);
    std::vector<DirectTarget> workers;
    if (listed) {
        for (const ListedInstance &instance : *listed) {
            workers.push_back({instance.address, instance.incarnation});
        }
    }
    return workers;
}

std::string toText(const LoadSummary &summary)
{
    std::ostringstream text;
    text << "Requests\n";
    for (const auto &[result, count] : summary.results) {
        text << "  " << std::left << std::setw(20) << result << count << '\n';
    }
    for (const auto &[reason, count] : summary.reasons) {
        text << "    reason " << reason << ": " << count << '\n';
    }
    text << "Latency (ms): median " << milliseconds(summary.latencyMedian) << ", p99 " << milliseconds(summary.latencyP99) << ", maximum "
         << milliseconds(summary.maxLatency) << "\n";
    text << "Violations: wrong answers " << summary.wrongAnswers << ", false refusals " << summary.falseRefusals << ", double runs " << summary.doubleRuns
         << ", answers without a run " << summary.answersWithoutRun << "\n";
    text << "Teams" << std::string(18, ' ') << "submitted  answered  refused  unknown  median ms  p99 ms\n";
    for (const auto &[name, team] : summary.teams) {
        text << "  " << std::left << std::setw(20) << name << std::right << std::setw(10) << team.submitted << std::setw(10) << team.answered << std::setw(9)
             << team.notRun << std::setw(9) << team.unknown << std::fixed << std::setprecision(1) << std::setw(11) << milliseconds(team.latencyMedian)
             << std::setw(8) << milliseconds(team.latencyP99) << std::defaultfloat << '\n';
    }
    return text.str();
}

std::optional<RunCounts> readRunCounts(const Address &standin)
{
    httplib::Client client(standin.host, standin.port);
    const httplib::Result result = client.Get("/ledger/requests");
    if (!result) {
        return std::nullopt;
    }
    const nlohmann::json body = nlohmann::json::parse(result->body, nullptr, false);
    if (!body.is_object()) {
        return std::nullopt;
    }
    return body.get<RunCounts>();
}

}
