#include "daemon/options.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace Cornelquay;

namespace {

std::optional<ExitCode> parse(std::vector<std::string> words, DaemonOptions &options)
{
    std::vector<char *> arguments;
    for (std::string &word : words) {
        arguments.push_back(word.data());
    }
    return parseDaemonOptions(static_cast<int>(arguments.size()), arguments.data(), "daemon", "usage\n", options);
}

}

BOOST_AUTO_TEST_CASE(commandLineIsParsed)
{
    DaemonOptions options;
    BOOST_TEST(!parse({"daemon", "file.yaml"}, options).has_value());
    BOOST_TEST(options.file == "file.yaml");
    BOOST_TEST(!options.checkOnly);
    BOOST_TEST(!parse({"daemon", "--check", "file.yaml"}, options).has_value());
    BOOST_TEST(options.checkOnly);
    BOOST_TEST((parse({"daemon"}, options) == ExitUsage));
    BOOST_TEST((parse({"daemon", "a", "b"}, options) == ExitUsage));
    BOOST_TEST((parse({"daemon", "--unknown", "a"}, options) == ExitUsage));
    BOOST_TEST((parse({"daemon", "--version"}, options) == ExitSuccess));
    BOOST_TEST((parse({"daemon", "--help"}, options) == ExitSuccess));
}

BOOST_AUTO_TEST_CASE(readFileReturnsWholeContent)
{
    BOOST_TEST(readFile(std::string(SOURCE_FOLDER) + "/README.md").value().find("daemon") != std::string::npos);
    BOOST_TEST(!readFile("/nonexistent/file").has_value());
}
