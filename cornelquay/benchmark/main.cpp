#include "capacity/wave.h"
#include "details/peermessages.h"
#include "fleet/snapshot.h"
#include "measurement.h"
#include "records/codec.h"
#include "replica/replica.h"
#include "synthetic.h"

#include <charconv>
#include <cmath>
#include <iostream>
#include <map>

using namespace Cornelquay;
using namespace Cornelquay::Benchmark;

namespace {

using namespace std::chrono_literals;

constexpr double FoldTargetMicroseconds = 20;
constexpr double DecideTargetMilliseconds = 100;
constexpr double MemoryTargetMiB = 128;
constexpr double MicrosecondsPerSecond = 1e6;
constexpr double BytesPerMiB = 1048576;
/** Time of the first records, in Unix milliseconds. */
constexpr std::int64_t StartTime = 1000000;

FleetSize scaledDesignSize(double factor)
{
    FleetSize size = DesignSize;
    size.instances = static_cast<int>(size.instances * factor);
    size.teams = std::max(1, static_cast<int>(size.teams * factor));
    size.pools = std::max(3, static_cast<int>(size.pools * factor));
    return size;
}

/** Mean processor time in microseconds of decoding and folding one record, by kind of record. */
std::map<std::string, double> foldCosts(FleetState &state)
{
    constexpr int Rounds = 2000;
    std::map<std::string, double> costs;
    const auto measureKind = [&](const std::string &kind, const std::function<RecordBody(int)> &body) {
        std::vector<std::string> encoded;
        encoded.reserve(Rounds);
        for (int round = 0; round < Rounds; ++round) {
            encoded.push_back(encode({newRecordId(), "bench", "bench", body(round)}));
        }
        const double seconds = cpuSeconds([&] {
            for (const std::string &bytes : encoded) {
                fold(state, {state.nextOffset, StartTime, std::move(*decode(bytes))});
            }
        });
        costs[kind] = seconds / Rounds * MicrosecondsPerSecond;
    };
    measureKind("claim", [](int round) {
        return RequestsClaimed{"node-0", 1, {{claimKeyOf("team-0", "bench" + std::to_string(round)), "pool-0-1", 1}}};
    });
    measureKind("key", [](int round) {
        return KeyGranted{"bench" + std::to_string(round), "team-0", "salt", "hash"};
    });
    measureKind("limit", [](int round) {
        return QuotaTaken{"node-0", 1, "team-0", 1, static_cast<std::uint64_t>(round) + 1};
    });
    measureKind("failure and recovery", [&](int round) {
        const std::uint64_t sequence = static_cast<std::uint64_t>(round) + state.instances.at("pool-1-0").sequence;
        return round % 2 == 0 ? RecordBody(InstanceFailed{"pool-1-0", sequence}) : RecordBody(InstanceRecovered{"pool-1-0", sequence});
    });
    measureKind("outage", [&](int round) {
        const std::uint64_t sequence = static_cast<std::uint64_t>(round) + state.instances.at("pool-2-0").sequence;
        return round % 2 == 0 ? RecordBody(OutageGranted{"pool-2-0", sequence, OutagePurpose::Maintenance, "node-0", 1, 1})
                              : RecordBody(OutageEnded{"pool-2-0", sequence, false, 1});
    });
    return costs;
}

void benchFold(std::uint64_t seed)
{
    std::map<std::string, std::vector<Point>> points;
    for (const double factor : {0.125, 0.25, 0.5, 1.0}) {
        FleetState state = makeFleet(scaledDesignSize(factor));
        for (const auto &[kind, cost] : foldCosts(state)) {
            points[kind].push_back({static_cast<double>(scaledDesignSize(factor).instances), cost});
        }
    }
    for (const auto &[kind, measured] : points) {
        printMeasurement({"fold of one record at design size, " + kind, measured.back().cost, "us", FoldTargetMicroseconds, "at most", measured.front().cost},
                         seed);
    }
}

/** Cost of recovering the state from the log: time until ready, and bytes of the snapshot read. */
struct RecoveryCost {
    double milliseconds = 0;
    double snapshotBytes = 0;
};

RecoveryCost measureRecovery(const FleetSize &size)
{
    const FleetState state = makeFleet(size);
    const auto log = std::make_shared<MemoryLog>(1000000);
    for (Offset offset = 0; offset < state.nextOffset; ++offset) {
        log->append("x", steadyNow());
    }
    RecoveryCost cost;
    for (const SnapshotChunk &chunk : toChunks(state)) {
        const std::string bytes = encode({newRecordId(), "n", "", chunk});
        cost.snapshotBytes += static_cast<double>(bytes.size());
        log->append(bytes, steadyNow());
    }
    log->expire(state.nextOffset);
    Metrics metrics;
    const auto replica = Replica::Builder().readingFrom(log).appendingTo(log).writingSnapshots(false).metrics(metrics).build();
    const SteadyTime begun = steadyNow();
    replica->start();
    replica->waitUntilReady(begun + 60s);
    cost.milliseconds = std::chrono::duration<double, std::milli>(steadyNow() - begun).count();
    return cost;
}

void benchRecovery(std::uint64_t seed)
{
    for (const std::size_t claims : {0U, 10000U, 100000U, 400000U}) {
        FleetSize size = DesignSize;
        size.claims = claims;
        const RecoveryCost cost = measureRecovery(size);
        const std::string label = ", " + std::to_string(claims) + " claims";
        printMeasurement({"time to ready from the log at design size" + label, cost.milliseconds, "ms", std::nullopt, "at most", std::nullopt}, seed);
        printMeasurement({"bytes read" + label, cost.snapshotBytes, "bytes", std::nullopt, "at most", std::nullopt}, seed);
    }
}

constexpr double OutageMinutes = 10;

/** Minutes of a virtual clock to maintain every instance once, each outage taking OutageMinutes; -1 if the wave stalls. */
double rolloutMinutes(FleetState state, const WavePolicy &policy)
{
    std::int64_t now = StartTime + 1;
    foldNext(state, WaveStarted{0}, now);
    double minutes = 0;
    while (waveProgress(state).remaining + waveProgress(state).outOfService > 0) {
        const std::vector<WaveDecision> decisions = decideWave(state, policy);
        if (decisions.empty()) {
            return -1;
        }
        for (const WaveDecision &decision : decisions) {
            foldNext(state, OutageGranted{decision.instance, decision.sequence, OutagePurpose::Maintenance, "node-0", 1, 1}, now);
        }
        minutes += OutageMinutes;
        now += 1;
        for (const WaveDecision &decision : decisions) {
            foldNext(state, OutageEnded{decision.instance, decision.sequence + 1, true, now}, now);
        }
    }
    return minutes;
}

/** Lower bound for rolloutMinutes(): the pool that needs the most rounds of outages within its budget. */
double minRolloutMinutes(const FleetState &state)
{
    std::map<std::string, int> sizes;
    for (const auto &[name, instance] : state.instances) {
        sizes[instance.pool] += 1;
    }
    double rounds = 0;
    for (const auto &[pool, count] : sizes) {
        if (pool != "spare") {
            rounds = std::max(rounds, std::ceil(static_cast<double>(count) / poolBudget(*state.parsedConfiguration, pool)));
        }
    }
    return rounds * OutageMinutes;
}

void benchRollout(std::uint64_t seed)
{
    const std::map<std::string, FleetSize> sizes{{"50 instances", {50, 6, 6, 9, 0}}, {"design size", DesignSize}};
    for (const auto &[label, size] : sizes) {
        const FleetState state = makeFleet(size);
        const double minMinutes = minRolloutMinutes(state);
        const double baseline = rolloutMinutes(state, OneAtATimeWaves{});
        printMeasurement(
            {"roll-out, dependencies kept apart, " + label, rolloutMinutes(state, DependencyAwareWaves{}), "min", minMinutes * 1.1, "at most", baseline}, seed);
        printMeasurement({"roll-out, budgets only, " + label, rolloutMinutes(state, BudgetOnlyWaves{}), "min", minMinutes * 1.1, "at most", baseline}, seed);
        printMeasurement({"least possible, " + label, minMinutes, "min", std::nullopt, "at most", std::nullopt}, seed);
    }
}

double waveDecisionMs(const FleetSize &size)
{
    FleetState state = makeFleet(size);
    foldNext(state, WaveStarted{0}, StartTime + 1);
    constexpr int Rounds = 5;
    const double seconds = cpuSeconds([&] {
        for (int round = 0; round < Rounds; ++round) {
            decideWave(state, DependencyAwareWaves{});
            findWaveAlarm(state);
        }
    });
    return seconds / Rounds * 1000;
}

void benchDecide(std::uint64_t seed)
{
    for (const double factor : {0.25, 0.5, 1.0, 2.0}) {
        const FleetSize size = scaledDesignSize(factor);
        const std::string label = std::to_string(size.instances) + " instances";
        printMeasurement({"one round of wave decisions, " + label, waveDecisionMs(size), "ms", DecideTargetMilliseconds, "at most", std::nullopt}, seed);
    }
}

/** Size in bytes of a reply with the load of a node on which every team has running and waiting tasks in @p poolsPerTeam pools. */
double peerReplyBytes(int teams, int poolsPerTeam)
{
    Details::PeerReply reply;
    reply.load.resize(1);
    for (int team = 0; team < teams; ++team) {
        for (int pool = 0; pool < poolsPerTeam; ++pool) {
            reply.load.front().demand["pool-" + std::to_string((team + pool) % 33)]["team-" + std::to_string(team)] = {20, 30};
        }
        reply.load.front().sparePermits["team-" + std::to_string(team)] = 100;
    }
    return static_cast<double>(Details::encode(reply).size());
}

void printSlope(
    const std::string &label, const std::vector<Point> &points, double designSize, const std::string &unit, std::optional<double> target, std::uint64_t seed)
{
    const Line line = fitLine(points);
    printMeasurement({label + ", worked out at design size", line.at(designSize), unit, target, "at most", std::nullopt}, seed);
    printMeasurement({label + ", slope", line.slope, unit + " each", std::nullopt, "at most", std::nullopt}, seed);
    printMeasurement({label + ", largest distance from the line", line.maxRelativeError * 100, "%", std::nullopt, "at most", std::nullopt}, seed);
}

void benchSlopes(std::uint64_t seed)
{
    std::vector<Point> stateBytes;
    std::vector<Point> snapshotBytes;
    std::vector<Point> decideMs;
    for (const double factor : {0.125, 0.25, 0.5, 1.0}) {
        const FleetSize size = scaledDesignSize(factor);
        const double heapBefore = heapBytes();
        const FleetState state = makeFleet(size);
        stateBytes.push_back({static_cast<double>(size.instances), (heapBytes() - heapBefore) / BytesPerMiB});
        snapshotBytes.push_back({static_cast<double>(size.instances), static_cast<double>(serialize(state).size()) / BytesPerMiB});
        decideMs.push_back({static_cast<double>(size.instances), waveDecisionMs(size)});
    }
    printSlope("state in memory by instances", stateBytes, DesignSize.instances, "MiB", MemoryTargetMiB, seed);
    printSlope("snapshot by instances", snapshotBytes, DesignSize.instances, "MiB", std::nullopt, seed);
    printSlope("wave decisions by instances", decideMs, DesignSize.instances, "ms", DecideTargetMilliseconds, seed);
    std::vector<Point> claimBytes;
    for (const std::size_t claims : {50000U, 100000U, 200000U, 400000U}) {
        FleetSize size = scaledDesignSize(0.125);
        size.claims = claims;
        const double heapBefore = heapBytes();
        const FleetState state = makeFleet(size);
        claimBytes.push_back({static_cast<double>(claims), (heapBytes() - heapBefore) / BytesPerMiB});
    }
    printSlope("state in memory by claims (1000000 kept at most)", claimBytes, 1000000, "MiB", MemoryTargetMiB, seed);
    std::vector<Point> messageBytes;
    for (const int teams : {11, 22, 43, 86}) {
        messageBytes.push_back({static_cast<double>(teams), peerReplyBytes(teams, 4)});
    }
    printSlope("peer message by teams, each in 4 pools", messageBytes, DesignSize.teams, "bytes", std::nullopt, seed);
}

using BenchFunction = void (*)(std::uint64_t seed);

const std::map<std::string, BenchFunction> &benches()
{
    static const std::map<std::string, BenchFunction> Benches{
        {"fold", &benchFold}, {"recovery", &benchRecovery}, {"rollout", &benchRollout}, {"decide", &benchDecide}, {"slopes", &benchSlopes}};
    return Benches;
}

}

int main(int argc, char **argv)
{
    const std::string name = argc > 1 ? argv[1] : "";
    const std::string seedText = argc > 2 ? argv[2] : "1";
    std::uint64_t seed = 1;
    std::from_chars(seedText.data(), seedText.data() + seedText.size(), seed);
    const auto bench = benches().find(name);
    if (bench == benches().end()) {
        std::cerr << "usage: cornelquay-bench fold|recovery|rollout|decide|slopes [SEED]\n";
        return 2;
    }
    bench->second(seed);
    return 0;
}
