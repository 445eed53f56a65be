#pragma once

#include "httpio/message.h"
#include "timing/instant.h"
#include "transport/address.h"

#include <asio/io_context.hpp>
#include <tl/expected.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Cornelquay {

/** Why a call has no answer. */
enum class CallFailure {
    /** No byte of the request was written: the other side has done nothing. */
    NotSent,
    /** The request may have been carried out, or may be later. */
    NoAnswer,
};

std::string_view toName(CallFailure failure);

using CallResult = tl::expected<HttpResponse, CallFailure>;

/** One call, with the time after which its answer is of no use. */
struct HttpCall {
    HttpRequest request;
    SteadyTime deadline;
};

/**
 * Calls one address over kept connections, at most a fixed number at once; further calls wait.
 *
 * A connection serves one call at a time and is closed when its call fails, so that no late answer
 * is taken for another's. Lives on the thread of its io_context. Calls that are pending when the
 * client is destroyed are ended without their handlers being run.
 *
 * @code
 * HttpClient client(io, address, 4);
 * client.call({request, steadyNow() + 1s}, [](CallResult result) { ... });
 * @endcode
 */
class HttpClient
{
public:
    using Handler = std::function<void(CallResult result)>;

    HttpClient(asio::io_context &io, Address address, std::size_t connectionsMax);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    void call(HttpCall call, Handler handler);

    const Address &address() const;

    struct Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

}
