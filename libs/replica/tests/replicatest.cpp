#include "replica/replica.h"
#include "fleet/snapshot.h"
#include "records/codec.h"

#include <boost/test/unit_test.hpp>

#include <future>

using namespace Cornelquay;
using namespace std::chrono_literals;

namespace {

constexpr auto Patience = 20s;

std::unique_ptr<Replica>
makeReplica(const std::shared_ptr<MemoryLog> &log, Metrics &metrics, std::uint64_t snapshotEvery = 1000000, const std::string &author = "n1")
{
    return Replica::Builder().readingFrom(log).appendingTo(log).author(author).snapshotEvery(snapshotEvery).metrics(metrics).build();
}

Verdict verdictOf(const ProposalOutcome &outcome)
{
    BOOST_REQUIRE(std::holds_alternative<ProposalFolded>(outcome));
    return std::get<ProposalFolded>(outcome).verdict;
}

void appendJoin(MemoryLog &log, std::uint64_t incarnation)
{
    log.append(encode({newRecordId(), "x", "", NodeJoined{"x", incarnation, "127.0.0.1:1", "z"}}), steadyNow());
}

std::uint64_t incarnationOfX(const Replica &replica)
{
    std::uint64_t incarnation = 0;
    replica.query([&](const FleetState &state) {
        const auto member = state.members.find("x");
        incarnation = member == state.members.end() ? 0 : member->second.incarnation;
    });
    return incarnation;
}

}

BOOST_AUTO_TEST_CASE(aLostAnswerAppliesTheRecordOnce)
{
    Metrics metrics;
    const auto log = std::make_shared<MemoryLog>(1000);
    const auto replica = makeReplica(log, metrics);
    replica->start();
    BOOST_REQUIRE(replica->waitUntilReady(steadyNow() + Patience));
    log->setFaults({false, true});
    const auto outcome = replica->propose(NodeJoined{"x", 1, "127.0.0.1:1", "z"}, "n1", "", steadyNow() + Patience);
    BOOST_TEST(verdictOf(outcome).accepted);
    BOOST_TEST(incarnationOfX(*replica) == 1U);
}

BOOST_AUTO_TEST_CASE(aLogThatIsDownChangesNothingAndSaysSo)
{
    Metrics metrics;
    const auto log = std::make_shared<MemoryLog>(1000);
    const auto replica = makeReplica(log, metrics);
    replica->start();
    BOOST_REQUIRE(replica->waitUntilReady(steadyNow() + Patience));
    log->setFaults({true, false});
    const auto outcome = replica->propose(NodeJoined{"x", 1, "127.0.0.1:1", "z"}, "n1", "", steadyNow() + 100ms);
    BOOST_TEST(std::holds_alternative<ProposalNotDone>(outcome));
    log->setFaults({});
    BOOST_TEST(verdictOf(replica->propose(NodeJoined{"x", 2, "127.0.0.1:1", "z"}, "n1", "", steadyNow() + Patience)).accepted);
}

BOOST_AUTO_TEST_CASE(twoProposersOfOneThingAgreeOnTheWinner)
{
    Metrics metrics;
    const auto log = std::make_shared<MemoryLog>(1000);
    const auto first = makeReplica(log, metrics);
    const auto second = makeReplica(log, metrics, 1000000, "n2");
    first->start();
    second->start();
    const auto propose = [](Replica &replica) {
        return verdictOf(replica.propose(NodeJoined{"x", 7, "127.0.0.1:1", "z"}, "n", "", steadyNow() + Patience)).accepted;
    };
    auto other = std::async(std::launch::async, [&] {
        return propose(*second);
    });
    const bool mine = propose(*first);
    BOOST_TEST(mine != other.get());
}

BOOST_AUTO_TEST_CASE(aFreshNodeStartsFromTheSnapshotWhenTheHeadIsGone)
{
    Metrics metrics;
    const auto log = std::make_shared<MemoryLog>(100000);
    const auto writer = makeReplica(log, metrics, 50);
    writer->start();
    Counter written = metrics.counter("snapshots_written_total", "Snapshots written to the log");
    std::uint64_t incarnation = 0;
    const SteadyTime patienceEnd = steadyNow() + Patience;
    while (written.value() < 1 && steadyNow() < patienceEnd) {
        appendJoin(*log, ++incarnation);
    }
    BOOST_REQUIRE(written.value() >= 1);
    writer->stop();
    const Offset kept = writer->next();
    log->expire(40);
    const auto fresh = makeReplica(log, metrics);
    fresh->start();
    BOOST_REQUIRE(fresh->waitUntilReady(steadyNow() + Patience));
    BOOST_TEST(fresh->next() >= kept);
    BOOST_TEST(incarnationOfX(*fresh) == incarnation);
}

