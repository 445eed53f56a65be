#include "load/report.h"

#include <getopt.h>

#include <charconv>
#include <csignal>
#include <fstream>
#include <iostream>

using namespace Cornelquay;

namespace {

enum ExitCode {
    ExitSuccess = 0,
    ExitFailure = 1,
    ExitUsage = 2,
};

constexpr const char *Usage = "usage: cornelquay-load --target ADDRESS... --team NAME=KEY[=WEIGHT]... --service NAME... [options]\n"
                              "Sends a seeded schedule of requests and checks every answer.\n"
                              "  --requests N        number of requests (1000)\n"
                              "  --rate N            requests per second; 0 sends as soon as a thread is free (0)\n"
                              "  --threads N         number of threads that send requests (16)\n"
                              "  --seed N            seed of the schedule (1)\n"
                              "  --idempotent F      fraction of idempotent requests (0.5)\n"
                              "  --urgent F          fraction of urgent requests (0.1)\n"
                              "  --copies N          nodes that get the same request at once (1)\n"
                              "  --skew F            fraction of requests sent to the first target (0)\n"
                              "  --run-ms N          run time of each task at the stand-in's workers (0)\n"
                              "  --deadline-ms N     deadline of each request after it is sent (10000)\n"
                              "  --payload-bytes N   minimum payload of each request (64)\n"
                              "  --prefix TEXT       prefix of the request ids (load)\n"
                              "  --ledger ADDRESS    compare the answers with the run counts of this stand-in\n"
                              "  --records FILE      write one line of JSON for each copy of a request\n"
                              "  --direct ADDRESS    call the workers that this stand-in lists, without a node\n"
                              "  --balance           send only to ready nodes; try the next if one does not take the request\n"
                              "  --text              print the summary as a table\n"
                              "Prints a summary as one line of JSON. Ends early on SIGTERM.\n";

/** The parsed command line. */
struct Options {
    LoadSettings load;
    std::optional<Address> ledger;
    std::optional<Address> direct;
    std::string recordsFile;
    /** Print the summary as a table instead of JSON. */
    bool asText = false;
};

std::atomic<bool> stopping = false; // NOLINT: set by the signal handler

template<typename Number>
Number number(const std::string &text)
{
    Number value{};
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

bool addTeam(const std::string &text, LoadSettings &settings)
{
    const std::size_t first = text.find('=');
    if (first == std::string::npos) {
        return false;
    }
    const std::size_t second = text.find('=', first + 1);
    LoadTeam team;
    team.name = text.substr(0, first);
    team.key = text.substr(first + 1, second == std::string::npos ? second : second - first - 1);
    team.weight = second == std::string::npos ? 1 : number<double>(text.substr(second + 1));
    settings.teams.push_back(std::move(team));
    return true;
}

bool addTarget(const std::string &text, LoadSettings &settings)
{
    const std::optional<Address> address = parseAddress(text);
    if (address) {
        settings.targets.push_back(*address);
    }
    return address.has_value();
}

bool parseOptions(int argc, char **argv, Options &options)
{
    const option longOptions[] = {{"target", required_argument, nullptr, 't'},
                                  {"team", required_argument, nullptr, 'T'},
                                  {"service", required_argument, nullptr, 's'},
                                  {"requests", required_argument, nullptr, 'n'},
                                  {"rate", required_argument, nullptr, 'r'},
                                  {"threads", required_argument, nullptr, 'c'},
                                  {"seed", required_argument, nullptr, 'S'},
                                  {"idempotent", required_argument, nullptr, 'i'},
                                  {"urgent", required_argument, nullptr, 'u'},
                                  {"copies", required_argument, nullptr, 'C'},
                                  {"skew", required_argument, nullptr, 'k'},
                                  {"run-ms", required_argument, nullptr, 'm'},
                                  {"deadline-ms", required_argument, nullptr, 'd'},
                                  {"payload-bytes", required_argument, nullptr, 'p'},
                                  {"prefix", required_argument, nullptr, 'x'},
                                  {"ledger", required_argument, nullptr, 'l'},
                                  {"records", required_argument, nullptr, 'f'},
                                  {"direct", required_argument, nullptr, 'D'},
                                  {"text", no_argument, nullptr, 'X'},
                                  {"balance", no_argument, nullptr, 'B'},
                                  {nullptr, 0, nullptr, 0}};
    LoadSettings &load = options.load;
    int choice = 0;
    while ((choice = getopt_long(argc, argv, "", longOptions, nullptr)) != -1) { // NOLINT(concurrency-mt-unsafe)
        const std::string value = optarg == nullptr ? "" : optarg;
        switch (choice) {
        case 't':
            if (!addTarget(value, load)) {
                return false;
            }
            break;
        case 'T':
            if (!addTeam(value, load)) {
                return false;
            }
            break;
        case 's':
            load.services.push_back(value);
            break;
        case 'n':
            load.requests = number<std::size_t>(value);
            break;
        case 'r':
            load.rate = number<double>(value);
            break;
        case 'c':
            load.threads = number<std::size_t>(value);
            break;
        case 'S':
            load.seed = number<std::uint64_t>(value);
            break;
        case 'i':
            load.idempotentFraction = number<double>(value);
            break;
        case 'u':
            load.urgentFraction = number<double>(value);
            break;
        case 'C':
            load.copies = number<std::size_t>(value);
            break;
        case 'k':
            load.skew = number<double>(value);
            break;
        case 'm':
            load.runTime = std::chrono::milliseconds(number<int>(value));
            break;
        case 'd':
            load.deadline = std::chrono::milliseconds(number<int>(value));
            break;
        case 'p':
            load.payloadBytes = number<std::size_t>(value);
            break;
        case 'x':
            load.idPrefix = value;
            break;
        case 'l':
            options.ledger = parseAddress(value);
            break;
        case 'D':
            options.direct = parseAddress(value);
            break;
        case 'B':
            load.balance = true;
            break;
        case 'X':
            options.asText = true;
            break;
        case 'f':
            options.recordsFile = value;
            break;
        default:
            return false;
        }
    }
    const bool targeted = options.direct || !load.targets.empty();
    return optind == argc && targeted && !load.teams.empty() && !load.services.empty();
}

}

int main(int argc, char **argv)
{
    Options options;
    if (!parseOptions(argc, argv, options)) {
        std::cerr << Usage;
        return ExitUsage;
    }
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, [](int) {
        stopping = true;
    });
    if (options.direct) {
        options.load.direct = readWorkers(*options.direct);
        options.load.targets.assign(1, *options.direct);
    }
    const std::vector<PlannedRequest> plan = makePlan(options.load);
    const std::vector<CallRecord> records = runPlan(options.load, plan, stopping);
    std::optional<RunCounts> runs;
    if (options.ledger) {
        runs = readRunCounts(*options.ledger);
        if (!runs) {
            std::cerr << "cornelquay-load: the run counts of the stand-in cannot be read\n";
            return ExitFailure;
        }
    }
    if (!options.recordsFile.empty()) {
        std::ofstream(options.recordsFile) << toJsonLines(options.load, plan, records);
    }
    const LoadSummary summary = summarize(options.load, plan, records, runs);
    std::cout << (options.asText ? toText(summary) : toJson(summary) + '\n') << std::flush;
    return ExitSuccess;
}
