#include "fleetfixture.h"

#include "fleet/snapshot.h"

#include <boost/test/unit_test.hpp>

using namespace Cornelquay;
using Cornelquay::Testing::Folder;
using Cornelquay::Testing::SmallText;

namespace {

OutageGranted grant(const std::string &instance, std::uint64_t sequence, const std::string &node = "n1")
{
    return {instance, sequence, OutagePurpose::Maintenance, node, 1, 5000};
}

}

BOOST_AUTO_TEST_CASE(theLosingOperatorIsToldWhoWon)
{
    Folder folder;
    BOOST_TEST(folder.fold(ConfigurationChanged{0, SmallText}, "nuala").accepted);
    const Verdict lost = folder.fold(ConfigurationChanged{0, SmallText}, "tam");
    BOOST_TEST(!lost.accepted);
    BOOST_TEST(lost.refusal == "version 1 by nuala is in force, not version 0");
    BOOST_TEST(folder.state().configuration.version == 1U);
}

BOOST_AUTO_TEST_CASE(aTextWithFindingsIsNeverInForce)
{
    Folder folder;
    BOOST_TEST(!folder.fold(ConfigurationChanged{0, "cornelquay: 1"}).accepted);
    BOOST_TEST(folder.state().configuration.version == 0U);
}

BOOST_AUTO_TEST_CASE(aWithdrawnKeyStaysWithdrawn)
{
    Folder folder;
    folder.prepare();
    const Record granted{newRecordId(), "nuala", "", KeyGranted{"k1", "t1", "salt", "hash"}};
    BOOST_TEST(folder.fold(granted).accepted);
    BOOST_TEST(folder.fold(KeyWithdrawn{"k1"}).accepted);
    BOOST_TEST(!folder.fold(granted).accepted);
    BOOST_TEST(folder.state().keys.at("k1").withdrawn);
    BOOST_TEST(!folder.fold(KeyGranted{"k2", "nobody", "salt", "hash"}).accepted);
}

BOOST_AUTO_TEST_CASE(outageConflictsAreSettledByOffset)
{
    struct ConflictCase {
        const char *what;
        std::vector<RecordBody> before;
        RecordBody record;
        bool accepted;
    };
    const std::vector<ConflictCase> cases{
        {"one of three may be out", {}, grant("a1", 1), true},
        {"two nodes grant at once", {grant("a1", 1, "n2")}, grant("a2", 1), false},
        {"the same grant twice", {grant("a1", 1)}, grant("a1", 1), false},
        {"a failure counts as out", {InstanceFailed{"a1", 1}}, grant("a2", 1), false},
        {"a recovered failure does not", {InstanceFailed{"a1", 1}, InstanceRecovered{"a1", 2}}, grant("a2", 1), true},
        {"the other pool has a budget of its own", {grant("a1", 1)}, grant("b1", 1), true},
        {"an ended outage frees the budget", {grant("a1", 1), OutageEnded{"a1", 2, true, 9}}, grant("a2", 1), true},
        {"an old holder ends an outage twice", {grant("a1", 1), OutageEnded{"a1", 2, true, 9}}, OutageEnded{"a1", 2, true, 9}, false},
        {"maintenance is paused", {MaintenancePaused{true}}, grant("a1", 1), false},
        {"a removed node grants", {NodeRemoved{"n1", 1}}, grant("a1", 1), false},
        {"a move needs an outage", {}, InstanceMoved{"a1", 1, "a", "b"}, false},
        {"a move while out", {grant("a1", 1)}, InstanceMoved{"a1", 2, "a", "b"}, true},
        {"two movers race", {grant("a1", 1), InstanceMoved{"a1", 2, "a", "b"}}, InstanceMoved{"a1", 2, "a", "spare"}, false},
        {"a move out of spare", {}, InstanceMoved{"s1", 1, "spare", "a"}, true},
        {"a move to nowhere", {}, InstanceMoved{"s1", 1, "spare", "x"}, false},
        {"moved away, the budget is free", {grant("a1", 1), InstanceMoved{"a1", 2, "a", "b"}}, grant("a2", 1), true},
        {"an arriving instance that fails counts", {InstanceMoved{"s1", 1, "spare", "a"}, InstanceFailed{"s1", 2}}, grant("a1", 1), false},
        {"an unknown instance", {}, grant("zz", 1), false},
    };
    for (const ConflictCase &conflict : cases) {
        Folder folder;
        folder.prepare();
        for (const RecordBody &body : conflict.before) {
            BOOST_TEST(folder.fold(body).accepted, conflict.what);
        }
        BOOST_TEST(folder.fold(conflict.record).accepted == conflict.accepted, conflict.what);
    }
}

BOOST_AUTO_TEST_CASE(claimsBindARequestOnce)
{
    Folder folder;
    folder.prepare();
    const ClaimKey key = claimKeyOf("t1", "r1");
    BOOST_TEST(folder.fold(RequestsClaimed{"n1", 1, {{key, "a1", 1}}}).accepted);
    const Offset boundAt = folder.state().next - 1;
    BOOST_TEST(!folder.fold(RequestsClaimed{"n2", 1, {{key, "a2", 1}}}).accepted);
    BOOST_TEST(claimOf(folder.state(), key)->boundAt == boundAt);
    folder.fold(ClaimsReleased{{{key, boundAt + 100}}});
    BOOST_TEST(claimOf(folder.state(), key).has_value());
    folder.fold(ClaimsReleased{{{key, boundAt}}});
    BOOST_TEST(!claimOf(folder.state(), key).has_value());
    BOOST_TEST(folder.fold(RequestsClaimed{"n2", 1, {{key, "a2", 1}}}).accepted);
    // The repeated release is of the older binding and must not end the new one.
    folder.fold(ClaimsReleased{{{key, boundAt}}});
    BOOST_TEST(claimOf(folder.state(), key).has_value());
    BOOST_TEST(!folder.fold(RequestsClaimed{"n9", 1, {{claimKeyOf("t1", "r2"), "a1", 1}}}).accepted);
}

