#include "details/ownerpermission.h"

#include <algorithm>

namespace Cornelquay {

namespace {

constexpr OwnershipTimes DefaultTimes;

// One lost answer must not interrupt the orders: the repeated heartbeat is answered before the permission expires.
static_assert(DefaultTimes.heartbeatInterval + DefaultTimes.answerTimeout < DefaultTimes.maxContactAgeForOrders);
// An owner that writes no heartbeats stops giving orders before another node notices its silence.
static_assert(DefaultTimes.maxContactAgeForOrders < DefaultTimes.ownerTimeout);
static_assert(DefaultTimes.maxContactAgeForInstances <= DefaultTimes.maxContactAgeForOrders);
static_assert(DefaultTimes.heartbeatInterval < DefaultTimes.maxContactAgeForInstances);

}

OwnerPermission::OwnerPermission(const OwnershipTimes &times)
    : m_times(times)
{
}

void OwnerPermission::confirm(BootTime sentAt)
{
    m_confirmedAt = std::max(m_confirmedAt, sentAt);
}

void OwnerPermission::suspendOrders()
{
    m_ordersSuspended = true;
}

void OwnerPermission::revoke()
{
    m_revoked = true;
}

bool OwnerPermission::allows(OwnerAction action, BootTime now) const
{
    if (m_revoked || (m_ordersSuspended && action != OwnerAction::ExtendLeases)) {
        return false;
    }
    return now - m_confirmedAt < maxAge(action);
}

BootTime OwnerPermission::confirmedAt() const
{
    return m_confirmedAt;
}

std::chrono::milliseconds OwnerPermission::maxAge(OwnerAction action) const
{
    switch (action) {
    case OwnerAction::OrderWorkers:
        return m_times.maxContactAgeForOrders;
    case OwnerAction::OrderInstances:
        return m_times.maxContactAgeForInstances;
    case OwnerAction::ExtendLeases:
        return m_times.maxContactAgeForLeases;
    }
    return std::chrono::milliseconds(0);
}

SendCondition sendCondition(const std::shared_ptr<const OwnerPermission> &permission, OwnerAction action)
{
    return [permission, action] {
        return permission->allows(action, BootClock::now());
    };
}

}
