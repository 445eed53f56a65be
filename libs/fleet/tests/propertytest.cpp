#include "fleetfixture.h"

#include "fleet/snapshot.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <numeric>

using namespace Cornelquay;
using Cornelquay::Testing::FoldFixture;
using Cornelquay::Testing::SmallText;

namespace {

constexpr const char *CheckParameters = "seed=20261204 max_success=10000 max_size=60";

const std::vector<std::string> Instances{"a1", "a2", "a3", "b1", "b2", "b3", "b4", "s1", "x1"};
const std::vector<std::string> Pools{"a", "b", "spare", "none"};
const std::vector<std::string> Nodes{"n1", "n2", "n3"};
const std::vector<std::string> Teams{"t1", "t2"};

/** Derives a record from a number. Names, versions and sequences come from small ranges, so that conflicts are frequent. */
class RecordMaker
{
public:
    RecordMaker(std::uint32_t seed, const FleetState &state)
        : m_seed(seed)
        , m_state(state)
    {
    }

    RecordBody makeBody()
    {
        switch (draw(16)) {
        case 0:
            return ConfigurationChanged{draw(3), draw(2) == 0 ? SmallText : "broken"};
        case 1:
            return KeyGranted{key(), pick(Teams), "salt", "hash"};
        case 2:
            return KeyWithdrawn{key()};
        case 3:
            return NodeJoined{pick(Nodes), draw(4), "127.0.0.1:1", "z"};
        case 4:
            return draw(2) == 0 ? RecordBody(NodeLeft{pick(Nodes), draw(3)}) : RecordBody(NodeRemoved{pick(Nodes), draw(3)});
        case 5:
        case 6:
            return RequestsClaimed{pick(Nodes), 1 + draw(2), {{claim(), pick(Instances), 1}, {claim(), pick(Instances), 1}}};
        case 7:
            return ClaimsReleased{{{claim(), m_state.nextOffset - std::min<Offset>(m_state.nextOffset, 1 + draw(8))}}};
        case 8:
            return QuotaTaken{pick(Nodes), 1 + draw(2), pick(Teams), 1 + draw(6), 1 + draw(6)};
        case 9:
            return QuotaReturned{pick(Nodes), 1 + draw(2), pick(Teams), 1 + draw(6), 1 + draw(6)};
        case 10:
            return InstanceEnrolled{pick(Instances), 1 + draw(3), pick(Pools), "127.0.0.1:1", "z", "r", 1, 1, 0, 0};
        case 11:
            return InstanceMoved{instance(), sequence(), pick(Pools), pick(Pools)};
        case 12:
        case 13:
            return OutageGranted{instance(), sequence(), OutagePurpose::Maintenance, pick(Nodes), 1 + draw(2), 1};
        case 14:
            return OutageEnded{instance(), sequence(), true, 1};
        default:
            return draw(2) == 0 ? RecordBody(InstanceFailed{instance(), sequence()}) : RecordBody(InstanceRecovered{instance(), sequence()});
        }
    }

private:
    std::uint32_t draw(std::uint32_t count)
    {
        const std::uint32_t result = m_seed % count;
        m_seed = m_seed / count * 2654435761U + 40503U;
        return result;
    }

    const std::string &pick(const std::vector<std::string> &names)
    {
        return names[draw(static_cast<std::uint32_t>(names.size()))];
    }

    const std::string &instance()
    {
        m_instance = pick(Instances);
        return m_instance;
    }

    // The current sequence in three of four cases, else the one before.
    std::uint64_t sequence()
    {
        const auto found = m_state.instances.find(m_instance);
        const std::uint64_t current = found == m_state.instances.end() ? 1 : found->second.sequence;
        return draw(4) == 0 ? current - 1 : current;
    }

    std::string key()
    {
        return "k" + std::to_string(draw(3));
    }

    ClaimKey claim()
    {
        return claimKeyOf("t1", std::to_string(draw(4)));
    }

