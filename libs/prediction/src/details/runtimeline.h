#pragma once

#include "timing/instant.h"

namespace Cornelquay {

/** A line that gives the logarithm of the run time for the logarithm of the estimate, both in milliseconds. */
struct FittedLine {
    double estimate = 0;
    double time = 0;
    double slope = 1;

    double at(double logEstimate) const
    {
        return time + slope * (logEstimate - estimate);
    }
};

/** How a level weighs its history. */
struct LevelTerms {
    /** Weight of the more general level, as a number of tasks. */
    double priorTasks = 0;
    /** Each task multiplies the weight of earlier ones by this factor. */
    double decayFactor = 1;
    /** Repeated outliers in one direction mean a changed behaviour, so that earlier tasks lose most of their weight. */
    bool detectsChange = false;
};

/** Decayed moments of the logarithms of estimates and run times of the tasks of one level. */
struct RunTimeLine {
    double weight = 0;
    double estimate = 0;
    double time = 0;
    /** Sum of the squared deviations of the estimates, and of their products with those of the run times. */
    double estimateSquares = 0;
    double products = 0;
    BootTime recordedAt{};
    /** Number of the latest tasks that were outliers in the same direction; negative if they were short. */
    int outliers = 0;

    /** The line through the history, with the more general line @p prior where there is little. */
    FittedLine fit(const FittedLine &prior, const LevelTerms &terms) const;
    /**
     * Adds a task. A run time that deviates by more than @p limit from @p expected counts as one at that limit, so that a few
     * tasks that take many times the usual time do not distort the line.
     */
    void add(double logEstimate, double logTime, double expected, double limit, const LevelTerms &terms, BootTime now);
};

}
