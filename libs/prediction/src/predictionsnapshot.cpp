#include "prediction/runtimepredictor.h"

#include "details/predictorimpl.h"
#include "records/packing.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Cornelquay {

namespace {

constexpr std::uint32_t SnapshotVersion = 2;
// The rest of RunTimePredictor::MaxSnapshotBytes is for images, which need up to 28 bytes each.
constexpr std::size_t MaxQueues = 12;
constexpr std::size_t MaxAccounts = 60;
constexpr std::size_t MaxImages = 240;
// Images that are left out at a time until the snapshot is small enough.
constexpr std::size_t ImageReduction = 20;
// Values are stored as whole multiples of 1/Scale, which take at most three bytes in the usual range.
constexpr double Scale = 1000.0;
constexpr double WeightScale = 10.0;
// Gains are small, and their variance is smaller.
constexpr double AccuracyScale = 100000.0;
// Limits of valid values: of the logarithm of a time, of the weight of a line, and of the sums.
constexpr double MaxLogTime = 19.0;
constexpr double MaxWeight = 10000.0;
constexpr double MaxSum = 500000.0;
constexpr std::uint32_t HistogramTotal = 240;

struct PackedLine {
    std::uint64_t key = 0;
    std::int32_t weight = 0;
    std::int32_t estimate = 0;
    std::int32_t time = 0;
    std::int32_t estimateSquares = 0;
    std::int32_t products = 0;

    auto fields()
    {
        return std::tie(key, weight, estimate, time, estimateSquares, products);
    }
};

struct PackedSpread {
    std::int32_t tasks = 0;
    std::int32_t deviation = 0;
    /** Shares of the buckets in parts of HistogramTotal. */
    std::vector<std::uint32_t> histogram;

    auto fields()
    {
        return std::tie(tasks, deviation, histogram);
    }
};

struct PackedRegression {
    std::int32_t count = 0;
    std::int32_t estimate = 0;
    std::int32_t estimateSquared = 0;
    std::int32_t excess = 0;
    std::int32_t excessByEstimate = 0;

    auto fields()
    {
        return std::tie(count, estimate, estimateSquared, excess, excessByEstimate);
    }
};

struct PackedLevel {
    std::int32_t tasks = 0;
    std::int32_t errorWithout = 0;
    std::int32_t gain = 0;
    std::int32_t gainVariance = 0;
    bool isOn = false;

    auto fields()
    {
        return std::tie(tasks, errorWithout, gain, gainVariance, isOn);
    }
};

struct PackedQueue {
    std::uint64_t key = 0;
    PackedRegression regression;
    std::vector<PackedLevel> levels;
    PackedSpread general;
    PackedSpread specific;

    auto fields()
    {
        return std::tie(key, regression, levels, general, specific);
    }
};

struct PackedHistory {
    std::vector<PackedQueue> queues;
    std::vector<PackedLine> accounts;
    std::vector<PackedLine> images;

    auto fields()
    {
        return std::tie(queues, accounts, images);
    }
};

struct Envelope {
    std::uint32_t version = 0;
    std::uint64_t checksum = 0;
    /** A packed PackedHistory. */
    std::string history;

