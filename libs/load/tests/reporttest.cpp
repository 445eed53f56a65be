#include "load/report.h"

#include <boost/test/unit_test.hpp>

using namespace Cornelquay;

namespace {

LoadSettings settings()
{
    LoadSettings settings;
    settings.targets = {{"127.0.0.1", 1}, {"127.0.0.1", 2}};
    settings.teams = {{"a", "k", 1}, {"b", "k", 3}};
    settings.services = {"s"};
    settings.requests = 4;
    settings.idempotentFraction = 0;
    settings.copies = 2;
    return settings;
}

}

BOOST_AUTO_TEST_CASE(equalSettingsGiveEqualPlans)
{
    const std::vector<PlannedRequest> first = makePlan(settings());
    const std::vector<PlannedRequest> second = makePlan(settings());
    BOOST_REQUIRE(first.size() == second.size());
    for (std::size_t index = 0; index < first.size(); ++index) {
        BOOST_TEST(first[index].payload == second[index].payload);
        BOOST_TEST(first[index].requestId == second[index].requestId);
        BOOST_TEST(first[index].targets.size() == 2U);
    }
}

BOOST_AUTO_TEST_CASE(violationsOfGuaranteesAreCounted)
{
    const LoadSettings load = settings();
    const std::vector<PlannedRequest> plan = makePlan(load);
    const auto record = [](std::size_t request, CallResult result, bool correct) {
        CallRecord record;
        record.request = request;
        record.result = result;
        record.correct = correct;
        return record;
    };
    const std::vector<CallRecord> records{record(0, CallResult::Answered, true),
                                          record(0, CallResult::NotRun, true),
                                          record(1, CallResult::NotRun, true),
                                          record(2, CallResult::Answered, false),
                                          record(3, CallResult::Answered, true)};
    const RunCounts runs{{plan[0].requestId, 2}, {plan[1].requestId, 1}, {plan[2].requestId, 1}};
    const LoadSummary summary = summarize(load, plan, records, runs);
    BOOST_TEST(summary.doubleRuns == 1U);
    BOOST_TEST(summary.falseRefusals == 1U);
    BOOST_TEST(summary.wrongAnswers == 1U);
    BOOST_TEST(summary.answersWithoutRun == 1U);
    BOOST_TEST(summary.results.at("answered") == 3U);
}
