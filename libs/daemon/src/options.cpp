#include "daemon/options.h"

#include <getopt.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace Cornelquay {

std::optional<ExitCode> parseDaemonOptions(int argc, char **argv, const char *name, const char *usage, DaemonOptions &options)
{
    const option longOptions[]
        = {{"check", no_argument, nullptr, 'c'}, {"version", no_argument, nullptr, 'v'}, {"help", no_argument, nullptr, 'h'}, {nullptr, 0, nullptr, 0}};
    optind = 1;
    int choice = 0;
    // Runs before other threads start, so getopt's global state is safe.
    while ((choice = getopt_long(argc, argv, "", longOptions, nullptr)) != -1) { // NOLINT(concurrency-mt-unsafe)
        switch (choice) {
        case 'c':
            options.checkOnly = true;
            break;
        case 'v':
            std::cout << name << ' ' << CORNELQUAY_VERSION << '\n';
            return ExitSuccess;
        case 'h':
            std::cout << usage;
            return ExitSuccess;
        default:
            std::cerr << usage;
            return ExitUsage;
        }
    }
    if (optind + 1 != argc) {
        std::cerr << usage;
        return ExitUsage;
    }
    options.file = argv[optind];
    return std::nullopt;
}

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

}
