#include "details/blockinghttpserver.h"

#include "telemetry/log.h"

#include <asio.hpp>

#include <future>

namespace Cornelquay::Details {

namespace {

using namespace std::chrono_literals;

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusError = 500;
constexpr int StatusUnavailable = 503;
// So many requests for each thread may wait for one; a further one would wait for longer than its caller does.
constexpr std::size_t WaitingPerThread = 4;
constexpr std::chrono::seconds NoThreadRetryAfter{1};
// How long a stopping listener waits for clients to receive the last responses.
constexpr auto SendTimeout = 2s;
constexpr auto SendCheckInterval = 10ms;

int hexDigit(char symbol)
{
    const std::string_view digits = "0123456789abcdef";
    return static_cast<int>(digits.find(static_cast<char>(std::tolower(static_cast<unsigned char>(symbol)))));
}

std::string decodePercent(std::string_view text, bool plusIsSpace)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const bool isEscape = text[index] == '%' && index + 2 < text.size() && std::isxdigit(static_cast<unsigned char>(text[index + 1])) != 0
            && std::isxdigit(static_cast<unsigned char>(text[index + 2])) != 0;
        if (isEscape) {
            decoded += static_cast<char>(hexDigit(text[index + 1]) * 16 + hexDigit(text[index + 2]));
            index += 2;
        } else {
            decoded += plusIsSpace && text[index] == '+' ? ' ' : text[index];
        }
    }
    return decoded;
}

void parseQuery(std::string_view query, httplib::Params &params)
{
    while (!query.empty()) {
        const std::string_view item = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), item.size() + 1));
        const std::size_t equals = item.find('=');
        const std::string_view value = equals == std::string_view::npos ? std::string_view() : item.substr(equals + 1);
        params.emplace(decodePercent(item.substr(0, equals), true), decodePercent(value, true));
    }
}

httplib::Request toRequest(const HttpRequest &received)
{
    httplib::Request request;
    request.method = received.method;
    request.target = received.target;
    const std::string_view target = received.target;
    const std::size_t question = target.find('?');
    request.path = decodePercent(target.substr(0, question), false);
    if (question != std::string_view::npos) {
        parseQuery(target.substr(question + 1), request.params);
    }
    for (const HttpHeader &header : received.headers) {
        request.headers.emplace(header.name, header.value);
    }
    request.body = received.body;
    return request;
}

}

BlockingHttpServer::BlockingHttpServer(const ListenerSettings &settings, const HttpLimits &limits, std::shared_ptr<MemoryBudget> budget)
    : m_settings(settings)
{
    if (!m_settings.tls.certificate.empty()) {
        m_certificate = std::make_unique<Certificate>(m_settings.tls);
        m_tls = std::make_unique<asio::ssl::context>(asio::ssl::context::tls_server);
        m_certificate->installInto(*m_tls->native_handle());
        if (!m_certificate->isUsable()) {
            return;
        }
    }
    m_server = std::make_unique<HttpServer>(
        m_io,
        settings.address,
        limits,
        [this](const HttpRequest &request, const HttpServer::Responder &respond) {
            receive(request, respond);
        },
        std::move(budget),
        m_tls.get());
    m_server->setRefusalHandler([this](const HttpRefusal &refused) {
        return refusal(refused, {});
    });
    m_port = m_server->isBound() ? m_server->port() : 0;
}

BlockingHttpServer::~BlockingHttpServer()
{
    stop();
}

void BlockingHttpServer::get(const std::string &pattern, Handler handler)
{
    m_routes.push_back({"GET", std::regex(pattern), std::move(handler), false});
}

void BlockingHttpServer::post(const std::string &pattern, Handler handler)
{
    m_routes.push_back({"POST", std::regex(pattern), std::move(handler), false});
}

void BlockingHttpServer::getAtOnce(const std::string &pattern, Handler handler)
{
    m_routes.push_back({"GET", std::regex(pattern), std::move(handler), true});
}

void BlockingHttpServer::setRefusalHandler(RefusalHandler handler)
{
    m_refusalHandler = std::move(handler);
}

void BlockingHttpServer::setEventHandler(HttpServer::EventHandler handler)
{
    if (m_server) {
        m_server->setEventHandler(std::move(handler));
    }
}

