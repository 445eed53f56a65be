#include "configuration/reader.h"
#include "configuration/difference.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>

using namespace Cornelquay;

namespace {

std::string sample(const std::string &name)
{
    std::ifstream file(std::string(SOURCE_FOLDER) + "/../../samples/" + name);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t at = text.find(from);
    BOOST_REQUIRE_MESSAGE(at != std::string::npos, "the sample has no '" << from << "'");
    return text.replace(at, from.size(), to);
}

}

BOOST_AUTO_TEST_CASE(samplesHaveNoFindings)
{
    for (const char *name : {"ladderworks.yaml", "nutgo.yaml"}) {
        const ConfigurationResult read = readConfiguration(name, sample(name));
        BOOST_TEST(read.findings.toText() == "");
        BOOST_TEST(read.configuration.services.size() == 5U);
        BOOST_TEST(read.configuration.teams.size() == 6U);
        BOOST_TEST(sparePool(read.configuration) == "spare");
    }
}

BOOST_AUTO_TEST_CASE(eachFaultIsReportedWithItsLocation)
{
    struct FaultCase {
        const char *from;
        const char *to;
        const char *expected;
    };
    const FaultCase cases[] = {
        {"cornelquay: 1", "cornelquay: 2", "f:2:13: 'cornelquay': '2' is not allowed"},
        {"  - name: stock\n    pool: stock", "  - name: stock\n    pol: stock", "unknown key 'pol'"},
        {"pool: stock", "pool: stok", "there is no pool 'stok'"},
        {"pool: stock", "pool: spare", "the spare pool serves nothing"},
        {"depends-on: [stock]", "depends-on: [stok]", "there is no service 'stok'"},
        {"depends-on: [stock]", "depends-on: [quotes]", "cycle: cutlists -> quotes -> cutlists"},
        {"depends-on: [stock]", "depends-on: [cutlists]", "the service depends on itself"},
        {"memory: 4GiB", "memory: 4", "'4' is not a size"},
        {"run-time: 20ms", "run-time: 20", "'20' is not a time span"},
        {"budget: 2", "budget: 0", "maintenance can never run"},
        {"budget: 2", "budget: 5%", "maintenance can never run"},
        {"budget: 2", "budget: 10", "every instance be out at once"},
        {"share: 35%", "share: 36%", "the shares add up to 101"},
        {"limit: 60", "limit: 3", "the limit of 3 is under the team's share of 17 tasks"},
        {"name: dunmore", "name: brennan", "a second team is named 'brennan'"},
        {"kilkenny-b, kilkenny-c", "kilkenny-b, kilkenny-b", "availability zone 'kilkenny-b' is listed twice"},
        {"  - name: planning\n", "  - name: planning\n    spare: true\n", "a second spare pool"},
        {"policy:", "polices:", "unknown key 'polices'"},
    };
    for (const FaultCase &fault : cases) {
        const ConfigurationResult read = readConfiguration("f", replaced(sample("ladderworks.yaml"), fault.from, fault.to));
        const std::string text = read.findings.toText();
        BOOST_TEST(text.find(fault.expected) != std::string::npos, "expected '" << fault.expected << "' in: " << text);
    }
}

BOOST_AUTO_TEST_CASE(faultsAreReportedTogether)
{
    std::string text = replaced(sample("ladderworks.yaml"), "pool: stock", "pool: stok");
    text = replaced(text, "run-time: 20ms", "run-time: fast");
    text = replaced(text, "limit: 60", "limit: many");
    BOOST_TEST(readConfiguration("f", text).findings.sorted().size() >= 3U);
}

BOOST_AUTO_TEST_CASE(malformedTextGivesFindingsAndNeverThrows)
{
    for (const char *text :
         {"", "- a", "services: 3", "services: [1, 2]", "teams: {a: b}", "pools:\n  - name: [x]", "services:\n - name: a\n   depends-on: {}"}) {
        BOOST_TEST(!readConfiguration("f", text).findings.isEmpty(), text);
    }
}

BOOST_AUTO_TEST_CASE(differenceListsChangedFields)
{
    const Configuration before = readConfiguration("f", sample("ladderworks.yaml")).configuration;
    std::string text = replaced(sample("ladderworks.yaml"), "limit: 60", "limit: 70");
    text = replaced(text, "budget: 1", "budget: 3");
    const std::vector<ConfigurationChange> changes = difference(before, readConfiguration("f", text).configuration);
    const std::vector<ConfigurationChange> expected{{ChangeKind::Changed, "service", "certificates", "budget 1 -> 3"},
                                                    {ChangeKind::Changed, "team", "brennan", "limit 60 -> 70"}};
    BOOST_TEST((changes == expected));
    BOOST_TEST(difference(before, before).empty());
}
