#include "operatorclient/client.h"

#include <cstdlib>
#include <iostream>

using namespace Cornelquay;

namespace {

std::string environment(const char *name)
{
    // One thread at this point, and nothing sets the environment.
    const char *value = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return value == nullptr ? "" : value;
}

int finish(ClientExit exit)
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
        return finish(ClientExit::Done);
    }
    if (const auto *error = std::get_if<ClientUsageError>(&parsed)) {
        std::cerr << "cornelquay: " << error->message << '\n';
        return finish(ClientExit::Usage);
    }
    return finish(runCommand(std::get<ClientOptions>(parsed), std::cout, std::cerr));
}
