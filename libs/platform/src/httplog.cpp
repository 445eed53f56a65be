#include "platform/logservice.h"

#include "platform/logcodec.h"
#include "transport/httpclientpool.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace Cornelquay {

namespace {

constexpr std::size_t MaxConnections = 8;
constexpr int StatusOk = 200;
constexpr int StatusUnavailable = 503;

}

struct HttpLog::Impl {
    explicit Impl(Address address)
        : clients(std::move(address), MaxConnections)
    {
    }

    HttpClientPool clients;
};

HttpLog::HttpLog(Address address)
    : m_impl(std::make_unique<Impl>(std::move(address)))
{
}

HttpLog::~HttpLog() = default;
HttpLog::HttpLog(HttpLog &&) noexcept = default;
HttpLog &HttpLog::operator=(HttpLog &&) noexcept = default;

tl::expected<AppendResult, LogError> HttpLog::append(const std::string &bytes, SteadyTime deadline)
{
    HttpClientPool::ClientHandle client = m_impl->clients.take(deadline);
    if (!client) {
        return tl::make_unexpected(LogError::NotDone);
    }
    const httplib::Result result = client->Post("/log/records", bytes, "application/msgpack");
    if (!result) {
        return tl::make_unexpected(isNotSent(result.error()) ? LogError::NotDone : LogError::Unknown);
    }
    m_impl->clients.giveBack(std::move(client));
    if (result->status == StatusUnavailable) {
        return tl::make_unexpected(LogError::NotDone);
    }
    const nlohmann::json body = nlohmann::json::parse(result->body, nullptr, false);
    if (result->status != StatusOk || !body.is_object() || !body.contains("offset") || !body["offset"].is_number_unsigned()) {
        return tl::make_unexpected(LogError::Unknown);
    }
    return AppendResult{body["offset"].get<Offset>()};
}

tl::expected<LogRead, LogError> HttpLog::read(const LogQuery &query)
{
    HttpClientPool::ClientHandle client = m_impl->clients.take(query.deadline);
    if (!client) {
        return tl::make_unexpected(LogError::NotDone);
    }
    const auto wait = remaining(query.answerDeadline, steadyNow()).count();
    const std::string path
        = "/log/records?from=" + std::to_string(query.from) + "&limit=" + std::to_string(query.maxEntries) + "&wait-ms=" + std::to_string(wait);
    const httplib::Result result = client->Get(path);
    if (!result) {
        return tl::make_unexpected(LogError::NotDone);
    }
    m_impl->clients.giveBack(std::move(client));
    if (result->status != StatusOk) {
        return tl::make_unexpected(LogError::NotDone);
    }
    std::optional<LogRead> read = decodeLogRead(result->body);
    if (!read) {
        return tl::make_unexpected(LogError::NotDone);
    }
    return std::move(*read);
}

}
