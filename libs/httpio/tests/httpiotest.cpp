#include "details/messageparser.h"
#include "httpio/httpclient.h"
#include "httpio/httpserver.h"

#include <asio.hpp>

#include <boost/test/unit_test.hpp>

#include <array>
#include <deque>
#include <map>
#include <random>
#include <thread>

using namespace Cornelquay;
using namespace std::chrono_literals;

namespace {

const Address AnyPort{"127.0.0.1", 0};

HttpRequest makeRequest(const std::string &target, std::string body = {})
{
    HttpRequest request;
    request.method = body.empty() ? "GET" : "POST";
    request.target = target;
    request.body = std::move(body);
    return request;
}

/** Runs @p io until @p done returns true; the test fails after 20 s. */
template<typename Condition>
void runUntil(asio::io_context &io, Condition done)
{
    const SteadyTime deadline = steadyNow() + 20s;
    while (!done() && steadyNow() < deadline) {
        io.restart();
        io.run_one_for(100ms);
    }
    BOOST_REQUIRE(done());
}

/** Sends @p request and waits for its result. */
CallResult callAndWait(asio::io_context &io, HttpClient &client, HttpRequest request, std::chrono::milliseconds timeout = 5s)
{
    std::optional<CallResult> result;
    client.call({std::move(request), steadyNow() + timeout}, [&](CallResult received) {
        result = std::move(received);
    });
    runUntil(io, [&] {
        return result.has_value();
    });
    return std::move(*result);
}

/**
 * Sends @p bytes over a plain TCP connection. Returns the bytes received until the server closed the
 * connection or @p responses responses had begun.
 */
std::string exchangeBytes(asio::io_context &io, std::uint16_t port, const std::string &bytes, std::size_t responses)
{
    asio::ip::tcp::socket socket(io);
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    asio::write(socket, asio::buffer(bytes));
    std::string received;
    std::array<char, 4096> buffer{};
    bool ended = false;
    std::function<void()> read = [&] {
        socket.async_read_some(asio::buffer(buffer), [&](const asio::error_code &error, std::size_t length) {
            received.append(buffer.data(), length);
            std::size_t count = 0;
            for (std::size_t position = received.find("HTTP/1.1"); position != std::string::npos; position = received.find("HTTP/1.1", position + 1)) {
                ++count;
            }
            ended = error || count >= responses;
            if (!ended) {
                read();
            }
        });
    };
    read();
    runUntil(io, [&] {
        return ended;
    });
    return received;
}

}

BOOST_AUTO_TEST_CASE(callsAreAnsweredOverOneConnection)
{
    asio::io_context io;
    HttpServer server(io, AnyPort, {}, [](const HttpRequest &request, const HttpServer::Responder &respond) {
        respond({200, request.method + request.target + request.body, {{"X-Seen", std::string(request.header("x-given"))}}});
    });
    BOOST_REQUIRE(server.isBound());
    HttpClient client(io, {"127.0.0.1", server.port()}, 1);
    for (int round = 0; round < 50; ++round) {
        HttpRequest request = makeRequest("/a", std::string(static_cast<std::size_t>(round) * 997, 'x'));
        request.headers.push_back({"X-Given", "value"});
        const std::string expected = request.method + "/a" + request.body;
        const CallResult result = callAndWait(io, client, std::move(request));
        BOOST_REQUIRE(result.has_value());
        BOOST_TEST(result->body == expected);
        BOOST_TEST(result->header("x-seen") == "value");
    }
}

BOOST_AUTO_TEST_CASE(requestsMayBeAnsweredLaterAndInAnyOrder)
{
    asio::io_context io;
    std::deque<std::pair<std::string, HttpServer::Responder>> unanswered;
    HttpServer server(io, AnyPort, {}, [&](const HttpRequest &request, const HttpServer::Responder &respond) {
        unanswered.emplace_back(request.target, respond);
    });
    HttpClient client(io, {"127.0.0.1", server.port()}, 3);
    std::map<std::string, std::string> bodies;
    for (const std::string target : {"/1", "/2", "/3"}) {
        client.call({makeRequest(target), steadyNow() + 5s}, [&, target](const CallResult &result) {
            bodies[target] = result->body;
        });
    }
    runUntil(io, [&] {
        return unanswered.size() == 3;
    });
    BOOST_TEST(server.inFlight() == 3U);
    for (auto entry = unanswered.rbegin(); entry != unanswered.rend(); ++entry) {
        entry->second({200, entry->first, {}});
        // A second call of the responder is ignored.
        entry->second({200, "again", {}});
    }
    runUntil(io, [&] {
        return bodies.size() == 3;
    });
    for (const auto &[target, body] : bodies) {
        BOOST_TEST(target == body);
    }
    BOOST_TEST(server.inFlight() == 0U);
}

