#include "details/operatorserver.h"

#include "details/blockinghttpserver.h"
#include "details/fleetviews.h"
#include "details/keyring.h"

namespace Cornelquay::Details {

namespace {

using namespace std::chrono_literals;
using Json = nlohmann::ordered_json;

constexpr int StatusOk = 200;
constexpr int StatusAccepted = 202;
constexpr int StatusBadRequest = 400;
constexpr int StatusUnauthorized = 401;
constexpr int StatusConflict = 409;
constexpr int StatusUnavailable = 503;
constexpr int StatusUnknownOutcome = 504;
constexpr std::size_t MaxBodyBytes = 5ULL * 1024 * 1024;
constexpr std::size_t MaxAuditEntries = 100;
// Operators and their tools open few connections: this part of those of callers, but a minimum in any case.
constexpr std::size_t ConnectionsDivisor = 16;
constexpr std::size_t MinConnections = 16;
constexpr auto RequestTimeout = 30s;
constexpr auto ProposalTimeout = 8s;
/** How long the answer to a command waits until all present nodes have folded the change. */
constexpr auto InForceTimeout = 5s;

void writeJson(httplib::Response &response, int status, const Json &body)
{
    response.status = status;
    response.set_content(body.dump(2, ' ', false, Json::error_handler_t::replace) + '\n', "application/json");
}

void writeError(httplib::Response &response, int status, const std::string &message)
{
    writeJson(response, status, {{"error", message}});
}

/** Parses the body of a command; an empty object if there is no body, nullopt if it is not a JSON object. */
std::optional<Json> commandBody(const httplib::Request &request)
{
    if (request.body.empty()) {
        return Json::object();
    }
    Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        return std::nullopt;
    }
    return body;
}

std::string stringField(const Json &body, const char *key)
{
    return body.contains(key) && body[key].is_string() ? body[key].get<std::string>() : std::string();
}

/** State of this node outside the fleet state; collected before the fleet state is locked. */
struct NodeStatus {
    std::map<std::string, TeamLoad> teams;
    std::vector<UpstreamStatus> upstreams;
    std::size_t waiting = 0;
    ViewState viewState = ViewState::None;
    std::map<std::string, Offset> peerOffsets;
    bool ready = false;
};

}

struct OperatorServer::Impl {
    Impl(const NodeSettings &nodeSettings, OperatorServerDependencies serverDependencies, std::shared_ptr<MemoryBudget> budget)
        : settings(nodeSettings)
        , dependencies(std::move(serverDependencies))
        , http(settings.operators, limits(settings), std::move(budget))
    {
    }

    using View = std::function<Json(const FleetState &, const NodeStatus &, const httplib::Request &)>;
    using Command = std::function<void(const std::string &operatorName, const Json &body, const httplib::Request &, httplib::Response &)>;

    const NodeSettings settings;
    const OperatorServerDependencies dependencies;
    BlockingHttpServer http;

    static HttpLimits limits(const NodeSettings &settings);
    std::optional<std::string> findOperator(const httplib::Request &request) const;
    bool authorize(const httplib::Request &request, httplib::Response &response, std::string &operatorName) const;
    void addQuery(const std::string &pattern, View view);
    BlockingHttpServer::Handler command(Command handler);
    void addQueries();
    void addCommands();
    void addUnauthenticatedHandlers();

    NodeStatus nodeStatus() const;
    Json statusView(const FleetState &state, const NodeStatus &status) const;
    void applyConfiguration(const std::string &operatorName, const Json &body, httplib::Response &response);
    void grantKey(const std::string &operatorName, const Json &body, httplib::Response &response);
    void proposeAndAnswer(RecordBody record, const std::string &operatorName, const std::string &reason, Json answer, httplib::Response &response);
    void answerFolded(const ProposalFolded &folded, Json answer, httplib::Response &response);
    std::vector<std::string> waitInForce(Offset offset) const;
};

std::optional<std::string> OperatorServer::Impl::findOperator(const httplib::Request &request) const
{
    const std::string hash = sha256Hex(bearerToken(request.get_header_value("Authorization")));
    std::optional<std::string> operatorName;
    for (const OperatorAccount &account : settings.operatorAccounts) {
        if (equalsInConstantTime(hash, account.tokenSha256)) {
            operatorName = account.name;
        }
    }
    return operatorName;
}

