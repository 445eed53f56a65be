#pragma once

#include "jobnode/jobcall.h"
#include "jobnode/ports.h"
#include "timing/instant.h"

#include <optional>
#include <string>

namespace Cornelquay {

/** Times that govern the ownership of the jobs and the takeover by another node. */
struct OwnershipTimes {
    /** How often the owner appends a record to the ownership log. */
    std::chrono::milliseconds heartbeatInterval{250};
    /**
     * After this time a call to the ownership log counts as unanswered. Together with heartbeatInterval it must stay
     * below ownerTimeout, so that one lost answer causes no takeover.
     */
    std::chrono::milliseconds answerTimeout{500};
    /** Time without a new record of the owner, while the store answers, after which another node takes over. */
    std::chrono::milliseconds ownerTimeout{1000};
    /**
     * An owner gives orders while less than this time has passed since it sent its latest successful store call. Below
     * ownerTimeout, so that an owner that cannot reach the store stops before another node takes over.
     */
    std::chrono::milliseconds maxContactAgeForOrders{850};
    /**
     * As maxContactAgeForOrders, for orders for instances. Shorter, because a successor has no fencing token that makes the
     * control plane refuse late orders, and so waits for this time and InstanceTimes::orderTimeout after its fence.
     */
    std::chrono::milliseconds maxContactAgeForInstances{600};
    /** As maxContactAgeForOrders, for the extension of leases. Longer, so that runs survive an outage of the store. */
    std::chrono::milliseconds maxContactAgeForLeases{2000};
};

/** How long the node @p name with @p cpuShare cores delays a claim, so that stronger nodes claim first and others differ. */
std::chrono::milliseconds claimDelay(double cpuShare, const std::string &name);

/**
 * One node's view of the ownership of the jobs, as read from the ownership log.
 *
 * Pure. The owner's timeout runs only while the store answers: after an outage of the store it starts
 * anew, as the owner could not write heartbeats either. Not thread-safe.
 */
class OwnershipView
{
public:
    /** @p self is this node's name. Its claims are delayed by @p claimDelay, so that nodes do not claim at the same time. */
    OwnershipView(OwnershipTimes times, std::chrono::milliseconds claimDelay, std::string self);

    // Commands.
    /** Applies a page that was read from the ownership log, with or without records; ignored if a later page was applied before. */
    void notePage(const OwnershipPage &page, BootTime now);
    /** Keeps a route that a peer told, if it is of a later epoch than all that is known. */
    void noteRoute(const OwnerRoute &route);
    /** Records that a read of the ownership log failed. */
    void noteFailure();

    // Queries.
    /** The newest record; nothing if no record has been read. */
    const std::optional<OwnershipRecord> &owner() const;
    /**
     * Where to send calls for the owner: the owner in the log, or a later one that a peer told of. The owner checks its own
     * permission, so a wrong route does no harm. Nothing if no owner is known or the owner released the jobs.
     */
    std::optional<OwnerRoute> route() const;
    /** Offset after the last known record, where the next one is appended. */
    std::uint64_t endOffset() const;
    /** Whether the ownership log has been read at least once. */
    bool hasReadLog() const;
    /** When the newest record was read. */
    BootTime lastRecordAt() const;
    /** Whether this node should try to take over the ownership. */
    bool shouldClaim(BootTime now) const;
    /**
     * How long the next read of the ownership log should wait for a record: until this node's claim would be due if the owner
     * stays silent, within bounds. Nodes whose claims are due at different times then do not claim at the same time.
     */
    std::chrono::milliseconds readWait(BootTime now) const;

private:
    OwnershipTimes m_times;
    std::chrono::milliseconds m_claimDelay;
    std::string m_selfName;
    std::optional<OwnershipRecord> m_owner;
    OwnerRoute m_toldRoute;
    std::uint64_t m_endOffset = 0;
    bool m_hasReadLog = false;
    /** No page has been read, or a read has failed since the latest page. */
    bool m_storeFailed = true;
    /** The moment from which the owner's timeout and the delay of claims are counted. */
    BootTime m_ownerTimeoutStartedAt{};
    BootTime m_lastRecordAt{};
    BootTime m_lastPageAt{};
};

}
