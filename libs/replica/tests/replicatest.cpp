#include "replica/replica.h"
#include "fleet/snapshot.h"
#include "records/codec.h"

#include <boost/test/unit_test.hpp>

#include <future>

using namespace Cornelquay;
using namespace std::chrono_literals;

namespace {

constexpr auto TestTimeout = 20s;

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

BOOST_AUTO_TEST_CASE(lostAppendAnswerAppliesRecordOnce)
{
    Metrics metrics;
    const auto log = std::make_shared<MemoryLog>(1000);
    const auto replica = makeReplica(log, metrics);
    replica->start();
    BOOST_REQUIRE(replica->waitUntilReady(steadyNow() + TestTimeout));
    log->setFaults({false, true});
    const auto outcome = replica->propose(NodeJoined{"x", 1, "127.0.0.1:1", "z"}, "n1", "", steadyNow() + TestTimeout);
    BOOST_TEST(verdictOf(outcome).accepted);
    BOOST_TEST(incarnationOfX(*replica) == 1U);
}

BOOST_AUTO_TEST_CASE(unavailableLogReportsProposalNotDone)
{
    Metrics metrics;
    const auto log = std::make_shared<MemoryLog>(1000);
    const auto replica = makeReplica(log, metrics);
    replica->start();
    BOOST_REQUIRE(replica->waitUntilReady(steadyNow() + TestTimeout));
    log->setFaults({true, false});
    const auto outcome = replica->propose(NodeJoined{"x", 1, "127.0.0.1:1", "z"}, "n1", "", steadyNow() + 100ms);
    BOOST_TEST(std::holds_alternative<ProposalNotDone>(outcome));
    log->setFaults({});
    BOOST_TEST(verdictOf(replica->propose(NodeJoined{"x", 2, "127.0.0.1:1", "z"}, "n1", "", steadyNow() + TestTimeout)).accepted);
}

BOOST_AUTO_TEST_CASE(concurrentProposalsOfSameIncarnationHaveOneWinner)
{
    Metrics metrics;
    const auto log = std::make_shared<MemoryLog>(1000);
    const auto first = makeReplica(log, metrics);
    const auto second = makeReplica(log, metrics, 1000000, "n2");
    first->start();
    second->start();
    const auto propose = [](Replica &replica) {
        return verdictOf(replica.propose(NodeJoined{"x", 7, "127.0.0.1:1", "z"}, "n", "", steadyNow() + TestTimeout)).accepted;
    };
    auto secondAccepted = std::async(std::launch::async, [&] {
        return propose(*second);
    });
    const bool firstAccepted = propose(*first);
    BOOST_TEST(firstAccepted != secondAccepted.get());
}

BOOST_AUTO_TEST_CASE(newReplicaRecoversFromSnapshotAfterLogHeadExpired)
{
    Metrics metrics;
    const auto log = std::make_shared<MemoryLog>(100000);
    const auto writer = makeReplica(log, metrics, 50);
    writer->start();
    Counter snapshotsWritten = metrics.counter("snapshots_written_total", "Snapshots written to the log");
    std::uint64_t incarnation = 0;
    const SteadyTime deadline = steadyNow() + TestTimeout;
    while (snapshotsWritten.value() < 1 && steadyNow() < deadline) {
        appendJoin(*log, ++incarnation);
    }
    BOOST_REQUIRE(snapshotsWritten.value() >= 1);
    writer->stop();
    const Offset writtenUntil = writer->nextOffset();
    log->expire(40);
    const auto newReplica = makeReplica(log, metrics);
    newReplica->start();
    BOOST_REQUIRE(newReplica->waitUntilReady(steadyNow() + TestTimeout));
    BOOST_TEST(newReplica->nextOffset() >= writtenUntil);
    BOOST_TEST(incarnationOfX(*newReplica) == incarnation);
}

BOOST_AUTO_TEST_CASE(incompleteSnapshotIsIgnored)
{
    Metrics metrics;
    const auto log = std::make_shared<MemoryLog>(100000);
    FleetState state;
    for (Offset offset = 0; offset < 5; ++offset) {
        appendJoin(*log, offset + 1);
        fold(state, {offset, 1, {newRecordId(), "x", "", NodeJoined{"x", offset + 1, "127.0.0.1:1", "z"}}});
    }
    std::vector<SnapshotChunk> chunks = toChunks(state);
    for (const SnapshotChunk &chunk : chunks) {
        log->append(encode({newRecordId(), "n", "", chunk}), steadyNow());
    }
    SnapshotChunk incomplete = chunks.front();
    incomplete.snapshotId = newRecordId();
    incomplete.count = 2;
    incomplete.endOffset = 99;
    log->append(encode({newRecordId(), "n", "", incomplete}), steadyNow());
    appendJoin(*log, 60);
    log->expire(3);
    const auto newReplica = makeReplica(log, metrics);
    newReplica->start();
    BOOST_REQUIRE(newReplica->waitUntilReady(steadyNow() + TestTimeout));
    BOOST_TEST(incarnationOfX(*newReplica) == 60U);
}

BOOST_AUTO_TEST_CASE(expiredLogHeadWithoutSnapshotIsReported)
{
    Metrics metrics;
    const auto log = std::make_shared<MemoryLog>(100000);
    for (std::uint64_t incarnation = 1; incarnation <= 10; ++incarnation) {
        appendJoin(*log, incarnation);
    }
    log->expire(5);
    const auto replica = makeReplica(log, metrics);
    replica->start();
    const SteadyTime deadline = steadyNow() + TestTimeout;
    while (replica->condition() != ReplicaCondition::RecordsLost && steadyNow() < deadline) {
        std::this_thread::yield();
    }
    BOOST_TEST((replica->condition() == ReplicaCondition::RecordsLost));
    BOOST_TEST(replica->nextOffset() == 0U);
}

BOOST_AUTO_TEST_CASE(runningReplicaRecoversAfterUnreadRecordsExpired)
{
    Metrics metrics;
    const auto log = std::make_shared<MemoryLog>(100000);
    appendJoin(*log, 1);
    const auto replica = makeReplica(log, metrics);
    replica->start();
    BOOST_REQUIRE(replica->waitUntilReady(steadyNow() + TestTimeout));
    log->setFaults({true, false});
    FleetState state;
    fold(state, {0, 1, {newRecordId(), "x", "", NodeJoined{"x", 1, "127.0.0.1:1", "z"}}});
    // Records are appended, and those covered by a snapshot that another node wrote may expire before the replica reads them.
    log->setFaults({});
    for (std::uint64_t incarnation = 2; incarnation <= 20; ++incarnation) {
        appendJoin(*log, incarnation);
        fold(state, {incarnation - 1, 1, {newRecordId(), "x", "", NodeJoined{"x", incarnation, "127.0.0.1:1", "z"}}});
    }
    for (const SnapshotChunk &chunk : toChunks(state)) {
        log->append(encode({newRecordId(), "n", "", chunk}), steadyNow());
    }
    log->expire(15);
    const SteadyTime deadline = steadyNow() + TestTimeout;
    while (incarnationOfX(*replica) != 20 && steadyNow() < deadline) {
        std::this_thread::yield();
    }
    BOOST_TEST(incarnationOfX(*replica) == 20U);
}

BOOST_AUTO_TEST_CASE(newerRecordVersionHaltsReplica)
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
    const SteadyTime deadline = steadyNow() + TestTimeout;
    while (replica->condition() != ReplicaCondition::Halted && steadyNow() < deadline) {
        std::this_thread::yield();
    }
    BOOST_TEST((replica->condition() == ReplicaCondition::Halted));
    BOOST_TEST(replica->nextOffset() == 1U);
}

