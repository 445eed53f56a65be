#include "jobnode/orderannouncements.h"

#include "records/packing.h"

#include <algorithm>
#include <utility>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// The decision behind an order is based on the runs and the demand of the time at which it was made.
constexpr auto MaxWait = 1000ms;
// A record that names too many instances only delays a successor, so it is not written anew for each removal.
constexpr auto RemovalInterval = 1000ms;

void sortUnique(std::vector<InstanceId> &instances)
{
    std::sort(instances.begin(), instances.end());
    instances.erase(std::unique(instances.begin(), instances.end()), instances.end());
}

bool hasSameContent(const InstanceOrderRecord &one, const InstanceOrderRecord &other)
{
    return one.isComplete == other.isComplete && one.ordered == other.ordered && one.blocked == other.blocked;
}

}

const InstanceId &instanceOf(const InstanceOrder &order)
{
    return std::visit(
        [](const auto &specificOrder) -> const InstanceId & {
            return specificOrder.instance;
        },
        order);
}

std::string encode(const InstanceOrderRecord &record)
{
    return Packing::toBytes(record);
}

std::optional<InstanceOrderRecord> decodeInstanceOrders(const std::string &bytes)
{
    return Packing::fromBytes<InstanceOrderRecord>(bytes);
}

void OrderAnnouncements::add(DecidedOrder order)
{
    m_waitingInstances.insert(instanceOf(order.order));
    m_waiting.push_back({std::move(order), false});
    m_hasNewOrder = true;
}

std::optional<std::string> OrderAnnouncements::takeRecord(InstanceOrderRecord record, BootTime now)
{
    if (!isDue(now)) {
        return std::nullopt;
    }
    m_checkedAt = now;
    record.ordered.insert(record.ordered.end(), m_waitingInstances.begin(), m_waitingInstances.end());
    sortUnique(record.ordered);
    sortUnique(record.blocked);
    if (!m_mustStore && !m_hasNewOrder && hasSameContent(record, m_latest)) {
        return std::nullopt;
    }
    for (WaitingOrder &waiting : m_waiting) {
        waiting.isInRecord = true;
    }
    m_mustStore = false;
    m_hasNewOrder = false;
    m_latest = std::move(record);
    return encode(m_latest);
}

template<typename Condition>
std::vector<DecidedOrder> OrderAnnouncements::take(Condition isTaken)
{
    std::vector<DecidedOrder> taken;
    std::erase_if(m_waiting, [&](WaitingOrder &waiting) {
        if (!isTaken(waiting)) {
            return false;
        }
        m_waitingInstances.erase(instanceOf(waiting.decided.order));
        taken.push_back(std::move(waiting.decided));
        return true;
    });
    return taken;
}

std::vector<DecidedOrder> OrderAnnouncements::takeAnnounced()
{
    return take([](const WaitingOrder &waiting) {
        return waiting.isInRecord;
    });
}

std::vector<DecidedOrder> OrderAnnouncements::takeExpired(BootTime now)
{
    return take([now](const WaitingOrder &waiting) {
        return now - waiting.decided.decidedAt > MaxWait;
    });
}

void OrderAnnouncements::markChanged()
{
    m_mustStore = true;
    for (WaitingOrder &waiting : m_waiting) {
        waiting.isInRecord = false;
    }
}

bool OrderAnnouncements::isDue(BootTime now) const
{
    const bool mayHaveRemovals = !m_latest.isComplete || !m_latest.ordered.empty() || !m_latest.blocked.empty();
    return m_mustStore || m_hasNewOrder || (mayHaveRemovals && now - m_checkedAt >= RemovalInterval);
}

bool OrderAnnouncements::isWaiting(const InstanceId &instance) const
{
    return m_waitingInstances.count(instance) != 0;
}

}
