#include "scheduling/runtimes.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <random>

using namespace Cornelquay;
using namespace std::chrono_literals;

namespace {

constexpr int Tasks = 400;

/** Logarithm of how far the expectation is off, as the mean over many tasks. */
struct Errors {
    double ofSubmitter = 0;
    double ofLearnedTime = 0;
};

/** Plays a queue whose run times spread by @p spread, with estimates that are off by @p off and lower by @p low. */
Errors playQueue(double spread, double off, double low)
{
    std::mt19937 random(7);
    std::normal_distribution<double> actualSpread(std::log(900.0), spread);
    std::normal_distribution<double> estimateError(-low, off);
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

// Load pattern: estimates say next to nothing and are too low.
BOOST_AUTO_TEST_CASE(estimatesThatAreFarOffCountLittle)
{
    const Errors errors = playQueue(0.5, 0.9, 0.4);
    BOOST_TEST(errors.ofSubmitter > 0.7);
    // The best that can be told from such estimates is off by about the spread of the run times.
    BOOST_TEST(errors.ofLearnedTime < 0.4);
}

// Load pattern: estimates are good, and run times differ much.
BOOST_AUTO_TEST_CASE(estimatesThatAreGoodAreBelieved)
{
    const Errors errors = playQueue(0.5, 0.1, 0.0);
    BOOST_TEST(errors.ofLearnedTime < 1.1 * errors.ofSubmitter);
}

// Load pattern: all estimates are ten times too low.
BOOST_AUTO_TEST_CASE(estimatesTenTimesOffAreCorrected)
{
    RunTimes times;
    BOOST_TEST(times.expected("queue", 100ms).count() == 100);
    for (int task = 0; task < 40; ++task) {
        times.record("queue", 100ms, 1000ms);
    }
    BOOST_TEST(times.expected("queue", 100ms).count() > 600);
    BOOST_TEST(times.expected("other", 100ms).count() == 100);
}
