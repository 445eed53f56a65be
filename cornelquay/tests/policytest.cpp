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

BOOST_AUTO_TEST_CASE(viewStateFollowsFromAgeAndPeers)
{
    struct ViewCase {
        const char *label;
        ReplicaCondition condition;
        std::chrono::milliseconds age;
        PeerView peers;
        ViewState expected;
    };
    const ViewCase cases[] = {
        {"log slow, view not too old yet", ReplicaCondition::Ready, 3900ms, {8, 8, 8}, ViewState::Fresh},
        {"log unavailable to all nodes", ReplicaCondition::Ready, 60min, {8, 8, 0}, ViewState::LogDown},
        {"log unreachable for this node only, no relayed entries", ReplicaCondition::Ready, 5s, {8, 8, 8}, ViewState::Stale},
        {"peers unreachable, log readable", ReplicaCondition::Ready, 1s, {8, 0, 0}, ViewState::Fresh},
        {"peers and log unreachable", ReplicaCondition::Ready, 5s, {8, 0, 0}, ViewState::Stale},
        {"log unavailable, one node crashed", ReplicaCondition::Ready, 5s, {8, 7, 0}, ViewState::LogDown},
        {"log unavailable, minority of the nodes reachable", ReplicaCondition::Ready, 5s, {8, 3, 0}, ViewState::Stale},
        {"log unavailable, majority of the nodes reachable", ReplicaCondition::Ready, 5s, {8, 4, 0}, ViewState::LogDown},
        {"one region cut off from the others", ReplicaCondition::Ready, 5s, {8, 2, 0}, ViewState::Stale},
        {"the only node", ReplicaCondition::Ready, 5s, {0, 0, 0}, ViewState::LogDown},
        {"recovery not finished", ReplicaCondition::Recovering, 0s, {8, 8, 8}, ViewState::None},
        {"halted by a record of a newer program", ReplicaCondition::Halted, 0s, {8, 8, 8}, ViewState::None},
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

BOOST_AUTO_TEST_CASE(quotasConvergeToEqualOnes)
{
    struct QuotaCase {
        const char *label;
        QuotaSituation situation;
        std::int64_t expected;
    };
    const QuotaCase cases[] = {
        {"a first node takes all", {10, 10, 0, 0, 0, 0, 1}, 10},
        {"the first of three takes a third and the rest", {10, 10, 0, 0, 0, 0, 3, 0}, 4},
        {"the last of three takes a third", {10, 10, 0, 0, 0, 0, 3, 2}, 3},
        {"fewer permits than nodes", {2, 2, 0, 0, 0, 0, 3, 2}, 0},
        {"no more than the unassigned permits", {10, 2, 0, 0, 0, 0, 3}, 2},
        {"no permits unassigned", {10, 0, 0, 0, 0, 0, 3}, 0},
        {"more than its quota, unused", {10, 0, 10, 2, 0, 0, 3}, -6},
        {"more than its quota, in use", {10, 0, 10, 10, 0, 0, 3}, 0},
        {"more than its quota, lent", {10, 0, 10, 0, 10, 0, 3}, 0},
        {"more than its quota, work waits", {10, 0, 10, 2, 0, 5, 3}, 0},
        {"the limit was lowered", {4, -3, 4, 0, 0, 0, 2}, -3},
        {"the limit was lowered, all in use", {4, -3, 4, 4, 0, 0, 2}, 0},
    };
    for (const QuotaCase &entry : cases) {
        BOOST_TEST(decideQuotaChange(entry.situation).count == entry.expected, entry.label);
    }
}

BOOST_AUTO_TEST_CASE(keysAreCheckedAgainstTheirHash)
{
    FleetState state;
    auto configuration = std::make_shared<Configuration>();
    configuration->teams["t"] = {"t", 1, 1};
    state.parsedConfiguration = configuration;
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

BOOST_AUTO_TEST_CASE(retriesStayWithinFractionOfRequests)
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

BOOST_AUTO_TEST_CASE(dominantShareIsLargestFractionOfAnyResource)
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
    const NodeSettingsResult result = readNodeSettings("node.yaml", R"(name: n
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
    for (const char *expected : {"node.yaml:3:20: 'callers.address': 'localhost:1' is not an address",
                                 "encrypted",
                                 "the secret is too short",
                                 "not a SHA-256",
                                 "'200%' is not a percentage",
                                 "'times.task-lease': '1h' is out of range",
                                 "'xml' is not a log format",
                                 "unknown key 'surprise'"}) {
        BOOST_TEST(text.find(expected) != std::string::npos, expected << " in " << text);
    }
}