bool OperatorServer::Impl::authorize(const httplib::Request &request, httplib::Response &response, std::string &operatorName) const
{
    const std::optional<std::string> account = findOperator(request);
    if (!account) {
        writeError(response, StatusUnauthorized, "the operator token is not valid");
        return false;
    }
    if (dependencies.replica->condition() != ReplicaCondition::Ready) {
        writeError(response, StatusUnavailable, "this node has no view of the fleet: " + std::string(toName(dependencies.replica->condition())));
        return false;
    }
    operatorName = *account;
    return true;
}

void OperatorServer::Impl::addQuery(const std::string &pattern, View view)
{
    http.get(pattern, [this, view = std::move(view)](const httplib::Request &request, httplib::Response &response) {
        std::string operatorName;
        if (!authorize(request, response, operatorName)) {
            return;
        }
        const NodeStatus status = nodeStatus();
        Json body;
        dependencies.replica->query([&](const FleetState &state) {
            body = view(state, status, request);
        });
        writeJson(response, StatusOk, body);
    });
}

NodeStatus OperatorServer::Impl::nodeStatus() const
{
    return {dependencies.admission->teams(),
            dependencies.upstreams->status(steadyNow()),
            dependencies.admission->waiting(),
            dependencies.viewState(),
            dependencies.peerOffsets(),
            dependencies.isReady()};
}

BlockingHttpServer::Handler OperatorServer::Impl::command(Command handler)
{
    return [this, handler = std::move(handler)](const httplib::Request &request, httplib::Response &response) {
        std::string operatorName;
        if (!authorize(request, response, operatorName)) {
            return;
        }
        const std::optional<Json> body = commandBody(request);
        if (!body) {
            writeError(response, StatusBadRequest, "the body must be a JSON object");
            return;
        }
        handler(operatorName, *body, request, response);
    };
}

Json OperatorServer::Impl::statusView(const FleetState &state, const NodeStatus &status) const
{
    Json view;
    view["node"] = dependencies.self.name;
    view["incarnation"] = dependencies.self.number;
    view["version"] = CORNELQUAY_VERSION;
    view["ready"] = status.ready;
    view["view"] = toName(status.viewState);
    view["next-offset"] = state.nextOffset;
    view["configuration-version"] = state.configuration.version;
    view["waiting"] = status.waiting;
    view["claims"] = state.claims.size();
    view["nodes"] = membersView(state);
    const std::map<std::string, Offset> &offsets = status.peerOffsets;
    for (Json &node : view["nodes"]) {
        const auto peerOffset = offsets.find(node["name"].get<std::string>());
        node["heard"] = peerOffset != offsets.end();
        node["next-offset"] = peerOffset == offsets.end() ? Json() : Json(peerOffset->second);
    }
    return view;
}

void OperatorServer::Impl::addQueries()
{
    addQuery("/v1/status", [this](const FleetState &state, const NodeStatus &status, const httplib::Request &) {
        return statusView(state, status);
    });
    addQuery("/v1/config", [](const FleetState &state, const NodeStatus &, const httplib::Request &) {
        return configurationView(state);
    });
    addQuery("/v1/config/history", [](const FleetState &state, const NodeStatus &, const httplib::Request &) {
        return configurationHistoryView(state);
    });
    addQuery("/v1/keys", [](const FleetState &state, const NodeStatus &, const httplib::Request &) {
        return keysView(state);
    });
    addQuery("/v1/teams", [](const FleetState &state, const NodeStatus &status, const httplib::Request &) {
        return teamsView(state, status.teams);
    });
    addQuery("/v1/services", [](const FleetState &state, const NodeStatus &, const httplib::Request &) {
        return servicesView(state);
    });
    addQuery("/v1/pools", [](const FleetState &state, const NodeStatus &, const httplib::Request &) {
        return poolsView(state);
    });
    addQuery("/v1/instances", [](const FleetState &state, const NodeStatus &status, const httplib::Request &) {
        return instancesView(state, status.upstreams);
    });
    addQuery("/v1/maintenance", [](const FleetState &state, const NodeStatus &, const httplib::Request &) {
        return maintenanceView(state);
    });
    addQuery("/v1/audit", [](const FleetState &state, const NodeStatus &, const httplib::Request &request) {
        return auditView(state, request.get_param_value("subject"), MaxAuditEntries);
    });
    addQuery("/v1/why/(.+)", [](const FleetState &state, const NodeStatus &, const httplib::Request &request) {
        return whyView(state, request.matches[1]);
    });
}

