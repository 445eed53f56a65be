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

/** Checks a configuration text here, without any node. */
struct CheckCommand {
    std::string file;
};

/** Reads something from a node. */
struct QueryCommand {
    /** Path of the operators' interface. */
    std::string path;
};

/** Compares a configuration text with the one in force. */
struct DiffCommand {
    std::string file;
};

/** Puts a configuration text in force. */
struct ApplyCommand {
    std::string file;
    std::string reason;
    /** The version that the operator started from; nothing for the one in force. */
    std::optional<std::uint64_t> baseVersion;
    bool dryRun = false;
};

/** Gives a team a new key. */
struct GrantCommand {
    std::string team;
    std::string reason;
};

/** Ends a key. */
struct WithdrawCommand {
    std::string keyId;
    std::string reason;
};

/** What an operator does about maintenance. */
enum class MaintenanceAction {
    Start,
    Pause,
    Resume,
    Skip,
};

/** Starts a wave, stops or restarts maintenance, or puts one instance off until the next wave. */
struct MaintenanceCommand {
    MaintenanceAction action = MaintenanceAction::Pause;
    std::string instance;
    std::string reason;
};

using ClientCommand = std::variant<CheckCommand, QueryCommand, DiffCommand, ApplyCommand, GrantCommand, WithdrawCommand, MaintenanceCommand>;

/** A whole command line. */
struct ClientOptions {
    /** Nodes to ask, in this order until one can be reached. */
    std::vector<Address> nodes;
    std::string token;
    /** Certificates to trust; if not empty, nodes are reached by TLS. */
    std::string tlsTrustFile;
    OutputFormat output = OutputFormat::Text;
    ClientCommand command;
};

/** A request for help or the version; not a fault. */
struct ClientInformation {
    std::string text;
};

/** A fault in the command line, in words. */
struct ClientUsageError {
    std::string message;
};

using ParsedCommandLine = std::variant<ClientOptions, ClientInformation, ClientUsageError>;

/**
 * Reads a command line; @p arguments is without the program's name. The environment's
 * CORNELQUAY_NODE and CORNELQUAY_TOKEN are given as @p nodeDefault and @p tokenDefault.
 */
ParsedCommandLine parseCommandLine(const std::vector<std::string> &arguments, const std::string &nodeDefault, const std::string &tokenDefault);

/** The text of --help. */
std::string usageText();

}
