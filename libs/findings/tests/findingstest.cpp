#include "findings/findings.h"

#include <boost/test/unit_test.hpp>

using namespace Cornelquay;

BOOST_AUTO_TEST_CASE(findingsAreSortedByLocation)
{
    Findings findings;
    findings.add({"b.yaml", 2, 1}, "second", "fix it");
    findings.add({"a.yaml", 9, 1}, "first", "");
    findings.add({"b.yaml", 1, 5}, "middle", "mend it");
    BOOST_TEST(findings.toText() == "a.yaml:9:1: first\nb.yaml:1:5: middle; mend it\nb.yaml:2:1: second; fix it\n");
}

BOOST_AUTO_TEST_CASE(wholeFileFindingHasNoLine)
{
    Findings findings;
    BOOST_TEST(findings.isEmpty());
    findings.add({"a.yaml", 0, 0}, "cannot be read", "check the path");
    BOOST_TEST(findings.toText() == "a.yaml: cannot be read; check the path\n");
}
