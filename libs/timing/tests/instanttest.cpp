#include "timing/instant.h"

#include <boost/test/unit_test.hpp>

using namespace Cornelquay;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(remainingIsNeverNegative)
{
    const SteadyTime now = steadyNow();
    BOOST_TEST((remaining(now + 5ms, now) == 5ms));
    BOOST_TEST((remaining(now - 5ms, now) == 0ms));
}

BOOST_AUTO_TEST_CASE(wallDeadlinesBecomeSteadyDeadlines)
{
    const SteadyTime steady = steadyNow();
    const WallTime wall = fromUnixMilliseconds(1000);
    BOOST_TEST((toSteady(fromUnixMilliseconds(1250), wall, steady) == steady + 250ms));
    BOOST_TEST(toUnixMilliseconds(wall) == 1000);
}