    auto fields()
    {
        return std::tie(version, checksum, history);
    }
};

std::int32_t scaled(double value, double scale)
{
    return static_cast<std::int32_t>(std::lround(std::clamp(value, -MaxSum, MaxSum) * scale));
}

PackedLine packLine(std::uint64_t key, const RunTimeLine &line)
{
    return {key,
            scaled(line.weight, WeightScale),
            scaled(line.estimate, Scale),
            scaled(line.time, Scale),
            scaled(line.estimateSquares, Scale),
            scaled(line.products, Scale)};
}

RunTimeLine unpackLine(const PackedLine &packed, BootTime now)
{
    RunTimeLine line;
    line.weight = packed.weight / WeightScale;
    line.estimate = packed.estimate / Scale;
    line.time = packed.time / Scale;
    line.estimateSquares = packed.estimateSquares / Scale;
    line.products = packed.products / Scale;
    line.recordedAt = now;
    return line;
}

PackedRegression packRegression(const RunTimeRegression &regression)
{
    const RunTimeRegression::Sums &sums = regression.sums();
    return {scaled(sums.count, Scale),
            scaled(sums.estimate, Scale),
            scaled(sums.estimateSquared, Scale),
            scaled(sums.excess, Scale),
            scaled(sums.excessByEstimate, Scale)};
}

RunTimeRegression unpackRegression(const PackedRegression &packed)
{
    return RunTimeRegression(
        {packed.count / Scale, packed.estimate / Scale, packed.estimateSquared / Scale, packed.excess / Scale, packed.excessByEstimate / Scale});
}

PackedLevel packLevel(const LevelAccuracy &level)
{
    return {scaled(level.tasks, WeightScale),
            scaled(level.errorWithout, AccuracyScale),
            scaled(level.gain, AccuracyScale),
            scaled(level.gainVariance, AccuracyScale),
            level.isOn};
}

LevelAccuracy unpackLevel(const PackedLevel &packed)
{
    return {packed.tasks / WeightScale, packed.errorWithout / AccuracyScale, packed.gain / AccuracyScale, packed.gainVariance / AccuracyScale, packed.isOn};
}

PackedSpread packSpread(const PredictionSpread &spread)
{
    PackedSpread packed{scaled(spread.tasks, WeightScale), scaled(spread.deviation, Scale), {}};
    const float sum = std::accumulate(spread.histogram.begin(), spread.histogram.end(), 0.0F);
    for (const float weight : spread.histogram) {
        packed.histogram.push_back(sum > 0 ? static_cast<std::uint32_t>(std::lround(weight / sum * HistogramTotal)) : 0);
    }
    return packed;
}

PredictionSpread unpackSpread(const PackedSpread &packed)
{
    PredictionSpread spread;
    spread.tasks = packed.tasks / WeightScale;
    spread.deviation = packed.deviation / Scale;
    const std::uint32_t sum = std::accumulate(packed.histogram.begin(), packed.histogram.end(), 0U);
    for (std::size_t bucket = 0; sum > 0 && bucket < spread.histogram.size(); ++bucket) {
        spread.histogram[bucket] = static_cast<float>(spread.tasks * packed.histogram[bucket] / sum);
    }
    return spread;
}

PackedQueue packQueue(std::uint64_t key, const QueueHistory &queue)
{
    PackedQueue packed{key, packRegression(queue.regression), {}, packSpread(queue.general), packSpread(queue.specific)};
    std::transform(queue.levels.begin(), queue.levels.end(), std::back_inserter(packed.levels), packLevel);
    return packed;
}

QueueHistory unpackQueue(const PackedQueue &packed)
{
    QueueHistory queue{unpackRegression(packed.regression), {}, unpackSpread(packed.general), unpackSpread(packed.specific)};
    std::transform(packed.levels.begin(), packed.levels.end(), queue.levels.begin(), unpackLevel);
    return queue;
}

bool isIn(double value, double least, double most)
{
    return value >= least && value <= most;
}

bool isValid(const PackedLine &line)
{
    return isIn(line.weight / WeightScale, 0, MaxWeight) && isIn(line.estimate / Scale, 0, MaxLogTime) && isIn(line.time / Scale, 0, MaxLogTime)
        && isIn(line.estimateSquares / Scale, 0, MaxSum) && isIn(line.products / Scale, -MaxSum, MaxSum);
}

bool isValid(const PackedSpread &spread)
{
    const bool isHistogramValid
        = spread.histogram.size() == RunTimeDistribution::BucketCount && std::all_of(spread.histogram.begin(), spread.histogram.end(), [](std::uint32_t share) {
              return share <= HistogramTotal;
          });
    return isHistogramValid && isIn(spread.tasks / WeightScale, 0, MaxWeight) && isIn(spread.deviation / Scale, 0, MaxLogTime);
}

bool isValid(const PackedRegression &regression)
{
    return isIn(regression.count / Scale, 0, MaxWeight) && isIn(regression.estimate / Scale, 0, MaxSum) && isIn(regression.estimateSquared / Scale, 0, MaxSum)
        && isIn(regression.excess / Scale, -MaxSum, MaxSum) && isIn(regression.excessByEstimate / Scale, -MaxSum, MaxSum);
}

bool isValid(const PackedLevel &level)
{
    return isIn(level.tasks / WeightScale, 0, MaxWeight) && isIn(level.errorWithout / AccuracyScale, 0, MaxLogTime)
        && isIn(level.gain / AccuracyScale, -MaxLogTime, MaxLogTime) && isIn(level.gainVariance / AccuracyScale, 0, MaxLogTime * MaxLogTime);
}

bool isValid(const PackedQueue &queue)
{
    const bool areLevelsValid
        = queue.levels.size() == PredictionLevelNames.size() && std::all_of(queue.levels.begin(), queue.levels.end(), [](const PackedLevel &level) {
              return isValid(level);
          });
    return areLevelsValid && isValid(queue.regression) && isValid(queue.general) && isValid(queue.specific);
}

bool isValid(const PackedHistory &history)
{
    const auto isValidLine = [](const PackedLine &line) {
        return isValid(line);
    };
    return std::all_of(history.queues.begin(),
                       history.queues.end(),
                       [](const PackedQueue &queue) {
                           return isValid(queue);
                       })
        && std::all_of(history.accounts.begin(), history.accounts.end(), isValidLine) && std::all_of(history.images.begin(), history.images.end(), isValidLine);
}

std::vector<PackedLine> packLines(const LruTable<RunTimeLine> &lines, std::size_t maxCount)
{
    std::vector<PackedLine> packed;
    for (const auto &[key, line] : lines.entries()) {
        if (packed.size() >= maxCount) {
            break;
        }
        packed.push_back(packLine(key, line));
    }
    return packed;
}

// Entries are packed with the most recently used one first, and are added in the opposite order.
void unpackLines(const std::vector<PackedLine> &packed, LruTable<RunTimeLine> &lines, BootTime now)
{
    std::for_each(packed.rbegin(), packed.rend(), [&](const PackedLine &line) {
        lines.use(line.key) = unpackLine(line, now);
    });
}

std::string seal(const PackedHistory &history)
{
    Envelope envelope{SnapshotVersion, 0, Packing::toBytes(history)};
    envelope.checksum = stableHash(envelope.history);
    return Packing::toBytes(envelope);
}

}

