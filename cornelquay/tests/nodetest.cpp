#include "cornelquay/node.h"
#include "details/keyring.h"
#include "standin/platformserver.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <thread>

using namespace Cornelquay;
using namespace std::chrono_literals;

namespace {

constexpr const char *OperatorToken = "operator-token";

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

FleetStandinSettings fleetSettings()
{
    FleetStandinSettings settings;
    settings.pools = {{"quotes", 3}, {"cutlists", 2}, {"certificates", 2}, {"stock", 2}, {"planning", 2}, {"spare", 1}};
    settings.zones = {"kilkenny-a", "kilkenny-b", "kilkenny-c"};
    return settings;
}

/** Replaces the key id in @p path by a fixed text, since key ids are random. */
std::string withoutKeyId(const std::string &path)
{
    const std::string prefix = "/v1/keys/";
    const std::size_t end = path.find('/', prefix.size());
    const bool namesKey = path.starts_with(prefix) && end != std::string::npos;
    return namesKey ? prefix + "KEY-ID" + path.substr(end) : path;
}

/** A platform stand-in, one node with clients for its callers and operators, and a transcript of the calls. */
class Session
{
public:
    Session()
        : m_server(std::make_shared<MemoryLog>(100000), m_fleet, 1, 0)
    {
        NodeSettings settings;
        settings.name = "node-0";
        settings.zone = "kilkenny-a";
        settings.callers.address = {"127.0.0.1", 0};
        settings.operators.address = {"127.0.0.1", 0};
        settings.peerAddress = {"127.0.0.1", 0};
        settings.peerSecret = "sixteen-characters";
        settings.log = {"127.0.0.1", m_server.logPorts().front()};
        settings.platform = {"127.0.0.1", m_server.platformPort()};
        settings.operatorAccounts = {{"nuala", Details::sha256Hex(OperatorToken)}};
        settings.maxPayloadBytes = 1000;
        settings.drainDelay = 0ms;
        m_node = std::move(*Node::Builder().settings(settings).build());
        m_node->start();
        m_callers = std::make_unique<httplib::Client>("127.0.0.1", m_node->callerPort());
        m_operators = std::make_unique<httplib::Client>("127.0.0.1", m_node->operatorPort());
        m_operators->set_read_timeout(20s);
        waitFor([this] {
            const httplib::Result ready = m_callers->Get("/ready");
            return ready && ready->status == 200;
        });
    }

    ~Session()
    {
        m_node->stop();
    }

    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    static void waitFor(const std::function<bool()> &condition)
    {
        const SteadyTime waitDeadline = steadyNow() + 30s;
        while (!condition() && steadyNow() < waitDeadline) {
            std::this_thread::yield();
        }
        BOOST_REQUIRE(condition());
    }

    nlohmann::json command(const std::string &path, const nlohmann::json &body)
    {
        const httplib::Headers requestHeaders{{"Authorization", std::string("Bearer ") + OperatorToken}};
        const httplib::Result result = m_operators->Post(path, requestHeaders, body.dump(), "application/json");
        BOOST_REQUIRE(result);
        addToTranscript("operator POST " + withoutKeyId(path) + " -> " + std::to_string(result->status));
        nlohmann::json answer = nlohmann::json::parse(result->body, nullptr, false);
        if (answer.contains("error")) {
            addToTranscript("  error: " + answer["error"].get<std::string>());
        }
        return answer;
    }

    nlohmann::json query(const std::string &path)
    {
        const httplib::Headers requestHeaders{{"Authorization", std::string("Bearer ") + OperatorToken}};
        const httplib::Result result = m_operators->Get(path, requestHeaders);
        BOOST_REQUIRE(result);
        return nlohmann::json::parse(result->body);
    }

    httplib::Response send(const std::string &label, const std::string &service, httplib::Headers requestHeaders, const std::string &payload)
    {
        const httplib::Result result = m_callers->Post("/v1/services/" + service + "/requests", requestHeaders, payload, "text/plain");
        BOOST_REQUIRE_MESSAGE(result, label);
        const nlohmann::json body = nlohmann::json::parse(result->body, nullptr, false);
        const std::string reason = body.is_object() ? " " + body.value("reason", "") : "";
        addToTranscript("caller: " + label + " -> " + std::to_string(result->status) + ' ' + result->get_header_value("Outcome") + reason);
        return *result;
    }

    void addToTranscript(const std::string &line)
    {
        m_transcript += line + '\n';
    }
    const std::string &transcript() const
    {
        return m_transcript;
    }
    RunLedger &ledger()
    {
        return m_fleet.ledger();
    }

private:
    FleetStandin m_fleet{fleetSettings()};
    PlatformServer m_server;
    std::unique_ptr<Node> m_node;
    std::unique_ptr<httplib::Client> m_callers;
    std::unique_ptr<httplib::Client> m_operators;
    std::string m_transcript;
};

httplib::Headers requestHeaders(const std::string &key, const std::string &id, const httplib::Headers &extraHeaders = {})
{
    httplib::Headers result{{"Authorization", "Bearer " + key}, {"Request-Id", id}};
    result.insert(extraHeaders.begin(), extraHeaders.end());
    return result;
}

int acceptingInstances(const nlohmann::json &instances)
{
    int count = 0;
    for (const nlohmann::json &instance : instances) {
        count += instance.value("accepts-work", false) ? 1 : 0;
    }
    return count;
}

// To update the file, run with CORNELQUAY_REGENERATE=1 and review the difference.
void compareWithGolden(const std::string &name, const std::string &transcript)
{
    const std::string path = std::string(SOURCE_FOLDER) + "/tests/golden/" + name;
    if (std::getenv("CORNELQUAY_REGENERATE") != nullptr) { // NOLINT(concurrency-mt-unsafe)
        std::ofstream(path) << transcript;
    }
    BOOST_TEST(transcript == readFile(path));
}

}

