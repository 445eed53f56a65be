#include "operatorclient/commandline.h"

#include <getopt.h>

#include <charconv>
#include <fstream>
#include <map>

namespace Cornelquay {

namespace {

/** The options as text, before they are validated. */
struct RawOptions {
    std::vector<std::string> nodes;
    std::string tokenFile;
    std::string tlsTrustFile;
    std::string output = "text";
    std::string reason;
    std::string baseVersion;
    std::string account;
    std::string queue;
    std::string jobFile;
    bool dryRun = false;
    /** The command and its arguments. */
    std::vector<std::string> words;
};

constexpr const char *Usage = R"(usage: cornelquay [options] COMMAND

Queries:
  status                     this node and the nodes it knows
  teams | services | pools | instances | maintenance
  config show                the configuration in force
  config history             who changed it, when, from which version, why
  key list                   keys by id; secrets are never shown
  audit [SUBJECT]            the newest audit records, or those of SUBJECT only
  why REQUEST|INSTANCE|SERVICE
                             which rule decides its current state
  explain --account NAME --queue NAME --job FILE
                             where the job in FILE would be placed now and why, without
                             submitting it; --node is the address of a node's metrics

Commands:
  config check FILE          check FILE locally, without a node
  config diff FILE           what FILE would change
  config apply FILE          put FILE in force
      --base-version N       refuse if another version is in force
      --dry-run              only show what would change
  key grant TEAM             grant TEAM a new key; it is shown only once
  key withdraw KEY-ID        withdraw a key
  maintenance start          start a wave: every instance is maintained once
  maintenance pause | maintenance resume
  maintenance skip INSTANCE  postpone INSTANCE to the next wave

Options:
  --node ADDRESS             a node's operators' address; may be repeated (CORNELQUAY_NODE)
  --token-file FILE          the operator's token (CORNELQUAY_TOKEN)
  --reason TEXT              reason of the change, for the audit trail
  --tls-trust FILE           connect by TLS and trust the certificates in FILE
  --output text|json         output format (text)
  --json                     the same as --output json
  --help, --version

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 findings, 4 refused because of a conflict,
5 no node could be reached, 6 outcome unknown, 7 accepted but not yet in force on every node.
)";

using Parsed = ParsedCommandLine;

ClientUsageError usageError(const std::string &message)
{
    return {message + "; see --help"};
}

/** Fills @p raw from the arguments. Returns a result if the program ends there: help, version or an error. */
std::optional<Parsed> readOptions(const std::vector<std::string> &arguments, RawOptions &raw)
{
    const option longOptions[] = {{"node", required_argument, nullptr, 'n'},
                                  {"token-file", required_argument, nullptr, 't'},
                                  {"output", required_argument, nullptr, 'o'},
                                  {"reason", required_argument, nullptr, 'r'},
                                  {"base-version", required_argument, nullptr, 'b'},
                                  {"account", required_argument, nullptr, 'a'},
                                  {"queue", required_argument, nullptr, 'q'},
                                  {"job", required_argument, nullptr, 'J'},
                                  {"json", no_argument, nullptr, 'j'},
                                  {"dry-run", no_argument, nullptr, 'd'},
                                  {"tls-trust", required_argument, nullptr, 'T'},
                                  {"help", no_argument, nullptr, 'h'},
                                  {"version", no_argument, nullptr, 'v'},
                                  {nullptr, 0, nullptr, 0}};
    std::vector<std::string> storage{"cornelquay"};
    storage.insert(storage.end(), arguments.begin(), arguments.end());
    std::vector<char *> argv;
    argv.reserve(storage.size() + 1);
    for (std::string &argument : storage) {
        argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    const int argc = static_cast<int>(storage.size());
    optind = 0;
    opterr = 0;
    int choice = 0;
    while ((choice = getopt_long(argc, argv.data(), "", longOptions, nullptr)) != -1) { // NOLINT(concurrency-mt-unsafe)
        switch (choice) {
        case 'n':
            raw.nodes.emplace_back(optarg);
            break;
        case 't':
            raw.tokenFile = optarg;
            break;
        case 'T':
            raw.tlsTrustFile = optarg;
            break;
        case 'o':
            raw.output = optarg;
            break;
        case 'r':
            raw.reason = optarg;
            break;
        case 'b':
            raw.baseVersion = optarg;
            break;
        case 'a':
            raw.account = optarg;
            break;
        case 'q':
            raw.queue = optarg;
            break;
        case 'J':
            raw.jobFile = optarg;
            break;
        case 'j':
            raw.output = "json";
            break;
        case 'd':
            raw.dryRun = true;
            break;
        case 'h':
            return ClientInformation{usageText()};
        case 'v':
            return ClientInformation{"cornelquay " CORNELQUAY_VERSION "\n"};
        default:
            return usageError("unknown or incomplete option '" + storage[static_cast<std::size_t>(optind) - 1] + '\'');
        }
    }
    raw.words.assign(argv.begin() + optind, argv.begin() + argc);
    return std::nullopt;
}

std::optional<std::uint64_t> parseVersion(const std::string &text)
{
    std::uint64_t version = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), version);
    if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return version;
}