void OperatorServer::Impl::addCommands()
{
    http.post("/v1/config/diff", command([this](const std::string &, const Json &body, const httplib::Request &, httplib::Response &response) {
                  Json view;
                  dependencies.replica->query([&](const FleetState &state) {
                      view = differenceView(state, stringField(body, "text"));
                  });
                  writeJson(response, StatusOk, view);
              }));
    http.post("/v1/config", command([this](const std::string &operatorName, const Json &body, const httplib::Request &, httplib::Response &response) {
                  applyConfiguration(operatorName, body, response);
              }));
    http.post("/v1/keys", command([this](const std::string &operatorName, const Json &body, const httplib::Request &, httplib::Response &response) {
                  grantKey(operatorName, body, response);
              }));
    http.post("/v1/keys/([0-9a-f]+)/withdraw",
              command([this](const std::string &operatorName, const Json &body, const httplib::Request &request, httplib::Response &response) {
                  const std::string keyId = request.matches[1];
                  proposeAndAnswer(KeyWithdrawn{keyId}, operatorName, stringField(body, "reason"), {{"key", keyId}}, response);
              }));
    http.post("/v1/maintenance/start",
              command([this](const std::string &operatorName, const Json &body, const httplib::Request &, httplib::Response &response) {
                  std::int64_t previousWaveStartedAt = 0;
                  dependencies.replica->query([&](const FleetState &state) {
                      previousWaveStartedAt = state.waveStartedAt;
                  });
                  proposeAndAnswer(WaveStarted{previousWaveStartedAt}, operatorName, stringField(body, "reason"), Json::object(), response);
              }));
    http.post("/v1/maintenance/skip/([A-Za-z0-9._-]+)",
              command([this](const std::string &operatorName, const Json &body, const httplib::Request &request, httplib::Response &response) {
                  const std::string instance = request.matches[1];
                  std::uint64_t sequence = 0;
                  dependencies.replica->query([&](const FleetState &state) {
                      const auto entry = state.instances.find(instance);
                      sequence = entry == state.instances.end() ? 0 : entry->second.sequence;
                  });
                  proposeAndAnswer(MaintenanceSkipped{instance, sequence}, operatorName, stringField(body, "reason"), {{"instance", instance}}, response);
              }));
    http.post("/v1/maintenance/(pause|resume)",
              command([this](const std::string &operatorName, const Json &body, const httplib::Request &request, httplib::Response &response) {
                  const bool paused = request.matches[1] == "pause";
                  proposeAndAnswer(MaintenancePaused{paused}, operatorName, stringField(body, "reason"), {{"paused", paused}}, response);
              }));
}

void OperatorServer::Impl::addUnauthenticatedHandlers()
{
    http.get("/metrics", [this](const httplib::Request &, httplib::Response &response) {
        dependencies.updateGauges();
        response.set_content(dependencies.metrics->toText(), "text/plain; version=0.0.4");
    });
    http.getAtOnce("/health", [](const httplib::Request &, httplib::Response &response) {
        response.set_content("ok\n", "text/plain");
    });
    http.getAtOnce("/ready", [this](const httplib::Request &, httplib::Response &response) {
        const bool ready = dependencies.isReady();
        response.status = ready ? StatusOk : StatusUnavailable;
        response.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
    });
    http.setRefusalHandler([](const HttpRefusal &refusal, const httplib::Request &, httplib::Response &response) {
        if (refusal.retryAfter > 0s) {
            response.set_header("Retry-After", std::to_string(refusal.retryAfter.count()));
        }
        writeError(response, refusal.status, std::string(refusal.reason));
    });
}

HttpLimits OperatorServer::Impl::limits(const NodeSettings &settings)
{
    HttpLimits limits;
    limits.maxBodyBytes = MaxBodyBytes;
    limits.requestTimeout = RequestTimeout;
    limits.maxConnections = std::max<std::size_t>(MinConnections, callerResources(settings.resources).maxConnections / ConnectionsDivisor);
    limits.socketBufferBytes = callerResources(settings.resources).socketBufferBytes;
    return limits;
}

