#include "scheduling/sharing.h"

#include <algorithm>

namespace Cornelquay {

namespace {

constexpr int FullPace = 100;
constexpr int SlowPace = 40;
constexpr int PaceStep = 20;
// Parts of the target; the figure is rough and half a second old.
constexpr double TailOver = 0.97;
constexpr double TailNear = 0.8;
constexpr double TailCalm = 0.6;

}

int decidePace(double worstTail, int present)
{
    if (worstTail < 0) {
        return present;
    }
    if (worstTail >= TailOver) {
        return 0;
    }
    if (worstTail >= TailNear) {
        return std::min(present, SlowPace);
    }
    return worstTail < TailCalm ? std::min(FullPace, present + PaceStep) : present;
}

}
