#include "jobnode/ownershipview.h"

#include <algorithm>

namespace Cornelquay {

namespace {

// Time for the named successor to store its claim, even if the store is slow, before other nodes claim too.
constexpr std::chrono::milliseconds NamedSuccessorGrace{400};

}

OwnershipView::OwnershipView(OwnershipTimes times, std::chrono::milliseconds claimDelay, std::string self)
    : m_times(times)
    , m_claimDelay(claimDelay)
    , m_selfName(std::move(self))
{
}

void OwnershipView::notePage(const OwnershipPage &page, BootTime now)
{
    if (!page.records.empty()) {
        m_owner = page.records.back();
        m_lastRecordAt = now;
    }
    if (!page.records.empty() || m_storeFailed) {
        m_ownerTimeoutStartedAt = now;
    }
    m_endOffset = std::max(m_endOffset, page.endOffset);
    m_storeFailed = false;
    m_hasReadLog = true;
    m_lastPageAt = now;
}

void OwnershipView::noteFailure()
{
    m_storeFailed = true;
}

const std::optional<OwnershipRecord> &OwnershipView::owner() const
{
    return m_owner;
}

std::uint64_t OwnershipView::endOffset() const
{
    return m_endOffset;
}

bool OwnershipView::hasReadLog() const
{
    return m_hasReadLog;
}

BootTime OwnershipView::lastRecordAt() const
{
    return m_lastRecordAt;
}

bool OwnershipView::shouldClaim(BootTime now) const
{
    if (!m_hasReadLog || m_storeFailed) {
        return false;
    }
    if (m_owner && m_owner->released && !m_owner->successor.empty()) {
        return m_owner->successor == m_selfName || now - m_ownerTimeoutStartedAt >= m_claimDelay + NamedSuccessorGrace;
    }
    if (!m_owner || m_owner->released) {
        return now - m_ownerTimeoutStartedAt >= m_claimDelay;
    }
    return m_lastPageAt - m_ownerTimeoutStartedAt >= m_times.ownerTimeout + m_claimDelay;
}

}