/** The number of arguments that a command takes, and the function that builds it. */
struct CommandSyntax {
    std::size_t minArguments;
    std::size_t maxArguments;
    ClientCommand (*make)(const RawOptions &raw, const std::vector<std::string> &arguments);
};

ClientCommand query(const std::string &path)
{
    return QueryCommand{path};
}

ClientCommand maintenance(MaintenanceAction action, const std::string &instance, const RawOptions &raw)
{
    return MaintenanceCommand{action, instance, raw.reason};
}

const std::map<std::string, CommandSyntax> &commandSyntaxes()
{
    using Arguments = std::vector<std::string>;
    static const std::map<std::string, CommandSyntax> Syntaxes{
        {"status",
         {0,
          0,
          [](const RawOptions &, const Arguments &) {
              return query("/v1/status");
          }}},
        {"teams",
         {0,
          0,
          [](const RawOptions &, const Arguments &) {
              return query("/v1/teams");
          }}},
        {"services",
         {0,
          0,
          [](const RawOptions &, const Arguments &) {
              return query("/v1/services");
          }}},
        {"pools",
         {0,
          0,
          [](const RawOptions &, const Arguments &) {
              return query("/v1/pools");
          }}},
        {"instances",
         {0,
          0,
          [](const RawOptions &, const Arguments &) {
              return query("/v1/instances");
          }}},
        {"maintenance",
         {0,
          0,
          [](const RawOptions &, const Arguments &) {
              return query("/v1/maintenance");
          }}},
        {"maintenance start",
         {0,
          0,
          [](const RawOptions &raw, const Arguments &) {
              return maintenance(MaintenanceAction::Start, "", raw);
          }}},
        {"maintenance pause",
         {0,
          0,
          [](const RawOptions &raw, const Arguments &) {
              return maintenance(MaintenanceAction::Pause, "", raw);
          }}},
        {"maintenance resume",
         {0,
          0,
          [](const RawOptions &raw, const Arguments &) {
              return maintenance(MaintenanceAction::Resume, "", raw);
          }}},
        {"maintenance skip",
         {1,
          1,
          [](const RawOptions &raw, const Arguments &words) {
              return maintenance(MaintenanceAction::Skip, words[0], raw);
          }}},
        {"config show",
         {0,
          0,
          [](const RawOptions &, const Arguments &) {
              return query("/v1/config");
          }}},
        {"config history",
         {0,
          0,
          [](const RawOptions &, const Arguments &) {
              return query("/v1/config/history");
          }}},
        {"config check",
         {1,
          1,
          [](const RawOptions &, const Arguments &words) {
              return ClientCommand(CheckCommand{words[0]});
          }}},
        {"config diff",
         {1,
          1,
          [](const RawOptions &, const Arguments &words) {
              return ClientCommand(DiffCommand{words[0]});
          }}},
        {"config apply",
         {1,
          1,
          [](const RawOptions &raw, const Arguments &words) {
              return ClientCommand(ApplyCommand{words[0], raw.reason, parseVersion(raw.baseVersion), raw.dryRun});
          }}},
        {"key list",
         {0,
          0,
          [](const RawOptions &, const Arguments &) {
              return query("/v1/keys");
          }}},
        {"key grant",
         {1,
          1,
          [](const RawOptions &raw, const Arguments &words) {
              return ClientCommand(GrantCommand{words[0], raw.reason});
          }}},
        {"key withdraw",
         {1,
          1,
          [](const RawOptions &raw, const Arguments &words) {
              return ClientCommand(WithdrawCommand{words[0], raw.reason});
          }}},
        {"audit",
         {0,
          1,
          [](const RawOptions &, const Arguments &words) {
              return query(words.empty() ? "/v1/audit" : "/v1/audit?subject=" + words[0]);
          }}},
        {"why",
         {1,
          1,
          [](const RawOptions &, const Arguments &words) {
              return query("/v1/why/" + words[0]);
          }}},
        {"explain",
         {0,
          0,
          [](const RawOptions &raw, const Arguments &) {
              return ClientCommand(ExplainCommand{raw.account, raw.queue, raw.jobFile});
          }}},
    };
    return Syntaxes;
}

