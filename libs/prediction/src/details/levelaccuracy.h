#pragma once

namespace Cornelquay {

/**
 * Measures whether a level of history improves the predictions of a queue, and switches it on and off accordingly.
 *
 * Both errors of a task must be those of predictions that were made before the task was recorded.
 */
struct LevelAccuracy {
    /** Number of tasks, of which old ones count less. */
    double tasks = 0;
    /** Mean absolute error of the logarithm of the run time without the level. */
    double errorWithout = 0;
    /** Mean by which the level reduces the absolute error, and the variance of that reduction. */
    double gain = 0;
    double gainVariance = 0;
    bool isOn = false;

    void add(double logErrorWithout, double logErrorWith);
};

}
