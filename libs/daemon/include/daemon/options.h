#pragma once

#include <optional>
#include <string>

namespace Cornelquay {

/** Exit codes of the daemons. */
enum ExitCode {
    ExitSuccess = 0,
    ExitFailure = 1,
    /** The command line is not valid. */
    ExitUsage = 2,
    /** The settings file has findings. */
    ExitFindings = 3,
};

/** The parsed command line of a daemon. */
struct DaemonOptions {
    /** Check the settings file and exit. */
    bool checkOnly = false;
    /** Path of the settings file. */
    std::string file;
};

/**
 * Parses the command line of the daemon called @p name into @p options. Returns an exit code if the
 * daemon must exit at once: after printing the version or @p usage for --version and --help, or @p usage
 * to standard error if the command line is not valid. Not thread-safe: call before starting threads.
 */
std::optional<ExitCode> parseDaemonOptions(int argc, char **argv, const char *name, const char *usage, DaemonOptions &options);

/** The content of the file at @p path; std::nullopt if it cannot be read. */
std::optional<std::string> readFile(const std::string &path);

}
