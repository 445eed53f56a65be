#pragma once

#include <optional>
#include <string>

namespace Cornelquay {

/** How a daemon ends. */
enum ExitCode {
    ExitSuccess = 0,
    ExitFailure = 1,
    ExitUsage = 2,
    ExitFindings = 3,
};

/** What a daemon's command line asks for. */
struct DaemonOptions {
    /** Only check the settings file. */
    bool checkOnly = false;
    std::string file;
};

/**
 * Reads the command line of the daemon called @p name. Gives an exit code if the daemon is to end at
 * once, after printing version, help or @p usage. Not thread-safe: called before other threads start.
 */
std::optional<ExitCode> parseDaemonOptions(int argc, char **argv, const char *name, const char *usage, DaemonOptions &options);

/** The whole file at @p path; nothing if it cannot be read. */
std::optional<std::string> readFile(const std::string &path);

}
