#include "details/schedulerimpl.h"

#include <algorithm>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

constexpr double MedianQuantile = 0.5;
// Assumed for a run that has not reported any progress yet, with PredictionMethod::Queue.
constexpr auto DefaultRemainingTime = 1500ms;
// A run that has reported this much progress is extrapolated from it alone. Percentages are whole numbers, so the extrapolation
// is then off by at most a fortieth.
constexpr double ReliableProgressPercent = 20;
// A run that has just exceeded its prediction is predicted again after this time at the earliest.
constexpr auto MinRemainingTime = 50ms;

RunTraits traitsOf(const JobRecord &record, std::uint32_t step)
{
    const StepSpec &spec = record.spec.steps[step];
    RunTraits traits;
    traits.job = record.id;
    traits.step = step;
    traits.image = spec.image;
    traits.queue = record.queue;
    traits.account = record.account;
    traits.estimate = std::chrono::milliseconds(spec.estimateMs);
    traits.isTypical = isTypicalOfQueue(spec);
    for (const Occurrence &occurrence : record.occurrences) {
        traits.runningSiblings += static_cast<std::uint32_t>(std::count_if(occurrence.steps[step].begin(), occurrence.steps[step].end(), [](const Task &task) {
            return task.phase == TaskPhase::Placed;
        }));
    }
    return traits;
}

/** For one of the running tasks of the step: it is no sibling of its own. */
RunTraits traitsOfRunning(const JobRecord &record, std::uint32_t step)
{
    RunTraits traits = traitsOf(record, step);
    traits.runningSiblings -= std::min<std::uint32_t>(1, traits.runningSiblings);
    return traits;
}

std::chrono::milliseconds scaled(std::chrono::milliseconds time, double factor)
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

/** Progress since a point in time, from which the rest of a run can be extrapolated. */
struct ProgressRate {
    double percent = 0;
    std::chrono::milliseconds duration{0};
};

// A run that resumed from a checkpoint, or was started by a former owner, is measured from its first report.
ProgressRate progressOf(const LiveRun &run)
{
    const BootTime from = run.observedFromStart ? run.placedOrAcceptedAt : run.firstPercentAt;
    const int percentBefore = run.observedFromStart ? 0 : run.firstPercent;
    if (run.percent <= percentBefore || run.percentChangedAt <= from) {
        return {};
    }
    return {static_cast<double>(run.percent - percentBefore), run.percentChangedAt - from};
}

/** The age of a run, including the work that earlier runs saved: with half of the work done, half of the usual time. */
std::chrono::milliseconds effectiveAge(const LiveRun &run, const RunTimeDistribution &predicted, BootTime now)
{
    if (run.observedFromStart || run.firstPercent < 0) {
        return now - run.placedOrAcceptedAt;
    }
    return scaled(predicted.quantile(MedianQuantile), run.firstPercent / 100.0) + (now - run.firstPercentAt);
}

}

bool isTypicalOfQueue(const StepSpec &step)
{
    return !step.longRunning && !step.bestEffort && !step.gang && step.dataRack.empty() && !step.sameRack;
}

bool Scheduler::Impl::learnsRunTimes() const
{
    return options.prediction == PredictionMethod::Learned;
}

// With both methods, the geometric mean: it is the same figure unless a level of history has proved to be more accurate, so neither
// the order of jobs nor the number of instances depends on which statistic is taken.
std::vector<std::int64_t> Scheduler::Impl::expectedRunMs(const JobRecord &record) const
{
    std::vector<std::int64_t> expected;
    expected.reserve(record.spec.steps.size());
    for (std::uint32_t step = 0; step < record.spec.steps.size(); ++step) {
        const StepSpec &spec = record.spec.steps[step];
        if (spec.longRunning) {
            expected.push_back(0);
        } else if (!learnsRunTimes()) {
            expected.push_back(runTimes.expected(record.queue, std::chrono::milliseconds(spec.estimateMs)).count());
        } else {
            expected.push_back(predictor.predict(traitsOf(record, step)).center().count());
        }
    }
    return expected;
}

