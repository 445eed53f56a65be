#include "daemon/options.h"
#include "sharedplatform/platformnode.h"

#include <csignal>
#include <iostream>

using namespace Cornelquay;

namespace {

constexpr const char *Usage = "usage: cornelquay-jobd [--check] FILE\n"
                              "Runs one node of the job scheduler with the settings in FILE until SIGTERM or SIGINT.\n"
                              "  --check    check FILE and exit: 0 without findings, 3 with findings\n"
                              "  --version  print the version and exit\n"
                              "  --help     print this text and exit\n";

std::optional<SharedPlatform::PlatformNodeSettingsResult> readSettings(const std::string &path)
{
    const std::optional<std::string> text = readFile(path);
    if (!text) {
        return std::nullopt;
    }
    return SharedPlatform::readPlatformNodeSettings(path, *text);
}

// Only checks the changed settings file and logs the result: addresses and identity stay fixed until a restart.
void reload(const std::string &path)
{
    const auto read = readSettings(path);
    if (!read) {
        logChange("settings", "not readable", {{"file", path}});
    } else if (!read->findings.isEmpty()) {
        logChange("settings", "refused", {{"findings", read->findings.toText()}});
    } else {
        logChange("settings", "reloaded", {{"file", path}});
    }
}

}

int main(int argc, char **argv)
{
    DaemonOptions options;
    if (const std::optional<ExitCode> code = parseDaemonOptions(argc, argv, "cornelquay-jobd", Usage, options)) {
        return *code;
    }
    auto read = readSettings(options.file);
    if (!read) {
        std::cerr << "cornelquay-jobd: " << options.file << " cannot be read\n";
        return ExitFailure;
    }
    if (!read->findings.isEmpty()) {
        std::cerr << read->findings.toText();
        return ExitFindings;
    }
    if (options.checkOnly) {
        std::cout << options.file << ": no findings\n";
        return ExitSuccess;
    }
    std::signal(SIGPIPE, SIG_IGN);
    initializeLog(read->settings.logFormat, read->settings.name, LogStream::StandardOutput);
    auto node = SharedPlatform::PlatformNode::create(std::move(read->settings));
    if (!node) {
        std::cerr << "cornelquay-jobd: " << node.error() << '\n';
        return ExitFailure;
    }
    (*node)->run([&options] {
        reload(options.file);
    });
    finishLog();
    return ExitSuccess;
}