BOOST_AUTO_TEST_CASE(unsentCallsAreDistinguishedFromUnansweredCalls)
{
    asio::io_context io;
    std::uint16_t unusedPort = 0;
    {
        HttpServer closedServer(io, AnyPort, {}, [](const HttpRequest &, const HttpServer::Responder &) {});
        unusedPort = closedServer.port();
    }
    HttpClient clientOfClosedServer(io, {"127.0.0.1", unusedPort}, 1);
    BOOST_TEST((callAndWait(io, clientOfClosedServer, makeRequest("/")).error() == CallFailure::NotSent));

    HttpServer silentServer(io, AnyPort, {}, [](const HttpRequest &, const HttpServer::Responder &) {});
    HttpClient client(io, {"127.0.0.1", silentServer.port()}, 1);
    BOOST_TEST((callAndWait(io, client, makeRequest("/"), 50ms).error() == CallFailure::NoAnswer));

    // The second call waits for the only connection until its deadline has passed, so it is not sent.
    std::vector<CallFailure> failures;
    for (int number = 0; number < 2; ++number) {
        client.call({makeRequest("/"), steadyNow() + std::chrono::milliseconds(number == 0 ? 300 : 50)}, [&](const CallResult &result) {
            failures.push_back(result.error());
        });
    }
    runUntil(io, [&] {
        return failures.size() == 2;
    });
    BOOST_TEST((failures[0] == CallFailure::NotSent));
    BOOST_TEST((failures[1] == CallFailure::NoAnswer));
}

// The permission to send ends while the call waits for the only connection.
BOOST_AUTO_TEST_CASE(aQueuedCallIsNotSentOnceItMayNotBe)
{
    asio::io_context io;
    std::vector<std::string> received;
    HttpServer::Responder respondFirst;
    HttpServer server(io, AnyPort, {}, [&](const HttpRequest &request, const HttpServer::Responder &respond) {
        received.push_back(request.target);
        if (received.size() == 1) {
            respondFirst = respond;
        } else {
            respond({200, "", {}});
        }
    });
    HttpClient client(io, {"127.0.0.1", server.port()}, 1);
    bool maySend = true;
    std::map<std::string, CallResult> results;
    for (const std::string target : {"/first", "/withdrawn", "/allowed"}) {
        HttpCall call{makeRequest(target), steadyNow() + 10s};
        if (target == "/withdrawn") {
            call.maySend = [&] {
                return maySend;
            };
        }
        client.call(std::move(call), [&, target](const CallResult &result) {
            results.emplace(target, result);
        });
    }
    runUntil(io, [&] {
        return respondFirst != nullptr;
    });
    maySend = false;
    respondFirst({200, "", {}});
    runUntil(io, [&] {
        return results.size() == 3;
    });
    BOOST_TEST((results.at("/withdrawn").error() == CallFailure::NotSent));
    BOOST_TEST(results.at("/allowed").has_value());
    BOOST_TEST((received == std::vector<std::string>{"/first", "/allowed"}));
}

// Guards against a caller that waits for good for the result of a call, because the client is gone.
BOOST_AUTO_TEST_CASE(callsOfADestroyedClientFail)
{
    asio::io_context io;
    std::vector<HttpServer::Responder> unanswered;
    HttpServer server(io, AnyPort, {}, [&](const HttpRequest &, const HttpServer::Responder &respond) {
        unanswered.push_back(respond);
    });
    auto client = std::make_unique<HttpClient>(io, Address{"127.0.0.1", server.port()}, 1);
    std::vector<CallFailure> failures;
    const auto call = [&](const std::string &target) {
        client->call({makeRequest(target), steadyNow() + 10s}, [&](const CallResult &result) {
            failures.push_back(result.error());
        });
    };
    call("/sent");
    call("/queued");
    runUntil(io, [&] {
        return unanswered.size() == 1;
    });
    client.reset();
    BOOST_TEST(failures.empty());
    runUntil(io, [&] {
        return failures.size() == 2;
    });
    BOOST_TEST((failures == std::vector<CallFailure>{CallFailure::NoAnswer, CallFailure::NotSent}));
    io.restart();
    io.run_for(50ms);
    BOOST_TEST(failures.size() == 2U);
}

