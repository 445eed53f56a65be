#include "fleetfixture.h"

#include "fleet/snapshot.h"

#include <boost/test/unit_test.hpp>

using namespace Cornelquay;
using Cornelquay::Testing::FoldFixture;
using Cornelquay::Testing::SmallText;

namespace {

OutageGranted grant(const std::string &instance, std::uint64_t sequence, const std::string &node = "n1")
{
    return {instance, sequence, OutagePurpose::Maintenance, node, 1, 5000};
}

}

BOOST_AUTO_TEST_CASE(refusalOfStaleConfigurationNamesAuthorInForce)
{
    FoldFixture fixture;
    BOOST_TEST(fixture.fold(ConfigurationChanged{0, SmallText}, "nuala").accepted);
    const Verdict stale = fixture.fold(ConfigurationChanged{0, SmallText}, "tam");
    BOOST_TEST(!stale.accepted);
    BOOST_TEST(stale.refusal == "version 1 by nuala is in force, not version 0");
    BOOST_TEST(fixture.state().configuration.version == 1U);
}

BOOST_AUTO_TEST_CASE(configurationWithFindingsIsRefused)
{
    FoldFixture fixture;
    BOOST_TEST(!fixture.fold(ConfigurationChanged{0, "cornelquay: 1"}).accepted);
    BOOST_TEST(fixture.state().configuration.version == 0U);
}

BOOST_AUTO_TEST_CASE(withdrawnKeyCannotBeGrantedAgain)
{
    FoldFixture fixture;
    fixture.prepare();
    const Record granted{newRecordId(), "nuala", "", KeyGranted{"k1", "t1", "salt", "hash"}};
    BOOST_TEST(fixture.fold(granted).accepted);
    BOOST_TEST(fixture.fold(KeyWithdrawn{"k1"}).accepted);
    BOOST_TEST(!fixture.fold(granted).accepted);
    BOOST_TEST(fixture.state().keys.at("k1").withdrawn);
    BOOST_TEST(!fixture.fold(KeyGranted{"k2", "nobody", "salt", "hash"}).accepted);
}

BOOST_AUTO_TEST_CASE(conflictingRecordsAreResolvedByOffset)
{
    struct ConflictCase {
        const char *description;
        std::vector<RecordBody> before;
        RecordBody record;
        bool accepted;
    };
    const std::vector<ConflictCase> cases{
        {"one of three instances may be out of service", {}, grant("a1", 1), true},
        {"two nodes take an outage of the same pool at once", {grant("a1", 1, "n2")}, grant("a2", 1), false},
        {"the same grant twice", {grant("a1", 1)}, grant("a1", 1), false},
        {"a failure counts as out", {InstanceFailed{"a1", 1}}, grant("a2", 1), false},
        {"a recovered instance does not count as out", {InstanceFailed{"a1", 1}, InstanceRecovered{"a1", 2}}, grant("a2", 1), true},
        {"each pool has its own budget", {grant("a1", 1)}, grant("b1", 1), true},
        {"an ended outage frees the budget", {grant("a1", 1), OutageEnded{"a1", 2, true, 9}}, grant("a2", 1), true},
        {"an outage is ended twice", {grant("a1", 1), OutageEnded{"a1", 2, true, 9}}, OutageEnded{"a1", 2, true, 9}, false},
        {"maintenance is paused", {MaintenancePaused{true}}, grant("a1", 1), false},
        {"a removed node takes an outage", {NodeRemoved{"n1", 1}}, grant("a1", 1), false},
        {"a move needs an outage", {}, InstanceMoved{"a1", 1, "a", "b"}, false},
        {"a move during an outage", {grant("a1", 1)}, InstanceMoved{"a1", 2, "a", "b"}, true},
        {"two moves of the same instance", {grant("a1", 1), InstanceMoved{"a1", 2, "a", "b"}}, InstanceMoved{"a1", 2, "a", "spare"}, false},
        {"a move out of the spare pool", {}, InstanceMoved{"s1", 1, "spare", "a"}, true},
        {"a move to an unknown pool", {}, InstanceMoved{"s1", 1, "spare", "x"}, false},
        {"a moved instance frees the budget of its old pool", {grant("a1", 1), InstanceMoved{"a1", 2, "a", "b"}}, grant("a2", 1), true},
        {"an arriving instance that fails counts as out", {InstanceMoved{"s1", 1, "spare", "a"}, InstanceFailed{"s1", 2}}, grant("a1", 1), false},
        {"an unknown instance", {}, grant("zz", 1), false},
    };
    for (const ConflictCase &conflict : cases) {
        FoldFixture fixture;
        fixture.prepare();
        for (const RecordBody &body : conflict.before) {
            BOOST_TEST(fixture.fold(body).accepted, conflict.description);
        }
        BOOST_TEST(fixture.fold(conflict.record).accepted == conflict.accepted, conflict.description);
    }
}

