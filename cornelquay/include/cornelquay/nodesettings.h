#pragma once

#include "admission/admission.h"
#include "findings/findings.h"
#include "memorybudget/processlimits.h"
#include "telemetry/log.h"
#include "transport/address.h"
#include "upstream/upstreams.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace Cornelquay {

/** An operator, authenticated by a bearer token of which only the SHA-256 is stored. */
struct OperatorAccount {
    std::string name;
    /** 64 lower-case hexadecimal digits. */
    std::string tokenSha256;
};

/** Paths of the PEM files for TLS on one listener; both empty for a listener without TLS. */
struct TlsFiles {
    std::string certificate;
    std::string key;
};

/** One HTTP listener. */
struct ListenerSettings {
    Address address;
    TlsFiles tls;
    /**
     * Number of requests handled concurrently; each occupies one thread. If the settings file gives
     * none, it is 256 for callers and 16 for operators.
     */
    std::size_t threads = 64;
};

/** The settings of one node, read from its YAML file. */
struct NodeSettings {
    std::string name;
    /** Availability zone of the node. */
    std::string zone;
    ListenerSettings callers;
    ListenerSettings operators;
    Address peerAddress;
    /** Addresses of other nodes. Read and checked only: the nodes to dial are taken from the records. */
    std::vector<Address> peers;
    /** Secret shared by all nodes, at least 16 characters; the keys of the peer streams are derived from it. */
    std::string peerSecret;
    Address log;
    Address platform;
    std::vector<OperatorAccount> operatorAccounts;
    /** What the process may use; callers get a part of it, see callerResources(). */
    ProcessResources resources = detectProcessResources();
    /** Limit for the body of a caller's request. */
    std::size_t maxPayloadBytes = 1 << 20;
    /** Time from arrival to deadline of a request without a Deadline header. */
    std::chrono::milliseconds defaultDeadline{10000};
    /** How far ahead a caller's deadline may be. */
    std::chrono::milliseconds maxDeadline{600000};
    /** How long a stopping node continues to serve, so that load balancers and callers can move away. */
    std::chrono::milliseconds drainDelay{2500};
    /** Number of folded records after which a snapshot is written. */
    std::uint64_t snapshotIntervalRecords = 2000;
    AdmissionLimits admission;
    UpstreamLimits upstream;
    /** Maximum number of retries of each service, as a fraction of its requests; a reserve of 10 retries comes on top. */
    double retryFraction = 0.1;
    LogFormat logFormat = LogFormat::Text;
};

/** The result of reading a settings file; the settings are usable only if there are no findings. */
struct NodeSettingsResult {
    NodeSettings settings;
    Findings findings;
};

/**
 * Parses and validates the settings of a node; reports all faults in one pass. @p fileName is used in
 * findings only. Pure and thread-safe.
 */
NodeSettingsResult readNodeSettings(const std::string &fileName, const std::string &text);

}
