#include "transport/address.h"
#include "transport/httpclientpool.h"

#include <boost/test/unit_test.hpp>

using namespace Cornelquay;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(onlyNumericAddressesWithPortAreAccepted)
{
    BOOST_TEST(parseAddress("127.0.0.1:80").has_value());
    BOOST_TEST(toText(*parseAddress("[::1]:8080")) == "[::1]:8080");
    for (const char *text : {"localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", "127.0.0.1:8x", ":80", ""}) {
        BOOST_TEST(!parseAddress(text).has_value(), text);
    }
}

BOOST_AUTO_TEST_CASE(openConnectionsAreLimited)
{
    HttpClientPool clients({"127.0.0.1", 1}, 2);
    const SteadyTime deadline = steadyNow() + 1s;
    HttpClientPool::ClientHandle first = clients.take(deadline);
    HttpClientPool::ClientHandle second = clients.take(deadline);
    BOOST_TEST(!clients.take(deadline));
    second.reset();
    BOOST_TEST(static_cast<bool>(clients.take(deadline)));
    clients.giveBack(std::move(first));
    BOOST_TEST(static_cast<bool>(clients.take(deadline, ConnectionReuse::Never)));
}