BOOST_AUTO_TEST_CASE(claimsBindARequestOnce)
{
    FoldFixture fixture;
    fixture.prepare();
    const ClaimKey key = claimKeyOf("t1", "r1");
    BOOST_TEST(fixture.fold(RequestsClaimed{"n1", 1, {{key, "a1", 1}}}).accepted);
    const Offset bindingOffset = fixture.state().nextOffset - 1;
    BOOST_TEST(!fixture.fold(RequestsClaimed{"n2", 1, {{key, "a2", 1}}}).accepted);
    BOOST_TEST(activeClaim(fixture.state(), key)->bindingOffset == bindingOffset);
    fixture.fold(ClaimsReleased{{{key, bindingOffset + 100}}});
    BOOST_TEST(activeClaim(fixture.state(), key).has_value());
    fixture.fold(ClaimsReleased{{{key, bindingOffset}}});
    BOOST_TEST(!activeClaim(fixture.state(), key).has_value());
    BOOST_TEST(fixture.fold(RequestsClaimed{"n2", 1, {{key, "a2", 1}}}).accepted);
    // The repeated release names the older binding and must not release the new one.
    fixture.fold(ClaimsReleased{{{key, bindingOffset}}});
    BOOST_TEST(activeClaim(fixture.state(), key).has_value());
    BOOST_TEST(!fixture.fold(RequestsClaimed{"n9", 1, {{claimKeyOf("t1", "r2"), "a1", 1}}}).accepted);
}

BOOST_AUTO_TEST_CASE(claimsExpireAfterRetention)
{
    FoldFixture fixture;
    fixture.prepare();
    const ClaimKey key = claimKeyOf("t1", "r1");
    fixture.fold(RequestsClaimed{"n1", 1, {{key, "a1", 1}}});
    fixture.setLogTime(1000 + ClaimRetentionMs - 1);
    fixture.fold(MaintenancePaused{true});
    BOOST_TEST(activeClaim(fixture.state(), key).has_value());
    fixture.setLogTime(1000 + ClaimRetentionMs);
    fixture.fold(MaintenancePaused{false});
    BOOST_TEST(fixture.state().claims.empty());
    BOOST_TEST(fixture.state().claimExpiries.empty());
}

BOOST_AUTO_TEST_CASE(quotasNeverExceedTeamLimit)
{
    FoldFixture fixture;
    fixture.prepare();
    BOOST_TEST(fixture.fold(QuotaTaken{"n1", 1, "t1", 5, 1}).accepted);
    BOOST_TEST(!fixture.fold(QuotaTaken{"n1", 1, "t1", 1, 1}).accepted);
    BOOST_TEST(!fixture.fold(QuotaTaken{"n2", 1, "t1", 4, 1}).accepted);
    BOOST_TEST(fixture.fold(QuotaTaken{"n2", 1, "t1", 3, 1}).accepted);
    BOOST_TEST(unassignedQuota(fixture.state(), "t1") == 0);
    BOOST_TEST(fixture.fold(QuotaReturned{"n1", 1, "t1", 2, 2}).accepted);
    BOOST_TEST(!fixture.fold(QuotaReturned{"n1", 1, "t1", 4, 3}).accepted);
    BOOST_TEST(unassignedQuota(fixture.state(), "t1") == 2);
}

