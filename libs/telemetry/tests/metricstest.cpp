#include "telemetry/metrics.h"

#include <boost/test/unit_test.hpp>

using namespace Cornelquay;

BOOST_AUTO_TEST_CASE(sameNameAndLabelsGiveTheSameMetric)
{
    Metrics metrics;
    metrics.counter("requests_total", "Requests", {{"outcome", "answered"}}).increment();
    metrics.counter("requests_total", "Requests", {{"outcome", "answered"}}).increment(2);
    BOOST_TEST(metrics.counter("requests_total", "Requests", {{"outcome", "answered"}}).value() == 3.0);
    BOOST_TEST(metrics.toText().find("cornelquay_requests_total{outcome=\"answered\"} 3") != std::string::npos);
}
