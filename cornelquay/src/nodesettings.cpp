#include "cornelquay/nodesettings.h"

#include "settings/address.h"
#include "settings/document.h"

#include <algorithm>
#include <cctype>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t TokenHashHexDigits = 64;
constexpr std::size_t MinPeerSecretLength = 16;
constexpr std::int64_t MaxThreads = 4096;
constexpr std::uint64_t MinMemoryBytes = std::uint64_t{32} << 20;
constexpr std::uint64_t MaxMemoryBytes = std::uint64_t{1} << 50;
// For the log, the platform, the workers and the other nodes, beside callers.
constexpr std::int64_t MinDescriptors = 64;
constexpr std::int64_t MaxDescriptors = std::int64_t{1} << 30;
constexpr std::int64_t MaxWaitingRequests = 100000;
constexpr std::uint64_t MaxPayloadBytes = 64ULL << 20;
constexpr std::int64_t MaxSnapshotIntervalRecords = 1000000;

TlsFiles readTls(const Element &element)
{
    element.allowKeys({"certificate", "key"});
    if (!element.isPresent()) {
        return {};
    }
    return {element.child("certificate").text(), element.child("key").text()};
}

ListenerSettings readListener(const Element &element, std::int64_t threads)
{
    element.allowKeys({"address", "threads", "tls", "plain"});
    ListenerSettings listener;
    listener.address = readAddress(element.child("address"));
    listener.threads = static_cast<std::size_t>(element.child("threads", Presence::Optional).integer(1, MaxThreads, threads));
    listener.tls = readTls(element.child("tls", Presence::Optional));
    const bool plain = element.child("plain", Presence::Optional).boolean(false);
    if (element.isPresent() && plain == !listener.tls.certificate.empty()) {
        element.report("the listener does not state whether it is encrypted", "give either 'tls' or 'plain: true'");
    }
    return listener;
}

OperatorAccount readOperator(const Element &element)
{
    element.allowKeys({"name", "token-sha256"});
    OperatorAccount account;
    account.name = element.child("name").name();
    const Element hash = element.child("token-sha256");
    account.tokenSha256 = hash.text();
    const bool isHex = std::all_of(account.tokenSha256.begin(), account.tokenSha256.end(), [](unsigned char c) {
        return std::isdigit(c) != 0 || (c >= 'a' && c <= 'f');
    });
    if (hash.isPresent() && (account.tokenSha256.size() != TokenHashHexDigits || !isHex)) {
        hash.report("not a SHA-256", "write 64 lower-case hexadecimal digits");
    }
    return account;
}

void readLimits(const Element &element, NodeSettings &settings)
{
    element.allowKeys({"waiting", "waiting-per-team", "payload", "slots-per-instance", "connections-per-instance", "ejected-fraction", "retry-fraction"});
    settings.admission.maxWaiting = static_cast<std::size_t>(element.child("waiting", Presence::Optional).integer(1, MaxWaitingRequests, 1000));
    settings.admission.maxWaitingPerTeam = static_cast<std::size_t>(element.child("waiting-per-team", Presence::Optional).integer(1, MaxWaitingRequests, 400));
    settings.maxPayloadBytes = element.child("payload", Presence::Optional).bytes(1, MaxPayloadBytes, settings.maxPayloadBytes);
    UpstreamLimits &upstream = settings.upstream;
    upstream.slotsPerInstance = static_cast<int>(element.child("slots-per-instance", Presence::Optional).integer(1, 1024, upstream.slotsPerInstance));
    upstream.connectionsPerInstance = static_cast<std::size_t>(element.child("connections-per-instance", Presence::Optional).integer(1, 64, 64));
    upstream.maxEjectedFraction = element.child("ejected-fraction", Presence::Optional).fraction(upstream.maxEjectedFraction);
    settings.retryFraction = element.child("retry-fraction", Presence::Optional).fraction(settings.retryFraction);
}

