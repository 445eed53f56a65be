#include "details/waiters.h"

namespace Cornelquay::Details {

void Waiters::add(const RecordId &id)
{
    const std::lock_guard lock(m_mutex);
    m_waiting.emplace(id, std::nullopt);
}

void Waiters::remove(const RecordId &id)
{
    const std::lock_guard lock(m_mutex);
    m_waiting.erase(id);
}

void Waiters::resolve(const RecordId &id, const ProposalFolded &folded)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_waiting.find(id);
    if (found == m_waiting.end() || found->second) {
        return;
    }
    found->second = folded;
    m_resolved.notify_all();
}

void Waiters::stop()
{
    const std::lock_guard lock(m_mutex);
    m_stopped = true;
    m_resolved.notify_all();
}

std::optional<ProposalFolded> Waiters::wait(const RecordId &id, SteadyTime deadline)
{
    std::unique_lock lock(m_mutex);
    m_resolved.wait_until(lock, deadline, [&] {
        return m_stopped || m_waiting.at(id).has_value();
    });
    return m_waiting.at(id);
}

bool Waiters::isStopped() const
{
    const std::lock_guard lock(m_mutex);
    return m_stopped;
}

}
