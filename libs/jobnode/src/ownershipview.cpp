#include "jobnode/ownershipview.h"

#include <algorithm>

namespace Cornelquay {

namespace {

// Time for the named successor to store its claim, even if the store is slow, before other nodes claim too.
constexpr std::chrono::milliseconds NamedSuccessorGrace{400};
// A waiting read returns at least this often, so that missing heartbeats and connections that lost an answer are noticed in time.
constexpr std::chrono::milliseconds MaxReadWait{350};
// Bounds the rate of reads while this node's claim is due but not possible.
constexpr std::chrono::milliseconds MinReadWait{40};
// Delay of a claim by a node with one whole core; nodes with less cpu wait longer in proportion, those with more wait less.
constexpr double ClaimDelayMsForOneCore = 25.0;
// Avoids a claim delay beyond MaxClaimDelay by far for nodes with hardly any cpu.
constexpr double MinCpuShare = 0.05;
// Nodes with the same cpu differ in their delay by a hash of their names, below this bound.
constexpr std::uint32_t ClaimJitterMs = 60;
constexpr std::chrono::milliseconds MaxClaimDelay{400};

}

std::chrono::milliseconds claimDelay(double cpuShare, const std::string &name)
{
    const auto byCpuShare = static_cast<std::int64_t>(ClaimDelayMsForOneCore / std::max(MinCpuShare, cpuShare));
    const auto jitter = static_cast<std::int64_t>(std::hash<std::string>()(name) % ClaimJitterMs);
    return std::min(MaxClaimDelay, std::chrono::milliseconds(byCpuShare + jitter));
}

OwnershipView::OwnershipView(OwnershipTimes times, std::chrono::milliseconds claimDelay, std::string self)
    : m_times(times)
    , m_claimDelay(claimDelay)
    , m_selfName(std::move(self))
{
}

void OwnershipView::notePage(const OwnershipPage &page, BootTime now)
{
    if (page.endOffset < m_endOffset) {
        return;
    }
    if (!page.records.empty()) {
        m_owner = page.records.back();
        m_lastRecordAt = now;
    }
    if (!page.records.empty() || m_storeFailed) {
        m_ownerTimeoutStartedAt = now;
    }
    m_endOffset = page.endOffset;
    m_storeFailed = false;
    m_hasReadLog = true;
    m_lastPageAt = now;
}

void OwnershipView::noteRoute(const OwnerRoute &route)
{
    if (route.epoch > m_toldRoute.epoch && (!m_owner || route.epoch > m_owner->epoch)) {
        m_toldRoute = route;
    }
}

std::optional<OwnerRoute> OwnershipView::route() const
{
    if (m_toldRoute.epoch > (m_owner ? m_owner->epoch : 0)) {
        return m_toldRoute;
    }
    if (!m_owner || m_owner->released) {
        return std::nullopt;
    }
    return OwnerRoute{m_owner->node, m_owner->incarnation, m_owner->address, m_owner->epoch};
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

std::chrono::milliseconds OwnershipView::readWait(BootTime now) const
{
    if (!m_hasReadLog || m_storeFailed || !m_owner || m_owner->released || m_owner->node == m_selfName) {
        return MaxReadWait;
    }
    return std::clamp(m_ownerTimeoutStartedAt + m_times.ownerTimeout + m_claimDelay - now, MinReadWait, MaxReadWait);
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