BOOST_AUTO_TEST_CASE(aHalfWrittenSnapshotIsNotUsed)
{
    Metrics metrics;
    const auto log = std::make_shared<MemoryLog>(100000);
    FleetState state;
    for (Offset offset = 0; offset < 5; ++offset) {
        appendJoin(*log, offset + 1);
        fold(state, {offset, 1, {newRecordId(), "x", "", NodeJoined{"x", offset + 1, "127.0.0.1:1", "z"}}});
    }
    std::vector<SnapshotChunk> whole = toChunks(state);
    for (const SnapshotChunk &chunk : whole) {
        log->append(encode({newRecordId(), "n", "", chunk}), steadyNow());
    }
    SnapshotChunk half = whole.front();
    half.snapshotId = newRecordId();
    half.count = 2;
    half.through = 99;
    log->append(encode({newRecordId(), "n", "", half}), steadyNow());
    appendJoin(*log, 60);
    log->expire(3);
    const auto fresh = makeReplica(log, metrics);
    fresh->start();
    BOOST_REQUIRE(fresh->waitUntilReady(steadyNow() + Patience));
    BOOST_TEST(incarnationOfX(*fresh) == 60U);
}

BOOST_AUTO_TEST_CASE(withoutASnapshotAnExpiredHeadIsNeverGuessed)
{
    Metrics metrics;
    const auto log = std::make_shared<MemoryLog>(100000);
    for (std::uint64_t incarnation = 1; incarnation <= 10; ++incarnation) {
        appendJoin(*log, incarnation);
    }
    log->expire(5);
    const auto replica = makeReplica(log, metrics);
    replica->start();
    const SteadyTime patienceEnd = steadyNow() + Patience;
    while (replica->condition() != ReplicaCondition::Lost && steadyNow() < patienceEnd) {
        std::this_thread::yield();
    }
    BOOST_TEST((replica->condition() == ReplicaCondition::Lost));
    BOOST_TEST(replica->next() == 0U);
}

BOOST_AUTO_TEST_CASE(aRunningNodeThatMissedExpiredRecordsRecovers)
{
    Metrics metrics;
    const auto log = std::make_shared<MemoryLog>(100000);
    appendJoin(*log, 1);
    const auto replica = makeReplica(log, metrics);
    replica->start();
    BOOST_REQUIRE(replica->waitUntilReady(steadyNow() + Patience));
    log->setFaults({true, false});
    FleetState state;
    fold(state, {0, 1, {newRecordId(), "x", "", NodeJoined{"x", 1, "127.0.0.1:1", "z"}}});
    // While the node is cut off, records come and go, and another node writes a snapshot.
    log->setFaults({});
    for (std::uint64_t incarnation = 2; incarnation <= 20; ++incarnation) {
        appendJoin(*log, incarnation);
        fold(state, {incarnation - 1, 1, {newRecordId(), "x", "", NodeJoined{"x", incarnation, "127.0.0.1:1", "z"}}});
    }
    for (const SnapshotChunk &chunk : toChunks(state)) {
        log->append(encode({newRecordId(), "n", "", chunk}), steadyNow());
    }
    log->expire(15);
    const SteadyTime patienceEnd = steadyNow() + Patience;
    while (incarnationOfX(*replica) != 20 && steadyNow() < patienceEnd) {
        std::this_thread::yield();
    }
    BOOST_TEST(incarnationOfX(*replica) == 20U);
}

BOOST_AUTO_TEST_CASE(aNewerRecordVersionHaltsTheNode)
{
    Metrics metrics;
    const auto log = std::make_shared<MemoryLog>(1000);
    std::string newer = encode({newRecordId(), "x", "", KeyWithdrawn{"k"}});
    newer[1] = static_cast<char>(RecordVersion + 1);
    log->append("rubbish", steadyNow());
    log->append(newer, steadyNow());
    appendJoin(*log, 1);
    const auto replica = makeReplica(log, metrics);
    replica->start();
    const SteadyTime patienceEnd = steadyNow() + Patience;
    while (replica->condition() != ReplicaCondition::Halted && steadyNow() < patienceEnd) {
        std::this_thread::yield();
    }
    BOOST_TEST((replica->condition() == ReplicaCondition::Halted));
    BOOST_TEST(replica->next() == 1U);
}

BOOST_AUTO_TEST_CASE(relayedEntriesKeepANodeCurrentWithoutTheLog)
{
    Metrics metrics;
    const auto log = std::make_shared<MemoryLog>(1000);
    const auto lonely = std::make_shared<MemoryLog>(1000);
    const auto reader = makeReplica(log, metrics);
    const auto cutOff = makeReplica(lonely, metrics);
    reader->start();
    cutOff->start();
    BOOST_REQUIRE(reader->waitUntilReady(steadyNow() + Patience));
    BOOST_REQUIRE(cutOff->waitUntilReady(steadyNow() + Patience));
    lonely->setFaults({true, false});
    verdictOf(reader->propose(NodeJoined{"x", 3, "127.0.0.1:1", "z"}, "n1", "", steadyNow() + Patience));
    const SteadyTime confirmed = steadyNow();
    const std::vector<LogEntry> entries = reader->recentEntries(cutOff->next(), 1 << 20);
    cutOff->relay(entries, reader->next(), confirmed);
    BOOST_TEST(incarnationOfX(*cutOff) == 3U);
    BOOST_TEST((cutOff->confirmedAt() == confirmed));
    // The same entries again, or ones that leave a gap, change nothing.
    cutOff->relay(entries, reader->next(), confirmed);
    cutOff->relay({{10, 1, entries.back().bytes}}, 11, confirmed + 1s);
    BOOST_TEST(cutOff->next() == reader->next());
    BOOST_TEST((cutOff->confirmedAt() == confirmed));
}