BOOST_AUTO_TEST_CASE(forwardedEntriesUpdateReplicaWithoutLog)
{
    Metrics metrics;
    const auto log = std::make_shared<MemoryLog>(1000);
    const auto isolatedLog = std::make_shared<MemoryLog>(1000);
    const auto reader = makeReplica(log, metrics);
    const auto isolated = makeReplica(isolatedLog, metrics);
    reader->start();
    isolated->start();
    BOOST_REQUIRE(reader->waitUntilReady(steadyNow() + TestTimeout));
    BOOST_REQUIRE(isolated->waitUntilReady(steadyNow() + TestTimeout));
    isolatedLog->setFaults({true, false});
    verdictOf(reader->propose(NodeJoined{"x", 3, "127.0.0.1:1", "z"}, "n1", "", steadyNow() + TestTimeout));
    const SteadyTime confirmed = steadyNow();
    const std::vector<LogEntry> entries = reader->recentEntries(isolated->nextOffset(), 1 << 20);
    isolated->applyForwarded(entries, reader->nextOffset(), confirmed);
    BOOST_TEST(incarnationOfX(*isolated) == 3U);
    BOOST_TEST((isolated->confirmedAt() == confirmed));
    // Repeated entries and entries after a gap are ignored.
    isolated->applyForwarded(entries, reader->nextOffset(), confirmed);
    isolated->applyForwarded({{10, 1, entries.back().bytes}}, 11, confirmed + 1s);
    BOOST_TEST(isolated->nextOffset() == reader->nextOffset());
    BOOST_TEST((isolated->confirmedAt() == confirmed));
}
