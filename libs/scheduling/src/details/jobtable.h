#pragma once

#include "details/jobentry.h"

#include <cstddef>
#include <map>
#include <string>
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
        const auto former = m_jobs.find(id);
        if (former != m_jobs.end()) {
            charge(former->second, false);
        }
        const auto result = m_jobs.insert_or_assign(id, std::move(entry));
        if (!result.second) {
            charge(result.first->second, true);
        }
        return note(result);
    }
    /** Erases a closed job. Returns the iterator that follows it. */
    Map::iterator erase(Map::iterator job)
    {
        // Removes the closed jobs from the index, which would keep the address of the erased one otherwise.
        open();
        charge(job->second, false);
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
    /** Estimate of the memory of all jobs. */
    std::size_t bytes() const
    {
        return m_bytes;
    }
    /** Estimate of the memory of the jobs of @p account. */
    std::size_t bytesOf(const std::string &account) const
    {
        const auto found = m_bytesByAccount.find(account);
        return found == m_bytesByAccount.end() ? 0 : found->second;
    }

private:
    std::pair<Map::iterator, bool> note(std::pair<Map::iterator, bool> result)
    {
        if (result.second) {
            charge(result.first->second, true);
            m_open.push_back(&result.first->second);
        }
        return result;
    }

    void charge(const JobEntry &entry, bool isAdded)
    {
        const JobRecord &record = entry.job.record();
        const std::size_t bytes = memoryOf(record.spec);
        std::size_t &ofAccount = m_bytesByAccount[record.account];
        m_bytes = isAdded ? m_bytes + bytes : m_bytes - bytes;
        ofAccount = isAdded ? ofAccount + bytes : ofAccount - bytes;
        if (ofAccount == 0) {
            m_bytesByAccount.erase(record.account);
        }
    }

    Map m_jobs;
    /** Estimate of the memory of all jobs, see memoryOf(), and of those of each client account. */
    std::size_t m_bytes = 0;
    std::map<std::string, std::size_t> m_bytesByAccount;
    /** May have jobs that were closed since the last call of open(). */
    mutable std::vector<JobEntry *> m_open;
};

}