/** The command named by the first one or two words. Two-word names take precedence. */
tl::expected<ClientCommand, ClientUsageError> findCommand(const RawOptions &raw)
{
    for (std::size_t length = std::min<std::size_t>(2, raw.words.size()); length > 0; --length) {
        const std::string name = length == 2 ? raw.words[0] + ' ' + raw.words[1] : raw.words[0];
        const auto syntax = commandSyntaxes().find(name);
        if (syntax == commandSyntaxes().end()) {
            continue;
        }
        const std::vector<std::string> arguments(raw.words.begin() + static_cast<std::ptrdiff_t>(length), raw.words.end());
        if (arguments.size() < syntax->second.minArguments || arguments.size() > syntax->second.maxArguments) {
            return tl::make_unexpected(usageError("'" + name + "' has the wrong number of arguments"));
        }
        return syntax->second.make(raw, arguments);
    }
    return tl::make_unexpected(usageError(raw.words.empty() ? "no command is given" : "unknown command '" + raw.words[0] + '\''));
}

std::string firstLine(const std::string &path)
{
    std::ifstream file(path);
    std::string line;
    std::getline(file, line);
    return line;
}

}

std::string usageText()
{
    return Usage;
}

ParsedCommandLine parseCommandLine(const std::vector<std::string> &arguments, const std::string &nodeDefault, const std::string &tokenDefault)
{
    RawOptions raw;
    if (std::optional<Parsed> ended = readOptions(arguments, raw)) {
        return std::move(*ended);
    }
    ClientOptions options;
    if (raw.output != "text" && raw.output != "json") {
        return usageError("--output must be text or json");
    }
    options.output = raw.output == "json" ? OutputFormat::Json : OutputFormat::Text;
    if (!raw.baseVersion.empty() && !parseVersion(raw.baseVersion)) {
        return usageError("--base-version takes a number");
    }
    const tl::expected<ClientCommand, ClientUsageError> command = findCommand(raw);
    if (!command) {
        return command.error();
    }
    options.command = *command;
    const ExplainCommand *explain = std::get_if<ExplainCommand>(&options.command);
    if (explain != nullptr && (explain->account.empty() || explain->queue.empty() || explain->file.empty())) {
        return usageError("'explain' needs --account, --queue and --job");
    }
    if (raw.nodes.empty() && !nodeDefault.empty()) {
        raw.nodes.push_back(nodeDefault);
    }
    for (const std::string &node : raw.nodes) {
        const std::optional<Address> address = parseAddress(node);
        if (!address) {
            return usageError("'" + node + "' is not an IP address and port");
        }
        options.nodes.push_back(*address);
    }
    if (options.nodes.empty() && !std::holds_alternative<CheckCommand>(options.command)) {
        return usageError("no --node is given");
    }
    options.tlsTrustFile = raw.tlsTrustFile;
    if (explain != nullptr) {
        // The metrics address asks for no token, so it must not be told the operator's.
        return options;
    }
    options.token = raw.tokenFile.empty() ? tokenDefault : firstLine(raw.tokenFile);
    return options;
}

}