// The levels of the prediction keep apart what gangs and distant racks cost, so unlike in the regression by queue, such steps are
// learned there too. Best-effort runs are throttled, so their run time depends on their neighbours.
void Scheduler::Impl::learnRunTime(const JobEntry &entry, const ListedEnd &end, const LiveRun &run, BootTime now)
{
    const JobRecord &record = entry.job.record();
    const StepSpec &step = record.spec.steps[end.task.ref.step];
    if (!learnsRunTimes() || step.longRunning || step.bestEffort) {
        return;
    }
    if (end.runEnd == RunEnd::Stopped || end.runEnd == RunEnd::LeaseExpired) {
        learnUnfinishedRun(entry, end.task.ref, run);
    }
    if (end.runEnd != RunEnd::Done || !run.observedFromStart) {
        return;
    }
    const std::chrono::milliseconds runTime = now - run.placedOrAcceptedAt;
    if (run.predictedRunTime > 0ms) {
        learnedErrors.record(record.queue, run.predictedRunTime, runTime);
        estimateErrors.record(record.queue, run.expectedByQueue, runTime);
    }
    predictor.record(traitsOfRunning(record, end.task.ref.step), runTime, now);
    ++learnedRuns;
}

// The run was certainly at work until its progress last changed. Time after that may have been spent stalled or without a worker.
void Scheduler::Impl::learnUnfinishedRun(const JobEntry &entry, const TaskRef &ref, const LiveRun &run)
{
    const StepSpec &step = entry.job.step(ref);
    const bool isObserved = run.observedFromStart && run.start == StartProgress::Accepted && run.percentChangedAt > run.placedOrAcceptedAt;
    if (learnsRunTimes() && isObserved && !step.longRunning && !step.bestEffort) {
        predictor.recordLowerBound(traitsOfRunning(entry.job.record(), ref.step), run.percentChangedAt - run.placedOrAcceptedAt, run.percentChangedAt);
    }
}

void Scheduler::Impl::noteStartAccepted(const TaskName &task, LiveRun &run, BootTime now)
{
    const JobEntry *entry = findEntry(task.job);
    if (!learnsRunTimes() || run.longRunning || entry == nullptr) {
        return;
    }
    if (run.observedFromStart) {
        const JobRecord &record = entry->job.record();
        run.predictedRunTime = predictor.predict(traitsOfRunning(record, task.ref.step)).center();
        run.expectedByQueue = runTimes.expected(record.queue, std::chrono::milliseconds(record.spec.steps[task.ref.step].estimateMs));
    }
    updateExpectedEnd(task, run, now);
}

// Without a level that has proved to be more accurate, the run keeps no expected end, and remainingTime() is that of
// PredictionMethod::Queue: the spread of a queue alone tells less about a run than its reported progress.
void Scheduler::Impl::updateExpectedEnd(const TaskName &task, LiveRun &run, BootTime now)
{
    const JobEntry *entry = findEntry(task.job);
    run.expectedEndAt = {};
    if (!learnsRunTimes() || run.longRunning || entry == nullptr || task.ref.step >= entry->job.record().spec.steps.size()) {
        return;
    }
    if (predictor.isCorrected(traitsOfRunning(entry->job.record(), task.ref.step))) {
        run.expectedEndAt
            = now + std::max<std::chrono::milliseconds>(MinRemainingTime, predictRemaining(entry->job.record(), task.ref.step, run, now, MedianQuantile));
    }
}

std::chrono::milliseconds
Scheduler::Impl::predictRemaining(const JobRecord &record, std::uint32_t step, const LiveRun &run, BootTime now, double quantile) const
{
    const RunTimeDistribution predicted = predictor.predict(traitsOfRunning(record, step));
    const std::chrono::milliseconds byAge = predicted.remaining(effectiveAge(run, predicted, now), quantile);
    const ProgressRate progress = progressOf(run);
    if (progress.percent <= 0) {
        return byAge;
    }
    const std::chrono::milliseconds restAtReport = scaled(progress.duration, (100 - run.percent) / progress.percent);
    const std::chrono::milliseconds byProgress = std::max<std::chrono::milliseconds>(0ms, restAtReport - (now - run.percentChangedAt));
    const double progressWeight = std::min(1.0, progress.percent / ReliableProgressPercent);
    return scaled(byProgress, progressWeight) + scaled(byAge, 1 - progressWeight);
}