void readTimes(const Element &element, NodeSettings &settings)
{
    element.allowKeys({"deadline-default", "deadline-most", "drain-delay", "upstream-silence", "task-lease"});
    settings.defaultDeadline = element.child("deadline-default", Presence::Optional).duration(1ms, 1h, settings.defaultDeadline);
    settings.maxDeadline = element.child("deadline-most", Presence::Optional).duration(1ms, 1h, settings.maxDeadline);
    settings.drainDelay = element.child("drain-delay", Presence::Optional).duration(0ms, 10min, settings.drainDelay);
    ExchangeLimits &exchange = settings.upstream.exchange;
    exchange.responseTimeout = element.child("upstream-silence", Presence::Optional).duration(10ms, 1min, exchange.responseTimeout);
    exchange.leaseLifetime = element.child("task-lease", Presence::Optional).duration(1s, 15s, exchange.leaseLifetime);
}

TurnPolicy readTurns(const Element &element)
{
    const std::string name = element.text("fleet-shares");
    if (name == "first-come") {
        return FirstComeTurns{};
    }
    if (name == "node-shares") {
        return NodeShareTurns{};
    }
    if (name != "fleet-shares") {
        element.report("'" + name + "' is not a scheduling order", "write fleet-shares, node-shares or first-come");
    }
    return FleetShareTurns{};
}

std::string readPeerSecret(const Element &element)
{
    std::string secret = element.text();
    if (element.isPresent() && secret.size() < MinPeerSecretLength) {
        element.report("the secret is too short", "use at least 16 random characters, the same on all nodes");
    }
    return secret;
}

}

NodeSettingsResult readNodeSettings(const std::string &fileName, const std::string &text)
{
    Document document(fileName, text);
    const Element root = document.root();
    root.allowKeys({"name",
                    "zone",
                    "callers",
                    "operators-listener",
                    "peer-address",
                    "peers",
                    "peer-secret",
                    "log",
                    "platform",
                    "operators",
                    "limits",
                    "memory",
                    "descriptors",
                    "times",
                    "snapshot-every",
                    "log-format",
                    "turns"});
    NodeSettings settings;
    settings.name = root.child("name").name();
    settings.zone = root.child("zone").name();
    settings.callers = readListener(root.child("callers"), 256);
    settings.operators = readListener(root.child("operators-listener"), 16);
    settings.peerAddress = readAddress(root.child("peer-address"));
    for (const Element &peer : root.child("peers", Presence::Optional).items()) {
        settings.peers.push_back(readAddress(peer));
    }
    settings.peerSecret = readPeerSecret(root.child("peer-secret"));
    settings.log = readAddress(root.child("log"));
    settings.platform = readAddress(root.child("platform"));
    for (const Element &account : root.child("operators", Presence::Optional).items()) {
        settings.operatorAccounts.push_back(readOperator(account));
    }
    readLimits(root.child("limits", Presence::Optional), settings);
    settings.resources.memoryBytes = root.child("memory", Presence::Optional).bytes(MinMemoryBytes, MaxMemoryBytes, settings.resources.memoryBytes);
    settings.resources.descriptors = static_cast<std::size_t>(
        root.child("descriptors", Presence::Optional).integer(MinDescriptors, MaxDescriptors, static_cast<std::int64_t>(settings.resources.descriptors)));
    readTimes(root.child("times", Presence::Optional), settings);
    settings.snapshotIntervalRecords
        = static_cast<std::uint64_t>(root.child("snapshot-every", Presence::Optional).integer(10, MaxSnapshotIntervalRecords, 2000));
    settings.admission.turns = readTurns(root.child("turns", Presence::Optional));
    const Element format = root.child("log-format", Presence::Optional);
    const std::string formatName = format.text("text");
    if (formatName != "text" && formatName != "json") {
        format.report("'" + formatName + "' is not a log format", "write text or json");
    }
    settings.logFormat = formatName == "json" ? LogFormat::Json : LogFormat::Text;
    return {std::move(settings), std::move(document.findings())};
}

}
