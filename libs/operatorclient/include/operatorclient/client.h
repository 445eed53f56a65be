#pragma once

#include "operatorclient/commandline.h"

#include <iosfwd>

namespace Cornelquay {

/** How the program ends; documented in --help. */
enum class ClientExit {
    Done = 0,
    Failed = 1,
    Usage = 2,
    Findings = 3,
    Conflict = 4,
    Unreachable = 5,
    Unknown = 6,
    NotInForceEverywhere = 7,
};

/**
 * Carries out one command and prints its result to @p out and faults to @p err.
 *
 * Commands that change something are sent to one node only: if it is lost after the command was
 * sent, the outcome is unknown and nothing is sent again.
 */
ClientExit runCommand(const ClientOptions &options, std::ostream &out, std::ostream &err);

}
