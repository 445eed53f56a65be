#include "details/levelaccuracy.h"

#include <cmath>

namespace Cornelquay {

namespace {

// About the last 200 tasks count, so that a level whose use ends is switched off within some hundreds of tasks.
constexpr double DecayFactor = 0.995;
constexpr double MinTasks = 12;
// A level is switched on if its gain exceeds this number of standard errors and this share of the error without it.
constexpr double StandardErrorsToSwitchOn = 3.0;
constexpr double GainToSwitchOn = 0.03;
// Below this share it is switched off again. The distance between both shares prevents frequent changes, each of which
// would change the order of the waiting jobs.
constexpr double GainToKeep = 0.01;

}

void LevelAccuracy::add(double logErrorWithout, double logErrorWith)
{
    const double without = std::abs(logErrorWithout);
    tasks = DecayFactor * tasks + 1;
    const double share = 1 / tasks;
    const double deviation = without - std::abs(logErrorWith) - gain;
    errorWithout += share * (without - errorWithout);
    gain += share * deviation;
    gainVariance = (1 - share) * (gainVariance + share * deviation * deviation);
    if (isOn) {
        isOn = gain > GainToKeep * errorWithout;
    } else {
        isOn = tasks >= MinTasks && gain > GainToSwitchOn * errorWithout && gain > StandardErrorsToSwitchOn * std::sqrt(gainVariance / tasks);
    }
}

}
