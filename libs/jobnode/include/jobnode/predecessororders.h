#pragma once

#include "jobnode/orderannouncements.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Cornelquay {

/**
 * What a new owner knows from the ownership log of the orders that its predecessor gave for instances. Its own first order for an
 * instance follows the predecessor's latest one by at least InstanceTimes::handOverDelay.
 */
struct InstanceHandOver {
    /** Whether blockedUntil has all instances for which the predecessor gave recent orders. */
    bool isComplete = false;
    /** The predecessor has ended, so that none of its orders is still under way. */
    bool predecessorEnded = false;
    /** Instances for which the predecessor gave recent orders, and until when no order may follow. */
    std::map<InstanceId, BootTime> blockedUntil;
    /** For how long after the fence a predecessor that has not ended may send orders. */
    std::chrono::milliseconds predecessorPermission{0};
    /** The predecessor's epoch; 0 if there was none. */
    std::uint64_t predecessorEpoch = 0;
    /** The predecessor is an earlier ownership of this node, whose orders need no delay. */
    bool continuesOwn = false;
};

/** What the stored record says about the predecessor's orders. */
enum class PredecessorRecord : std::uint8_t {
    /** There is none. */
    Missing,
    Unreadable,
    /** It was written under an earlier epoch than the predecessor's. */
    Older,
    /** The predecessor wrote it, but did not know all orders of its own predecessor. */
    Incomplete,
    Complete,
};

std::string_view toName(PredecessorRecord record);

/** How long no order may be given for an instance. */
struct OrderBlock {
    /** In the past if orders may be given. */
    BootTime until{};
    /**
     * Whether it ends earlier when a list of instances that was read after PredecessorOrders::endAt() shows a worker that has run for
     * longer than the predecessor's orders may date back.
     */
    bool endsWithStableWorker = false;
};

/**
 * Which instances the orders of earlier owners block, from the hand-over and from the record that the predecessor stored. Reads no
 * clock. Must be used on the owner's thread.
 */
class PredecessorOrders
{
public:
    /** @p orderTimeout and @p handOverDelay are those of InstanceTimes. */
    PredecessorOrders(InstanceHandOver handOver, std::chrono::milliseconds orderTimeout, std::chrono::milliseconds handOverDelay);

    // Commands.
    /** The predecessor was fenced: from now on it stores no record. */
    void noteFenced(BootTime at);
    /** Uses the record that was read after the fence. One that cannot be read is ignored. */
    void restore(const std::string &bytes);

    // Queries.
    /** @p isUnheard: the instance has a worker that has not answered this owner yet, so that its runs are not known for sure. */
    OrderBlock blockOf(const InstanceId &instance, bool isUnheard) const;
    /** From when on no order of the predecessor is under way anymore; long past if none was when this ownership began. */
    BootTime endAt() const;
    /** Whether an order of an earlier owner for the instance may still take effect and end its worker. */
    bool mayArrive(const InstanceId &instance, BootTime now) const;
    /** From when on no instance is blocked. */
    BootTime blocksUntil() const;
    /** Instances for which this node gave recent orders in its earlier ownership; they may arrive until endAt(). */
    const std::set<InstanceId> &ownInstances() const;
    /** Instances that are blocked by name. */
    std::set<InstanceId> blockedInstances(BootTime now) const;
    /** Whether all instances that are blocked at @p now are blocked by name. */
    bool knowsAll(BootTime now) const;
    PredecessorRecord record() const;

private:
    bool isCurrent() const;
    /** Whether the hand-over and the record together name all instances with orders of earlier owners. */
    bool namesAll() const;
    /** Until when orders of earlier owners that are not dated block an instance. */
    BootTime undatedUntil() const;
    /** Whether this node's earlier ownership may have orders under way that no record names. */
    bool hasUnnamedOwnOrders() const;

    const InstanceHandOver m_handOver;
    const std::chrono::milliseconds m_orderTimeout;
    const std::chrono::milliseconds m_handOverDelay;
    /** The latest time of the hand-over's InstanceHandOver::blockedUntil. */
    BootTime m_latestDated{};
    std::optional<BootTime> m_fencedAt;
    PredecessorRecord m_record = PredecessorRecord::Missing;
    /** Instances that may have orders of an earlier owner at an unknown time. */
    std::set<InstanceId> m_named;
    std::set<InstanceId> m_own;
};

}
