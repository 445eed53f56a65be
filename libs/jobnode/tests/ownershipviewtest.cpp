#include "jobnode/ownershipview.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
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

// Two reads may overlap, so an older page can arrive after a later one.
BOOST_AUTO_TEST_CASE(anOlderPageDoesNotReplaceALaterOne)
{
    OwnershipView view(OwnershipTimes{}, 0ms, "self");
    view.notePage(makePage(3, {makeOwner("b", 3)}), Start);
    view.notePage(makePage(2, {makeOwner("a", 1)}), Start + 1ms);
    BOOST_TEST(view.owner()->node == "b");
    BOOST_TEST(view.endOffset() == 3U);
}

// Load: a fleet of 97 nodes of unlike size loses its owner. Each node reads the ownership log with reads that wait, and a
// claim is seen by all of them a few milliseconds later.
BOOST_DATA_TEST_CASE(aLostOwnerIsReplacedByAFewClaimsOfStrongNodes, boost::unit_test::data::make({0.5, 0.25}), strongCpuShare)
{
    constexpr std::size_t Nodes = 97;
    constexpr std::size_t StrongNodes = 15;
    constexpr auto ReadLatency = 3ms;
    constexpr auto ClaimLatency = 6ms;
    const OwnershipTimes times;
    std::vector<OwnershipView> views;
    std::vector<BootTime> readEndsAt(Nodes, Start);
    for (std::size_t number = 0; number < Nodes; ++number) {
        const std::string name = "node-" + std::to_string(number);
        views.emplace_back(times, claimDelay(number < StrongNodes ? strongCpuShare : 0.12, name), name);
        views.back().notePage(makePage(1, {makeOwner("lost", 1)}), Start + std::chrono::milliseconds(number % 5));
    }
    std::size_t claims = 0;
    std::size_t weakClaims = 0;
    std::optional<BootTime> claimedAt;
    for (BootTime now = Start; now < Start + 3s && (!claimedAt || now < *claimedAt + ClaimLatency); now += 1ms) {
        for (std::size_t number = 0; number < Nodes; ++number) {
            if (now < readEndsAt[number]) {
                continue;
            }
            views[number].notePage(makePage(1), now);
            if (views[number].shouldClaim(now)) {
                ++claims;
                weakClaims += number < StrongNodes ? 0 : 1;
                claimedAt = claimedAt.value_or(now);
            }
            readEndsAt[number] = now + views[number].readWait(now) + ReadLatency;
        }
    }
    BOOST_REQUIRE(claimedAt.has_value());
    BOOST_TEST((*claimedAt - Start <= times.ownerTimeout + 150ms));
    BOOST_TEST(claims <= StrongNodes / 2);
    BOOST_TEST(weakClaims == 0U);
}