    std::uint32_t m_seed;
    const FleetState &m_state;
    std::string m_instance;
};

/**
 * Facts that must hold after the records folded so far, derived from the records and their verdicts.
 * Only the offset of a first binding is read from the state.
 */
struct ExpectedState {
    std::map<std::string, std::string> poolOf;
    std::set<std::string> withdrawn;
    std::map<ClaimKey, Offset> bindingOffset;
};

void updateExpectedState(ExpectedState &expected, const RecordBody &body, const Verdict &verdict, const FleetState &state)
{
    if (const auto *moved = std::get_if<InstanceMoved>(&body); moved != nullptr && verdict.accepted) {
        RC_ASSERT(expected.poolOf.at(moved->instance) == moved->fromPool);
        expected.poolOf[moved->instance] = moved->toPool;
    }
    if (const auto *enrolled = std::get_if<InstanceEnrolled>(&body); enrolled != nullptr && verdict.accepted) {
        expected.poolOf.emplace(enrolled->instance, enrolled->pool);
    }
    if (const auto *key = std::get_if<KeyWithdrawn>(&body); key != nullptr && verdict.accepted) {
        expected.withdrawn.insert(key->keyId);
    }
    if (const auto *released = std::get_if<ClaimsReleased>(&body)) {
        for (const Release &release : released->releases) {
            const auto bound = expected.bindingOffset.find(release.key);
            if (bound != expected.bindingOffset.end() && bound->second == release.bindingOffset) {
                expected.bindingOffset.erase(bound);
            }
        }
    }
    if (const auto *claimed = std::get_if<RequestsClaimed>(&body)) {
        for (const Claim &claim : claimed->claims) {
            const std::optional<ClaimEntry> entry = activeClaim(state, claim.key);
            if (entry) {
                // A request keeps its first binding until that is released.
                RC_ASSERT(expected.bindingOffset.emplace(claim.key, entry->bindingOffset).first->second == entry->bindingOffset);
            }
        }
    }
}

void checkInvariants(const ExpectedState &expected, const RecordBody &body, const Verdict &verdict, const FleetState &state)
{
    if (const auto *granted = std::get_if<OutageGranted>(&body); granted != nullptr && verdict.accepted) {
        const std::string &pool = state.instances.at(granted->instance).pool;
        RC_ASSERT(outOfServiceCount(state, pool) <= poolBudget(*state.parsedConfiguration, pool));
    }
    if (std::holds_alternative<QuotaTaken>(body) && verdict.accepted) {
        for (const std::string &team : Teams) {
            RC_ASSERT(unassignedQuota(state, team) >= 0);
        }
    }
    std::map<std::string, int> counted;
    for (const auto &[name, instance] : state.instances) {
        counted[instance.pool] += isOutOfService(instance) ? 1 : 0;
    }
    for (const std::string &pool : Pools) {
        RC_ASSERT(outOfServiceCount(state, pool) == counted[pool]);
    }
    for (const auto &[instance, pool] : expected.poolOf) {
        RC_ASSERT(state.instances.at(instance).pool == pool);
    }
    for (const std::string &key : expected.withdrawn) {
        RC_ASSERT(state.keys.at(key).withdrawn);
    }
}

/** Serializes the state without the next offset and the audit trail, which refused records change too. */
std::string serializeWithoutAudit(FleetState state)
{
    state.nextOffset = 0;
    state.audit.clear();
    return serialize(state);
}

}

