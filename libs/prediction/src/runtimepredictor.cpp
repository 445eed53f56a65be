#include "prediction/runtimepredictor.h"

#include "details/predictorimpl.h"

#include <algorithm>
#include <cmath>

namespace Cornelquay {

namespace {

// Some tens of tasks of an image matter, whose behaviour changes with its version.
constexpr LevelTerms AccountTerms{8.0, 0.99, false};
constexpr LevelTerms ImageTerms{2.0, 0.98, true};
constexpr LevelTerms StepTerms{2.0, 0.99, true};
// Runs that deviate by more than this number of mean deviations are outliers.
constexpr double OutlierDeviations = 2.5;
constexpr double MinOutlierLimit = 0.4;
// A single run changes the mean deviation as if it deviated by no more than this.
constexpr double MaxCountedDeviation = 3.0;
constexpr double SpreadDecayFactor = 0.997;
// Weight of the spread that is assumed without history, as a number of tasks.
constexpr double SpreadPriorTasks = 6.0;
// Weight of the history of image and step from which on a task counts as known.
constexpr double KnownWeight = 3.0;
// Normal deviates with a mean deviation of 1 have this standard deviation.
constexpr double DeviationRatio = 1.25;
// Mean of the lowest share s of normal deviates, in standard deviations below the mean of all: about 1.02 (-ln s)^0.67.
constexpr double LowestShareFactor = 1.02;
constexpr double LowestShareExponent = 0.67;

double outlierLimit(const PredictionSpread &spread)
{
    return std::max(MinOutlierLimit, OutlierDeviations * spread.deviation);
}

// While siblings run, the finished tasks of a step are its shortest ones. Returns the line of the step without that bias.
RunTimeLine withoutSelection(const RunTimeLine &step, std::uint32_t runningSiblings, double deviation)
{
    RunTimeLine corrected = step;
    const double finishedShare = step.weight / (step.weight + runningSiblings);
    corrected.time += DeviationRatio * deviation * LowestShareFactor * std::pow(-std::log(finishedShare), LowestShareExponent);
    corrected.weight *= finishedShare;
    return corrected;
}

FittedLine fitStep(const RunTimeLine &line, const FittedLine &prior, std::uint32_t runningSiblings, double deviation)
{
    if (runningSiblings == 0 || line.weight <= 0) {
        return line.fit(prior, StepTerms);
    }
    return withoutSelection(line, runningSiblings, deviation).fit(prior, StepTerms);
}

// Passes exactly through the result for the estimate, so that a prediction without correction equals that of the regression.
FittedLine lineThrough(double logEstimate, const RunTimeRegression &regression)
{
    FittedLine line;
    line.estimate = logEstimate;
    line.time = regression.expected(logEstimate);
    line.slope = regression.expected(logEstimate + 1) - line.time;
    return line;
}

// Compares each level with the one before it, for a run that no level has learned yet.
void measureLevels(QueueHistory &queue, const TaskFits &fits, double logEstimate, double logTime)
{
    const FittedLine *former = &fits.queue;
    for (std::size_t level = 0; level < fits.levels.size(); ++level) {
        const LevelFit &fit = fits.levels[level];
        if (fit.isKnown) {
            queue.levels[level].add(logTime - former->at(logEstimate), logTime - fit.candidate.at(logEstimate));
        }
        former = &fit.used;
    }
}

const RunTimeLine *findLine(const LruTable<RunTimeLine> &lines, std::uint64_t key)
{
    const RunTimeLine *line = lines.find(key);
    return line == nullptr || line->weight <= 0 ? nullptr : line;
}

}

void PredictionSpread::add(double logRatio)
{
    constexpr double MaxTasks = 300;
    constexpr double InitialTasks = 4;
    for (float &weight : histogram) {
        weight *= static_cast<float>(SpreadDecayFactor);
    }
    histogram[RunTimeDistribution::bucketOf(logRatio)] += 1;
    tasks = SpreadDecayFactor * tasks + 1;
    deviation += (std::min(MaxCountedDeviation, std::abs(logRatio)) - deviation) / std::min(MaxTasks, InitialTasks + tasks);
}

RunTimeDistribution::Histogram PredictionSpread::smoothed() const
{
    RunTimeDistribution::Histogram result = histogram;
    const RunTimeDistribution::Histogram &prior = RunTimeDistribution::unknownSpread();
    const auto weight = static_cast<float>(SpreadPriorTasks * SpreadPriorTasks / (SpreadPriorTasks + tasks));
    for (std::size_t bucket = 0; bucket < result.size(); ++bucket) {
        result[bucket] += weight * prior[bucket];
    }
    return result;
}

const FittedLine &TaskFits::candidate() const
{
    const auto known = std::find_if(levels.rbegin(), levels.rend(), [](const LevelFit &level) {
        return level.isKnown;
    });
    return known == levels.rend() ? queue : known->candidate;
}

TaskFits RunTimePredictor::Impl::fit(const RunTraits &traits) const
{
    static const QueueHistory UnknownQueue;
    TaskFits fits;
    fits.queueKey = stableHash(traits.queue);
    const QueueHistory *found = queues.find(fits.queueKey);
    const QueueHistory &queue = found == nullptr ? UnknownQueue : *found;
    fits.queue = lineThrough(RunTimeRegression::logarithmOf(traits.estimate), queue.regression);
    FittedLine used = fits.queue;
    const auto apply = [&](PredictionLevel level, const RunTimeLine *line, auto &&fitLine) {
        LevelFit &fit = fits.at(level);
        fit.isKnown = line != nullptr;
        fit.isOn = fit.isKnown && queue.levels[static_cast<std::size_t>(level)].isOn;
        fit.candidate = fit.isKnown ? fitLine(*line) : used;
        fit.used = fit.isOn ? fit.candidate : used;
        used = fit.used;
    };

    fits.at(PredictionLevel::Account).key = stableHash(traits.account, stableHash(0, fits.queueKey));
    apply(PredictionLevel::Account, findLine(accounts, fits.at(PredictionLevel::Account).key), [&](const RunTimeLine &line) {
        return line.fit(used, AccountTerms);
    });
    fits.at(PredictionLevel::Image).key = stableHash(traits.image);
    const RunTimeLine *image = traits.image.empty() ? nullptr : findLine(images, fits.at(PredictionLevel::Image).key);
    apply(PredictionLevel::Image, image, [&](const RunTimeLine &line) {
        return line.fit(used, ImageTerms);
    });
    fits.at(PredictionLevel::Step).key = stableHash(traits.step, stableHash(traits.job));
    const RunTimeLine *step = findLine(steps, fits.at(PredictionLevel::Step).key);
    fits.isKnown = (image == nullptr ? 0 : image->weight) + (step == nullptr ? 0 : step->weight) >= KnownWeight;
    apply(PredictionLevel::Step, step, [&](const RunTimeLine &line) {
        return fitStep(line, used, traits.runningSiblings, (fits.isKnown ? queue.specific : queue.general).deviation);
    });
    fits.isSpecific = fits.isKnown && (fits.at(PredictionLevel::Image).isOn || fits.at(PredictionLevel::Step).isOn);
    return fits;
}

void RunTimePredictor::Impl::learn(const RunTraits &traits, const TaskFits &fits, double logTime, BootTime now)
{
    const double estimate = RunTimeRegression::logarithmOf(traits.estimate);
    QueueHistory &queue = queues.use(fits.queueKey);
    const double generalLimit = outlierLimit(queue.general);
    const double specificLimit = outlierLimit(queue.specific);
    if (fits.isKnown) {
        queue.specific.add(logTime - (fits.isSpecific ? fits.used() : fits.candidate()).at(estimate));
    }
    if (!fits.isSpecific) {
        queue.general.add(logTime - fits.used().at(estimate));
    }
    const auto add = [&](LruTable<RunTimeLine> &lines, PredictionLevel level, double limit, double limitIfKnown, const LevelTerms &terms) {
        const LevelFit &fit = fits.levels[static_cast<std::size_t>(level)];
        RunTimeLine &line = lines.use(fit.key);
        line.add(estimate, logTime, fit.candidate.at(estimate), line.weight < KnownWeight ? limit : limitIfKnown, terms, now);
    };
    add(accounts, PredictionLevel::Account, generalLimit, generalLimit, AccountTerms);
    // Until an image or step is known, its runs are compared with those of the queue.
    const double unknownLimit = std::max(generalLimit, specificLimit);
    if (!traits.image.empty()) {
        add(images, PredictionLevel::Image, unknownLimit, specificLimit, ImageTerms);
    }
    add(steps, PredictionLevel::Step, unknownLimit, specificLimit, StepTerms);
    ++revision;
}

RunTimePredictor::RunTimePredictor()
    : m_impl(std::make_unique<Impl>())
{
}

RunTimePredictor::~RunTimePredictor() = default;

void RunTimePredictor::record(const RunTraits &traits, std::chrono::milliseconds runTime, BootTime now)
{
    const TaskFits fits = m_impl->fit(traits);
    const double estimate = RunTimeRegression::logarithmOf(traits.estimate);
    const double logTime = RunTimeRegression::logarithmOf(runTime);
    QueueHistory &queue = m_impl->queues.use(fits.queueKey);
    measureLevels(queue, fits, estimate, logTime);
    m_impl->learn(traits, fits, logTime, now);
    if (traits.isTypical) {
        queue.regression.record(estimate, logTime);
    }
}

void RunTimePredictor::recordLowerBound(const RunTraits &traits, std::chrono::milliseconds age, BootTime now)
{
    constexpr double Median = 0.5;
    const RunTimeDistribution expected = predict(traits);
    if (age > expected.quantile(Median)) {
        m_impl->learn(traits, m_impl->fit(traits), RunTimeRegression::logarithmOf(age + expected.remaining(age, Median)), now);
    }
}

RunTimeDistribution RunTimePredictor::predict(const RunTraits &traits) const
{
    const TaskFits fits = m_impl->fit(traits);
    const double center = fits.used().at(RunTimeRegression::logarithmOf(traits.estimate));
    const QueueHistory *queue = m_impl->queues.find(fits.queueKey);
    if (queue == nullptr) {
        return {center, RunTimeDistribution::unknownSpread()};
    }
    return {center, (fits.isSpecific ? queue->specific : queue->general).smoothed()};
}

std::optional<PredictionLevel> RunTimePredictor::correctingLevel(const RunTraits &traits) const
{
    const TaskFits fits = m_impl->fit(traits);
    const auto found = std::find_if(fits.levels.rbegin(), fits.levels.rend(), [](const LevelFit &level) {
        return level.isOn;
    });
    return found == fits.levels.rend() ? std::nullopt : std::optional(static_cast<PredictionLevel>(fits.levels.rend() - found - 1));
}

bool RunTimePredictor::isCorrected(const RunTraits &traits) const
{
    return correctingLevel(traits).has_value();
}

bool RunTimePredictor::hasHistory(std::string_view queue) const
{
    return m_impl->queues.find(stableHash(queue)) != nullptr;
}

std::vector<PredictionLevel> RunTimePredictor::activeLevels(std::string_view queue) const
{
    std::vector<PredictionLevel> active;
    const QueueHistory *history = m_impl->queues.find(stableHash(queue));
    for (std::size_t level = 0; history != nullptr && level < history->levels.size(); ++level) {
        if (history->levels[level].isOn) {
            active.push_back(static_cast<PredictionLevel>(level));
        }
    }
    return active;
}

std::uint64_t RunTimePredictor::revision() const
{
    return m_impl->revision;
}

PredictorSize RunTimePredictor::size() const
{
    return {m_impl->queues.size(), m_impl->accounts.size(), m_impl->images.size(), m_impl->steps.size()};
}

}
