#pragma once

#include "demand/arrivedload.h"

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
 * offered.add({work, chainLength}, now);
 * const Resources busy = offered.at(now);
 * @endcode
 */
class OfferedLoad
{
public:
    /** Records the arrival of a job. */
    void add(const JobArrival &arrival, BootTime now);

    /** For each resource, the larger of the load of the jobs that have arrived and the load if jobs keep arriving at the latest rate. */
    Resources at(BootTime now) const;

private:
    struct LatestArrival {
        BootTime at{};
        /** In resources times milliseconds. */
        Resources work;
    };

    Resources projectedLoad(BootTime now) const;

    ArrivedLoad m_arrived;
    /** At most the arrivals from which the rate is computed. */
    std::deque<LatestArrival> m_latest;
};

}
