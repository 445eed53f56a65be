#pragma once

#include "jobs/job.h"

#include <map>
#include <string>

namespace Cornelquay {

/**
 * The workers that are kept for tasks which may crash their worker, one job to a worker.
 *
 * A worker is kept as soon as it is chosen, so that no further work of other jobs is started on it; the suspects follow
 * once the work that it had has ended. A worker that they cannot use then is given back. Only a part of a pool is kept at a
 * time, so that suspects do not displace the other work. Not thread-safe.
 */
class JobIsolation
{
public:
    // Commands.
    /** Keeps @p worker of @p pool for @p job; replaces what it was kept for. */
    void keep(const WorkerId &worker, const std::string &pool, const JobId &job);
    /** Gives @p worker back. */
    void release(const WorkerId &worker);
    /** Gives back the workers for which @p isNeeded is false. */
    template<typename Predicate>
    void retain(Predicate isNeeded)
    {
        std::erase_if(m_kept, [&](const auto &item) {
            return !isNeeded(item.first, item.second.job);
        });
    }

    // Queries.
    /** The job for which @p worker is kept; null if it is open to all. Valid until the next command. */
    const JobId *jobOf(const WorkerId &worker) const;
    /** Whether another of the @p workersInPool workers may be kept. Fewer are kept while other work waits for capacity of the pool. */
    bool mayKeepMore(const std::string &pool, std::size_t workersInPool, bool hasBacklog) const;
    bool isEmpty() const;

private:
    struct Kept {
        std::string pool;
        JobId job;
    };
    std::map<WorkerId, Kept> m_kept;
};

}