bool Scheduler::restoreRunTimes(std::string_view snapshot, BootTime now)
{
    return !m_impl->learnsRunTimes() || m_impl->predictor.restore(snapshot, now);
}

RunTimeDistribution Scheduler::predictRunTime(const JobRecord &record, std::uint32_t step) const
{
    if (m_impl->learnsRunTimes()) {
        return m_impl->predictor.predict(traitsOf(record, step));
    }
    return RunTimeDistribution::around(m_impl->runTimes.expected(record.queue, std::chrono::milliseconds(record.spec.steps[step].estimateMs)));
}

PredictionBasis Scheduler::Impl::predictionBasis(const JobRecord &record, std::uint32_t step) const
{
    if (record.spec.steps[step].longRunning) {
        return PredictionBasis::None;
    }
    if (!learnsRunTimes()) {
        return runTimes.hasHistory(record.queue) ? PredictionBasis::Queue : PredictionBasis::Estimate;
    }
    const std::optional<PredictionLevel> level = predictor.correctingLevel(traitsOf(record, step));
    if (!level) {
        return predictor.hasHistory(record.queue) ? PredictionBasis::Queue : PredictionBasis::Estimate;
    }
    constexpr std::array<PredictionBasis, PredictionLevelNames.size()> ByLevel = {PredictionBasis::Account, PredictionBasis::Image, PredictionBasis::Step};
    return ByLevel.at(static_cast<std::size_t>(*level));
}

std::optional<std::chrono::milliseconds> Scheduler::remainingTime(const WorkerId &worker, const TaskName &task, BootTime now, double quantile) const
{
    const WorkerSession *session = findWorker(worker);
    const JobRecord *record = findJob(task.job);
    if (session == nullptr || record == nullptr) {
        return std::nullopt;
    }
    const auto run = session->runs().find(task);
    if (run == session->runs().end() || run->second.longRunning) {
        return std::nullopt;
    }
    return m_impl->learnsRunTimes() ? m_impl->predictRemaining(*record, task.ref.step, run->second, now, quantile) : remainingTime(run->second, now);
}

std::chrono::milliseconds Scheduler::remainingTime(const LiveRun &run, BootTime now) const
{
    if (m_impl->learnsRunTimes() && run.expectedEndAt != BootTime{}) {
        return std::max<std::chrono::milliseconds>(0ms, run.expectedEndAt - now);
    }
    if (run.percent <= 0 || run.percentChangedAt <= run.placedOrAcceptedAt) {
        return DefaultRemainingTime;
    }
    const auto totalDuration = (run.percentChangedAt - run.placedOrAcceptedAt) * 100 / run.percent;
    return std::max<std::chrono::milliseconds>(0ms, run.placedOrAcceptedAt + totalDuration - now);
}

std::string Scheduler::runTimeSnapshot() const
{
    return m_impl->learnsRunTimes() ? m_impl->predictor.snapshot() : std::string();
}

std::uint64_t Scheduler::runTimeRevision() const
{
    return m_impl->predictor.revision();
}

std::uint64_t Scheduler::learnedRuns() const
{
    return m_impl->learnedRuns;
}

RunTimeStatistics Scheduler::runTimeStatistics() const
{
    RunTimeStatistics statistics{m_impl->learnedErrors.factors(), m_impl->estimateErrors.factors(), {}, m_impl->predictor.size()};
    for (const auto &[queue, errors] : statistics.errors) {
        statistics.activeLevels[queue] = m_impl->predictor.activeLevels(queue);
    }
    return statistics;
}

}
