#pragma once

#include "jobs/jobspec.h"
#include "timing/instant.h"

#include <chrono>
#include <deque>

namespace Cornelquay {

/** The arrival of a job. */
struct JobArrival {
    /** Of all tasks of the job, in resources times milliseconds. */
    Resources work;
    /** Run time of the job's critical path. */
    std::chrono::milliseconds chainLength{0};
    /** For how long the job may wait in all without missing its objective. */
    std::chrono::milliseconds slack{0};
};

/**
 * The load of the jobs that have arrived for one pool: each counts with its work divided by its length until
 * that length is over. Performs no I/O and reads no clock. Not thread-safe.
 */
class ArrivedLoad
{
public:
    void add(const JobArrival &arrival, BootTime now);
    Resources at(BootTime now) const;

private:
    struct ExpectedJob {
        /** Arrival time plus the length of the job. */
        BootTime until{};
        Resources load;
    };

    std::deque<ExpectedJob> m_jobs;
};

}