bool BlockingHttpServer::isBound() const
{
    return m_port > 0;
}

std::uint16_t BlockingHttpServer::port() const
{
    return m_port;
}

void BlockingHttpServer::start()
{
    m_pool = std::make_unique<asio::thread_pool>(m_settings.threads);
    m_thread = std::thread([this] {
        m_io.run();
    });
}

void BlockingHttpServer::beginDrain()
{
    m_draining = true;
}

bool BlockingHttpServer::isDraining() const
{
    return m_draining;
}

std::size_t BlockingHttpServer::connectionCount() const
{
    return m_server ? m_server->connectionCount() : 0;
}

void BlockingHttpServer::stop()
{
    if (!m_thread.joinable()) {
        return;
    }
    std::promise<void> stopping;
    asio::post(m_io, [this, &stopping] {
        m_stopping = true;
        m_server->stopAccepting();
        stopping.set_value();
    });
    stopping.get_future().wait();
    m_pool->join();
    awaitSentResponses();
    asio::post(m_io, [this] {
        m_server->close();
        m_io.stop();
    });
    m_thread.join();
}

void BlockingHttpServer::awaitSentResponses()
{
    const SteadyTime deadline = steadyNow() + SendTimeout;
    bool isSent = false;
    while (!isSent && steadyNow() < deadline) {
        std::promise<bool> answer;
        asio::post(m_io, [this, &answer] {
            answer.set_value(m_server->inFlight() == 0 && m_server->unsentResponses() == 0);
        });
        isSent = answer.get_future().get();
        if (!isSent) {
            std::this_thread::sleep_for(SendCheckInterval);
        }
    }
}

const BlockingHttpServer::Route *BlockingHttpServer::findRoute(httplib::Request &request) const
{
    for (const Route &route : m_routes) {
        if (route.method == request.method && std::regex_match(request.path, request.matches, route.pattern)) {
            return &route;
        }
    }
    return nullptr;
}

void BlockingHttpServer::receive(const HttpRequest &received, const HttpServer::Responder &respond)
{
    // Kept at one address, as the matches refer to its path.
    const auto request = std::make_shared<httplib::Request>(toRequest(received));
    const Route *route = findRoute(*request);
    if (route == nullptr) {
        respond(refusal({StatusNotFound, "there is nothing at this path", 0s}, *request));
        return;
    }
    if (route->isAtOnce) {
        respond(run(*route, *request));
        return;
    }
    if (m_stopping) {
        respond(refusal({StatusUnavailable, "the node is stopping", NoThreadRetryAfter}, *request));
        return;
    }
    if (m_inFlight >= (1 + WaitingPerThread) * m_settings.threads) {
        respond(refusal({StatusUnavailable, "too many requests wait", NoThreadRetryAfter}, *request));
        return;
    }
    ++m_inFlight;
    asio::post(*m_pool, [this, route, request, respond] {
        HttpResponse response = run(*route, *request);
        --m_inFlight;
        asio::post(m_io, [respond, response = std::move(response)] {
            respond(response);
        });
    });
}

HttpResponse BlockingHttpServer::run(const Route &route, const httplib::Request &request) const
{
    httplib::Response response;
    try {
        route.handler(request, response);
    } catch (const std::exception &error) {
        logChange("http", "handler failed", {{"path", request.path}, {"error", error.what()}});
        return refusal({StatusError, "internal error", 0s}, request);
    }
    return toResponse(response);
}

HttpResponse BlockingHttpServer::refusal(const HttpRefusal &refusal, const httplib::Request &request) const
{
    httplib::Response response;
    response.status = refusal.status;
    if (m_refusalHandler) {
        m_refusalHandler(refusal, request, response);
    }
    return toResponse(response);
}

HttpResponse BlockingHttpServer::toResponse(const httplib::Response &response) const
{
    HttpResponse result{response.status < 0 ? StatusOk : response.status, response.body, {}};
    for (const auto &[name, value] : response.headers) {
        result.headers.push_back({name, value});
    }
    if (m_draining) {
        result.headers.push_back({"Connection", "close"});
    }
    return result;
}

}
