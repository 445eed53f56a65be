#include "demand/pooloutlook.h"

#include <algorithm>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// Work that waits need not be done faster than in this time: the instances for it are paid for longer than that.
constexpr std::chrono::milliseconds MinCatchUpPeriod = 1s;

}

double catchUpLoad(double load, double capacity, std::chrono::milliseconds movePeriod, std::chrono::milliseconds slack)
{
    const double deferredWork = std::max(0.0, load - capacity) * static_cast<double>(movePeriod.count());
    return deferredWork / static_cast<double>(std::max(MinCatchUpPeriod, slack).count());
}

}
