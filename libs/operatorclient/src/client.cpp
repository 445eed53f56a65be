#include "operatorclient/client.h"

#include "configuration/reader.h"
#include "details/explanationtext.h"
#include "details/rendering.h"
#include "transport/httpclientpool.h"

#include <httplib.h>

#include <fstream>
#include <ostream>
#include <sstream>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;
using Json = nlohmann::ordered_json;

constexpr auto QueryTimeout = 5s;
/** Must exceed the time that a node waits for the log and for all other nodes. */
constexpr auto CommandTimeout = 20s;

constexpr int StatusOk = 200;
constexpr int StatusAccepted = 202;
constexpr int StatusBadRequest = 400;
constexpr int StatusConflict = 409;
constexpr int StatusUnknownOutcome = 504;

/** A node's answer. */
struct Reply {
    /** HTTP status code. */
    int status = 0;
    Json body;
};

/** Why a call got no answer. */
enum class CallFailure {
    /** No node could be reached; nothing was sent. */
    Unreachable,
    /** The request was sent, but no answer arrived. */
    AnswerLost,
};

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

ClientExit exitCode(int status, const Json &body)
{
    switch (status) {
    case StatusOk:
        return ClientExit::Done;
    case StatusAccepted:
        return ClientExit::NotInForceEverywhere;
    case StatusBadRequest:
        return body.contains("findings") ? ClientExit::Findings : ClientExit::Failed;
    case StatusConflict:
        return ClientExit::Conflict;
    case StatusUnknownOutcome:
        return ClientExit::Unknown;
    default:
        return ClientExit::Failed;
    }
}

std::string maintenancePath(const MaintenanceCommand &command)
{
    switch (command.action) {
    case MaintenanceAction::Start:
        return "/v1/maintenance/start";
    case MaintenanceAction::Pause:
        return "/v1/maintenance/pause";
    case MaintenanceAction::Resume:
        return "/v1/maintenance/resume";
    case MaintenanceAction::Skip:
        break;
    }
    return "/v1/maintenance/skip/" + command.instance;
}

/** Runs a command; has one overload for each type of command. */
class CommandRunner
{
public:
    CommandRunner(const ClientOptions &options, std::ostream &out, std::ostream &err)
        : m_options(options)
        , m_out(out)
        , m_err(err)
    {
    }

    ClientExit operator()(const CheckCommand &command)
    {
        const std::optional<std::string> text = load(command.file);
        if (!text) {
            return ClientExit::Failed;
        }
        const ConfigurationResult read = readConfiguration(command.file, *text);
        if (m_options.output == OutputFormat::Json) {
            Json findings = Json::array();
            for (const Finding &finding : read.findings.sorted()) {
                findings.push_back({{"file", finding.location.file},
                                    {"line", finding.location.line},
                                    {"column", finding.location.column},
                                    {"problem", finding.problem},
                                    {"remedy", finding.remedy}});
            }
            m_out << Json{{"findings", findings}}.dump(2) << '\n';
        } else {
            m_out << (read.findings.isEmpty() ? command.file + ": no findings\n" : read.findings.toText());
        }
        return read.findings.isEmpty() ? ClientExit::Done : ClientExit::Findings;
    }

    ClientExit operator()(const QueryCommand &command)
    {
        return print(query(command.path));
    }

    ClientExit operator()(const DiffCommand &command)
    {
        const std::optional<std::string> text = load(command.file);
        if (!text) {
            return ClientExit::Failed;
        }
        return printDifference(send("/v1/config/diff", {{"text", *text}}));
    }

    ClientExit operator()(const ApplyCommand &command)
    {
        const std::optional<std::string> text = load(command.file);
        if (!text) {
            return ClientExit::Failed;
        }
        if (command.dryRun) {
            return printDifference(send("/v1/config/diff", {{"text", *text}}));
        }
        Json body{{"text", *text}, {"reason", command.reason}};
        if (command.baseVersion) {
            body["base-version"] = *command.baseVersion;
        }
        return print(send("/v1/config", body));
    }

    ClientExit operator()(const GrantCommand &command)
    {
        return print(send("/v1/keys", {{"team", command.team}, {"reason", command.reason}}));
    }

