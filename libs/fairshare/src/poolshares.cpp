#include "fairshare/poolshares.h"

#include "fairshare/weightedmaxmin.h"

#include <algorithm>
#include <limits>

namespace Cornelquay {

namespace {

constexpr std::array AllResourceKinds = {ResourceKind::Cpu, ResourceKind::Memory, ResourceKind::Gpu};

/** The part of its waiting tasks that the account's cap allows to run, from 0 to 1. */
double allowedFraction(const AccountClaim &claim)
{
    double fraction = 1;
    for (const ResourceKind kind : AllResourceKinds) {
        const std::int64_t cap = amountOf(claim.cap, kind);
        const std::int64_t waiting = amountOf(claim.waiting, kind);
        if (cap > 0 && waiting > 0) {
            const std::int64_t room = std::max<std::int64_t>(0, cap - amountOf(claim.runningInAllPools, kind));
            fraction = std::min(fraction, static_cast<double>(room) / static_cast<double>(waiting));
        }
    }
    return fraction;
}

/** Demand and capacity of a pool in one resource. */
struct ResourceLoad {
    std::map<std::string, double> demands;
    double waiting = 0;
    double free = 0;
    double capacity = 0;
    double demand = 0;

    double ratio() const
    {
        return capacity > 0 ? demand / capacity : 0;
    }
};

ResourceLoad loadOf(ResourceKind kind, const Resources &freeCapacity, const std::map<std::string, AccountClaim> &claims)
{
    ResourceLoad load;
    load.free = static_cast<double>(std::max<std::int64_t>(0, amountOf(freeCapacity, kind)));
    load.capacity = load.free;
    for (const auto &[account, claim] : claims) {
        const double running = static_cast<double>(amountOf(claim.running, kind));
        const double waiting = static_cast<double>(amountOf(claim.waiting, kind)) * allowedFraction(claim);
        load.capacity += running;
        load.waiting += waiting;
        load.demand += running + waiting;
        if (running + waiting > 0) {
            load.demands[account] = running + waiting;
        }
    }
    return load;
}

}

std::string_view toName(ResourceKind kind)
{
    return ResourceKindNames.at(static_cast<std::size_t>(kind));
}

std::int64_t amountOf(const Resources &resources, ResourceKind kind)
{
    switch (kind) {
    case ResourceKind::Cpu:
        return resources.cpu;
    case ResourceKind::Memory:
        return resources.memory;
    case ResourceKind::Gpu:
        return resources.gpu;
    }
    return 0;
}

PoolShares::PoolShares(const Resources &freeCapacity, const std::map<std::string, AccountClaim> &claims)
{
    ResourceLoad load = loadOf(m_bottleneck, freeCapacity, claims);
    for (const ResourceKind kind : AllResourceKinds) {
        ResourceLoad other = loadOf(kind, freeCapacity, claims);
        if (other.ratio() > load.ratio()) {
            m_bottleneck = kind;
            load = std::move(other);
        }
    }
    m_full = load.waiting > load.free;
    std::map<std::string, double> weights;
    for (const auto &[account, claim] : claims) {
        weights[account] = claim.weight;
    }
    m_entitlements = weightedMaxMin(load.capacity, load.demands, weights);
}

bool PoolShares::isFull() const
{
    return m_full;
}

ResourceKind PoolShares::bottleneck() const
{
    return m_bottleneck;
}

double PoolShares::entitlementOf(const std::string &account) const
{
    const auto found = m_entitlements.find(account);
    return found == m_entitlements.end() ? 0 : found->second;
}

const std::map<std::string, double> &PoolShares::entitlements() const
{
    return m_entitlements;
}

bool PoolShares::isWithinShare(const std::string &account, const Resources &running, const Resources &demand) const
{
    const std::int64_t used = amountOf(running, m_bottleneck);
    const double half = static_cast<double>(amountOf(demand, m_bottleneck)) / 2;
    return !m_full || used == 0 || static_cast<double>(used) + half <= entitlementOf(account);
}

}
