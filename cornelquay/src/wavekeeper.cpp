#include "details/wavekeeper.h"

#include "telemetry/log.h"

#include <algorithm>

namespace Cornelquay::Details {

namespace {

using namespace std::chrono_literals;

constexpr auto Interval = 500ms;
constexpr auto CommandTimeout = 2s;
constexpr auto ProposalTimeout = 3s;
/** A granted outage must begin within this time, else it ends unused. */
constexpr auto BeginTime = 10s;
/** Each further rank among the members acts only after this much longer without progress. */
constexpr auto RankDelay = 5s;
/** A wave starts when the oldest maintenance is at this part of the period. */
constexpr double DueFraction = 0.75;

}

OutageStep nextStep(const InstanceEntry &instance, const ListedInstance *listed, WallTime now)
{
    if (listed == nullptr) {
        return OutageStep::Wait;
    }
    const bool mayBegin = now < fromUnixMilliseconds(instance.beginBefore);
    // The list shows an incarnation that came up after the grant once the reboot is done.
    const bool rebooted = listed->maintainedAt > instance.maintainedAt;
    switch (listed->state) {
    case ListedState::Live:
        if (rebooted && listed->incarnation == instance.incarnation) {
            return OutageStep::EndMaintained;
        }
        if (rebooted) {
            return OutageStep::Wait;
        }
        return mayBegin ? OutageStep::Drain : OutageStep::EndUnmaintained;
    case ListedState::Drained:
        return OutageStep::Reboot;
    case ListedState::Draining:
    case ListedState::Rebooting:
    case ListedState::Leaving:
        break;
    }
    return OutageStep::Wait;
}

WaveKeeper::WaveKeeper(Replica &replica, PlatformService &platform, Incarnation self, std::function<bool()> mayChange, Metrics &metrics)
    : m_replica(replica)
    , m_platform(platform)
    , m_self(std::move(self))
    , m_mayChange(std::move(mayChange))
    , m_outagesTotal(metrics.counter("outages_proposed_total", "Planned outages proposed"))
    , m_refusedTotal(metrics.counter("outages_refused_total", "Planned outages that the records refused"))
    , m_task(Interval, [this] {
        work();
    })
{
}

void WaveKeeper::start()
{
    m_task.start();
}

void WaveKeeper::stop()
{
    m_task.stop();
}

void WaveKeeper::work()
{
    if (!isOurTurn(steadyNow()) || !m_mayChange()) {
        return;
    }
    startDueWave();
    stopFailingWave();
    advanceOutages();
    proposeOutages();
}

// Records of others are a sign that someone acts; without any, the next rank steps in.
bool WaveKeeper::isOurTurn(SteadyTime now)
{
    int rank = 0;
    Offset next = 0;
    bool present = false;
    m_replica.query([&](const FleetState &state) {
        present = isPresent(state, m_self);
        next = state.next;
        rank = memberRank(state, m_self.name);
    });
    if (next != m_seenOffset) {
        m_seenOffset = next;
        m_quietSince = now;
    }
    return present && now - m_quietSince >= RankDelay * rank;
}

void WaveKeeper::startDueWave()
{
    bool due = false;
    std::int64_t after = 0;
    m_replica.query([&](const FleetState &state) {
        due = !state.instances.empty() && isWaveDue(state, toUnixMilliseconds(wallNow()), DueFraction);
        after = state.waveStartedAt;
    });
    if (due) {
        propose(WaveStarted{after}, "the oldest maintenance is due");
    }
}

void WaveKeeper::stopFailingWave()
{
    std::optional<WaveAlarm> alarm;
    m_replica.query([&](const FleetState &state) {
        if (!state.maintenancePaused) {
            alarm = findWaveAlarm(state);
        }
    });
    if (alarm) {
        logChange("maintenance", "wave stopped", {{"why", alarm->reason}});
        propose(MaintenancePaused{true}, alarm->reason);
    }
}

void WaveKeeper::proposeOutages()
{
    std::vector<WaveDecision> decisions;
    m_replica.query([&](const FleetState &state) {
        decisions = decideWave(state, DependencyAwareWaves{});
    });
    for (const WaveDecision &decision : decisions) {
        const std::int64_t beginBefore = toUnixMilliseconds(wallNow() + BeginTime);
        m_outagesTotal.increment();
        propose(OutageGranted{decision.instance, decision.sequence, OutagePurpose::Maintenance, m_self.name, m_self.number, beginBefore}, decision.reason);
    }
}

void WaveKeeper::advanceOutages()
{
    std::map<std::string, InstanceEntry> out;
    m_replica.query([&](const FleetState &state) {
        for (const auto &[name, instance] : state.instances) {
            if (instance.state == InstanceState::PlannedOutage) {
                out.emplace(name, instance);
            }
        }
    });
    if (out.empty()) {
        return;
    }
    const auto listed = m_platform.instances(steadyNow() + CommandTimeout);
    if (!listed) {
        return;
    }
    for (const auto &[name, instance] : out) {
        const auto found = std::find_if(listed->begin(), listed->end(), [&wanted = name](const ListedInstance &entry) {
            return entry.name == wanted;
        });
        carryOut(name, instance, nextStep(instance, found == listed->end() ? nullptr : &*found, wallNow()));
    }
}

void WaveKeeper::carryOut(const std::string &name, const InstanceEntry &instance, OutageStep step)
{
    // A reboot may come long after the drain began; the fencing number alone guards it.
    constexpr auto RebootTime = 60s;
    const SteadyTime deadline = steadyNow() + CommandTimeout;
    switch (step) {
    case OutageStep::Wait:
        return;
    case OutageStep::Drain:
        m_platform.drain({name, instance.grantedAt, fromUnixMilliseconds(instance.beginBefore)}, deadline);
        return;
    case OutageStep::Reboot:
        m_platform.reboot({name, instance.grantedAt, wallNow() + RebootTime}, deadline);
        return;
    case OutageStep::EndMaintained:
        propose(OutageEnded{name, instance.sequence, true, toUnixMilliseconds(wallNow())}, "maintained and serving again");
        return;
    case OutageStep::EndUnmaintained:
        propose(OutageEnded{name, instance.sequence, false, toUnixMilliseconds(wallNow())}, "not begun in time");
        return;
    }
}

void WaveKeeper::propose(RecordBody body, const std::string &reason)
{
    const ProposalOutcome outcome = m_replica.propose(std::move(body), m_self.name, reason, steadyNow() + ProposalTimeout);
    const auto *folded = std::get_if<ProposalFolded>(&outcome);
    if (folded != nullptr && !folded->verdict.accepted) {
        m_refusedTotal.increment();
    }
}

}
