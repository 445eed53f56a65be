#include "operatorclient/client.h"

#include <cstdlib>
#include <iostream>

using namespace Cornelquay;

namespace {

std::string environment(const char *name)
{
    // Runs before other threads start, and nothing changes the environment.
    const char *value = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return value == nullptr ? "" : value;
}

int toStatus(ClientExit exit)
{
    return static_cast<int>(exit);
}

}

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const ParsedCommandLine parsed = parseCommandLine(arguments, environment("CORNELQUAY_NODE"), environment("CORNELQUAY_TOKEN"));
    if (const auto *information = std::get_if<ClientInformation>(&parsed)) {
        std::cout << information->text;
        return toStatus(ClientExit::Done);
    }
    if (const auto *error = std::get_if<ClientUsageError>(&parsed)) {
        std::cerr << "cornelquay: " << error->message << '\n';
        return toStatus(ClientExit::Usage);
    }
    return toStatus(runCommand(std::get<ClientOptions>(parsed), std::cout, std::cerr));
}
