#include "cornelquay/node.h"
#include "daemon/options.h"

#include <unistd.h>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <iostream>

using namespace Cornelquay;

namespace {

constexpr const char *Usage = "usage: cornelquayd [--check] FILE\n"
                              "Runs one entry node with the settings in FILE until SIGTERM or SIGINT.\n"
                              "  --check    check FILE and exit: 0 without findings, 3 with findings\n"
                              "  --version  print the version and exit\n"
                              "  --help     print this text and exit\n";

void waitForSignal(const sigset_t &signals)
{
    int signal = 0;
    sigwait(&signals, &signal);
}

int runNode(NodeSettings settings)
{
    // Blocked before any other thread starts, so that only waitForSignal() receives these signals.
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
    // A removed node exits with a failure, so that its supervisor starts a new incarnation.
    return removed ? ExitFailure : ExitSuccess;
}

}

int main(int argc, char **argv)
{
    DaemonOptions options;
    if (const std::optional<ExitCode> code = parseDaemonOptions(argc, argv, "cornelquayd", Usage, options)) {
        return *code;
    }
    const std::optional<std::string> text = readFile(options.file);
    if (!text) {
        std::cerr << "cornelquayd: " << options.file << " cannot be read\n";
        return ExitFailure;
    }
    NodeSettingsResult read = readNodeSettings(options.file, *text);
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
