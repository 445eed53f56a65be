#include "jobnode/ownershipview.h"

#include <algorithm>

namespace Cornelquay {

namespace {

// What a claim takes in a store that is slow, before others claim too.
constexpr std::chrono::milliseconds SuccessorGrace{400};

}

OwnershipView::OwnershipView(OwnershipTimes times, std::chrono::milliseconds claimDelay, std::string self)
    : m_times(times)
    , m_claimDelay(claimDelay)
    , m_self(std::move(self))
{
}

void OwnershipView::notePage(const OwnershipPage &page, BootTime now)
{
    if (!page.records.empty()) {
        m_owner = page.records.back();
        m_heardAt = now;
    }
    if (!page.records.empty() || m_interrupted) {
        m_quietSince = now;
    }
    m_end = std::max(m_end, page.end);
    m_interrupted = false;
    m_known = true;
    m_answeredAt = now;
}

void OwnershipView::noteFailure()
{
    m_interrupted = true;
}

const std::optional<OwnershipRecord> &OwnershipView::owner() const
{
    return m_owner;
}

std::uint64_t OwnershipView::end() const
{
    return m_end;
}

bool OwnershipView::isKnown() const
{
    return m_known;
}

BootTime OwnershipView::heardAt() const
{
    return m_heardAt;
}

bool OwnershipView::shouldClaim(BootTime now) const
{
    if (!m_known || m_interrupted) {
        return false;
    }
    if (m_owner && m_owner->released && !m_owner->successor.empty()) {
        return m_owner->successor == m_self || now - m_quietSince >= m_claimDelay + SuccessorGrace;
    }
    if (!m_owner || m_owner->released) {
        return now - m_quietSince >= m_claimDelay;
    }
    return m_answeredAt - m_quietSince >= m_times.silence + m_claimDelay;
}

}
