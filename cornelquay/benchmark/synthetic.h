#pragma once

#include "fleet/fold.h"

#include <cstdint>
#include <string>

namespace Cornelquay::Benchmark {

/** How large a synthetic fleet is. */
struct FleetSize {
    int instances = 0;
    int pools = 0;
    int teams = 0;
    int nodes = 9;
    std::size_t claims = 0;
};

/** The size that docs/CAPACITY.md is about. */
constexpr FleetSize DesignSize{9100, 33, 86, 9, 0};

/** A configuration text of that size; each service depends on one or two before it. */
std::string configurationText(const FleetSize &size);

/** A state of that size, made by folding records. */
FleetState makeFleet(const FleetSize &size);

/** Folds @p body at the next offset. */
Verdict foldNext(FleetState &state, RecordBody body, std::int64_t time);

}
