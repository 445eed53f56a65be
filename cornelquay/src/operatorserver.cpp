#include "details/operatorserver.h"

#include "details/fleetviews.h"
#include "details/httpserver.h"
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
constexpr std::size_t BodyBytesMax = 5ULL * 1024 * 1024;
constexpr std::size_t AuditEntriesDefault = 100;
constexpr auto ProposalTimeout = 8s;
/** How long an answer waits for all nodes to have folded the change. */
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

/** The body of a command; an empty object if there is none. */
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

std::string textOf(const Json &body, const char *key)
{
    return body.contains(key) && body[key].is_string() ? body[key].get<std::string>() : std::string();
}

/** What is not in the fleet's state; gathered before it is locked. */
struct LiveView {
    std::map<std::string, TeamLoad> teams;
    std::vector<UpstreamStatus> upstreams;
    std::size_t waiting = 0;
    ViewState viewState = ViewState::None;
    std::map<std::string, Offset> peerOffsets;
    bool ready = false;
};

}

struct OperatorServer::Impl {
    Impl(const NodeSettings &givenSettings, OperatorServices givenServices)
        : settings(givenSettings)
        , services(std::move(givenServices))
        , http(settings.operators)
    {
    }

    using View = std::function<Json(const FleetState &, const LiveView &, const httplib::Request &)>;
    using Command = std::function<void(const std::string &who, const Json &body, const httplib::Request &, httplib::Response &)>;

    const NodeSettings settings;
    const OperatorServices services;
    HttpServer http;

    std::optional<std::string> operatorOf(const httplib::Request &request) const;
    bool authorize(const httplib::Request &request, httplib::Response &response, std::string &who) const;
    void addQuery(const std::string &pattern, View view);
    httplib::Server::Handler command(Command handler);
    void addQueries();
    void addCommands();
    void addOpenHandlers();

    LiveView liveView() const;
    Json statusView(const FleetState &state, const LiveView &live) const;
    void applyConfiguration(const std::string &who, const Json &body, httplib::Response &response);
    void grantKey(const std::string &who, const Json &body, httplib::Response &response);
    void proposeAndAnswer(RecordBody record, const std::string &who, const std::string &reason, Json answer, httplib::Response &response);
    void answerFolded(const ProposalFolded &folded, Json answer, httplib::Response &response);
    std::vector<std::string> waitInForce(Offset offset) const;
};

std::optional<std::string> OperatorServer::Impl::operatorOf(const httplib::Request &request) const
{
    const std::string hash = sha256Hex(bearerToken(request.get_header_value("Authorization")));
    std::optional<std::string> who;
    for (const OperatorAccount &account : settings.operatorAccounts) {
        if (equalsInConstantTime(hash, account.tokenSha256)) {
            who = account.name;
        }
    }
    return who;
}

bool OperatorServer::Impl::authorize(const httplib::Request &request, httplib::Response &response, std::string &who) const
{
    const std::optional<std::string> account = operatorOf(request);
    if (!account) {
        writeError(response, StatusUnauthorized, "the operator token is not valid");
        return false;
    }
    if (services.replica->condition() != ReplicaCondition::Ready) {
        writeError(response, StatusUnavailable, "this node has no view of the fleet: " + std::string(toName(services.replica->condition())));
        return false;
    }
    who = *account;
    return true;
}

void OperatorServer::Impl::addQuery(const std::string &pattern, View view)
{
    http.server().Get(pattern, [this, view = std::move(view)](const httplib::Request &request, httplib::Response &response) {
        std::string who;
        if (!authorize(request, response, who)) {
            return;
        }
        const LiveView live = liveView();
        Json body;
        services.replica->query([&](const FleetState &state) {
            body = view(state, live, request);
        });
        writeJson(response, StatusOk, body);
    });
}

LiveView OperatorServer::Impl::liveView() const
{
    return {services.admission->teams(),
            services.upstreams->status(steadyNow()),
            services.admission->waiting(),
            services.viewState(),
            services.peerOffsets(),
            services.isReady()};
}

httplib::Server::Handler OperatorServer::Impl::command(Command handler)
{
    return [this, handler = std::move(handler)](const httplib::Request &request, httplib::Response &response) {
        std::string who;
        if (!authorize(request, response, who)) {
            return;
        }
        const std::optional<Json> body = commandBody(request);
        if (!body) {
            writeError(response, StatusBadRequest, "the body must be a JSON object");
            return;
        }
        handler(who, *body, request, response);
    };
}

