#include "records/codec.h"

#include <boost/test/unit_test.hpp>

using namespace Cornelquay;

namespace {

Record sampleRecord(RecordBody body)
{
    return {newRecordId(), "nuala", "test", std::move(body)};
}

}

BOOST_AUTO_TEST_CASE(everyRecordKindRoundTrips)
{
    const ClaimKey key = claimKeyOf("brennan", "r1");
    const std::vector<RecordBody> bodies{
        ConfigurationChanged{4, "text"},
        KeyGranted{"k1", "brennan", "salt", "hash"},
        KeyWithdrawn{"k1"},
        NodeJoined{"n1", 7, "127.0.0.1:1", "a"},
        NodeLeft{"n1", 7},
        NodeRemoved{"n1", 7},
        RequestsClaimed{"n1", 7, {{key, "w1", 3}}},
        ClaimsReleased{{{key, 12}}},
        QuotaTaken{"n1", 7, "brennan", 5, 1},
        QuotaReturned{"n1", 7, "brennan", 5, 2},
        InstanceEnrolled{"w1", 3, "quotes", "127.0.0.1:2", "a", "r1", 16, 1 << 30, 0, 99},
        InstanceDismissed{"w1", 1},
        InstanceMoved{"w1", 1, "quotes", "spare"},
        OutageGranted{"w1", 1, OutagePurpose::OperatorDrain, "n1", 7, 1000},
        OutageEnded{"w1", 2, true, 2000},
        InstanceFailed{"w1", 3},
        InstanceRecovered{"w1", 4},
        MaintenancePaused{true},
        SnapshotChunk{newRecordId(), 5, 0, 1, std::string("\0x", 2)},
        WaveStarted{7},
        MaintenanceSkipped{"w1", 5},
    };
    BOOST_TEST(bodies.size() == std::variant_size_v<RecordBody>);
    for (const RecordBody &body : bodies) {
        const Record record = sampleRecord(body);
        const std::string bytes = encode(record);
        const auto decoded = decode(bytes);
        BOOST_REQUIRE_MESSAGE(decoded.has_value(), kindName(body));
        BOOST_TEST((decoded->id == record.id));
        BOOST_TEST(decoded->body.index() == body.index());
        BOOST_TEST(encode(*decoded) == bytes);
    }
}

BOOST_AUTO_TEST_CASE(newerVersionIsDistinguishedFromMalformedInput)
{
    std::string bytes = encode(sampleRecord(KeyWithdrawn{"k"}));
    bytes[1] = static_cast<char>(RecordVersion + 1);
    BOOST_TEST((decode(bytes).error() == DecodeError::NewerVersion));
    BOOST_TEST((decode("rubbish").error() == DecodeError::Malformed));
    BOOST_TEST((decode("").error() == DecodeError::Malformed));
}

BOOST_AUTO_TEST_CASE(everyTruncationAndBitFlipIsHandled)
{
    const std::string bytes = encode(sampleRecord(RequestsClaimed{"n1", 7, {{claimKeyOf("t", "r"), "w", 1}}}));
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        BOOST_TEST(!decode(std::string_view(bytes).substr(0, length)).has_value());
    }
    for (std::size_t bit = 0; bit < bytes.size() * 8; ++bit) {
        std::string corrupted = bytes;
        corrupted[bit / 8] = static_cast<char>(corrupted[bit / 8] ^ (1 << (bit % 8)));
        decode(corrupted);
    }
}

BOOST_AUTO_TEST_CASE(claimKeysSeparateTeamFromRequestId)
{
    BOOST_TEST((claimKeyOf("a", "bc") != claimKeyOf("ab", "c")));
    BOOST_TEST(toHex(claimKeyOf("a", "b")).size() == 2 * IdentifierBytes);
}
