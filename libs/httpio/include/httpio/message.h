#pragma once

#include "timing/instant.h"

#include <string>
#include <string_view>
#include <vector>

namespace Cornelquay {

/** One header field of a message. Names are compared case-insensitively. */
struct HttpHeader {
    std::string name;
    std::string value;
};

/** A complete HTTP request. */
struct HttpRequest {
    std::string method;
    /** Path and query, not percent-decoded. */
    std::string target;
    std::vector<HttpHeader> headers;
    std::string body;
    /** Set by HttpServer: when this machine had received the request, which may have waited for this process since then. */
    BootTime receivedAt{};

    /** Value of the first header named @p name; empty if there is none. Valid as long as the message is unchanged. */
    std::string_view header(std::string_view name) const;
};

/** A complete HTTP response. */
struct HttpResponse {
    int status = 200;
    std::string body;
    std::vector<HttpHeader> headers;

    /** Value of the first header named @p name; empty if there is none. Valid as long as the message is unchanged. */
    std::string_view header(std::string_view name) const;
};

}
