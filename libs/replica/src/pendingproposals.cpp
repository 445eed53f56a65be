#include "details/pendingproposals.h"

namespace Cornelquay::Details {

void PendingProposals::add(const RecordId &id)
{
    const std::lock_guard lock(m_mutex);
    m_verdicts.emplace(id, std::nullopt);
}

void PendingProposals::remove(const RecordId &id)
{
    const std::lock_guard lock(m_mutex);
    m_verdicts.erase(id);
}

void PendingProposals::resolve(const RecordId &id, const ProposalFolded &folded)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_verdicts.find(id);
    if (found == m_verdicts.end() || found->second) {
        return;
    }
    found->second = folded;
    m_resolved.notify_all();
}

void PendingProposals::stop()
{
    const std::lock_guard lock(m_mutex);
    m_stopped = true;
    m_resolved.notify_all();
}

std::optional<ProposalFolded> PendingProposals::wait(const RecordId &id, SteadyTime deadline)
{
    std::unique_lock lock(m_mutex);
    m_resolved.wait_until(lock, deadline, [&] {
        return m_stopped || m_verdicts.at(id).has_value();
    });
    return m_verdicts.at(id);
}

bool PendingProposals::isStopped() const
{
    const std::lock_guard lock(m_mutex);
    return m_stopped;
}

}