// Guards against a busy client that gives up calls only because others went before them.
BOOST_AUTO_TEST_CASE(theTimeInTheQueueDoesNotCountTowardsTheAnswerTimeout)
{
    asio::io_context io;
    asio::steady_timer delay(io);
    HttpServer server(io, AnyPort, {}, [&](const HttpRequest &request, const HttpServer::Responder &respond) {
        if (request.target == "/first") {
            respond({200, "", {}});
            return;
        }
        delay.expires_after(2500ms);
        delay.async_wait([respond](const asio::error_code &) {
            respond({200, "", {}});
        });
    });
    HttpClient client(io, {"127.0.0.1", server.port()}, 1);
    std::map<std::string, CallResult> results;
    for (const std::string target : {"/first", "/second"}) {
        client.call({makeRequest(target), steadyNow() + 2s, nullptr, 60s}, [&, target](const CallResult &result) {
            results.emplace(target, result);
        });
    }
    runUntil(io, [&] {
        return results.size() == 2;
    });
    BOOST_TEST(results.at("/first").has_value());
    BOOST_TEST(results.at("/second").has_value());
}

// Guards against calls that wait for a server that does not respond, while they could be made elsewhere.
BOOST_AUTO_TEST_CASE(queuedCallsFailOnceTheServerDoesNotRespond)
{
    asio::io_context io;
    std::vector<HttpServer::Responder> unanswered;
    HttpServer server(io, AnyPort, {}, [&](const HttpRequest &, const HttpServer::Responder &respond) {
        unanswered.push_back(respond);
    });
    HttpClient client(io, {"127.0.0.1", server.port()}, 1);
    std::map<std::string, CallResult> results;
    for (const std::string target : {"/first", "/second", "/third"}) {
        client.call({makeRequest(target), steadyNow() + 1h, nullptr, 100ms}, [&, target](const CallResult &result) {
            results.emplace(target, result);
        });
    }
    runUntil(io, [&] {
        return results.size() == 3;
    });
    BOOST_TEST((results.at("/first").error() == CallFailure::NoAnswer));
    BOOST_TEST((results.at("/second").error() == CallFailure::NotSent));
    BOOST_TEST((results.at("/third").error() == CallFailure::NotSent));
    BOOST_TEST(unanswered.size() == 1U);
}

// Whether a call may be sent is checked after the connection is established, not when the call is made.
BOOST_AUTO_TEST_CASE(aCallIsNotSentOnANewConnectionOnceItMayNotBe)
{
    asio::io_context io;
    int received = 0;
    HttpServer server(io, AnyPort, {}, [&](const HttpRequest &, const HttpServer::Responder &respond) {
        ++received;
        respond({200, "", {}});
    });
    HttpClient client(io, {"127.0.0.1", server.port()}, 1);
    bool maySend = true;
    std::optional<CallResult> result;
    HttpCall call{makeRequest("/"), steadyNow() + 10s};
    call.maySend = [&] {
        return maySend;
    };
    client.call(std::move(call), [&](const CallResult &callResult) {
        result = callResult;
    });
    maySend = false;
    runUntil(io, [&] {
        return result.has_value();
    });
    BOOST_TEST((result->error() == CallFailure::NotSent));
    // The connection stays usable.
    BOOST_TEST(callAndWait(io, client, makeRequest("/")).has_value());
    BOOST_TEST(received == 1);
}

BOOST_AUTO_TEST_CASE(connectionsClosedByTheServerAreNotReused)
{
    asio::io_context io;
    auto answer = [](const HttpRequest &, const HttpServer::Responder &respond) {
        respond({200, "{}", {}});
    };
    auto server = std::make_unique<HttpServer>(io, AnyPort, HttpLimits{}, answer);
    const Address address{"127.0.0.1", server->port()};
    HttpClient client(io, address, 1);
    BOOST_TEST(callAndWait(io, client, makeRequest("/")).has_value());
    server->beginDrain();
    // The response after which the server closes the connection is complete.
    BOOST_TEST(callAndWait(io, client, makeRequest("/")).has_value());
    BOOST_TEST(callAndWait(io, client, makeRequest("/")).has_value());
}

