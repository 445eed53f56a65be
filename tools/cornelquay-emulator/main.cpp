#include "platformemulator.h"

#include <asio.hpp>

#include <getopt.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>

using namespace Cornelquay;
using namespace Cornelquay::SharedPlatform;

namespace {

constexpr const char *Usage = "usage: cornelquay-emulator [--workers N] [--task-ms N] [--seed N] [--zones N] [--evacuate-after S]\n"
                              "Runs the users' platform in one process until SIGTERM or SIGINT: store, registry, workers and\n"
                              "control plane on loopback. Prints their addresses, and at the end the number of starts\n"
                              "and of violations that the workers observed.\n"
                              "  --workers N  workers in the first pool (3)\n"
                              "  --task-ms N  run time of each task (60)\n"
                              "  --seed N     seed of the faults (1)\n"
                              "  --zones N    zones among which the machines are distributed (1)\n"
                              "  --evacuate-after S  evacuate zone-a S seconds after the start, until the end\n"
                              "  --help       print this text and exit\n";

struct Options {
    EmulatorSettings settings;
    /** 0 to evacuate no zone. */
    std::chrono::seconds evacuateAfter{0};
};

/** Parses the options; false if the usage text is to be printed: for --help or an invalid option. */
bool parseOptions(int argc, char **argv, Options &options)
{
    const option longOptions[] = {{"workers", required_argument, nullptr, 'w'},
                                  {"task-ms", required_argument, nullptr, 't'},
                                  {"seed", required_argument, nullptr, 's'},
                                  {"zones", required_argument, nullptr, 'z'},
                                  {"evacuate-after", required_argument, nullptr, 'e'},
                                  {"help", no_argument, nullptr, 'h'},
                                  {nullptr, 0, nullptr, 0}};
    int choice = 0;
    // Runs before other threads start, so getopt's global state is safe.
    while ((choice = getopt_long(argc, argv, "", longOptions, nullptr)) != -1) { // NOLINT(concurrency-mt-unsafe)
        const long number = optarg == nullptr ? 0 : std::strtol(optarg, nullptr, 10);
        if (choice == 'h' || choice == '?' || number <= 0) {
            return false;
        }
        if (choice == 'w') {
            options.settings.workers = static_cast<std::size_t>(number);
        } else if (choice == 't') {
            options.settings.taskRunTime = std::chrono::milliseconds(number);
        } else if (choice == 'z') {
            options.settings.zones = static_cast<std::size_t>(number);
        } else if (choice == 'e') {
            options.evacuateAfter = std::chrono::seconds(number);
        } else {
            options.settings.seed = static_cast<std::uint32_t>(number);
        }
    }
    return optind == argc;
}

}

int main(int argc, char **argv)
{
    Options options;
    if (!parseOptions(argc, argv, options)) {
        std::cerr << Usage;
        return 2;
    }
    asio::io_context io;
    PlatformEmulator emulator(io, options.settings);
    emulator.writeConfiguration(1);
    std::cout << "{\"store\":\"" << toText(emulator.storeAddress()) << "\",\"machines\":\"" << toText(emulator.machinesAddress()) << "\"}" << std::endl;
    asio::steady_timer evacuationTimer(io, options.evacuateAfter);
    if (options.evacuateAfter.count() > 0) {
        evacuationTimer.async_wait([&emulator](const asio::error_code &error) {
            if (!error) {
                emulator.setEvacuated("zone-a", true);
            }
        });
    }
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&io](const asio::error_code &, int) {
        io.stop();
    });
    io.run();
    std::cout << "{\"starts\":" << emulator.starts() << ",\"violations\":" << emulator.violations().size() << "}" << std::endl;
    for (const std::string &violation : emulator.violations()) {
        std::cerr << violation << '\n';
    }
    return emulator.violations().empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}
