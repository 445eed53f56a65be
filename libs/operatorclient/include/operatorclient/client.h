#pragma once

#include "operatorclient/commandline.h"

#include <iosfwd>

namespace Cornelquay {

/** Exit codes of the client, as documented in --help. */
enum class ClientExit {
    Done = 0,
    Failed = 1,
    Usage = 2,
    Findings = 3,
    /** The node refused the command because of a conflict, such as a newer configuration version. */
    Conflict = 4,
    /** No node could be reached; the command was not sent. */
    Unreachable = 5,
    /** The command was sent, but whether it took effect is unknown. */
    Unknown = 6,
    /** Accepted, but some node does not yet apply it. */
    NotInForceEverywhere = 7,
};

/**
 * Runs one command. Prints its result to @p out and errors to @p err. Blocks until it has ended.
 *
 * Tries the nodes of @p options in order until a request was sent to one. A request that was sent is
 * never repeated: if its answer does not arrive, the outcome is ClientExit::Unknown.
 */
ClientExit runCommand(const ClientOptions &options, std::ostream &out, std::ostream &err);

}
