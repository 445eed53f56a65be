#include "scheduling/runtimes.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <random>

using namespace Cornelquay;
using namespace std::chrono_literals;

namespace {

constexpr int Tasks = 400;

/** Mean absolute error of the logarithm of the run time, for submitters' estimates and for learned ones. */
struct Errors {
    double ofSubmitter = 0;
    double ofLearnedTime = 0;
};

/**
 * Simulates a queue. Run times are log-normal with deviation @p spread; the logarithms of the estimates deviate from them by
 * @p errorSpread and are lower by @p underestimation on average.
 */
Errors simulateQueue(double spread, double errorSpread, double underestimation)
{
    std::mt19937 random(7);
    std::normal_distribution<double> actualSpread(std::log(900.0), spread);
    std::normal_distribution<double> estimateError(-underestimation, errorSpread);
    RunTimes times;
    Errors errors;
    for (int task = 0; task < 2 * Tasks; ++task) {
        const double actual = actualSpread(random);
        const std::chrono::milliseconds estimate(static_cast<std::int64_t>(std::exp(actual + estimateError(random))));
        if (task >= Tasks) {
            const auto expected = static_cast<double>(times.expected("queue", estimate).count());
            errors.ofLearnedTime += std::abs(std::log(expected) - actual) / Tasks;
            errors.ofSubmitter += std::abs(std::log(static_cast<double>(estimate.count())) - actual) / Tasks;
        }
        times.record("queue", estimate, std::chrono::milliseconds(static_cast<std::int64_t>(std::exp(actual))));
    }
    return errors;
}

}

// Estimates are nearly worthless and too low.
BOOST_AUTO_TEST_CASE(inaccurateEstimatesHaveLittleWeight)
{
    const Errors errors = simulateQueue(0.5, 0.9, 0.4);
    BOOST_TEST(errors.ofSubmitter > 0.7);
    // With such estimates, the best prediction has about the error of the mean run time.
    BOOST_TEST(errors.ofLearnedTime < 0.4);
}

// Estimates are accurate, and run times vary widely.
BOOST_AUTO_TEST_CASE(accurateEstimatesAreKept)
{
    const Errors errors = simulateQueue(0.5, 0.1, 0.0);
    BOOST_TEST(errors.ofLearnedTime < 1.1 * errors.ofSubmitter);
}

// All estimates are ten times too low.
BOOST_AUTO_TEST_CASE(estimatesTenTimesTooLowAreCorrected)
{
    RunTimes times;
    BOOST_TEST(times.expected("queue", 100ms).count() == 100);
    for (int task = 0; task < 40; ++task) {
        times.record("queue", 100ms, 1000ms);
    }
    BOOST_TEST(times.expected("queue", 100ms).count() > 600);
    BOOST_TEST(times.expected("other", 100ms).count() == 100);
}