BOOST_AUTO_TEST_CASE(quotaOfRemovedNodeIsFreeAfterQuarantine)
{
    FoldFixture fixture;
    fixture.prepare();
    fixture.fold(QuotaTaken{"n1", 1, "t1", 8, 1});
    BOOST_TEST(fixture.fold(NodeRemoved{"n1", 1}).accepted);
    BOOST_TEST(!fixture.fold(NodeRemoved{"n1", 1}).accepted);
    BOOST_TEST(!fixture.fold(QuotaTaken{"n2", 1, "t1", 1, 1}).accepted);
    fixture.setLogTime(1000 + QuotaQuarantineMs - 1);
    BOOST_TEST(!fixture.fold(QuotaTaken{"n2", 1, "t1", 1, 1}).accepted);
    fixture.setLogTime(1000 + QuotaQuarantineMs);
    BOOST_TEST(fixture.fold(QuotaTaken{"n2", 1, "t1", 8, 1}).accepted);
    // Records of the removed incarnation are refused.
    BOOST_TEST(!fixture.fold(QuotaReturned{"n1", 1, "t1", 1, 2}).accepted);
    BOOST_TEST(!fixture.fold(NodeJoined{"n1", 1, "127.0.0.1:1", "z"}).accepted);
    BOOST_TEST(fixture.fold(NodeJoined{"n1", 2, "127.0.0.1:1", "z"}).accepted);
}

BOOST_AUTO_TEST_CASE(quotaOfNodeThatLeftIsFreeAtOnce)
{
    FoldFixture fixture;
    fixture.prepare();
    fixture.fold(QuotaTaken{"n1", 1, "t1", 8, 1});
    BOOST_TEST(fixture.fold(NodeLeft{"n1", 1}).accepted);
    BOOST_TEST(fixture.fold(QuotaTaken{"n2", 1, "t1", 8, 1}).accepted);
}

BOOST_AUTO_TEST_CASE(snapshotRoundTripsWithChunksInAnyOrder)
{
    FoldFixture fixture;
    fixture.prepare();
    fixture.fold(KeyGranted{"k1", "t1", "salt", "hash"});
    fixture.fold(QuotaTaken{"n1", 1, "t1", 3, 1});
    RequestsClaimed claims{"n1", 1, {}};
    for (int index = 0; index < 16000; ++index) {
        claims.claims.push_back({claimKeyOf("t1", std::to_string(index)), "a1", 1});
    }
    fixture.fold(claims);
    std::vector<SnapshotChunk> chunks = toChunks(fixture.state());
    BOOST_REQUIRE(chunks.size() > 1U);
    SnapshotAssembler assembler;
    std::optional<std::string> snapshotBytes;
    for (auto chunk = chunks.rbegin(); chunk != chunks.rend(); ++chunk) {
        BOOST_TEST(!snapshotBytes.has_value());
        BOOST_TEST(!assembler.add(SnapshotChunk{}).has_value());
        snapshotBytes = assembler.add(*chunk);
        if (!snapshotBytes) {
            BOOST_TEST(!assembler.add(*chunk).has_value());
        }
    }
    BOOST_REQUIRE(snapshotBytes.has_value());
    const auto restored = deserialize(*snapshotBytes);
    BOOST_REQUIRE(restored.has_value());
    BOOST_TEST(serialize(*restored) == serialize(fixture.state()));
    BOOST_TEST(restored->parsedConfiguration->services.size() == 2U);
    BOOST_TEST(activeClaim(*restored, claimKeyOf("t1", "77")).has_value());
    BOOST_TEST(!deserialize("rubbish").has_value());
    BOOST_TEST(!deserialize(std::string_view(*snapshotBytes).substr(0, snapshotBytes->size() / 2)).has_value());
}
