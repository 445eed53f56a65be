#include "jobnode/predecessororders.h"

#include "telemetry/log.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Cornelquay {

namespace {

constexpr std::array<std::string_view, 5> PredecessorRecordNames{"missing", "unreadable", "older", "incomplete", "complete"};

}

std::string_view toName(PredecessorRecord record)
{
    return PredecessorRecordNames.at(static_cast<std::size_t>(record));
}

PredecessorOrders::PredecessorOrders(InstanceHandOver handOver, std::chrono::milliseconds orderTimeout, std::chrono::milliseconds handOverDelay)
    : m_handOver(std::move(handOver))
    , m_orderTimeout(orderTimeout)
    , m_handOverDelay(handOverDelay)
{
    for (const auto &[instance, until] : m_handOver.blockedUntil) {
        m_latestDated = std::max(m_latestDated, until);
    }
}

void PredecessorOrders::noteFenced(BootTime at)
{
    m_fencedAt = at;
}

void PredecessorOrders::restore(const std::string &bytes)
{
    const std::optional<InstanceOrderRecord> record = decodeInstanceOrders(bytes);
    if (!record) {
        m_record = PredecessorRecord::Unreadable;
        logChange("owner", "unreadable record", {{"key", InstanceOrdersKey}, {"bytes", std::to_string(bytes.size())}});
        return;
    }
    const bool isOfPredecessor = m_handOver.predecessorEpoch != 0 && record->epoch == m_handOver.predecessorEpoch;
    m_record = !isOfPredecessor ? PredecessorRecord::Older : record->isComplete ? PredecessorRecord::Complete : PredecessorRecord::Incomplete;
    m_named.insert(record->blocked.begin(), record->blocked.end());
    if (isOfPredecessor && m_handOver.continuesOwn) {
        m_own.insert(record->ordered.begin(), record->ordered.end());
        return;
    }
    // A release lists the predecessor's own orders with their times.
    const bool isReleased = m_handOver.isComplete && m_handOver.predecessorEnded;
    if (!isOfPredecessor || !isReleased) {
        m_named.insert(record->ordered.begin(), record->ordered.end());
    }
}

bool PredecessorOrders::isCurrent() const
{
    return m_record == PredecessorRecord::Complete || m_record == PredecessorRecord::Incomplete;
}

bool PredecessorOrders::namesAll() const
{
    return isCurrent() ? m_record == PredecessorRecord::Complete : m_handOver.isComplete;
}

BootTime PredecessorOrders::endAt() const
{
    return m_fencedAt ? *m_fencedAt + m_handOver.predecessorPermission + m_orderTimeout : BootTime{};
}

BootTime PredecessorOrders::undatedUntil() const
{
    return endAt() + m_handOverDelay;
}

bool PredecessorOrders::hasUnnamedOwnOrders() const
{
    return m_handOver.continuesOwn && !isCurrent();
}

OrderBlock PredecessorOrders::blockOf(const InstanceId &instance, bool isUnheard) const
{
    const auto dated = m_handOver.blockedUntil.find(instance);
    if (dated != m_handOver.blockedUntil.end()) {
        return {m_named.count(instance) != 0 ? std::max(dated->second, undatedUntil()) : dated->second, false};
    }
    // Without a release, a list of instances and the jobs alone do not show what an unheard worker does.
    const bool mayHaveUnknownRuns = isUnheard && !m_handOver.isComplete;
    if (!namesAll() || mayHaveUnknownRuns || m_named.count(instance) != 0) {
        return {undatedUntil(), true};
    }
    const bool mayHaveOwnOrder = hasUnnamedOwnOrders() || m_own.count(instance) != 0;
    return {mayHaveOwnOrder && !m_handOver.predecessorEnded ? endAt() : BootTime{}, false};
}

// A release dates an order that has no answer from the latest time at which it may arrive, and all others from their answer, which
// is in the past.
bool PredecessorOrders::mayArrive(const InstanceId &instance, BootTime now) const
{
    const auto dated = m_handOver.blockedUntil.find(instance);
    if (dated != m_handOver.blockedUntil.end() && now < dated->second - m_handOverDelay) {
        return true;
    }
    const bool isNamed = m_named.count(instance) != 0 || m_own.count(instance) != 0;
    return isNamed && !m_handOver.predecessorEnded && now < endAt();
}

BootTime PredecessorOrders::blocksUntil() const
{
    return std::max(undatedUntil(), m_latestDated);
}

const std::set<InstanceId> &PredecessorOrders::ownInstances() const
{
    return m_own;
}

std::set<InstanceId> PredecessorOrders::blockedInstances(BootTime now) const
{
    std::set<InstanceId> blocked;
    if (now < undatedUntil()) {
        blocked = m_named;
    }
    for (const auto &[instance, until] : m_handOver.blockedUntil) {
        if (now < until) {
            blocked.insert(instance);
        }
    }
    return blocked;
}

bool PredecessorOrders::knowsAll(BootTime now) const
{
    return (namesAll() && !hasUnnamedOwnOrders()) || now >= undatedUntil();
}

PredecessorRecord PredecessorOrders::record() const
{
    return m_record;
}

}
