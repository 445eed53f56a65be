#pragma once

#include "jobnode/ports.h"
#include "timing/instant.h"

#include <optional>
#include <string>

namespace Cornelquay {

/** When silence of an owner counts. */
struct OwnershipTimes {
    /** How often an owner says that it is there. */
    std::chrono::milliseconds heartbeat{250};
    /** Answers of the ownership log that take longer are lost; with a heartbeat more still below the silence. */
    std::chrono::milliseconds answer{500};
    /** Silence, while the store answers, after which another node takes over. */
    std::chrono::milliseconds silence{1000};
    /** Age of its latest success in the store up to which an owner gives orders; below the silence. */
    std::chrono::milliseconds orderFreshness{850};
    /** Age up to which it extends leases, so that work outlives an outage of the store. */
    std::chrono::milliseconds leaseFreshness{3500};
};

/**
 * What one node knows of the ownership of the jobs, from the ownership log.
 *
 * Pure. Silence is counted only while the store answers: after an outage of the store the owner
 * gets the whole time again to be heard.
 */
class OwnershipView
{
public:
    /** @p self is this node's name; its claims wait for @p claimDelay so that those of several nodes do not meet. */
    OwnershipView(OwnershipTimes times, std::chrono::milliseconds claimDelay, std::string self);

    // Commands.
    void notePage(const OwnershipPage &page, BootTime now);
    void noteFailure();

    // Queries.
    const std::optional<OwnershipRecord> &owner() const;
    /** Offset after the last known record. */
    std::uint64_t end() const;
    /** Some answer of the store was seen. */
    bool isKnown() const;
    /** When the newest record was read. */
    BootTime heardAt() const;
    /** Whether this node should try to take over. */
    bool shouldClaim(BootTime now) const;

private:
    OwnershipTimes m_times;
    std::chrono::milliseconds m_claimDelay;
    std::string m_self;
    std::optional<OwnershipRecord> m_owner;
    std::uint64_t m_end = 0;
    bool m_known = false;
    bool m_interrupted = true;
    BootTime m_quietSince{};
    BootTime m_heardAt{};
    BootTime m_answeredAt{};
};

}
