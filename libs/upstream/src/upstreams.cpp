#include "upstream/upstreams.h"

#include "details/health.h"
#include "telemetry/log.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <mutex>
#include <random>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

/** Time for which a worker's report of free slots is used to estimate its load from other nodes. */
constexpr auto SlotReportLifetime = 50ms;

struct Entry {
    UpstreamInstance instance;
    Details::Health health;
    std::shared_ptr<TaskExchange> exchange;
};

bool isEjected(const Details::Health &health, SteadyTime now)
{
    return health.ejectedUntil > now;
}

}

struct Upstreams::Impl {
    Impl(UpstreamLimits upstreamLimits, std::uint64_t seed, Metrics &metrics)
        : limits(upstreamLimits)
        , random(seed)
        , ejectionsTotal(metrics.counter("upstream_ejections_total", "Workers ejected after several failures in a row"))
        , timeoutsTotal(metrics.counter("upstream_silent_connections_total", "Connections to workers closed because an answer timed out"))
        , invalidAnswersTotal(metrics.counter("upstream_bad_answers_total", "Answers of workers that were truncated, damaged or about another task"))
    {
    }

    const UpstreamLimits limits;
    mutable std::mutex mutex;
    std::map<std::string, Entry> entries;
    std::map<std::string, std::vector<Entry *>> pools;
    std::mt19937_64 random;
    Counter ejectionsTotal;
    Counter timeoutsTotal;
    Counter invalidAnswersTotal;

    bool isUsable(const Entry &entry, const std::set<std::string> &excluded, SteadyTime now) const;
    UpstreamSlot takeSlot(Entry &entry, SteadyTime now) const;
    bool mayEject(const std::string &pool, SteadyTime now) const;
    void indexPools();
};

Upstreams::Upstreams(UpstreamLimits limits, std::uint64_t seed, Metrics &metrics)
    : m_impl(std::make_unique<Impl>(limits, seed, metrics))
{
}

Upstreams::~Upstreams() = default;

bool Upstreams::Impl::isUsable(const Entry &entry, const std::set<std::string> &excluded, SteadyTime now) const
{
    if (!entry.instance.acceptsWork || isEjected(entry.health, now) || excluded.contains(entry.instance.name)) {
        return false;
    }
    if (entry.health.probing && entry.health.inFlight > 0) {
        return false;
    }
    return Details::hasFreeSlot(entry.health, limits.slotsPerInstance, now);
}

UpstreamSlot Upstreams::Impl::takeSlot(Entry &entry, SteadyTime now) const
{
    entry.health.inFlight += 1;
    return {entry.instance.name, entry.instance.incarnation, entry.instance.pool, entry.exchange, now};
}

// Limits ejections per pool: if the tasks themselves are faulty, ejecting most workers would make the whole service unavailable.
bool Upstreams::Impl::mayEject(const std::string &pool, SteadyTime now) const
{
    const auto found = pools.find(pool);
    if (found == pools.end()) {
        return false;
    }
    const auto ejected = std::count_if(found->second.begin(), found->second.end(), [&](const Entry *entry) {
        return isEjected(entry->health, now);
    });
    const double maxEjected = std::floor(limits.maxEjectedFraction * static_cast<double>(found->second.size()));
    return static_cast<double>(ejected) + 1 <= maxEjected;
}

void Upstreams::Impl::indexPools()
{
    pools.clear();
    for (auto &[name, entry] : entries) {
        pools[entry.instance.pool].push_back(&entry);
    }
}

void Upstreams::update(const std::vector<UpstreamInstance> &instances)
{
    const std::lock_guard lock(m_impl->mutex);
    std::set<std::string> present;
    for (const UpstreamInstance &instance : instances) {
        present.insert(instance.name);
        Entry &entry = m_impl->entries[instance.name];
        if (!entry.exchange || entry.instance.incarnation != instance.incarnation || entry.instance.address != instance.address) {
            entry.health = {};
            entry.exchange
                = std::make_shared<TaskExchange>(instance.address, instance.incarnation, m_impl->limits.connectionsPerInstance, m_impl->limits.exchange);
        }
        entry.instance = instance;
    }
    std::erase_if(m_impl->entries, [&](const auto &entry) {
        return !present.contains(entry.first);
    });
    m_impl->indexPools();
}

