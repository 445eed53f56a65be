#pragma once

#include "admission/admission.h"
#include "findings/findings.h"
#include "telemetry/log.h"
#include "transport/address.h"
#include "upstream/upstreams.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace Cornelquay {

/** One person who may change things, known by the SHA-256 of a token. */
struct OperatorAccount {
    std::string name;
    /** Lower-case hexadecimal. */
    std::string tokenSha256;
};

/** Files for TLS on one listener; both empty for a plain listener. */
struct TlsFiles {
    std::string certificate;
    std::string key;
};

/** One HTTP listener. */
struct ListenerSettings {
    Address address;
    TlsFiles tls;
    /** Connections served at once; each takes one thread. */
    std::size_t threads = 64;
};

/** The settings of one node, from its own YAML file. */
struct NodeSettings {
    std::string name;
    std::string zone;
    ListenerSettings callers;
    ListenerSettings operators;
    Address peerAddress;
    /** Other nodes to talk to before the records name any. */
    std::vector<Address> peers;
    /** Secret that all nodes share, from which stream authentication is derived. */
    std::string peerSecret;
    Address log;
    Address platform;
    std::vector<OperatorAccount> operatorAccounts;
    std::size_t maxPayloadBytes = 1 << 20;
    std::chrono::milliseconds defaultDeadline{10000};
    std::chrono::milliseconds maxDeadline{600000};
    /** How long a stopping node goes on serving, so that balancers and callers notice. */
    std::chrono::milliseconds drainDelay{2500};
    std::uint64_t snapshotIntervalRecords = 2000;
    AdmissionLimits admission;
    UpstreamLimits upstream;
    /** Retries allowed for each service, as a fraction of its requests. */
    double retryFraction = 0.1;
    LogFormat logFormat = LogFormat::Text;
};

/** What came of reading settings: usable only if there are no findings. */
struct ReadNodeSettings {
    NodeSettings settings;
    Findings findings;
};

/** Reads and checks a node's settings; all faults are found in one pass. Pure and thread-safe. */
ReadNodeSettings readNodeSettings(const std::string &fileName, const std::string &text);

}
