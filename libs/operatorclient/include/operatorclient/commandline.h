#pragma once

#include "transport/address.h"

#include <tl/expected.hpp>

#include <string>
#include <variant>
#include <vector>

namespace Cornelquay {

/** How results are printed. */
enum class OutputFormat {
    Text,
    Json,
};

/** Checks a configuration file locally, without a node. */
struct CheckCommand {
    std::string file;
};

/** Reads one resource of a node's operators' interface. */
struct QueryCommand {
    /** HTTP path and query of the resource. */
    std::string path;
};

/** Compares a configuration file with the configuration in force. */
struct DiffCommand {
    std::string file;
};

/** Puts a configuration file in force. */
struct ApplyCommand {
    std::string file;
    std::string reason;
    /** The version that the operator edited; std::nullopt for the version in force. */
    std::optional<std::uint64_t> baseVersion;
    /** Only show the changes. */
    bool dryRun = false;
};

/** Grants a team a new key. */
struct GrantCommand {
    std::string team;
    std::string reason;
};

/** Withdraws a key. */
struct WithdrawCommand {
    std::string keyId;
    std::string reason;
};

/** The operators' commands for maintenance. */
enum class MaintenanceAction {
    Start,
    Pause,
    Resume,
    Skip,
};

/** Starts a maintenance wave, pauses or resumes maintenance, or postpones one instance to the next wave. */
struct MaintenanceCommand {
    MaintenanceAction action = MaintenanceAction::Pause;
    /** The instance to skip; empty for all other actions. */
    std::string instance;
    std::string reason;
};

/** Asks where a job would be placed now and why, without submitting it. Addressed to the metrics address of a node. */
struct ExplainCommand {
    std::string account;
    std::string queue;
    /** A job in the form in which callers submit it. */
    std::string file;
};

using ClientCommand = std::variant<CheckCommand, QueryCommand, DiffCommand, ApplyCommand, GrantCommand, WithdrawCommand, MaintenanceCommand, ExplainCommand>;

/** A valid command line. */
struct ClientOptions {
    /** Operators' addresses of the nodes to try, in this order; for ExplainCommand, their metrics addresses. */
    std::vector<Address> nodes;
    /** The operator's access token; empty for ExplainCommand, which needs none. */
    std::string token;
    /** File of trusted certificates; if not empty, the client connects by TLS. */
    std::string tlsTrustFile;
    OutputFormat output = OutputFormat::Text;
    ClientCommand command;
};

/** The text to print for --help or --version. */
struct ClientInformation {
    std::string text;
};

/** The command line is not valid. */
struct ClientUsageError {
    std::string message;
};

using ParsedCommandLine = std::variant<ClientOptions, ClientInformation, ClientUsageError>;

/**
 * Parses a command line. @p arguments does not include the program's name. @p nodeDefault and
 * @p tokenDefault, the environment's CORNELQUAY_NODE and CORNELQUAY_TOKEN, are used where the command
 * line names no node or token file. Not thread-safe.
 */
ParsedCommandLine parseCommandLine(const std::vector<std::string> &arguments, const std::string &nodeDefault, const std::string &tokenDefault);

/** The text of --help. */
std::string usageText();

}
