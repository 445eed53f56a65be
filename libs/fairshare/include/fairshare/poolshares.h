#pragma once

#include "jobs/jobspec.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Cornelquay {

/** A field of Resources. */
enum class ResourceKind : std::uint8_t {
    Cpu,
    Memory,
    Gpu,
};
constexpr std::array<std::string_view, 3> ResourceKindNames = {"cpu", "memory", "gpu"};

std::string_view toName(ResourceKind kind);
std::int64_t amountOf(const Resources &resources, ResourceKind kind);

/** What one client account runs and wants to run in one pool. */
struct AccountClaim {
    double weight = 1.0;
    Resources running;
    /** Demand of the tasks that could start at once if the pool had capacity. */
    Resources waiting;
    /** Upper limit of what the account's runs of all pools use; a field of 0 means no limit. */
    Resources cap;
    /** What the account's runs of all pools use. */
    Resources runningInAllPools;
};

/**
 * The division of one pool's capacity among the client accounts that have demand there, at one moment.
 *
 * The resource that is divided is the pool's bottleneck: the one of which running and waiting tasks want the largest
 * part of the capacity. The division is weighted max-min over that demand, so an account is entitled to no more than it
 * can use, and what it leaves goes to the others. Demand that the account's cap rules out is no demand. Pure.
 *
 * @code
 * const PoolShares shares(freeCapacity, claims);
 * if (shares.isWithinShare(account, usage.of(pool, account), task.demand)) { ... }
 * @endcode
 */
class PoolShares
{
public:
    /** The pool's capacity is what all @p claims run, and @p freeCapacity. */
    PoolShares(const Resources &freeCapacity, const std::map<std::string, AccountClaim> &claims);

    /** The waiting tasks want more of the bottleneck than is free. Otherwise each account is entitled to all that it wants. */
    bool isFull() const;
    ResourceKind bottleneck() const;
    /** Part of the capacity in the unit of the bottleneck; 0 for an account without demand. */
    double entitlementOf(const std::string &account) const;
    /** The entitlement of each account with demand. */
    const std::map<std::string, double> &entitlements() const;
    /**
     * Whether an account whose runs use @p running may have a further task with @p demand before accounts beyond their share.
     *
     * A task counts as within the share if at least half of it is, so that entitlements are not rounded down to whole tasks.
     * An account without runs may always have one task, because its entitlement can be smaller than that.
     */
    bool isWithinShare(const std::string &account, const Resources &running, const Resources &demand) const;

private:
    ResourceKind m_bottleneck = ResourceKind::Cpu;
    bool m_full = false;
    std::map<std::string, double> m_entitlements;
};

}
