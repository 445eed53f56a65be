#pragma once

#include "httpio/message.h"
#include "timing/instant.h"
#include "transport/address.h"

#include <asio/io_context.hpp>
#include <tl/expected.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Cornelquay {

/** Why a call ended without a response. */
enum class CallFailure {
    /** Writing of the request did not begin, so the server has not acted on it. */
    NotSent,
    /** Writing of the request began: the server may have acted on it or may still do so. */
    NoAnswer,
};

std::string_view toName(CallFailure failure);

using CallResult = tl::expected<HttpResponse, CallFailure>;

/** A request and the time until which the client waits for the response. */
struct HttpCall {
    HttpRequest request;
    /** With an answerTimeout, the time until which the call may wait for a connection. */
    SteadyTime deadline;
    /**
     * Checked immediately before the request is written, however long the call has waited for a connection. If it returns
     * false, the call fails with CallFailure::NotSent. Null if the request may always be sent. Must not use the client.
     */
    std::function<bool()> maySend = nullptr;
    /**
     * If positive, the response is awaited for this time from when a connection takes the call, so that the time in the queue does not
     * count. If the server does not respond in it, the calls that wait in the queue fail with CallFailure::NotSent.
     */
    std::chrono::milliseconds answerTimeout{0};
};

/**
 * Calls one HTTP server over a pool of persistent connections. When all connections are in use,
 * further calls wait in a queue; one whose deadline passes there fails with CallFailure::NotSent. Only
 * the deadline of the first call in the queue is timed: a call behind it with an earlier one may fail late.
 *
 * A connection serves one call at a time and is reset when its call gets no answer, so that a late response
 * is not taken for the response to the next call, and bytes that have not left this machine never reach the server. Responses are limited to 16 KiB of headers
 * and 8 MiB of body; a larger or malformed one fails the call with CallFailure::NoAnswer.
 *
 * Not thread-safe: used on the thread of its io_context only, on which handlers run too. A handler
 * runs once, never inside call(). When the client is destroyed, its connections are reset and the handlers of pending calls
 * run later with a failure, as far as the io_context still runs.
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

    /** @p address holds a numeric IP address; host names are not resolved. */
    HttpClient(asio::io_context &io, Address address, std::size_t maxConnections);
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
