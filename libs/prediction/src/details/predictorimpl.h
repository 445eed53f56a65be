#pragma once

#include "details/levelaccuracy.h"
#include "details/lrutable.h"
#include "details/runtimeline.h"
#include "details/stablehash.h"
#include "prediction/runtimepredictor.h"
#include "prediction/runtimeregression.h"

namespace Cornelquay {

/** How far run times deviate from their predictions. */
struct PredictionSpread {
    /** Number of tasks in the histogram, of which old ones count less. */
    double tasks = 0;
    /** Mean deviation of the logarithm of the run time. */
    double deviation = InitialDeviation;
    /** Of the logarithm of the ratio, without the prior. */
    RunTimeDistribution::Histogram histogram{};

    void add(double logRatio);
    /** The histogram with the prior, which matters while there are few tasks. */
    RunTimeDistribution::Histogram smoothed() const;

    // Wide, so that the first tasks of a queue are no outliers even if all estimates are several times too low.
    static constexpr double InitialDeviation = 1.0;
};

/** The history of a queue. */
struct QueueHistory {
    RunTimeRegression regression;
    /** By PredictionLevel. */
    std::array<LevelAccuracy, PredictionLevelNames.size()> levels;
    /** Of the predictions without image and step. */
    PredictionSpread general;
    /** Of the predictions for tasks whose image or step has history, as if all levels were on until one is. */
    PredictionSpread specific;
};

/** The prediction of one level for a task, and the one that is in use after that level. */
struct LevelFit {
    std::uint64_t key = 0;
    /** Whether the level has history for the task. */
    bool isKnown = false;
    bool isOn = false;
    FittedLine candidate;
    /** The candidate if the level is on, else the line of the level before it. */
    FittedLine used;
};

/** The lines for a task, with the keys of their histories, and the spread around the last one. */
struct TaskFits {
    std::uint64_t queueKey = 0;
    FittedLine queue;
    /** By PredictionLevel. */
    std::array<LevelFit, PredictionLevelNames.size()> levels;
    /** Whether image and step have enough history to tell more than the queue. */
    bool isKnown = false;
    /** Whether predictions for the task deviate as QueueHistory::specific. */
    bool isSpecific = false;

    LevelFit &at(PredictionLevel level)
    {
        return levels[static_cast<std::size_t>(level)];
    }
    const FittedLine &used() const
    {
        return levels.back().used;
    }
    /** The line of the most specific level with history, whether it is on or not. */
    const FittedLine &candidate() const;
};

struct RunTimePredictor::Impl {
    static constexpr std::size_t MaxQueues = 64;
    static constexpr std::size_t MaxAccounts = 512;

    LruTable<QueueHistory> queues{MaxQueues};
    /** By queue and client account. */
    LruTable<RunTimeLine> accounts{MaxAccounts};
    LruTable<RunTimeLine> images{MaxImages};
    LruTable<RunTimeLine> steps{MaxSteps};
    std::uint64_t revision = 0;

    TaskFits fit(const RunTraits &traits) const;
    /** Learns a run at all levels except the regression by queue. */
    void learn(const RunTraits &traits, const TaskFits &fits, double logTime, BootTime now);
};

}
