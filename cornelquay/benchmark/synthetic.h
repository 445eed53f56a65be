#pragma once

#include "fleet/fold.h"

#include <cstdint>
#include <string>

namespace Cornelquay::Benchmark {

/** The number of objects of each kind in a synthetic fleet. */
struct FleetSize {
    int instances = 0;
    /** Pools including the spare one. */
    int pools = 0;
    int teams = 0;
    int nodes = 9;
    std::size_t claims = 0;
};

/** The fleet size that the system is designed for; see docs/CAPACITY.md. */
constexpr FleetSize DesignSize{9100, 33, 86, 9, 0};

/** A configuration for a fleet of @p size; each service but the first depends on one earlier service. */
std::string configurationText(const FleetSize &size);

/** A fleet state of @p size, created by folding records. */
FleetState makeFleet(const FleetSize &size);

/** Folds a record with @p body at the next offset; @p time is in Unix milliseconds. */
Verdict foldNext(FleetState &state, RecordBody body, std::int64_t time);

}
