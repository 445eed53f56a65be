#include "fleetfixture.h"

#include "fleet/snapshot.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <numeric>

using namespace Cornelquay;
using Cornelquay::Testing::Folder;
using Cornelquay::Testing::SmallText;

namespace {

constexpr const char *CheckParameters = "seed=20261204 max_success=10000 max_size=60";

const std::vector<std::string> Instances{"a1", "a2", "a3", "b1", "b2", "b3", "b4", "s1", "x1"};
const std::vector<std::string> Pools{"a", "b", "spare", "none"};
const std::vector<std::string> Nodes{"n1", "n2", "n3"};
const std::vector<std::string> Teams{"t1", "t2"};

/** Turns numbers into records: small ranges, so that conflicts are frequent. */
class RecordMaker
{
public:
    RecordMaker(std::uint32_t word, const FleetState &state)
        : m_word(word)
        , m_state(state)
    {
    }

    RecordBody make()
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
            return ClaimsReleased{{{claim(), m_state.next - std::min<Offset>(m_state.next, 1 + draw(8))}}};
        case 8:
            return LimitPartTaken{pick(Nodes), 1 + draw(2), pick(Teams), 1 + draw(6), 1 + draw(6)};
        case 9:
            return LimitPartReturned{pick(Nodes), 1 + draw(2), pick(Teams), 1 + draw(6), 1 + draw(6)};
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
        const std::uint32_t result = m_word % count;
        m_word = m_word / count * 2654435761U + 40503U;
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

    // Mostly the sequence in force, sometimes an old one.
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

    std::uint32_t m_word;
    const FleetState &m_state;
    std::string m_instance;
};

/** What was promised so far, kept apart from the fold's own state. */
struct Promises {
    std::map<std::string, std::string> poolOf;
    std::set<std::string> withdrawn;
    std::map<ClaimKey, Offset> boundAt;
};

void notePromises(Promises &promises, const RecordBody &body, const Verdict &verdict, const FleetState &state)
{
    if (const auto *moved = std::get_if<InstanceMoved>(&body); moved != nullptr && verdict.accepted) {
        RC_ASSERT(promises.poolOf.at(moved->instance) == moved->fromPool);
        promises.poolOf[moved->instance] = moved->toPool;
    }
    if (const auto *enrolled = std::get_if<InstanceEnrolled>(&body); enrolled != nullptr && verdict.accepted) {
        promises.poolOf.emplace(enrolled->instance, enrolled->pool);
    }
    if (const auto *key = std::get_if<KeyWithdrawn>(&body); key != nullptr && verdict.accepted) {
        promises.withdrawn.insert(key->keyId);
    }
    if (const auto *released = std::get_if<ClaimsReleased>(&body)) {
        for (const Release &release : released->releases) {
            const auto bound = promises.boundAt.find(release.key);
            if (bound != promises.boundAt.end() && bound->second == release.boundAt) {
                promises.boundAt.erase(bound);
            }
        }
    }
    if (const auto *claimed = std::get_if<RequestsClaimed>(&body)) {
        for (const Claim &claim : claimed->claims) {
            const std::optional<ClaimEntry> entry = claimOf(state, claim.key);
            if (entry) {
                // Once bound and not released, a request keeps its first binding.
                RC_ASSERT(promises.boundAt.emplace(claim.key, entry->boundAt).first->second == entry->boundAt);
            }
        }
    }
}

void checkPromises(const Promises &promises, const RecordBody &body, const Verdict &verdict, const FleetState &state)
{
    if (const auto *granted = std::get_if<OutageGranted>(&body); granted != nullptr && verdict.accepted) {
        const std::string &pool = state.instances.at(granted->instance).pool;
        RC_ASSERT(instancesOut(state, pool) <= poolBudget(*state.parsed, pool));
    }
    if (std::holds_alternative<LimitPartTaken>(body) && verdict.accepted) {
        for (const std::string &team : Teams) {
            RC_ASSERT(unassignedLimit(state, team) >= 0);
        }
    }
    std::map<std::string, int> counted;
    for (const auto &[name, instance] : state.instances) {
        counted[instance.pool] += isOut(instance) ? 1 : 0;
    }
    for (const std::string &pool : Pools) {
        RC_ASSERT(instancesOut(state, pool) == counted[pool]);
    }
    for (const auto &[instance, pool] : promises.poolOf) {
        RC_ASSERT(state.instances.at(instance).pool == pool);
    }
    for (const std::string &key : promises.withdrawn) {
        RC_ASSERT(state.keys.at(key).withdrawn);
    }
}

/** The state without what every record changes. */
std::string essence(FleetState state)
{
    state.next = 0;
    state.audit.clear();
    return serialize(state);
}

}

