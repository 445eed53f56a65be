#include "scheduling/throttling.h"

#include <algorithm>

namespace Cornelquay {

namespace {

constexpr int FullSpeedPercent = 100;
constexpr int ReducedSpeedPercent = 40;
constexpr int SpeedStepPercent = 20;
// Ratios of tail latency to target. They leave a margin, because the reported latency is imprecise and up to half a second old.
constexpr double PauseTailRatio = 0.97;
constexpr double SlowDownTailRatio = 0.8;
constexpr double SpeedUpTailRatio = 0.6;

}

int decideSpeedPercent(double worstTailRatio, int currentPercent)
{
    if (worstTailRatio < 0) {
        return currentPercent;
    }
    if (worstTailRatio >= PauseTailRatio) {
        return 0;
    }
    if (worstTailRatio >= SlowDownTailRatio) {
        return std::min(currentPercent, ReducedSpeedPercent);
    }
    return worstTailRatio < SpeedUpTailRatio ? std::min(FullSpeedPercent, currentPercent + SpeedStepPercent) : currentPercent;
}

}