std::string RunTimePredictor::snapshot() const
{
    PackedHistory history;
    for (const auto &[key, queue] : m_impl->queues.entries()) {
        if (history.queues.size() < MaxQueues) {
            history.queues.push_back(packQueue(key, queue));
        }
    }
    history.accounts = packLines(m_impl->accounts, MaxAccounts);
    history.images = packLines(m_impl->images, MaxImages);
    std::string bytes = seal(history);
    while (bytes.size() > MaxSnapshotBytes) {
        std::vector<PackedLine> &lines = history.images.empty() ? history.accounts : history.images;
        lines.resize(lines.size() - std::min(lines.size(), ImageReduction));
        bytes = seal(history);
    }
    return bytes;
}

bool RunTimePredictor::restore(std::string_view bytes, BootTime now)
{
    const std::optional<Envelope> envelope = Packing::fromBytes<Envelope>(bytes);
    if (!envelope || envelope->version != SnapshotVersion || envelope->checksum != stableHash(envelope->history)) {
        return false;
    }
    const std::optional<PackedHistory> history = Packing::fromBytes<PackedHistory>(envelope->history);
    if (!history || !isValid(*history)) {
        return false;
    }
    auto restored = std::make_unique<Impl>();
    std::for_each(history->queues.rbegin(), history->queues.rend(), [&](const PackedQueue &packed) {
        restored->queues.use(packed.key) = unpackQueue(packed);
    });
    unpackLines(history->accounts, restored->accounts, now);
    unpackLines(history->images, restored->images, now);
    restored->revision = m_impl->revision + 1;
    m_impl = std::move(restored);
    return true;
}

}
