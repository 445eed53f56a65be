#pragma once

#include "jobnode/ownershipview.h"
#include "jobnode/ports.h"
#include "timing/instant.h"

#include <cstdint>
#include <memory>

namespace Cornelquay {

/** What an owner does to the outside and may do only while it holds the ownership. */
enum class OwnerAction : std::uint8_t {
    /** Orders to workers, apart from extensions of leases. */
    OrderWorkers,
    /** Orders for instances, and reports of waves. */
    OrderInstances,
    /** Extensions of leases, and listings. */
    ExtendLeases,
};

/**
 * The permission of one owner to act, which expires unless the store confirms the ownership again and again.
 *
 * A confirmation is an append that succeeded and would have been refused if a successor had fenced this owner before the
 * call was sent. So a successor that counts the times of OwnershipTimes from its own fence waits long enough, whatever the
 * owner's last confirmation was. Reads do not count, as they may show an earlier state.
 *
 * Whoever decides an action and whoever writes it to a connection use the same permission, so that an order which waited
 * in a queue while the permission expired is not sent. Not thread-safe.
 */
class OwnerPermission
{
public:
    explicit OwnerPermission(const OwnershipTimes &times);

    // Commands.
    /** A store call that was sent at @p sentAt confirmed the ownership. */
    void confirm(BootTime sentAt);
    /** From now on allows only OwnerAction::ExtendLeases. */
    void suspendOrders();
    /** Ends the permission for good. */
    void revoke();

    // Queries.
    bool allows(OwnerAction action, BootTime now) const;
    /** When the latest confirming store call was sent. */
    BootTime confirmedAt() const;

private:
    std::chrono::milliseconds maxAge(OwnerAction action) const;

    const OwnershipTimes m_times;
    BootTime m_confirmedAt{};
    bool m_ordersSuspended = false;
    bool m_revoked = false;
};

/** The condition under which @p action may still be sent; keeps @p permission alive. */
SendCondition sendCondition(const std::shared_ptr<const OwnerPermission> &permission, OwnerAction action);

}