BOOST_AUTO_TEST_CASE(invariantsHoldForAnyRecordSequence)
{
    setenv("RC_PARAMS", CheckParameters, 1); // NOLINT(concurrency-mt-unsafe)
    const bool holds = rc::check("the fold keeps its invariants", [] {
        const auto seeds = *rc::gen::arbitrary<std::vector<std::uint32_t>>();
        FoldFixture fixture;
        fixture.prepare();
        ExpectedState expected;
        for (const auto &[name, instance] : fixture.state().instances) {
            expected.poolOf[name] = instance.pool;
        }
        std::vector<Record> acceptedRecords;
        for (const std::uint32_t seed : seeds) {
            const bool replay = !acceptedRecords.empty() && seed % 7 == 0;
            if (replay) {
                // A repeated record must not change the state, at whatever point it comes. Only a claim may bind again after its release.
                const Record &previous = acceptedRecords[seed / 7 % acceptedRecords.size()];
                const std::string before = serializeWithoutAudit(fixture.state());
                const bool wasClaim = std::holds_alternative<RequestsClaimed>(previous.body);
                const Verdict verdict = fixture.fold(previous);
                RC_ASSERT(wasClaim || serializeWithoutAudit(fixture.state()) == before);
                updateExpectedState(expected, previous.body, verdict, fixture.state());
                continue;
            }
            const Record record{newRecordId(), "author", "", RecordMaker(seed, fixture.state()).makeBody()};
            const Verdict verdict = fixture.fold(record);
            updateExpectedState(expected, record.body, verdict, fixture.state());
            checkInvariants(expected, record.body, verdict, fixture.state());
            if (verdict.accepted) {
                acceptedRecords.push_back(record);
            }
        }
        const std::string bytes = serialize(fixture.state());
        RC_ASSERT(serialize(*deserialize(bytes)) == bytes);
    });
    BOOST_TEST(holds);
}

// Six conflicting records are folded in every order, with each of them repeated at each later
// position, as happens when the answer to an append is lost and the record is sent again.
BOOST_AUTO_TEST_CASE(invariantsHoldForEveryInterleavingOfSixRecords)
{
    const ClaimKey key = claimKeyOf("t1", "r");
    const std::vector<RecordBody> proposals{
        OutageGranted{"a1", 1, OutagePurpose::Maintenance, "n1", 1, 1},
        OutageGranted{"a2", 1, OutagePurpose::Maintenance, "n2", 1, 1},
        InstanceFailed{"a3", 1},
        ConfigurationChanged{1, SmallText},
        RequestsClaimed{"n1", 1, {{key, "a1", 1}}},
        RequestsClaimed{"n2", 1, {{key, "a2", 1}}},
    };
    std::vector<Record> records;
    for (const RecordBody &body : proposals) {
        records.push_back({newRecordId(), "author", "", body});
    }
    FoldFixture prepared;
    prepared.prepare();
    std::vector<std::size_t> order(records.size());
    std::iota(order.begin(), order.end(), 0);
    std::size_t histories = 0;
    do {
        for (std::size_t repeated = 0; repeated < order.size(); ++repeated) {
            for (std::size_t place = repeated + 1; place <= order.size(); ++place) {
                std::vector<std::size_t> history = order;
                history.insert(history.begin() + static_cast<std::ptrdiff_t>(place), order[repeated]);
                FoldFixture fixture = prepared;
                int granted = 0;
                int configured = 0;
                std::optional<Offset> bindingOffset;
                for (const std::size_t index : history) {
                    const bool wasOut = outOfServiceCount(fixture.state(), "a") > 0;
                    const Verdict verdict = fixture.fold(records[index]);
                    granted += index < 2 && verdict.accepted ? 1 : 0;
                    configured += index == 3 && verdict.accepted ? 1 : 0;
                    BOOST_REQUIRE(!(index < 2 && verdict.accepted && wasOut));
                    const std::optional<ClaimEntry> entry = activeClaim(fixture.state(), key);
                    BOOST_REQUIRE(!bindingOffset || entry->bindingOffset == *bindingOffset);
                    bindingOffset = entry ? std::optional(entry->bindingOffset) : bindingOffset;
                }
                BOOST_REQUIRE(granted <= 1);
                BOOST_REQUIRE(configured == 1);
                BOOST_REQUIRE(bindingOffset.has_value());
                histories += 1;
            }
        }
    } while (std::next_permutation(order.begin(), order.end()));
    BOOST_TEST(histories == 720U * 21U);
}
