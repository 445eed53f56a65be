#include "standin/platformserver.h"

#include <getopt.h>

#include <charconv>
#include <csignal>
#include <iostream>
#include <sstream>

using namespace Cornelquay;

namespace {

enum ExitCode {
    ExitSuccess = 0,
    ExitUsage = 2,
};

constexpr const char *Usage = "usage: cornelquay-standin --pool NAME:COUNT... [options]\n"
                              "Simulates the platform and its workers on loopback, for tests, the demo and benches.\n"
                              "  --pool NAME:COUNT    a pool and its number of instances; may be repeated\n"
                              "  --zones A,B,...      availability zones (zone-a)\n"
                              "  --cores N            cores of each instance (16)\n"
                              "  --memory-gib N       memory of each instance (32)\n"
                              "  --slots N            maximum number of tasks at once on each instance (8)\n"
                              "  --log-listeners N    number of listeners for the log (1)\n"
                              "  --log-entries N      number of entries that the log retains (1000000)\n"
                              "  --list-lag-ms N      age of the list that nodes see (200)\n"
                              "  --reboot-ms N        duration of a reboot (500)\n"
                              "  --port N             port of the list of instances, the faults and the run ledger (any)\n"
                              "  --seed N             seed of the faults (1)\n"
                              "Prints the ports as one line of JSON.\n";

/** The parsed command line. */
struct Options {
    FleetStandinSettings fleet;
    int logListeners = 1;
    std::size_t logEntries = 1000000;
    std::uint16_t port = 0;
};

template<typename Number>
Number number(const std::string &text)
{
    Number value{};
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::stringstream stream(text);
    std::string part;
    while (std::getline(stream, part, separator)) {
        parts.push_back(part);
    }
    return parts;
}

bool addPool(const std::string &text, Options &options)
{
    const std::vector<std::string> parts = split(text, ':');
    if (parts.size() != 2 || parts[0].empty()) {
        return false;
    }
    options.fleet.pools.push_back({parts[0], number<int>(parts[1])});
    return true;
}

bool parseOptions(int argc, char **argv, Options &options)
{
    const option longOptions[] = {{"pool", required_argument, nullptr, 'p'},
                                  {"zones", required_argument, nullptr, 'z'},
                                  {"cores", required_argument, nullptr, 'c'},
                                  {"memory-gib", required_argument, nullptr, 'm'},
                                  {"slots", required_argument, nullptr, 's'},
                                  {"log-listeners", required_argument, nullptr, 'l'},
                                  {"log-entries", required_argument, nullptr, 'e'},
                                  {"list-lag-ms", required_argument, nullptr, 'g'},
                                  {"reboot-ms", required_argument, nullptr, 'r'},
                                  {"port", required_argument, nullptr, 'P'},
                                  {"seed", required_argument, nullptr, 'S'},
                                  {nullptr, 0, nullptr, 0}};
    int choice = 0;
    while ((choice = getopt_long(argc, argv, "", longOptions, nullptr)) != -1) { // NOLINT(concurrency-mt-unsafe)
        const std::string value = optarg == nullptr ? "" : optarg;
        switch (choice) {
        case 'p':
            if (!addPool(value, options)) {
                return false;
            }
            break;
        case 'z':
            options.fleet.zones = split(value, ',');
            break;
        case 'c':
            options.fleet.cores = number<double>(value);
            break;
        case 'm':
            options.fleet.memoryBytes = number<std::uint64_t>(value) << 30U;
            break;
        case 's':
            options.fleet.slots = number<int>(value);
            break;
        case 'l':
            options.logListeners = number<int>(value);
            break;
        case 'e':
            options.logEntries = number<std::size_t>(value);
            break;
        case 'g':
            options.fleet.listLag = std::chrono::milliseconds(number<int>(value));
            break;
        case 'r':
            options.fleet.rebootTime = std::chrono::milliseconds(number<int>(value));
            break;
        case 'P':
            options.port = number<std::uint16_t>(value);
            break;
        case 'S':
            options.fleet.seed = number<std::uint64_t>(value);
            break;
        default:
            return false;
        }
    }
    if (options.fleet.zones.empty()) {
        options.fleet.zones = {"zone-a"};
    }
    return optind == argc && !options.fleet.pools.empty();
}

void printPorts(const PlatformServer &server)
{
    std::cout << "{\"platform-port\":" << server.platformPort() << ",\"log-ports\":[";
    const char *separator = "";
    for (const std::uint16_t port : server.logPorts()) {
        std::cout << separator << port;
        separator = ",";
    }
    std::cout << "]}" << std::endl;
}

}

int main(int argc, char **argv)
{
    Options options;
    if (!parseOptions(argc, argv, options)) {
        std::cerr << Usage;
        return ExitUsage;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    FleetStandin fleet(options.fleet);
    PlatformServer server(std::make_shared<MemoryLog>(options.logEntries), fleet, options.logListeners, options.port);
    printPorts(server);
    int signal = 0;
    sigwait(&signals, &signal);
    return ExitSuccess;
}
