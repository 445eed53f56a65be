#pragma once

#include "jobs/jobspec.h"
#include "timing/instant.h"

#include <cstddef>

namespace Cornelquay {

/**
 * The load if jobs with the mean work @p meanWork, in resources times milliseconds, keep arriving at the rate of the latest
 * @p arrivalCount arrivals, the first of which was at @p firstAt. Zero if these arrivals are too rare for a projection.
 * @p arrivalCount must exceed 2. Thread-safe.
 */
Resources projectLoad(const Resources &meanWork, std::size_t arrivalCount, BootTime firstAt, BootTime now);

}
