#include "admission/fairallocation.h"

#include <boost/test/unit_test.hpp>

using namespace Cornelquay;

BOOST_AUTO_TEST_CASE(unusedSharesAreRedistributed)
{
    const std::map<std::string, double> weights{{"a", 0.5}, {"b", 0.3}, {"c", 0.2}};
    const auto contended = weightedMaxMin(100, {{"a", 500}, {"b", 500}, {"c", 500}}, weights);
    BOOST_TEST(contended.at("a") == 50.0);
    BOOST_TEST(contended.at("c") == 20.0);
    const auto redistributed = weightedMaxMin(100, {{"a", 10}, {"b", 500}, {"c", 500}}, weights);
    BOOST_TEST(redistributed.at("a") == 10.0);
    BOOST_TEST(redistributed.at("b") == 54.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(redistributed.at("c") == 36.0, boost::test_tools::tolerance(1e-9));
    const auto sufficient = weightedMaxMin(100, {{"a", 10}, {"b", 20}}, weights);
    BOOST_TEST(sufficient.at("a") == 10.0);
    BOOST_TEST(sufficient.at("b") == 20.0);
}

BOOST_AUTO_TEST_CASE(quotasOfAllNodesAddUpToPoolSlotsInEveryRound)
{
    const std::map<std::string, double> shares{{"a", 0.35}, {"b", 0.35}, {"c", 0.25}, {"d", 0.05}};
    PoolDemand pool{20, {}};
    for (int node = 0; node < 9; ++node) {
        const std::int64_t waiting = node == 0 ? 40 : 4;
        pool.nodes.push_back({"n" + std::to_string(node), {{"a", {1, waiting}}, {"b", {0, waiting}}, {"c", {2, waiting}}, {"d", {0, waiting}}}});
    }
    std::map<std::string, double> mean;
    constexpr int Rounds = 1000;
    for (int round = 0; round < Rounds; ++round) {
        std::int64_t sum = 0;
        for (const NodeDemand &node : pool.nodes) {
            for (const auto &[team, quota] : fairQuotas(pool, shares, node.node, static_cast<std::uint64_t>(round))) {
                sum += quota;
                mean[team] += static_cast<double>(quota) / Rounds;
            }
        }
        BOOST_TEST(std::abs(sum - pool.slots) <= 1);
    }
    BOOST_TEST(mean["a"] == 7.0, boost::test_tools::tolerance(0.05));
    BOOST_TEST(mean["d"] == 1.0, boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_CASE(poolWithFreeSlotsHasNoQuotas)
{
    const PoolDemand pool{20, {{"n0", {{"a", {5, 5}}}}, {"n1", {{"b", {5, 5}}}}}};
    BOOST_TEST(fairQuotas(pool, {{"a", 0.5}, {"b", 0.5}}, "n0", 1).empty());
}
