#include "jobnode/ownershipview.h"

#include <boost/test/unit_test.hpp>

using namespace Cornelquay;
using namespace std::chrono_literals;

namespace {

constexpr BootTime Start{std::chrono::milliseconds(1000000)};

OwnershipPage makePage(std::uint64_t end, std::vector<OwnershipRecord> records = {})
{
    return {end, std::move(records)};
}

OwnershipRecord makeOwner(const std::string &node, std::uint64_t epoch, bool released = false)
{
    OwnershipRecord record;
    record.node = node;
    record.epoch = epoch;
    record.released = released;
    return record;
}

}

BOOST_AUTO_TEST_CASE(theOwnerTimeoutRunsOnlyWhileTheStoreAnswers)
{
    const OwnershipTimes times;
    OwnershipView view(times, 50ms, "self");
    BOOST_TEST(!view.shouldClaim(Start));
    view.notePage(makePage(1, {makeOwner("a", 1)}), Start);
    view.notePage(makePage(1), Start + times.ownerTimeout);
    BOOST_TEST(!view.shouldClaim(Start + times.ownerTimeout));
    view.notePage(makePage(1), Start + times.ownerTimeout + 60ms);
    BOOST_TEST(view.shouldClaim(Start + times.ownerTimeout + 60ms));
    // After an outage of the store the owner's timeout starts anew.
    view.noteFailure();
    BOOST_TEST(!view.shouldClaim(Start + 10s));
    view.notePage(makePage(1), Start + 10s);
    BOOST_TEST(!view.shouldClaim(Start + 10s));
    view.notePage(makePage(1), Start + 10s + times.ownerTimeout + 60ms);
    BOOST_TEST(view.shouldClaim(Start + 10s + times.ownerTimeout + 60ms));
}

// The store loses every answer, so the owner sends each heartbeat only after the answer to the previous one timed out.
// Heartbeats that are this far apart must not make other nodes claim.
BOOST_AUTO_TEST_CASE(lostHeartbeatAnswersCauseNoClaim)
{
    const OwnershipTimes times;
    BOOST_TEST((times.maxContactAgeForOrders < times.ownerTimeout));
    OwnershipView view(times, 0ms, "self");
    BootTime now = Start;
    for (std::uint64_t offset = 1; offset < 20; ++offset, now += times.answerTimeout + times.heartbeatInterval) {
        BOOST_TEST(!view.shouldClaim(now));
        view.notePage(makePage(offset, {makeOwner("a", 1)}), now);
        view.notePage(makePage(offset), now + times.answerTimeout);
        BOOST_TEST(!view.shouldClaim(now + times.answerTimeout));
    }
}

BOOST_AUTO_TEST_CASE(aReleasedOwnershipIsClaimedAfterTheClaimDelay)
{
    OwnershipView view(OwnershipTimes{}, 50ms, "self");
    view.notePage(makePage(2, {makeOwner("a", 1), makeOwner("a", 1, true)}), Start);
    BOOST_TEST(!view.shouldClaim(Start + 40ms));
    BOOST_TEST(view.shouldClaim(Start + 60ms));
    BOOST_TEST(view.endOffset() == 2U);
}

BOOST_AUTO_TEST_CASE(theNamedSuccessorClaimsFirst)
{
    OwnershipRecord released = makeOwner("a", 1, true);
    released.successor = "self";
    OwnershipView named(OwnershipTimes{}, 50ms, "self");
    named.notePage(makePage(1, {released}), Start);
    BOOST_TEST(named.shouldClaim(Start));
    OwnershipView other(OwnershipTimes{}, 50ms, "other");
    other.notePage(makePage(1, {released}), Start);
    BOOST_TEST(!other.shouldClaim(Start + 200ms));
    // Other nodes claim after a grace period, as the named node may have failed.
    BOOST_TEST(other.shouldClaim(Start + 500ms));
}
