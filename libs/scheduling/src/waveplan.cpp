#include "scheduling/waveplan.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// An instance may be out of service a little longer than its maintenance takes.
constexpr auto OutOfServiceMargin = 800ms;
// A wave is paced to end this fraction of its duration before its deadline: how long the last long-running tasks take to move
// depends on the other tasks of their steps, and a change of the owner interrupts the wave.
constexpr double ReservedFraction = 0.4;
// At most one in this many instances of a pool is emptied at a time.
constexpr std::size_t EmptyingPoolDivisor = 3;

constexpr std::array<std::string_view, 5> RefusalNames = {"fenced", "busy", "other-wave", "invalid", "later"};

}

std::string_view toName(InstanceRefusal refusal)
{
    return RefusalNames.at(static_cast<std::size_t>(refusal));
}

WavePlan::WavePlan(WaveSpec spec, WaveTimes times, BootTime seenAt)
    : m_spec(std::move(spec))
    , m_times(times)
    , m_deadline(seenAt + m_spec.duration)
{
}

void WavePlan::restore(const WaveRecord &record)
{
    m_done.insert(record.done.begin(), record.done.end());
    m_completed = m_completed || record.completed;
}

void WavePlan::noteDone(const InstanceId &instance, BootTime now)
{
    m_done.insert(instance);
    m_doneAt[instance] = now;
    m_emptying.erase(instance);
}

void WavePlan::noteCompleted()
{
    m_completed = true;
}

const WaveSpec &WavePlan::spec() const
{
    return m_spec;
}

WaveRecord WavePlan::record() const
{
    return {m_spec.number, {m_done.begin(), m_done.end()}, m_completed};
}

bool WavePlan::isCompleted() const
{
    return m_completed;
}

bool WavePlan::isOutOfService(const InstanceId &instance, const InstanceView &view, BootTime now) const
{
    const auto done = m_doneAt.find(instance);
    const bool justDone = done != m_doneAt.end() && now - done->second < m_times.maintenancePeriod + OutOfServiceMargin;
    return justDone || view.facts.state == InstancePhase::Maintenance || view.hasPendingOrder;
}

bool WavePlan::isEmptying(const InstanceView &view) const
{
    return view.isBeingEmptied || m_emptying.count(view.facts.id) != 0;
}

bool WavePlan::mustPause(const InstanceView &view, const WaveSurroundings &surroundings)
{
    const auto displaced = surroundings.displaced.find(view.facts.pool);
    // A task that is being stopped has lost its worker in any case.
    if (displaced == surroundings.displaced.end() || view.isBeingEmptied) {
        return false;
    }
    return view.longRunningRuns > 0 || displaced->second == DisplacedWait::TooLong;
}

std::size_t WavePlan::targetConcurrency(const std::vector<const InstanceView *> &pending, BootTime now) const
{
    const auto reserved = std::chrono::duration_cast<std::chrono::milliseconds>(m_spec.duration * ReservedFraction);
    const auto timeLeft = std::max<std::chrono::milliseconds>(500ms, m_deadline - now - std::max<std::chrono::milliseconds>(reserved, 2 * m_times.forceMargin));
    std::chrono::milliseconds work{0};
    for (const InstanceView *view : pending) {
        work += m_times.maintenancePeriod + m_times.emptyingPeriod + m_times.evacuationPeriod * static_cast<int>(view->longRunningRuns);
    }
    const double targetCount = std::ceil(static_cast<double>(work.count()) / static_cast<double>(timeLeft.count()));
    return std::clamp<std::size_t>(static_cast<std::size_t>(targetCount), 1, m_spec.maxUnavailable);
}

const std::set<InstanceId> &WavePlan::emptying() const
{
    return m_emptying;
}

WaveDecision WavePlan::decide(const std::map<InstanceId, InstanceView> &instances, const WaveSurroundings &surroundings, BootTime now)
{
    WaveDecision decision;
    std::size_t out = 0;
    std::vector<const InstanceView *> pending;
    std::map<std::string, std::size_t> poolSizes;
    for (const auto &[id, view] : instances) {
        ++poolSizes[view.facts.pool];
    }
    for (const InstanceId &id : m_spec.instances) {
        const auto found = instances.find(id);
        if (found == instances.end()) {
            // The instance no longer exists.
            continue;
        }
        out += isOutOfService(id, found->second, now) ? 1 : 0;
        if (m_done.count(id) == 0) {
            pending.push_back(&found->second);
        }
    }
    for (const InstanceView *view : pending) {
        decision.due.push_back(view->facts.id);
    }
    if (pending.empty()) {
        decision.completed = true;
        return decision;
    }
    const bool force = now > m_deadline - m_times.forceMargin;
    std::sort(pending.begin(), pending.end(), [&](const InstanceView *a, const InstanceView *b) {
        const auto key = [&](const InstanceView *view) {
            const auto waiting = surroundings.backlog.find(view->facts.pool);
            const bool busyPool = waiting != surroundings.backlog.end() && waiting->second.cpu > 0;
            // Of the instances with runs, those with long-running tasks come first: their tasks move one after another,
            // which takes longest.
            return std::tuple(!isEmptying(*view), view->runs != 0, view->longRunningRuns == 0, busyPool, view->runs, view->facts.id);
        };
        return key(a) < key(b);
    });
    std::map<std::string, std::size_t> emptyingByPool;
    for (const InstanceId &id : surroundings.emptying) {
        if (const auto found = instances.find(id); found != instances.end()) {
            ++emptyingByPool[found->second.facts.pool];
        }
    }
    std::set<InstanceId> emptying;
    const std::size_t targetCount = targetConcurrency(pending, now);
    for (const InstanceView *view : pending) {
        const InstanceId &id = view->facts.id;
        if (view->facts.state != InstancePhase::Up || view->hasPendingOrder) {
            continue;
        }
        const bool ready = view->runs == 0 || (force && view->longRunningRuns == 0);
        if (ready && out < m_spec.maxUnavailable) {
            decision.maintain.push_back({id, m_spec.number});
            decision.cordon.push_back(id);
            ++out;
            continue;
        }
        if (mustPause(*view, surroundings)) {
            continue;
        }
        const bool isCounted = surroundings.emptying.count(id) != 0;
        std::size_t &emptyingInPool = emptyingByPool[view->facts.pool];
        const bool isCrowded = surroundings.crowded.count(view->facts.pool) != 0;
        const std::size_t maxEmptyingInPool = isCrowded ? 1 : std::max<std::size_t>(1, poolSizes[view->facts.pool] / EmptyingPoolDivisor);
        const bool fitsIntoPool = isCounted || emptyingInPool < maxEmptyingInPool;
        // An instance that is given up halfway gets its tasks back, which are then stopped once more.
        if (isEmptying(*view) || (emptying.size() + out < targetCount && fitsIntoPool)) {
            emptyingInPool += isCounted ? 0 : 1;
            emptying.insert(id);
            decision.cordon.push_back(id);
            if (view->longRunningRuns > 0) {
                decision.evacuate.push_back(id);
            }
        }
    }
    m_emptying = emptying;
    decision.emptying = std::move(emptying);
    return decision;
}

}
