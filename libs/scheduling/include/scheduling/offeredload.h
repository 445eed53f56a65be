#pragma once

#include "jobs/jobspec.h"
#include "timing/instant.h"

#include <chrono>
#include <cstddef>
#include <deque>

namespace Cornelquay {

/**
 * Estimates the resources that the jobs arriving for one pool keep busy.
 *
 * The load of a queue can rise to several times its mean from one moment to the next. The load of jobs
 * that have already arrived grows only over the length of those jobs, which is too late because
 * instances take seconds to move. The estimate therefore also extrapolates the rate of the latest few
 * arrivals: it detects a surge after a handful of jobs, whatever the gaps before it were, and its end as
 * soon as no more jobs arrive. Performs no I/O and reads no clock. Not thread-safe.
 *
 * @code
 * OfferedLoad offered;
 * offered.add(work, length, now);
 * const Resources busy = offered.at(now);
 * @endcode
 */
class OfferedLoad
{
public:
    /** Records the arrival of a job. @p work is in resources times milliseconds; @p chainLength is the run time of its critical path. */
    void add(const Resources &work, std::chrono::milliseconds chainLength, BootTime now);

    /** For each resource, the larger of the load of the jobs that have arrived and the load if jobs keep arriving at the latest rate. */
    Resources at(BootTime now) const;

private:
    struct Arrival {
        BootTime at{};
        /** Arrival time plus the length of the job. */
        BootTime until{};
        /** In resources times milliseconds. */
        Resources work;
        /** The work divided by the length of the job. */
        Resources load;
    };

    Resources currentLoad(BootTime now) const;
    Resources projectedLoad(BootTime now) const;

    /** Arrivals whose jobs are still expected to run, and at least the latest RateArrivalCount ones. */
    std::deque<Arrival> m_arrivals;
};

}