    ClientExit operator()(const WithdrawCommand &command)
    {
        return print(send("/v1/keys/" + command.keyId + "/withdraw", {{"reason", command.reason}}));
    }

    ClientExit operator()(const MaintenanceCommand &command)
    {
        return print(send(maintenancePath(command), {{"reason", command.reason}}));
    }

    ClientExit operator()(const ExplainCommand &command)
    {
        const std::optional<std::string> text = load(command.file);
        if (!text) {
            return ClientExit::Failed;
        }
        const Json job = Json::parse(*text, nullptr, false);
        if (job.is_discarded()) {
            m_err << "cornelquay: " << command.file << " is not JSON\n";
            return ClientExit::Failed;
        }
        return print(send("/explain", {{"account", command.account}, {"queue", command.queue}, {"job", job}}), Details::renderExplanation);
    }

private:
    using Result = tl::expected<Reply, CallFailure>;
    using Call = std::function<httplib::Result(httplib::Client &, const httplib::Headers &)>;

    std::optional<std::string> load(const std::string &path)
    {
        std::optional<std::string> text = readFile(path);
        if (!text) {
            m_err << "cornelquay: " << path << " cannot be read\n";
        }
        return text;
    }

    Result query(const std::string &path)
    {
        return call(QueryTimeout, [&](httplib::Client &client, const httplib::Headers &headers) {
            return client.Get(path, headers);
        });
    }

    Result send(const std::string &path, const Json &body)
    {
        return call(CommandTimeout, [&](httplib::Client &client, const httplib::Headers &headers) {
            return client.Post(path, headers, body.dump(), "application/json");
        });
    }

    // Tries the next node only if the request was certainly not sent to the previous one.
    Result call(std::chrono::milliseconds timeout, const Call &call)
    {
        const httplib::Headers headers = m_options.token.empty() ? httplib::Headers{} : httplib::Headers{{"Authorization", "Bearer " + m_options.token}};
        for (const Address &node : m_options.nodes) {
            const bool tls = !m_options.tlsTrustFile.empty();
            httplib::Client client((tls ? "https://" : "http://") + toText(node));
            if (tls) {
                client.set_ca_cert_path(m_options.tlsTrustFile);
            }
            client.set_connection_timeout(2s);
            client.set_read_timeout(timeout);
            const httplib::Result result = call(client, headers);
            if (result) {
                Json body = Json::parse(result->body, nullptr, false);
                return Reply{result->status, body.is_discarded() ? Json{{"error", result->body}} : std::move(body)};
            }
            if (!isNotSent(result.error())) {
                return tl::make_unexpected(CallFailure::AnswerLost);
            }
        }
        return tl::make_unexpected(CallFailure::Unreachable);
    }

    /** @p render formats the answer for people. */
    ClientExit print(const Result &result, std::string (*render)(const Json &) = Details::renderText)
    {
        if (!result) {
            const bool answerLost = result.error() == CallFailure::AnswerLost;
            m_err << "cornelquay: "
                  << (answerLost ? "the node did not answer, so the outcome is unknown; check 'audit' before trying again" : "no node could be reached")
                  << '\n';
            return answerLost ? ClientExit::Unknown : ClientExit::Unreachable;
        }
        const bool succeeded = result->status == StatusOk || result->status == StatusAccepted;
        std::ostream &stream = succeeded || m_options.output == OutputFormat::Json ? m_out : m_err;
        stream << (m_options.output == OutputFormat::Json ? result->body.dump(2) + '\n' : render(result->body));
        return exitCode(result->status, result->body);
    }

    ClientExit printDifference(const Result &result)
    {
        const ClientExit exit = print(result);
        const bool findings = result && result->body.contains("findings") && !result->body["findings"].empty();
        return exit == ClientExit::Done && findings ? ClientExit::Findings : exit;
    }

    const ClientOptions &m_options;
    std::ostream &m_out;
    std::ostream &m_err;
};

}

ClientExit runCommand(const ClientOptions &options, std::ostream &out, std::ostream &err)
{
    return std::visit(CommandRunner(options, out, err), options.command);
}

}
