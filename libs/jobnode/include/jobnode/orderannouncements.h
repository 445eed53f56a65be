#pragma once

#include "jobnode/ports.h"
#include "scheduling/instances.h"
#include "timing/instant.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace Cornelquay {

/** Key of the record of instances with orders, which is stored beside those of jobs. Names of jobs contain no slash. */
constexpr const char *InstanceOrdersKey = "instances/orders";

/** The instances for which an owner gives orders. Stored before the orders are sent, for a successor; each list is sorted. */
struct InstanceOrderRecord {
    /** The ownership under which the record was written. */
    std::uint64_t epoch = 0;
    /** Whether the owner knew all instances that may have orders of its own predecessor. */
    bool isComplete = false;
    /** Instances for which the owner is about to give an order, or for which one was under way within InstanceTimes::handOverDelay. */
    std::vector<InstanceId> ordered;
    /** Instances for which the owner may give no order yet because of its own predecessor. */
    std::vector<InstanceId> blocked;

    auto fields()
    {
        return std::tie(epoch, isComplete, ordered, blocked);
    }
};

std::string encode(const InstanceOrderRecord &record);
/** Returns std::nullopt if @p bytes are malformed. */
std::optional<InstanceOrderRecord> decodeInstanceOrders(const std::string &bytes);

/** An order that was decided, but is not sent before its instance is announced. */
struct DecidedOrder {
    InstanceOrder order;
    /** The worker of the instance; empty if there is none. */
    WorkerId worker;
    SendCondition maySend;
    BootTime decidedAt{};
};

/**
 * The orders of an owner that wait until a record that names their instances is stored, and the decision when that record is
 * stored. Reads no clock and does no I/O. Must be used on the owner's thread.
 *
 * @code
 * announcements.add(order);
 * if (announcements.isDue(now)) {
 *     store(announcements.takeRecord(record, now), [] { send(announcements.takeAnnounced()); });
 * }
 * @endcode
 */
class OrderAnnouncements
{
public:
    // Commands.
    /** Adds an order; there must be none for the same instance. */
    void add(DecidedOrder order);
    /**
     * The record to store, if isDue() and its content has changed: @p record and the instances of all waiting orders. Until the record is
     * stored or given up, no other one may be taken.
     */
    std::optional<std::string> takeRecord(InstanceOrderRecord record, BootTime now);
    /** Returns, in the order of the decisions, the orders that the record taken last names; to be called once that record is stored. */
    std::vector<DecidedOrder> takeAnnounced();
    /** Returns the orders that have waited too long for their announcement. */
    std::vector<DecidedOrder> takeExpired(BootTime now);
    /** The record that was taken last is given up, and a new one has to be stored, because the jobs go to another partition. */
    void markChanged();

    // Queries.
    /** Whether a record has to be stored. */
    bool isDue(BootTime now) const;
    bool isWaiting(const InstanceId &instance) const;

private:
    struct WaitingOrder {
        DecidedOrder decided;
        /** The record that was taken last names the instance. */
        bool isInRecord = false;
    };

    /** Removes the orders for which @p isTaken holds, and returns them. */
    template<typename Condition>
    std::vector<DecidedOrder> take(Condition isTaken);

    std::vector<WaitingOrder> m_waiting;
    std::set<InstanceId> m_waitingInstances;
    /** A new owner writes its record even if it names no instance. */
    bool m_mustStore = true;
    /** Some waiting order is not in the record that was taken last. */
    bool m_hasNewOrder = false;
    /** The record that was taken last, without the epoch. */
    InstanceOrderRecord m_latest;
    BootTime m_checkedAt{};
};

/** The instance that @p order is for. */
const InstanceId &instanceOf(const InstanceOrder &order);

}
