#include "settings/document.h"

#include <boost/test/unit_test.hpp>

using namespace Cornelquay;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(duplicateAndUnknownKeysAreReportedWithTheirLocation)
{
    Document document("t.yaml", "a: 1\nb: 2\na: 3\nc: 4\n");
    document.root().allowKeys({"a", "b"});
    BOOST_TEST(document.findings().toText() == "t.yaml:3:1: duplicate key 'a'; keep one of them\nt.yaml:4:1: unknown key 'c'; known here: a, b\n");
}

BOOST_AUTO_TEST_CASE(valuesWithUnitsAreRead)
{
    Document document("t.yaml", "time: 2min\nsize: 4GiB\nshare: 30%\nflag: true\n");
    const Element root = document.root();
    BOOST_TEST((root.child("time").duration(1ms, 1h, 0ms) == 2min));
    BOOST_TEST(root.child("size").bytes(0, 1ULL << 40, 0) == 4ULL << 30);
    BOOST_TEST(root.child("share").fraction(0) == 0.3);
    BOOST_TEST(root.child("flag").boolean(false));
    BOOST_TEST(document.findings().isEmpty());
}

BOOST_AUTO_TEST_CASE(faultyValuesAreReportedTogether)
{
    Document document("t.yaml", "time: 5\nsize: big\nshare: 120%\nflag: yes\nnumber: 1x\nname: 'a b'\n");
    const Element root = document.root();
    BOOST_TEST((root.child("time").duration(1ms, 1h, 7ms) == 7ms));
    BOOST_TEST(root.child("size").bytes(0, 100, 9) == 9U);
    root.child("share").fraction(0);
    root.child("flag").boolean(false);
    root.child("number").integer(0, 10, 0);
    root.child("name").name();
    root.child("absent");
    BOOST_TEST(document.findings().sorted().size() == 7U);
}

BOOST_AUTO_TEST_CASE(invalidYamlGivesAFindingInsteadOfAnException)
{
    for (const char *text : {"a: [1, 2", "\t- x", "a: b: c", "", "{{{{"}) {
        Document document("t.yaml", text);
        document.root().child("a", Presence::Optional).items();
        BOOST_TEST(!document.findings().isEmpty(), text);
    }
}

BOOST_AUTO_TEST_CASE(deepNestingIsRejected)
{
    Document document("t.yaml", std::string(200, '[') + std::string(200, ']'));
    BOOST_TEST(!document.findings().isEmpty());
}