BOOST_AUTO_TEST_CASE(requestsBeyondTheLimitsAreRefused)
{
    asio::io_context io;
    HttpLimits limits;
    limits.maxHeaderBytes = 1000;
    limits.maxBodyBytes = 1000;
    HttpServer server(io, AnyPort, limits, [](const HttpRequest &, const HttpServer::Responder &respond) {
        respond({200, "{}", {}});
    });
    const std::string host = "Host: x\r\n";
    BOOST_TEST(exchangeBytes(io, server.port(), "GET / HTTP/1.1\r\n" + host + "\r\n", 1).find("200") != std::string::npos);
    BOOST_TEST(exchangeBytes(io, server.port(), "GET / HTTP/1.1\r\n" + host + "A: " + std::string(2000, 'a') + "\r\n\r\n", 1).find(" 431 ")
               != std::string::npos);
    BOOST_TEST(exchangeBytes(io, server.port(), "POST / HTTP/1.1\r\n" + host + "Content-Length: 2000\r\n\r\n" + std::string(2000, 'a'), 1).find(" 413 ")
               != std::string::npos);
    BOOST_TEST(exchangeBytes(io, server.port(), "nonsense\r\n\r\n", 1).find(" 400 ") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(pipelinedRequestsAreAnsweredInOrder)
{
    asio::io_context io;
    HttpServer server(io, AnyPort, {}, [](const HttpRequest &request, const HttpServer::Responder &respond) {
        respond({200, request.target + request.body, {}});
    });
    const std::string first = "GET /first HTTP/1.1\r\nHost: x\r\n\r\n";
    const std::string second = "POST /second HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc";
    const std::string third = "POST /third HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nxyz\r\n0\r\n\r\n";
    const std::string received = exchangeBytes(io, server.port(), first + second + third + first, 4);
    const std::size_t one = received.find("/first");
    const std::size_t two = received.find("/secondabc");
    const std::size_t three = received.find("/thirdxyz");
    BOOST_TEST(one < two);
    BOOST_TEST(two < three);
    BOOST_TEST(three < received.rfind("/first"));
}

// The parser yields the same message however its bytes are split, and does not crash on corrupted bytes.
BOOST_AUTO_TEST_CASE(messagesAreParsedInChunksOfAnySize)
{
    const std::string bytes = "POST /path HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\nhello world";
    for (std::size_t chunkBytes = 1; chunkBytes < bytes.size(); ++chunkBytes) {
        Details::MessageParser parser(HTTP_REQUEST, 1000, 1000);
        for (std::size_t offset = 0; offset < bytes.size(); offset += chunkBytes) {
            parser.feed(std::string_view(bytes).substr(offset, chunkBytes));
        }
        BOOST_REQUIRE((parser.state() == Details::ParseState::Complete));
        BOOST_TEST(parser.takeRequest().body == "hello world");
    }
    std::mt19937 random(7);
    for (int round = 0; round < 2000; ++round) {
        std::string corrupted = bytes;
        corrupted[random() % corrupted.size()] = static_cast<char>(random());
        Details::MessageParser parser(HTTP_REQUEST, 1000, 1000);
        parser.feed(corrupted);
        parser.finish();
    }
}

// Guards against a request that waited for a suspended process and is taken for a new one.
BOOST_AUTO_TEST_CASE(theTimeOfReceiptIncludesTheWaitForTheProcess)
{
    asio::io_context io;
    std::optional<BootTime> receivedAt;
    HttpServer server(io, AnyPort, {}, [&](const HttpRequest &request, const HttpServer::Responder &respond) {
        receivedAt = request.receivedAt;
        respond({200, {}, {}});
    });
    asio::ip::tcp::socket socket(io);
    socket.connect({asio::ip::make_address("127.0.0.1"), server.port()});
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
    const BootTime sentAt = BootClock::now();
    // The server does not run meanwhile.
    std::this_thread::sleep_for(1s);
    runUntil(io, [&] {
        return receivedAt.has_value();
    });
    BOOST_TEST((*receivedAt < sentAt + 500ms));
}
