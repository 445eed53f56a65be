#pragma once

#include "details/jobentry.h"

#include <cstddef>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Cornelquay {

/**
 * The jobs of an owner by id, with an index of those that are open: closed ones are kept for some minutes and soon outnumber them.
 * Entries keep their addresses until they are erased. Not thread-safe.
 */
class JobTable
{
public:
    using Map = std::unordered_map<JobId, JobEntry>;

    JobTable() = default;
    JobTable(const JobTable &) = delete;
    JobTable &operator=(const JobTable &) = delete;

    // Commands.
    std::pair<Map::iterator, bool> tryEmplace(const JobId &id, const JobEntry &entry)
    {
        return note(m_jobs.try_emplace(id, entry));
    }
    std::pair<Map::iterator, bool> insertOrAssign(const JobId &id, JobEntry entry)
    {
        return note(m_jobs.insert_or_assign(id, std::move(entry)));
    }
    /** Erases a closed job. Returns the iterator that follows it. */
    Map::iterator erase(Map::iterator job)
    {
        // Removes the closed jobs from the index, which would keep the address of the erased one otherwise.
        open();
        return m_jobs.erase(job);
    }
    Map::iterator begin()
    {
        return m_jobs.begin();
    }
    Map::iterator end()
    {
        return m_jobs.end();
    }
    Map::iterator find(const JobId &id)
    {
        return m_jobs.find(id);
    }
    JobEntry &at(const JobId &id)
    {
        return m_jobs.at(id);
    }

    // Queries.
    /** The open jobs, in no particular order. Valid until the next command or the next call, which removes those that were closed meanwhile. */
    const std::vector<JobEntry *> &open() const
    {
        std::erase_if(m_open, [](const JobEntry *entry) {
            return !entry->job.isOpen();
        });
        return m_open;
    }
    Map::const_iterator begin() const
    {
        return m_jobs.begin();
    }
    Map::const_iterator end() const
    {
        return m_jobs.end();
    }
    Map::const_iterator find(const JobId &id) const
    {
        return m_jobs.find(id);
    }
    std::size_t count(const JobId &id) const
    {
        return m_jobs.count(id);
    }
    std::size_t size() const
    {
        return m_jobs.size();
    }

private:
    std::pair<Map::iterator, bool> note(std::pair<Map::iterator, bool> result)
    {
        if (result.second) {
            m_open.push_back(&result.first->second);
        }
        return result;
    }

    Map m_jobs;
    /** May have jobs that were closed since the last call of open(). */
    mutable std::vector<JobEntry *> m_open;
};

}
