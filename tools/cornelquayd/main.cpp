#include "cornelquay/node.h"

#include <getopt.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <cstdio>
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

constexpr const char *Usage = "usage: cornelquayd [--check] FILE\n"
                              "Runs one entry node with the settings in FILE until SIGTERM or SIGINT.\n"
                              "  --check    check FILE and exit: 0 without findings, 3 with findings\n"
                              "  --version  print the version and exit\n"
                              "  --help     print this text and exit\n";

/** What the command line asks for. */
struct Options {
    bool checkOnly = false;
    std::string file;
};

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

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
            std::cout << "cornelquayd " << CORNELQUAY_VERSION << '\n';
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

void waitForSignal(const sigset_t &signals)
{
    int signal = 0;
    sigwait(&signals, &signal);
}

int runNode(NodeSettings settings)
{
    // Blocked before any thread starts, so that only waitForSignal() takes them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    initializeLog(settings.logFormat, settings.name);
    std::atomic<bool> removed = false;
    auto node = Node::Builder()
                    .settings(std::move(settings))
                    .onRemoved([&removed] {
                        removed = true;
                        kill(getpid(), SIGTERM);
                    })
                    .build();
    if (!node) {
        std::cerr << "cornelquayd: " << node.error() << '\n';
        return ExitFailure;
    }
    (*node)->start();
    std::cout << "{\"callers-port\":" << (*node)->callerPort() << ",\"operators-port\":" << (*node)->operatorPort() << "}" << std::endl;
    waitForSignal(signals);
    (*node)->stop();
    finishLog();
    // A removed node ends with a failure, so that its supervisor starts a new incarnation.
    return removed ? ExitFailure : ExitSuccess;
}

}

int main(int argc, char **argv)
{
    Options options;
    if (const std::optional<ExitCode> code = parseOptions(argc, argv, options)) {
        return *code;
    }
    const std::optional<std::string> text = readFile(options.file);
    if (!text) {
        std::cerr << "cornelquayd: " << options.file << " cannot be read\n";
        return ExitFailure;
    }
    ReadNodeSettings read = readNodeSettings(options.file, *text);
    if (!read.findings.isEmpty()) {
        std::cerr << read.findings.toText();
        return ExitFindings;
    }
    if (options.checkOnly) {
        std::cout << options.file << ": no findings\n";
        return ExitSuccess;
    }
    return runNode(std::move(read.settings));
}
