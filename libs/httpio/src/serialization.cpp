#include "details/serialization.h"

#include <http_parser.h>

namespace Cornelquay::Details {

namespace {

void appendHeader(std::string &text, std::string_view name, std::string_view value)
{
    text.append(name).append(": ").append(value).append("\r\n");
}

std::string_view reasonPhrase(int status)
{
    return http_status_str(static_cast<http_status>(status));
}

}

std::string serialize(const HttpRequest &request, const Address &address)
{
    std::string text;
    text.reserve(256 + request.body.size());
    text.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    if (request.header("Host").empty()) {
        appendHeader(text, "Host", toText(address));
    }
    for (const HttpHeader &header : request.headers) {
        appendHeader(text, header.name, header.value);
    }
    if (!request.body.empty() || request.method != "GET") {
        appendHeader(text, "Content-Length", std::to_string(request.body.size()));
    }
    text.append("\r\n").append(request.body);
    return text;
}

std::string serialize(const HttpResponse &response, bool closesConnection)
{
    std::string text;
    text.reserve(160 + response.body.size());
    text.append("HTTP/1.1 ").append(std::to_string(response.status)).append(" ").append(reasonPhrase(response.status)).append("\r\n");
    for (const HttpHeader &header : response.headers) {
        appendHeader(text, header.name, header.value);
    }
    if (!response.body.empty() && response.header("Content-Type").empty()) {
        appendHeader(text, "Content-Type", "application/json");
    }
    appendHeader(text, "Content-Length", std::to_string(response.body.size()));
    if (closesConnection && response.header("Connection").empty()) {
        appendHeader(text, "Connection", "close");
    }
    text.append("\r\n").append(response.body);
    return text;
}

}