BOOST_AUTO_TEST_CASE(sessionMatchesGoldenTranscript)
{
    Session session;
    const std::string text = readFile(std::string(SOURCE_FOLDER) + "/../samples/ladderworks.yaml");
    session.command("/v1/config", {{"text", "cornelquay: 1"}, {"reason", "a faulty text"}});
    session.command("/v1/config", {{"text", text}, {"reason", "first text"}, {"base-version", 0}});
    session.command("/v1/config", {{"text", text}, {"reason", "too late"}, {"base-version", 0}});
    const std::string key = session.command("/v1/keys", {{"team", "brennan"}, {"reason", "first key"}})["key"];
    session.command("/v1/keys", {{"team", "nobody"}, {"reason", "no such team"}});
    Session::waitFor([&] {
        return acceptingInstances(session.query("/v1/instances")) == 12;
    });

    const httplib::Response firstAnswer = session.send("an order", "quotes", requestHeaders(key, "r1"), "ladder 4 m");
    BOOST_TEST(firstAnswer.body == answerFor("r1", "ladder 4 m"));
    const httplib::Response repeatedAnswer = session.send("the same order again", "quotes", requestHeaders(key, "r1"), "ladder 4 m");
    BOOST_TEST(repeatedAnswer.body == firstAnswer.body);
    BOOST_TEST(session.ledger().runsByRequest().at("r1") == 1);
    session.send("the same order after its deadline", "quotes", requestHeaders(key, "r1", {{"Deadline", "1000"}}), "ladder 4 m");
    session.send("an idempotent request", "stock", requestHeaders(key, "r2", {{"Idempotent", "true"}}), "stock of rungs");
    session.send("an urgent request", "planning", requestHeaders(key, "r3", {{"Urgency", "urgent"}}), "plan");
    session.send("a request without a key", "quotes", {{"Request-Id", "r4"}}, "x");
    session.send("a request with a wrong key", "quotes", requestHeaders(key + "0", "r4"), "x");
    session.send("a request without an id", "quotes", {{"Authorization", "Bearer " + key}}, "x");
    session.send("an id with a space", "quotes", requestHeaders(key, "r 4"), "x");
    session.send("an invalid flag", "quotes", requestHeaders(key, "r4", {{"Idempotent", "yes"}}), "x");
    session.send("an invalid urgency", "quotes", requestHeaders(key, "r4", {{"Urgency", "very"}}), "x");
    session.send("an invalid deadline", "quotes", requestHeaders(key, "r4", {{"Deadline", "soon"}}), "x");
    session.send("a deadline far ahead", "quotes", requestHeaders(key, "r4", {{"Deadline", "99999999999999"}}), "x");
    session.send("a deadline that has passed", "quotes", requestHeaders(key, "r4", {{"Deadline", "1000"}}), "x");
    session.send("an unknown service", "ladders", requestHeaders(key, "r4"), "x");
    session.send("work larger than every instance", "quotes", requestHeaders(key, "r4", {{"Cores", "17"}}), "x");
    session.send("an invalid size", "quotes", requestHeaders(key, "r4", {{"Cores", "-1"}}), "x");
    session.send("a payload over the limit", "quotes", requestHeaders(key, "r4"), std::string(2000, 'x'));
    BOOST_TEST(session.ledger().runsByRequest().count("r4") == 0U);
    const std::string deadline = std::to_string(toUnixMilliseconds(wallNow() + 600ms));
    session.send("a task that takes longer than its deadline", "quotes", requestHeaders(key, "r5", {{"Deadline", deadline}}), "run-ms=5000;");
    session.command("/v1/keys/" + key.substr(3, 16) + "/withdraw", {{"reason", "lost laptop"}});
    session.send("a request with a withdrawn key", "quotes", requestHeaders(key, "r6"), "x");
    session.command("/v1/keys/" + key.substr(3, 16) + "/withdraw", {{"reason", "again"}});
    session.command("/v1/maintenance/pause", {{"reason", "market day"}});
    session.command("/v1/maintenance/pause", {{"reason", "market day"}});
    for (const nlohmann::json &entry : session.query("/v1/audit")) {
        const std::string kind = entry["kind"];
        if (entry["who"] == "nuala") {
            session.addToTranscript("audit: " + kind + (entry["accepted"] ? " accepted" : " refused") + ", " + entry["why"].get<std::string>());
        }
    }
    session.addToTranscript("why r1: " + session.query("/v1/why/r1")["now"]["rule"].get<std::string>());
    compareWithGolden("session.txt", session.transcript());
}

BOOST_AUTO_TEST_CASE(statusNamesNodeAndStateOfItsView)
{
    Session session;
    const nlohmann::json status = session.query("/v1/status");
    BOOST_TEST(status["node"] == "node-0");
    BOOST_TEST(status["view"] == "fresh");
}
