#include "scheduling/jobisolation.h"

#include <algorithm>

namespace Cornelquay {

namespace {

// The largest part of a pool's workers that is kept for suspects at a time, but always one.
constexpr double MaxKeptFraction = 0.8;
constexpr double MaxKeptFractionWithBacklog = 0.25;

}

void JobIsolation::keep(const WorkerId &worker, const std::string &pool, const JobId &job)
{
    m_kept.insert_or_assign(worker, Kept{pool, job});
}

void JobIsolation::release(const WorkerId &worker)
{
    m_kept.erase(worker);
}

const JobId *JobIsolation::jobOf(const WorkerId &worker) const
{
    const auto found = m_kept.find(worker);
    return found == m_kept.end() ? nullptr : &found->second.job;
}

bool JobIsolation::mayKeepMore(const std::string &pool, std::size_t workersInPool, bool hasBacklog) const
{
    const auto kept = static_cast<std::size_t>(std::count_if(m_kept.begin(), m_kept.end(), [&](const auto &item) {
        return item.second.pool == pool;
    }));
    const double fraction = hasBacklog ? MaxKeptFractionWithBacklog : MaxKeptFraction;
    return kept < std::max<std::size_t>(1, static_cast<std::size_t>(static_cast<double>(workersInPool) * fraction));
}

bool JobIsolation::isEmpty() const
{
    return m_kept.empty();
}

}