BOOST_AUTO_TEST_CASE(claimsAreForgottenAfterTheirRetention)
{
    Folder folder;
    folder.prepare();
    const ClaimKey key = claimKeyOf("t1", "r1");
    folder.fold(RequestsClaimed{"n1", 1, {{key, "a1", 1}}});
    folder.setTime(1000 + ClaimRetentionMilliseconds - 1);
    folder.fold(MaintenancePaused{true});
    BOOST_TEST(claimOf(folder.state(), key).has_value());
    folder.setTime(1000 + ClaimRetentionMilliseconds);
    folder.fold(MaintenancePaused{false});
    BOOST_TEST(folder.state().claims.empty());
    BOOST_TEST(folder.state().claimExpiries.empty());
}

BOOST_AUTO_TEST_CASE(partsOfALimitNeverAddUpToMore)
{
    Folder folder;
    folder.prepare();
    BOOST_TEST(folder.fold(LimitPartTaken{"n1", 1, "t1", 5, 1}).accepted);
    BOOST_TEST(!folder.fold(LimitPartTaken{"n1", 1, "t1", 1, 1}).accepted);
    BOOST_TEST(!folder.fold(LimitPartTaken{"n2", 1, "t1", 4, 1}).accepted);
    BOOST_TEST(folder.fold(LimitPartTaken{"n2", 1, "t1", 3, 1}).accepted);
    BOOST_TEST(unassignedLimit(folder.state(), "t1") == 0);
    BOOST_TEST(folder.fold(LimitPartReturned{"n1", 1, "t1", 2, 2}).accepted);
    BOOST_TEST(!folder.fold(LimitPartReturned{"n1", 1, "t1", 4, 3}).accepted);
    BOOST_TEST(unassignedLimit(folder.state(), "t1") == 2);
}

BOOST_AUTO_TEST_CASE(aRemovedNodesPartIsFreeOnlyAfterTheQuarantine)
{
    Folder folder;
    folder.prepare();
    folder.fold(LimitPartTaken{"n1", 1, "t1", 8, 1});
    BOOST_TEST(folder.fold(NodeRemoved{"n1", 1}).accepted);
    BOOST_TEST(!folder.fold(NodeRemoved{"n1", 1}).accepted);
    BOOST_TEST(!folder.fold(LimitPartTaken{"n2", 1, "t1", 1, 1}).accepted);
    folder.setTime(1000 + QuarantineMilliseconds - 1);
    BOOST_TEST(!folder.fold(LimitPartTaken{"n2", 1, "t1", 1, 1}).accepted);
    folder.setTime(1000 + QuarantineMilliseconds);
    BOOST_TEST(folder.fold(LimitPartTaken{"n2", 1, "t1", 8, 1}).accepted);
    // A node that comes back under its old incarnation is not listened to.
    BOOST_TEST(!folder.fold(LimitPartReturned{"n1", 1, "t1", 1, 2}).accepted);
    BOOST_TEST(!folder.fold(NodeJoined{"n1", 1, "127.0.0.1:1", "z"}).accepted);
    BOOST_TEST(folder.fold(NodeJoined{"n1", 2, "127.0.0.1:1", "z"}).accepted);
}

BOOST_AUTO_TEST_CASE(aNodeThatLeftFreesItsPartAtOnce)
{
    Folder folder;
    folder.prepare();
    folder.fold(LimitPartTaken{"n1", 1, "t1", 8, 1});
    BOOST_TEST(folder.fold(NodeLeft{"n1", 1}).accepted);
    BOOST_TEST(folder.fold(LimitPartTaken{"n2", 1, "t1", 8, 1}).accepted);
}

BOOST_AUTO_TEST_CASE(snapshotsSurviveTheRoundTripInAnyOrder)
{
    Folder folder;
    folder.prepare();
    folder.fold(KeyGranted{"k1", "t1", "salt", "hash"});
    folder.fold(LimitPartTaken{"n1", 1, "t1", 3, 1});
    RequestsClaimed claims{"n1", 1, {}};
    for (int index = 0; index < 16000; ++index) {
        claims.claims.push_back({claimKeyOf("t1", std::to_string(index)), "a1", 1});
    }
    folder.fold(claims);
    std::vector<SnapshotChunk> chunks = toChunks(folder.state());
    BOOST_REQUIRE(chunks.size() > 1U);
    SnapshotAssembler assembler;
    std::optional<std::string> whole;
    for (auto chunk = chunks.rbegin(); chunk != chunks.rend(); ++chunk) {
        BOOST_TEST(!whole.has_value());
        BOOST_TEST(!assembler.add(SnapshotChunk{}).has_value());
        whole = assembler.add(*chunk);
        if (!whole) {
            BOOST_TEST(!assembler.add(*chunk).has_value());
        }
    }
    BOOST_REQUIRE(whole.has_value());
    const auto restored = deserialize(*whole);
    BOOST_REQUIRE(restored.has_value());
    BOOST_TEST(serialize(*restored) == serialize(folder.state()));
    BOOST_TEST(restored->parsed->services.size() == 2U);
    BOOST_TEST(claimOf(*restored, claimKeyOf("t1", "77")).has_value());
    BOOST_TEST(!deserialize("rubbish").has_value());
    BOOST_TEST(!deserialize(std::string_view(*whole).substr(0, whole->size() / 2)).has_value());
}