void OperatorServer::Impl::applyConfiguration(const std::string &operatorName, const Json &body, httplib::Response &response)
{
    const std::string text = stringField(body, "text");
    Json view;
    dependencies.replica->query([&](const FleetState &state) {
        view = differenceView(state, text);
    });
    if (!view["findings"].empty()) {
        view["error"] = "the text has findings; nothing was changed";
        writeJson(response, StatusBadRequest, view);
        return;
    }
    const std::uint64_t baseVersion = body.contains("base-version") && body["base-version"].is_number_unsigned() ? body["base-version"].get<std::uint64_t>()
                                                                                                                 : view["base-version"].get<std::uint64_t>();
    proposeAndAnswer(ConfigurationChanged{baseVersion, text}, operatorName, stringField(body, "reason"), {{"changes", view["changes"]}}, response);
}

void OperatorServer::Impl::grantKey(const std::string &operatorName, const Json &body, httplib::Response &response)
{
    const NewKey key = makeKey(stringField(body, "team"));
    const Json answer{{"team", key.record.team}, {"key-id", key.record.keyId}, {"key", key.text}};
    proposeAndAnswer(key.record, operatorName, stringField(body, "reason"), answer, response);
}

void OperatorServer::Impl::proposeAndAnswer(
    RecordBody record, const std::string &operatorName, const std::string &reason, Json answer, httplib::Response &response)
{
    const ProposalOutcome outcome = dependencies.replica->propose(std::move(record), operatorName, reason, steadyNow() + ProposalTimeout);
    if (const auto *folded = std::get_if<ProposalFolded>(&outcome)) {
        answerFolded(*folded, std::move(answer), response);
    } else if (std::holds_alternative<ProposalNotDone>(outcome)) {
        writeError(response, StatusUnavailable, "the log does not answer; nothing was changed");
    } else {
        writeError(response, StatusUnknownOutcome, "the log's answer is lost; look at the audit trail before trying again");
    }
}

void OperatorServer::Impl::answerFolded(const ProposalFolded &folded, Json answer, httplib::Response &response)
{
    answer["offset"] = folded.offset;
    if (!folded.verdict.accepted) {
        answer.erase("key");
        answer["error"] = folded.verdict.refusal;
        dependencies.replica->query([&](const FleetState &state) {
            answer["version-in-force"] = state.configuration.version;
            answer["who"] = state.configuration.author;
        });
        writeJson(response, StatusConflict, answer);
        return;
    }
    const std::vector<std::string> pending = waitInForce(folded.offset);
    dependencies.replica->query([&](const FleetState &state) {
        answer["configuration-version"] = state.configuration.version;
    });
    answer["in-force"] = pending.empty();
    answer["pending-nodes"] = pending;
    writeJson(response, pending.empty() ? StatusOk : StatusAccepted, answer);
}

/** Waits for up to InForceTimeout until all present nodes have folded @p offset; returns those that have not. */
std::vector<std::string> OperatorServer::Impl::waitInForce(Offset offset) const
{
    constexpr auto PollInterval = 20ms;
    const SteadyTime deadline = steadyNow() + InForceTimeout;
    while (true) {
        dependencies.requestPeerOffsets();
        const std::map<std::string, Offset> offsets = dependencies.peerOffsets();
        std::vector<std::string> pending;
        dependencies.replica->query([&](const FleetState &state) {
            for (const auto &[name, member] : state.members) {
                const auto peerOffset = offsets.find(name);
                const bool hasFolded = name == dependencies.self.name || (peerOffset != offsets.end() && peerOffset->second > offset);
                if (member.present && !hasFolded) {
                    pending.push_back(name);
                }
            }
        });
        if (pending.empty() || steadyNow() >= deadline) {
            return pending;
        }
        std::this_thread::sleep_until(std::min(deadline, steadyNow() + PollInterval));
    }
}

OperatorServer::OperatorServer(const NodeSettings &settings, OperatorServerDependencies dependencies, std::shared_ptr<MemoryBudget> budget)
    : m_impl(std::make_unique<Impl>(settings, std::move(dependencies), std::move(budget)))
{
    m_impl->addUnauthenticatedHandlers();
    m_impl->addQueries();
    m_impl->addCommands();
}

OperatorServer::~OperatorServer() = default;

bool OperatorServer::isBound() const
{
    return m_impl->http.isBound();
}

std::uint16_t OperatorServer::port() const
{
    return m_impl->http.port();
}

void OperatorServer::start()
{
    m_impl->http.start();
}

void OperatorServer::stop()
{
    m_impl->http.stop();
}

}