Json OperatorServer::Impl::statusView(const FleetState &state, const LiveView &live) const
{
    Json view;
    view["node"] = services.self.name;
    view["incarnation"] = services.self.number;
    view["version"] = CORNELQUAY_VERSION;
    view["ready"] = live.ready;
    view["view"] = toName(live.viewState);
    view["next-offset"] = state.next;
    view["configuration-version"] = state.configuration.version;
    view["waiting"] = live.waiting;
    view["claims"] = state.claims.size();
    view["nodes"] = membersView(state);
    const std::map<std::string, Offset> &offsets = live.peerOffsets;
    for (Json &node : view["nodes"]) {
        const auto found = offsets.find(node["name"].get<std::string>());
        node["heard"] = found != offsets.end();
        node["next-offset"] = found == offsets.end() ? Json() : Json(found->second);
    }
    return view;
}

void OperatorServer::Impl::addQueries()
{
    addQuery("/v1/status", [this](const FleetState &state, const LiveView &live, const httplib::Request &) {
        return statusView(state, live);
    });
    addQuery("/v1/config", [](const FleetState &state, const LiveView &, const httplib::Request &) {
        return configurationView(state);
    });
    addQuery("/v1/config/history", [](const FleetState &state, const LiveView &, const httplib::Request &) {
        return configurationHistoryView(state);
    });
    addQuery("/v1/keys", [](const FleetState &state, const LiveView &, const httplib::Request &) {
        return keysView(state);
    });
    addQuery("/v1/teams", [](const FleetState &state, const LiveView &live, const httplib::Request &) {
        return teamsView(state, live.teams);
    });
    addQuery("/v1/services", [](const FleetState &state, const LiveView &, const httplib::Request &) {
        return servicesView(state);
    });
    addQuery("/v1/pools", [](const FleetState &state, const LiveView &, const httplib::Request &) {
        return poolsView(state);
    });
    addQuery("/v1/instances", [](const FleetState &state, const LiveView &live, const httplib::Request &) {
        return instancesView(state, live.upstreams);
    });
    addQuery("/v1/maintenance", [](const FleetState &state, const LiveView &, const httplib::Request &) {
        return maintenanceView(state);
    });
    addQuery("/v1/audit", [](const FleetState &state, const LiveView &, const httplib::Request &request) {
        return auditView(state, request.get_param_value("subject"), AuditEntriesDefault);
    });
    addQuery("/v1/why/(.+)", [](const FleetState &state, const LiveView &, const httplib::Request &request) {
        return whyView(state, request.matches[1]);
    });
}

void OperatorServer::Impl::addCommands()
{
    httplib::Server &server = http.server();
    server.Post("/v1/config/diff", command([this](const std::string &, const Json &body, const httplib::Request &, httplib::Response &response) {
                    Json view;
                    services.replica->query([&](const FleetState &state) {
                        view = differenceView(state, textOf(body, "text"));
                    });
                    writeJson(response, StatusOk, view);
                }));
    server.Post("/v1/config", command([this](const std::string &who, const Json &body, const httplib::Request &, httplib::Response &response) {
                    applyConfiguration(who, body, response);
                }));
    server.Post("/v1/keys", command([this](const std::string &who, const Json &body, const httplib::Request &, httplib::Response &response) {
                    grantKey(who, body, response);
                }));
    server.Post("/v1/keys/([0-9a-f]+)/withdraw",
                command([this](const std::string &who, const Json &body, const httplib::Request &request, httplib::Response &response) {
                    const std::string keyId = request.matches[1];
                    proposeAndAnswer(KeyWithdrawn{keyId}, who, textOf(body, "reason"), {{"key", keyId}}, response);
                }));
    server.Post("/v1/maintenance/start", command([this](const std::string &who, const Json &body, const httplib::Request &, httplib::Response &response) {
                    std::int64_t after = 0;
                    services.replica->query([&](const FleetState &state) {
                        after = state.waveStartedAt;
                    });
                    proposeAndAnswer(WaveStarted{after}, who, textOf(body, "reason"), Json::object(), response);
                }));
    server.Post("/v1/maintenance/skip/([A-Za-z0-9._-]+)",
                command([this](const std::string &who, const Json &body, const httplib::Request &request, httplib::Response &response) {
                    const std::string instance = request.matches[1];
                    std::uint64_t sequence = 0;
                    services.replica->query([&](const FleetState &state) {
                        const auto found = state.instances.find(instance);
                        sequence = found == state.instances.end() ? 0 : found->second.sequence;
                    });
                    proposeAndAnswer(MaintenanceSkipped{instance, sequence}, who, textOf(body, "reason"), {{"instance", instance}}, response);
                }));
    server.Post("/v1/maintenance/(pause|resume)",
                command([this](const std::string &who, const Json &body, const httplib::Request &request, httplib::Response &response) {
                    const bool paused = request.matches[1] == "pause";
                    proposeAndAnswer(MaintenancePaused{paused}, who, textOf(body, "reason"), {{"paused", paused}}, response);
                }));
}