std::optional<UpstreamSlot> Upstreams::pick(const std::string &pool, const std::set<std::string> &excluded, SteadyTime now)
{
    const std::lock_guard lock(m_impl->mutex);
    const auto found = m_impl->pools.find(pool);
    if (found == m_impl->pools.end()) {
        return std::nullopt;
    }
    std::vector<Entry *> usable;
    for (Entry *entry : found->second) {
        if (m_impl->isUsable(*entry, excluded, now)) {
            usable.push_back(entry);
        }
    }
    if (usable.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> choice(0, usable.size() - 1);
    Entry *first = usable[choice(m_impl->random)];
    Entry *second = usable[choice(m_impl->random)];
    const int slots = m_impl->limits.slotsPerInstance;
    Entry *better = Details::score(first->health, slots, now) <= Details::score(second->health, slots, now) ? first : second;
    return m_impl->takeSlot(*better, now);
}

std::optional<UpstreamSlot> Upstreams::pickInstance(const std::string &instance, SteadyTime now)
{
    const std::lock_guard lock(m_impl->mutex);
    const auto found = m_impl->entries.find(instance);
    if (found == m_impl->entries.end()) {
        return std::nullopt;
    }
    return m_impl->takeSlot(found->second, now);
}

void Upstreams::giveBack(const UpstreamSlot &slot, AttemptResult result, const WorkerReport &report, SteadyTime now)
{
    m_impl->timeoutsTotal.increment(report.connectionTimedOut ? 1 : 0);
    m_impl->invalidAnswersTotal.increment(report.invalidAnswer ? 1 : 0);
    const std::lock_guard lock(m_impl->mutex);
    const auto found = m_impl->entries.find(slot.instance);
    if (found == m_impl->entries.end() || found->second.instance.incarnation != slot.incarnation) {
        return;
    }
    Details::Health &health = found->second.health;
    health.inFlight -= 1;
    if (report.slotsFree) {
        health.otherNodesInFlight = std::max(0, m_impl->limits.slotsPerInstance - *report.slotsFree - health.inFlight);
        health.slotReportValidUntil = now + SlotReportLifetime;
    }
    if (result == AttemptResult::NoSlot) {
        health.noSlotUntil = now + m_impl->limits.noSlotDelay;
    }
    Details::record(health, result, std::chrono::duration<double>(now - slot.takenAt).count());
    if (Details::shouldEject(health, m_impl->limits) && !isEjected(health, now) && m_impl->mayEject(slot.pool, now)) {
        Details::eject(health, m_impl->limits, now);
        m_impl->ejectionsTotal.increment();
        logChange("upstream", "instance ejected", {{"instance", slot.instance}, {"pool", slot.pool}});
    }
}

std::shared_ptr<TaskExchange> Upstreams::exchange(const std::string &instance, std::uint64_t incarnation) const
{
    const std::lock_guard lock(m_impl->mutex);
    const auto found = m_impl->entries.find(instance);
    if (found == m_impl->entries.end() || found->second.instance.incarnation != incarnation) {
        return nullptr;
    }
    return found->second.exchange;
}

int Upstreams::instanceCount(const std::string &pool) const
{
    const std::lock_guard lock(m_impl->mutex);
    const auto found = m_impl->pools.find(pool);
    if (found == m_impl->pools.end()) {
        return 0;
    }
    return static_cast<int>(std::count_if(found->second.begin(), found->second.end(), [](const Entry *entry) {
        return entry->instance.acceptsWork;
    }));
}

std::vector<UpstreamStatus> Upstreams::status(SteadyTime now) const
{
    const std::lock_guard lock(m_impl->mutex);
    std::vector<UpstreamStatus> result;
    for (const auto &[name, entry] : m_impl->entries) {
        result.push_back({entry.instance, entry.health.inFlight, isEjected(entry.health, now), entry.health.failuresInRow, entry.health.latencySeconds});
    }
    return result;
}

}
