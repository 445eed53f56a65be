#include <boost/test/unit_test.hpp>

BOOST_AUTO_TEST_CASE(placeholder)
{
}
