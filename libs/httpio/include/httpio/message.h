#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Cornelquay {

/** One header of a message. Names compare without regard to case. */
struct HttpHeader {
    std::string name;
    std::string value;
};

/** One request, whole. */
struct HttpRequest {
    std::string method;
    /** Path and query as received. */
    std::string target;
    std::vector<HttpHeader> headers;
    std::string body;

    /** The value of the first header called @p name, empty if there is none. */
    std::string_view header(std::string_view name) const;
};

/** One response, whole. */
struct HttpResponse {
    int status = 200;
    std::string body;
    std::vector<HttpHeader> headers;

    /** The value of the first header called @p name, empty if there is none. */
    std::string_view header(std::string_view name) const;
};

}
