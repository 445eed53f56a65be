#include "cornelquay/nodesettings.h"
#include "details/keyring.h"
#include "details/quotacontroller.h"
#include "details/retrybudget.h"
#include "details/servicetable.h"
#include "details/viewpolicy.h"

#include <boost/test/unit_test.hpp>

using namespace Cornelquay;
using namespace Cornelquay::Details;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(viewsAreJudgedByAgeAndPeers)
{
    struct ViewCase {
        const char *label;
        ReplicaCondition condition;
        std::chrono::milliseconds age;
        PeerView peers;
        ViewState expected;
    };
    const ViewCase cases[] = {
        {"log slow", ReplicaCondition::Ready, 3900ms, {8, 8, 8}, ViewState::Fresh},
        {"log down for everybody", ReplicaCondition::Ready, 60min, {8, 8, 0}, ViewState::LogDown},
        {"log lost to me alone, relays lost too", ReplicaCondition::Ready, 5s, {8, 8, 8}, ViewState::Stale},
        {"peers lost, log there", ReplicaCondition::Ready, 1s, {8, 0, 0}, ViewState::Fresh},
        {"both lost", ReplicaCondition::Ready, 5s, {8, 0, 0}, ViewState::Stale},
        {"log down, one node crashed", ReplicaCondition::Ready, 5s, {8, 7, 0}, ViewState::LogDown},
        {"log down, in the smaller part", ReplicaCondition::Ready, 5s, {8, 3, 0}, ViewState::Stale},
        {"log down, in the larger part", ReplicaCondition::Ready, 5s, {8, 4, 0}, ViewState::LogDown},
        {"a region apart", ReplicaCondition::Ready, 5s, {8, 2, 0}, ViewState::Stale},
        {"the only node", ReplicaCondition::Ready, 5s, {0, 0, 0}, ViewState::LogDown},
        {"not recovered", ReplicaCondition::Recovering, 0s, {8, 8, 8}, ViewState::None},
        {"newer records", ReplicaCondition::Halted, 0s, {8, 8, 8}, ViewState::None},
    };
    const SteadyTime now = steadyNow();
    for (const ViewCase &entry : cases) {
        BOOST_TEST((judgeView(entry.condition, now - entry.age, entry.peers, now) == entry.expected), entry.label);
    }
    BOOST_TEST((judgeView(ReplicaCondition::Ready, SteadyTime(), {}, now) == ViewState::None));
}

BOOST_AUTO_TEST_CASE(onlyAFreshViewChangesInstances)
{
    for (const ViewState state : {ViewState::Fresh, ViewState::LogDown, ViewState::Stale, ViewState::None}) {
        const bool fresh = state == ViewState::Fresh;
        BOOST_TEST(isAllowed(ViewAction::ChangeInstances, state) == fresh);
        BOOST_TEST(isAllowed(ViewAction::AcceptWork, state) == (fresh || state == ViewState::LogDown));
    }
}

BOOST_AUTO_TEST_CASE(partsConvergeToEqualOnes)
{
    struct PartCase {
        const char *label;
        QuotaSituation situation;
        std::int64_t expected;
    };
    const PartCase cases[] = {
        {"a first node takes all", {10, 10, 0, 0, 0, 0, 1}, 10},
        {"the first of three takes a third and the rest", {10, 10, 0, 0, 0, 0, 3, 0}, 4},
        {"the last of three takes a third", {10, 10, 0, 0, 0, 0, 3, 2}, 3},
        {"fewer permits than nodes", {2, 2, 0, 0, 0, 0, 3, 2}, 0},
        {"no more than what is left", {10, 2, 0, 0, 0, 0, 3}, 2},
        {"nothing left", {10, 0, 0, 0, 0, 0, 3}, 0},
        {"more than its part, unused", {10, 0, 10, 2, 0, 0, 3}, -6},
        {"more than its part, in use", {10, 0, 10, 10, 0, 0, 3}, 0},
        {"more than its part, lent", {10, 0, 10, 0, 10, 0, 3}, 0},
        {"more than its part, work waits", {10, 0, 10, 2, 0, 5, 3}, 0},
        {"the limit was lowered", {4, -3, 4, 0, 0, 0, 2}, -3},
        {"the limit was lowered, all in use", {4, -3, 4, 4, 0, 0, 2}, 0},
    };
    for (const PartCase &entry : cases) {
        BOOST_TEST(decideQuotaChange(entry.situation).count == entry.expected, entry.label);
    }
}

BOOST_AUTO_TEST_CASE(keysAreCheckedAgainstTheirHash)
{
    FleetState state;
    auto configuration = std::make_shared<Configuration>();
    configuration->teams["t"] = {"t", 1, 1};
    state.parsed = configuration;
    const NewKey key = makeKey("t");
    BOOST_TEST(!teamOfKey(state, key.text).has_value());
    state.keys[key.record.keyId] = {"t", key.record.salt, key.record.hash, "nuala", 0, false};
    BOOST_TEST(teamOfKey(state, key.text).value_or("") == "t");
    std::string wrong = key.text;
    wrong.back() = wrong.back() == '0' ? '1' : '0';
    for (const std::string &text : {wrong, std::string(), std::string("cq_"), std::string("cq_x"), key.text + "0", std::string("Bearer")}) {
        BOOST_TEST(!teamOfKey(state, text).has_value());
    }
    BOOST_TEST(key.record.hash.find(key.text.substr(20)) == std::string::npos);
    state.keys[key.record.keyId].withdrawn = true;
    BOOST_TEST(!teamOfKey(state, key.text).has_value());
}

BOOST_AUTO_TEST_CASE(retriesAreAFractionOfTheRequests)
{
    RetryBudget budget(0.1);
    int retries = 0;
    for (int request = 0; request < 1000; ++request) {
        budget.addRequest("s");
        while (budget.tryTake("s")) {
            retries += 1;
        }
    }
    BOOST_TEST(retries <= 110);
    BOOST_TEST(retries >= 99);
}

BOOST_AUTO_TEST_CASE(theDominantResourceCounts)
{
    const Resources total{100, 1000, 4};
    BOOST_TEST(dominantShare({10, 10, 0}, total) == 0.1);
    BOOST_TEST(dominantShare({10, 500, 0}, total) == 0.5);
    BOOST_TEST(dominantShare({10, 500, 3}, total) == 0.75);
    BOOST_TEST(!fits({101, 1, 0}, total));
    BOOST_TEST(fits({100, 1000, 4}, total));
}

BOOST_AUTO_TEST_CASE(faultySettingsAreReportedTogether)
{
    const ReadNodeSettings result = readNodeSettings("node.yaml", R"(name: n
zone: z
callers: {address: "localhost:1", plain: true}
operators-listener: {address: "127.0.0.1:1"}
peer-address: "127.0.0.1:1"
peer-secret: short
log: "127.0.0.1:1"
platform: "127.0.0.1:1"
operators: [{name: nuala, token-sha256: abc}]
limits: {ejected-fraction: 200%}
times: {task-lease: 1h}
log-format: xml
surprise: 1
)");
    const std::string text = result.findings.toText();
    for (const char *part : {"node.yaml:3:20: 'callers.address': 'localhost:1' is not an address",
                             "encrypted",
                             "the secret is too short",
                             "not a SHA-256",
                             "'200%' is not a percentage",
                             "'times.task-lease': '1h' is out of range",
                             "'xml' is not a log format",
                             "unknown key 'surprise'"}) {
        BOOST_TEST(text.find(part) != std::string::npos, part << " in " << text);
    }
}