void OperatorServer::Impl::addOpenHandlers()
{
    httplib::Server &server = http.server();
    server.set_payload_max_length(BodyBytesMax);
    server.Get("/metrics", [this](const httplib::Request &, httplib::Response &response) {
        response.set_content(services.metrics->toText(), "text/plain; version=0.0.4");
    });
    server.Get("/health", [](const httplib::Request &, httplib::Response &response) {
        response.set_content("ok\n", "text/plain");
    });
    server.Get("/ready", [this](const httplib::Request &, httplib::Response &response) {
        const bool ready = services.isReady();
        response.status = ready ? StatusOk : StatusUnavailable;
        response.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
    });
}

void OperatorServer::Impl::applyConfiguration(const std::string &who, const Json &body, httplib::Response &response)
{
    const std::string text = textOf(body, "text");
    Json view;
    services.replica->query([&](const FleetState &state) {
        view = differenceView(state, text);
    });
    if (!view["findings"].empty()) {
        view["error"] = "the text has findings; nothing was changed";
        writeJson(response, StatusBadRequest, view);
        return;
    }
    const std::uint64_t base = body.contains("base-version") && body["base-version"].is_number_unsigned() ? body["base-version"].get<std::uint64_t>()
                                                                                                          : view["base-version"].get<std::uint64_t>();
    proposeAndAnswer(ConfigurationChanged{base, text}, who, textOf(body, "reason"), {{"changes", view["changes"]}}, response);
}

void OperatorServer::Impl::grantKey(const std::string &who, const Json &body, httplib::Response &response)
{
    const NewKey key = makeKey(textOf(body, "team"));
    const Json answer{{"team", key.record.team}, {"key-id", key.record.keyId}, {"key", key.text}};
    proposeAndAnswer(key.record, who, textOf(body, "reason"), answer, response);
}

void OperatorServer::Impl::proposeAndAnswer(RecordBody record, const std::string &who, const std::string &reason, Json answer, httplib::Response &response)
{
    const ProposalOutcome outcome = services.replica->propose(std::move(record), who, reason, steadyNow() + ProposalTimeout);
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
        services.replica->query([&](const FleetState &state) {
            answer["version-in-force"] = state.configuration.version;
            answer["who"] = state.configuration.author;
        });
        writeJson(response, StatusConflict, answer);
        return;
    }
    const std::vector<std::string> pending = waitInForce(folded.offset);
    services.replica->query([&](const FleetState &state) {
        answer["configuration-version"] = state.configuration.version;
    });
    answer["in-force"] = pending.empty();
    answer["pending-nodes"] = pending;
    writeJson(response, pending.empty() ? StatusOk : StatusAccepted, answer);
}

/** The present nodes that are not known to have folded @p offset after a bounded wait. */
std::vector<std::string> OperatorServer::Impl::waitInForce(Offset offset) const
{
    constexpr auto PollInterval = 20ms;
    const SteadyTime deadline = steadyNow() + InForceTimeout;
    while (true) {
        services.hastenPeers();
        const std::map<std::string, Offset> offsets = services.peerOffsets();
        std::vector<std::string> pending;
        services.replica->query([&](const FleetState &state) {
            for (const auto &[name, member] : state.members) {
                const auto heard = offsets.find(name);
                const bool done = name == services.self.name || (heard != offsets.end() && heard->second > offset);
                if (member.present && !done) {
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

OperatorServer::OperatorServer(const NodeSettings &settings, OperatorServices services)
    : m_impl(std::make_unique<Impl>(settings, std::move(services)))
{
    m_impl->addOpenHandlers();
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