BOOST_AUTO_TEST_CASE(promisesHoldOverAnySequenceOfRecords)
{
    setenv("RC_PARAMS", CheckParameters, 1); // NOLINT(concurrency-mt-unsafe)
    const bool holds = rc::check("the fold keeps its promises", [] {
        const auto words = *rc::gen::arbitrary<std::vector<std::uint32_t>>();
        Folder folder;
        folder.prepare();
        Promises promises;
        for (const auto &[name, instance] : folder.state().instances) {
            promises.poolOf[name] = instance.pool;
        }
        std::vector<Record> past;
        for (const std::uint32_t word : words) {
            const bool replay = !past.empty() && word % 7 == 0;
            if (replay) {
                // A record that is repeated changes nothing, whenever it comes.
                const Record &old = past[word / 7 % past.size()];
                const std::string before = essence(folder.state());
                const bool wasClaim = std::holds_alternative<RequestsClaimed>(old.body);
                const Verdict verdict = folder.fold(old);
                RC_ASSERT(wasClaim || essence(folder.state()) == before);
                notePromises(promises, old.body, verdict, folder.state());
                continue;
            }
            const Record record{newRecordId(), "author", "", RecordMaker(word, folder.state()).make()};
            const Verdict verdict = folder.fold(record);
            notePromises(promises, record.body, verdict, folder.state());
            checkPromises(promises, record.body, verdict, folder.state());
            if (verdict.accepted) {
                past.push_back(record);
            }
        }
        const std::string bytes = serialize(folder.state());
        RC_ASSERT(serialize(*deserialize(bytes)) == bytes);
    });
    BOOST_TEST(holds);
}

// Three nodes and two operators propose six records that conflict; every order, and every order
// with one record repeated at any later place, as after a lost answer.
BOOST_AUTO_TEST_CASE(everyInterleavingOfSixRecordsKeepsThePromises)
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
    Folder prepared;
    prepared.prepare();
    std::vector<std::size_t> order(records.size());
    std::iota(order.begin(), order.end(), 0);
    std::size_t histories = 0;
    do {
        for (std::size_t repeated = 0; repeated < order.size(); ++repeated) {
            for (std::size_t place = repeated + 1; place <= order.size(); ++place) {
                std::vector<std::size_t> history = order;
                history.insert(history.begin() + static_cast<std::ptrdiff_t>(place), order[repeated]);
                Folder folder = prepared;
                int granted = 0;
                int configured = 0;
                std::optional<Offset> boundAt;
                for (const std::size_t index : history) {
                    const bool wasOut = instancesOut(folder.state(), "a") > 0;
                    const Verdict verdict = folder.fold(records[index]);
                    granted += index < 2 && verdict.accepted ? 1 : 0;
                    configured += index == 3 && verdict.accepted ? 1 : 0;
                    BOOST_REQUIRE(!(index < 2 && verdict.accepted && wasOut));
                    const std::optional<ClaimEntry> entry = claimOf(folder.state(), key);
                    BOOST_REQUIRE(!boundAt || entry->boundAt == *boundAt);
                    boundAt = entry ? std::optional(entry->boundAt) : boundAt;
                }
                BOOST_REQUIRE(granted <= 1);
                BOOST_REQUIRE(configured == 1);
                BOOST_REQUIRE(boundAt.has_value());
                histories += 1;
            }
        }
    } while (std::next_permutation(order.begin(), order.end()));
    BOOST_TEST(histories == 720U * 21U);
}
