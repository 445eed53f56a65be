#include "details/callerserver.h"

#include "callerreport/callerreport.h"
#include "details/blockinghttpserver.h"
#include "details/keyring.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace Cornelquay::Details {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t MaxRequestIdLength = 128;
constexpr int StatusOk = 200;
constexpr int StatusUnavailable = 503;
constexpr int StatusTooLarge = 413;
constexpr int StatusHeadersTooLarge = 431;
constexpr int StatusNotFound = 404;
// For a payload of the largest size over a slow link.
constexpr auto RequestTimeout = 30s;

NotRun invalid(std::string message)
{
    return {RefusalReason::InvalidRequest, std::move(message), 0ms};
}

bool isRequestId(const std::string &text)
{
    return !text.empty() && text.size() <= MaxRequestIdLength && std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return c > ' ' && c < 127;
    });
}

template<typename Number>
std::optional<Number> parseNumber(const std::string &text)
{
    Number number{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

/** Reads a WorkOrder from an HTTP request; reports the first invalid header only. */
class OrderReader
{
public:
    OrderReader(const httplib::Request &request, const NodeSettings &settings)
        : m_request(request)
        , m_settings(settings)
    {
    }

    tl::expected<WorkOrder, NotRun> read(std::string team)
    {
        WorkOrder order;
        order.team = std::move(team);
        order.service = m_request.matches[1];
        order.requestId = m_request.get_header_value("Request-Id");
        order.payload = m_request.body;
        order.receivedAt = steadyNow();
        if (!isRequestId(order.requestId)) {
            recordFault("Request-Id must be 1 to 128 visible ASCII characters");
        }
        order.idempotent = parseFlag("Idempotent");
        order.urgency = parseUrgency();
        order.deadline = parseDeadline();
        order.size = parseSize();
        if (m_fault) {
            return tl::make_unexpected(*m_fault);
        }
        return order;
    }

private:
    void recordFault(const std::string &message)
    {
        if (!m_fault) {
            m_fault = invalid(message);
        }
    }

    bool parseFlag(const char *header)
    {
        const std::string text = m_request.get_header_value(header);
        if (!text.empty() && text != "true" && text != "false") {
            recordFault(std::string(header) + " must be true or false");
        }
        return text == "true";
    }

    Urgency parseUrgency()
    {
        const std::string text = m_request.get_header_value("Urgency");
        if (!text.empty() && text != "normal" && text != "urgent") {
            recordFault("Urgency must be normal or urgent");
        }
        return text == "urgent" ? Urgency::Urgent : Urgency::Normal;
    }

    SteadyTime parseDeadline()
    {
        const SteadyTime now = steadyNow();
        const std::string text = m_request.get_header_value("Deadline");
        if (text.empty()) {
            return now + m_settings.defaultDeadline;
        }
        const std::optional<std::int64_t> unixMs = parseNumber<std::int64_t>(text);
        const WallTime wallTime = wallNow();
        if (!unixMs || *unixMs < 0 || *unixMs - toUnixMilliseconds(wallTime) > m_settings.maxDeadline.count()) {
            recordFault("Deadline must be Unix milliseconds, at most " + std::to_string(m_settings.maxDeadline.count()) + " ms ahead");
            return now;
        }
        return toSteady(fromUnixMilliseconds(*unixMs), wallTime, now);
    }

    std::optional<Resources> parseSize()
    {
        const bool hasSize = m_request.has_header("Cores") || m_request.has_header("Memory-Bytes") || m_request.has_header("Accelerators");
        if (!hasSize) {
            return std::nullopt;
        }
        Resources size;
        size.cores = parseAmount<double>("Cores");
        size.memoryBytes = parseAmount<std::uint64_t>("Memory-Bytes");
        size.accelerators = parseAmount<double>("Accelerators");
        return size;
    }

    template<typename Number>
    Number parseAmount(const char *header)
    {
        const std::string text = m_request.get_header_value(header);
        const std::optional<Number> number = text.empty() ? Number{} : parseNumber<Number>(text);
        if (!number || *number < 0) {
            recordFault(std::string(header) + " must be a number that is not negative");
        }
        return number.value_or(Number{});
    }

    const httplib::Request &m_request;
    const NodeSettings &m_settings;
    std::optional<NotRun> m_fault;
};

std::string errorBody(const Outcome &outcome, const std::string &requestId)
{
    nlohmann::ordered_json body;
    body["outcome"] = outcomeName(outcome);
    if (const auto *notRun = std::get_if<NotRun>(&outcome)) {
        body["reason"] = toName(notRun->reason);
        body["message"] = notRun->message;
        body["retry-after-ms"] = notRun->retryAfter.count();
    } else if (const auto *unknown = std::get_if<OutcomeUnknown>(&outcome)) {
        body["reason"] = "unknown";
        body["message"] = unknown->message;
    }
    body["request-id"] = requestId;
    return body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + '\n';
}

void write(const Outcome &outcome, const std::string &requestId, httplib::Response &response)
{
    response.status = httpStatus(outcome);
    response.set_header("Outcome", std::string(outcomeName(outcome)));
    if (isRequestId(requestId)) {
        response.set_header("Request-Id", requestId);
    }
    if (const auto *answered = std::get_if<Answered>(&outcome)) {
        response.set_content(answered->body, answered->contentType.empty() ? "application/octet-stream" : answered->contentType);
        return;
    }
    if (const auto *notRun = std::get_if<NotRun>(&outcome); notRun != nullptr && notRun->retryAfter > 0ms) {
        response.set_header("Retry-After", std::to_string((notRun->retryAfter.count() + 999) / 1000));
        response.set_header("Retry-After-Ms", std::to_string(notRun->retryAfter.count()));
    }
    response.set_content(errorBody(outcome, requestId), "application/json");
}

}

struct CallerServer::Impl {
    Impl(const NodeSettings &nodeSettings, CallerServerDependencies serverDependencies, const std::shared_ptr<MemoryBudget> &budget, Metrics &serverMetrics)
        : settings(nodeSettings)
        , dependencies(std::move(serverDependencies))
        , metrics(serverMetrics)
        , report(metrics, budget)
        , http(settings.callers, limits(settings), budget)
        , answeredTotal(outcomeCounter("answered"))
        , notRunTotal(outcomeCounter("not-run"))
        , unknownTotal(outcomeCounter("unknown"))
        , requestSeconds(metrics.latency("request_seconds", "Time from the arrival of a request to its outcome"))
    {
    }

    const NodeSettings settings;
    const CallerServerDependencies dependencies;
    Metrics &metrics;
    CallerReport report;
    BlockingHttpServer http;
    Counter answeredTotal;
    Counter notRunTotal;
    Counter unknownTotal;
    LatencyHistogram requestSeconds;

    Counter outcomeCounter(const std::string &outcome)
    {
        return metrics.counter("requests_total", "Requests by outcome", {{"outcome", outcome}});
    }

    static HttpLimits limits(const NodeSettings &settings);
    Outcome serve(const httplib::Request &request);
    /** The outcome of a request that is not handled. */
    NotRun notRunFor(const HttpRefusal &refusal) const;
    void count(const Outcome &outcome);
    void addHandlers();
};

Outcome CallerServer::Impl::serve(const httplib::Request &request)
{
    if (!dependencies.isReady()) {
        return NotRun{RefusalReason::Stopping, "the node is starting or stopping", 500ms};
    }
    if (!dependencies.mayAcceptWork()) {
        return NotRun{RefusalReason::StaleView, "the node cannot tell whether keys are still valid", 1000ms};
    }
    const std::optional<std::string> team = dependencies.teamOfKey(bearerToken(request.get_header_value("Authorization")));
    if (!team) {
        return NotRun{RefusalReason::KeyInvalid, "the key is not valid", 0ms};
    }
    tl::expected<WorkOrder, NotRun> order = OrderReader(request, settings).read(*team);
    if (!order) {
        return order.error();
    }
    return dependencies.run(*order);
}

void CallerServer::Impl::count(const Outcome &outcome)
{
    const std::array<Counter *, 3> counters{&answeredTotal, &notRunTotal, &unknownTotal};
    counters[outcome.index()]->increment();
}

void CallerServer::Impl::addHandlers()
{
    http.post("/v1/services/([A-Za-z0-9._-]+)/requests", [this](const httplib::Request &request, httplib::Response &response) {
        const SteadyTime startedAt = steadyNow();
        const Outcome outcome = serve(request);
        write(outcome, request.get_header_value("Request-Id"), response);
        count(outcome);
        requestSeconds.observe(std::chrono::duration<double>(steadyNow() - startedAt).count());
    });
    http.getAtOnce("/health", [](const httplib::Request &, httplib::Response &response) {
        response.set_content("ok\n", "text/plain");
    });
    http.getAtOnce("/ready", [this](const httplib::Request &, httplib::Response &response) {
        const bool ready = dependencies.isReady() && !http.isDraining();
        response.status = ready ? StatusOk : StatusUnavailable;
        response.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
    });
    http.setRefusalHandler([this](const HttpRefusal &refusal, const httplib::Request &request, httplib::Response &response) {
        const NotRun notRun = notRunFor(refusal);
        write(notRun, request.get_header_value("Request-Id"), response);
        count(notRun);
    });
    http.setEventHandler([this](HttpServerEvent event) {
        report.note(event);
    });
}

NotRun CallerServer::Impl::notRunFor(const HttpRefusal &refusal) const
{
    switch (refusal.status) {
    case StatusTooLarge:
    case StatusHeadersTooLarge:
        return {
            RefusalReason::TooLarge, "the request is larger than " + std::to_string(settings.maxPayloadBytes) + " bytes, or its headers are too large", 0ms};
    case StatusNotFound:
        return {RefusalReason::UnknownService, std::string(refusal.reason), 0ms};
    case StatusUnavailable:
        return {http.isDraining() ? RefusalReason::Stopping : RefusalReason::QueueFull, std::string(refusal.reason), refusal.retryAfter};
    default:
        return invalid("the request is malformed");
    }
}

HttpLimits CallerServer::Impl::limits(const NodeSettings &settings)
{
    const CallerResources resources = callerResources(settings.resources);
    HttpLimits limits;
    limits.maxBodyBytes = settings.maxPayloadBytes;
    limits.requestTimeout = RequestTimeout;
    limits.maxConnections = resources.maxConnections;
    limits.socketBufferBytes = resources.socketBufferBytes;
    return limits;
}

CallerServer::CallerServer(const NodeSettings &settings, CallerServerDependencies dependencies, const std::shared_ptr<MemoryBudget> &budget, Metrics &metrics)
    : m_impl(std::make_unique<Impl>(settings, std::move(dependencies), budget, metrics))
{
    m_impl->addHandlers();
}

CallerServer::~CallerServer() = default;

bool CallerServer::isBound() const
{
    return m_impl->http.isBound();
}

std::uint16_t CallerServer::port() const
{
    return m_impl->http.port();
}

void CallerServer::start()
{
    m_impl->http.start();
}

void CallerServer::updateGauges()
{
    m_impl->report.update(m_impl->http.connectionCount());
}

void CallerServer::beginDrain()
{
    m_impl->http.beginDrain();
}

void CallerServer::stop()
{
    m_impl->http.stop();
}

}
