#include "sharedplatform/platformnode.h"

#include <getopt.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace Cornelquay;

namespace {

enum ExitCode {
    ExitSuccess = 0,
    ExitFailure = 1,
    ExitUsage = 2,
    ExitFindings = 3,
};

constexpr const char *Usage = "usage: cornelquay-jobd [--check] FILE\n"
                              "Runs one node of the job scheduler with the settings in FILE until SIGTERM or SIGINT.\n"
                              "  --check    check FILE and exit: 0 without findings, 3 with findings\n"
                              "  --version  print the version and exit\n"
                              "  --help     print this text and exit\n";

/** What the command line asks for. */
struct Options {
    bool checkOnly = false;
    std::string file;
};

std::optional<ExitCode> parseOptions(int argc, char **argv, Options &options)
{
    const option longOptions[]
        = {{"check", no_argument, nullptr, 'c'}, {"version", no_argument, nullptr, 'v'}, {"help", no_argument, nullptr, 'h'}, {nullptr, 0, nullptr, 0}};
    int choice = 0;
    // One thread at this point, so getopt's global state is safe.
    while ((choice = getopt_long(argc, argv, "", longOptions, nullptr)) != -1) { // NOLINT(concurrency-mt-unsafe)
        switch (choice) {
        case 'c':
            options.checkOnly = true;
            break;
        case 'v':
            std::cout << "cornelquay-jobd " << CORNELQUAY_VERSION << '\n';
            return ExitSuccess;
        case 'h':
            std::cout << Usage;
            return ExitSuccess;
        default:
            std::cerr << Usage;
            return ExitUsage;
        }
    }
    if (optind + 1 != argc) {
        std::cerr << Usage;
        return ExitUsage;
    }
    options.file = argv[optind];
    return std::nullopt;
}

std::optional<SharedPlatform::ReadPlatformNodeSettings> readSettings(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    std::stringstream text;
    text << file.rdbuf();
    return SharedPlatform::readPlatformNodeSettings(path, text.str());
}

// Addresses and identity belong to a life of the process; a changed file is checked and reported.
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
    Options options;
    if (const std::optional<ExitCode> code = parseOptions(argc, argv, options)) {
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
