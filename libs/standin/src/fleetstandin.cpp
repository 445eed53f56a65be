#include "standin/fleetstandin.h"

#include <deque>
#include <map>
#include <mutex>

namespace Cornelquay {

namespace {

/** One instance and its worker. */
struct Member {
    ListedInstance listing;
    std::unique_ptr<WorkerStandin> worker;
    Offset highestFencingToken = 0;
    SteadyTime rebootEndsAt;
    bool dead = false;
};

/** The list of instances at one time. */
struct ListSnapshot {
    SteadyTime takenAt;
    std::vector<ListedInstance> instances;
};

}

struct FleetStandin::Impl {
    explicit Impl(const FleetStandinSettings &fleetSettings)
        : settings(fleetSettings)
    {
    }

    const FleetStandinSettings settings;
    RunLedger ledger;
    mutable std::mutex mutex;
    std::map<std::string, Member> members;
    std::deque<ListSnapshot> snapshots;

    void addPool(const PoolSize &pool, int &index);
    /** The member that @p command addresses, or Refused if the command must not take effect. */
    tl::expected<Member *, PlatformError> acceptCommand(const FencedCommand &command);
    void advanceMember(Member &member, SteadyTime now);
    void takeSnapshot(SteadyTime now);
};

void FleetStandin::Impl::addPool(const PoolSize &pool, int &index)
{
    for (int count = 0; count < pool.instances; ++count, ++index) {
        Member member;
        ListedInstance &listing = member.listing;
        listing.name = pool.pool + '-' + std::to_string(count + 1);
        listing.incarnation = 1;
        listing.pool = pool.pool;
        listing.zone = settings.zones[static_cast<std::size_t>(index) % settings.zones.size()];
        listing.rack = listing.zone + "-rack-" + std::to_string(index / static_cast<int>(settings.zones.size()) / settings.workersPerRack);
        listing.cores = settings.cores;
        listing.memoryBytes = settings.memoryBytes;
        listing.accelerators = settings.accelerators;
        listing.maintainedAtMs = toUnixMilliseconds(wallNow());
        const WorkerSettings worker{listing.name, listing.incarnation, settings.slots, settings.seed + static_cast<std::uint64_t>(index)};
        member.worker = std::make_unique<WorkerStandin>(worker, ledger);
        listing.address = member.worker->address();
        members.emplace(listing.name, std::move(member));
    }
}

tl::expected<Member *, PlatformError> FleetStandin::Impl::acceptCommand(const FencedCommand &command)
{
    const auto found = members.find(command.instance);
    const bool tooLate = command.beginDeadline < wallNow();
    if (found == members.end() || found->second.dead || tooLate || command.fencingToken < found->second.highestFencingToken) {
        return tl::make_unexpected(PlatformError::Refused);
    }
    found->second.highestFencingToken = command.fencingToken;
    return &found->second;
}

void FleetStandin::Impl::advanceMember(Member &member, SteadyTime now)
{
    if (member.listing.state == ListedState::Draining && member.worker->running() == 0) {
        member.listing.state = ListedState::Drained;
    }
    if (member.listing.state == ListedState::Rebooting && now >= member.rebootEndsAt) {
        member.listing.incarnation += 1;
        member.listing.maintainedAtMs = toUnixMilliseconds(wallNow());
        member.worker->restart(member.listing.incarnation);
        member.listing.state = ListedState::Live;
    }
}

void FleetStandin::Impl::takeSnapshot(SteadyTime now)
{
    ListSnapshot snapshot{now, {}};
    for (const auto &[name, member] : members) {
        if (!member.dead) {
            snapshot.instances.push_back(member.listing);
        }
    }
    snapshots.push_back(std::move(snapshot));
    while (snapshots.size() > 1 && snapshots[1].takenAt + settings.listLag <= now) {
        snapshots.pop_front();
    }
}

FleetStandin::FleetStandin(const FleetStandinSettings &settings)
    : m_impl(std::make_unique<Impl>(settings))
{
    int index = 0;
    for (const PoolSize &pool : settings.pools) {
        m_impl->addPool(pool, index);
    }
    m_impl->takeSnapshot(steadyNow());
}

FleetStandin::~FleetStandin() = default;

void FleetStandin::advance(SteadyTime now)
{
    const std::lock_guard lock(m_impl->mutex);
    for (auto &[name, member] : m_impl->members) {
        m_impl->advanceMember(member, now);
    }
    m_impl->takeSnapshot(now);
}

tl::expected<void, PlatformError> FleetStandin::drain(const FencedCommand &command)
{
    const std::lock_guard lock(m_impl->mutex);
    const auto member = m_impl->acceptCommand(command);
    if (!member) {
        return tl::make_unexpected(member.error());
    }
    ListedInstance &listing = (*member)->listing;
    if (listing.state == ListedState::Live) {
        listing.state = ListedState::Draining;
        (*member)->worker->setDraining(true);
    }
    return {};
}

tl::expected<void, PlatformError> FleetStandin::reboot(const FencedCommand &command, SteadyTime now)
{
    const std::lock_guard lock(m_impl->mutex);
    const auto member = m_impl->acceptCommand(command);
    if (!member) {
        return tl::make_unexpected(member.error());
    }
    ListedInstance &listing = (*member)->listing;
    if (listing.state == ListedState::Rebooting) {
        return {};
    }
    if (listing.state != ListedState::Drained) {
        return tl::make_unexpected(PlatformError::Refused);
    }
    listing.state = ListedState::Rebooting;
    (*member)->rebootEndsAt = now + m_impl->settings.rebootTime;
    return {};
}

tl::expected<void, PlatformError> FleetStandin::resume(const FencedCommand &command)
{
    const std::lock_guard lock(m_impl->mutex);
    const auto member = m_impl->acceptCommand(command);
    if (!member) {
        return tl::make_unexpected(member.error());
    }
    ListedInstance &listing = (*member)->listing;
    if (listing.state == ListedState::Draining || listing.state == ListedState::Drained) {
        listing.state = ListedState::Live;
        (*member)->worker->setDraining(false);
    }
    return {};
}

bool FleetStandin::markLeaving(const std::string &instance)
{
    const std::lock_guard lock(m_impl->mutex);
    const auto found = m_impl->members.find(instance);
    if (found == m_impl->members.end()) {
        return false;
    }
    found->second.listing.state = ListedState::Leaving;
    found->second.worker->setLeaving(true);
    return true;
}

bool FleetStandin::kill(const std::string &instance)
{
    const std::lock_guard lock(m_impl->mutex);
    const auto found = m_impl->members.find(instance);
    if (found == m_impl->members.end()) {
        return false;
    }
    found->second.dead = true;
    found->second.worker->stop();
    return true;
}

bool FleetStandin::setFaults(const std::string &instance, const WorkerFaults &faults)
{
    const std::lock_guard lock(m_impl->mutex);
    bool any = false;
    for (auto &[name, member] : m_impl->members) {
        if (instance == "*" || instance == name) {
            member.worker->setFaults(faults);
            any = true;
        }
    }
    return any;
}

std::vector<ListedInstance> FleetStandin::listed() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->snapshots.front().instances;
}

RunLedger &FleetStandin::ledger()
{
    return m_impl->ledger;
}

}
