#include "admission/fairqueue.h"
#include "admission/teamlimits.h"

#include <boost/test/unit_test.hpp>

using namespace Cornelquay;
using namespace std::chrono_literals;

namespace {

bool always(const std::string &)
{
    return true;
}

void pushWork(FairQueue &queue, const std::string &team, int count, SteadyTime now, Urgency urgency = Urgency::Normal)
{
    static std::uint64_t lastId = 0;
    for (int index = 0; index < count; ++index) {
        queue.push({++lastId, team, 0.01, urgency, now});
    }
}

}

BOOST_AUTO_TEST_CASE(turnsFollowTheShares)
{
    FairQueue queue;
    queue.setShares({{"a", 0.6}, {"b", 0.3}, {"c", 0.1}});
    const SteadyTime now = steadyNow();
    for (const char *team : {"a", "b", "c"}) {
        pushWork(queue, team, 100, now);
    }
    std::map<std::string, int> turnsByTeam;
    for (int turn = 0; turn < 100; ++turn) {
        turnsByTeam[queue.takeNext(now, always)->team] += 1;
    }
    BOOST_TEST(std::abs(turnsByTeam["a"] - 60) <= 1);
    BOOST_TEST(std::abs(turnsByTeam["b"] - 30) <= 1);
    BOOST_TEST(std::abs(turnsByTeam["c"] - 10) <= 1);
}

BOOST_AUTO_TEST_CASE(unusedShareIsUsedByOthersAndReclaimed)
{
    FairQueue queue;
    queue.setShares({{"a", 0.5}, {"b", 0.5}});
    const SteadyTime now = steadyNow();
    pushWork(queue, "a", 40, now);
    for (int turn = 0; turn < 20; ++turn) {
        BOOST_TEST(queue.takeNext(now, always)->team == "a");
    }
    pushWork(queue, "b", 20, now);
    // Running tasks are not interrupted. Each turn that becomes free goes to "b" until it has its share.
    for (int turn = 0; turn < 10; ++turn) {
        queue.release("a", 0.01);
        BOOST_TEST(queue.takeNext(now, always)->team == "b");
    }
    BOOST_TEST(queue.usage("a") == queue.usage("b"), boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(usageOnOtherNodesCounts)
{
    FairQueue queue;
    queue.setShares({{"a", 0.5}, {"b", 0.5}});
    queue.setRemoteRunning({{"a", 20}});
    const SteadyTime now = steadyNow();
    pushWork(queue, "a", 30, now);
    pushWork(queue, "b", 30, now);
    for (int turn = 0; turn < 20; ++turn) {
        BOOST_TEST(queue.takeNext(now, always)->team == "b");
    }
}

BOOST_AUTO_TEST_CASE(urgentWorkGoesFirstWithinShareOrAfterPromotionDelay)
{
    FairQueue queue;
    queue.setShares({{"a", 0.5}, {"b", 0.5}});
    const SteadyTime now = steadyNow();
    queue.setRemoteRunning({{"a", 50}, {"b", 10}});
    pushWork(queue, "a", 1, now, Urgency::Urgent);
    pushWork(queue, "b", 2, now);
    BOOST_TEST(queue.takeNext(now, always)->team == "b");
    BOOST_TEST(queue.takeNext(now + UrgentPromotionDelay, always)->team == "a");
    queue.setRemoteRunning({{"a", 10}, {"b", 50}});
    pushWork(queue, "a", 1, now, Urgency::Urgent);
    BOOST_TEST(queue.takeNext(now, always)->team == "a");
}

BOOST_AUTO_TEST_CASE(teamWithoutPermitIsSkipped)
{
    FairQueue queue;
    queue.setShares({{"a", 0.9}, {"b", 0.1}});
    const SteadyTime now = steadyNow();
    pushWork(queue, "a", 1, now);
    pushWork(queue, "b", 1, now);
    const auto onlyB = [](const std::string &team) {
        return team == "b";
    };
    BOOST_TEST(queue.takeNext(now, onlyB)->team == "b");
    BOOST_TEST(!queue.takeNext(now, onlyB).has_value());
    BOOST_TEST(queue.waiting() == 1U);
}

BOOST_AUTO_TEST_CASE(quotasLimitTurnsAndRequeuedWorkKeepsItsPlace)
{
    FairQueue queue;
    queue.setShares({{"a", 0.5}, {"b", 0.5}});
    const SteadyTime now = steadyNow();
    pushWork(queue, "a", 3, now);
    queue.push({7, "a", 0.01, Urgency::Normal, now - 1s});
    queue.setQuotas({{"a", 2}});
    BOOST_TEST(queue.takeNext(now, always)->id == 7U);
    BOOST_TEST(queue.takeNext(now, always).has_value());
    BOOST_TEST(!queue.takeNext(now, always).has_value());
    queue.release("a", 0.01);
    BOOST_TEST(queue.takeNext(now, always).has_value());
    queue.setQuotas({});
    BOOST_TEST(queue.takeNext(now, always).has_value());
}

BOOST_AUTO_TEST_CASE(cancelledWorkIsRemoved)
{
    FairQueue queue;
    queue.setShares({{"a", 0.5}, {"b", 0.5}});
    const SteadyTime now = steadyNow();
    for (std::uint64_t id = 1000; id < 1100; ++id) {
        queue.push({id, "a", 0.01, Urgency::Normal, now});
    }
    pushWork(queue, "b", 1, now);
    for (std::uint64_t id = 1000; id < 1100; ++id) {
        BOOST_TEST(queue.remove("a", id));
    }
    BOOST_TEST(!queue.remove("a", 1000));
    BOOST_TEST(queue.takeNext(now, always)->team == "b");
    BOOST_TEST(queue.waiting() == 0U);
}

BOOST_AUTO_TEST_CASE(permitsNeverExceedQuotas)
{
    TeamLimits limits;
    const SteadyTime now = steadyNow();
    limits.setHeld("a", 2);
    BOOST_TEST(limits.take("a", now));
    BOOST_TEST(limits.take("a", now));
    BOOST_TEST(!limits.take("a", now));
    limits.setBorrowed("a", 1);
    BOOST_TEST(limits.take("a", now));
    limits.setBorrowed("a", 0);
    BOOST_TEST(limits.available("a", now) == -1);
    limits.giveBack("a");
    limits.setLent("a", 1);
    BOOST_TEST(!limits.take("a", now));
}

BOOST_AUTO_TEST_CASE(permitOfTaskWithoutAnswerIsReleasedWhenLeaseExpires)
{
    TeamLimits limits;
    const SteadyTime now = steadyNow();
    limits.setHeld("a", 1);
    BOOST_TEST(limits.take("a", now));
    limits.giveBackAt("a", now + 10s);
    BOOST_TEST(!limits.take("a", now + 9s));
    BOOST_TEST(limits.take("a", now + 10s));
}
