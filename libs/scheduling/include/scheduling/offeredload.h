#pragma once

#include "jobs/jobspec.h"
#include "timing/instant.h"

#include <chrono>
#include <cstddef>
#include <deque>

namespace Cornelquay {

/**
 * What the jobs that come in for one pool keep busy.
 *
 * Answers the load pattern "a calm queue asks for several times its mean from one moment to the
 * next". Work that has come in shows only over the length of its jobs, which is too late for
 * instances that take seconds to move. So the rate of the latest few arrivals is taken as well: a
 * surge shows after a handful of jobs, however far they were apart before, and its end as soon as
 * the next ones stay away. Pure.
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
    /** A job came in. @p work is in resources times milliseconds; @p length is that of its longest chain. */
    void add(const Resources &work, std::chrono::milliseconds chainLength, BootTime now);

    /** The resources that are kept busy: by what came in, or by what comes in if it goes on like that. */
    Resources at(BootTime now) const;

private:
    struct Arrival {
        BootTime at{};
        BootTime until{};
        Resources work;
        /** Spread over the length of the job. */
        Resources load;
    };

    Resources currentLoad(BootTime now) const;
    Resources projectedLoad(BootTime now) const;

    /** Those that are not over yet, and the latest few. */
    std::deque<Arrival> m_arrivals;
};

}
