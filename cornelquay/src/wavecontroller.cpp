#include "details/wavecontroller.h"

#include "telemetry/log.h"

#include <algorithm>

namespace Cornelquay::Details {

namespace {

using namespace std::chrono_literals;

constexpr auto CycleInterval = 500ms;
constexpr auto CommandTimeout = 2s;
constexpr auto ProposalTimeout = 3s;
/** A granted outage that does not begin within this time ends without maintenance. */
constexpr auto OutageBeginTimeout = 10s;
/** A member acts only if no new record has been folded for this time multiplied by its rank. */
constexpr auto ActionDelayPerRank = 5s;
/**
 * A wave starts when this fraction of the maintenance period has passed since the oldest maintenance of
 * an instance; the rest of the period is left for the wave.
 */
constexpr double WaveDueFraction = 0.75;

}

OutageStep nextStep(const InstanceEntry &instance, const ListedInstance *listed, WallTime now)
{
    if (listed == nullptr) {
        return OutageStep::Wait;
    }
    const bool mayBegin = now < fromUnixMilliseconds(instance.beginDeadline);
    // A completed reboot shows in the list as a later maintenance time than the fleet state has.
    const bool rebooted = listed->maintainedAtMs > instance.maintainedAtMs;
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

WaveController::WaveController(Replica &replica, PlatformService &platform, Incarnation self, std::function<bool()> mayChange, Metrics &metrics)
    : m_replica(replica)
    , m_platform(platform)
    , m_self(std::move(self))
    , m_mayChange(std::move(mayChange))
    , m_proposedOutagesTotal(metrics.counter("outages_proposed_total", "Proposed planned outages"))
    , m_refusedProposalsTotal(metrics.counter("outages_refused_total", "Proposed maintenance records that were refused"))
    , m_task(CycleInterval, [this] {
        runCycle();
    })
{
}

void WaveController::start()
{
    m_task.start();
}

void WaveController::stop()
{
    m_task.stop();
}

void WaveController::runCycle()
{
    if (!mayAct(steadyNow()) || !m_mayChange()) {
        return;
    }
    startDueWave();
    stopFailingWave();
    advanceOutages();
    proposeOutages();
}

// New records show that another member acts; without any, the member of the next rank takes over.
bool WaveController::mayAct(SteadyTime now)
{
    int rank = 0;
    Offset next = 0;
    bool isMember = false;
    m_replica.query([&](const FleetState &state) {
        isMember = isPresent(state, m_self);
        next = state.nextOffset;
        rank = memberRank(state, m_self.name);
    });
    if (next != m_lastOffset) {
        m_lastOffset = next;
        m_unchangedSince = now;
    }
    return isMember && now - m_unchangedSince >= ActionDelayPerRank * rank;
}

void WaveController::startDueWave()
{
    bool isDue = false;
    std::int64_t previousWaveStartedAt = 0;
    m_replica.query([&](const FleetState &state) {
        isDue = !state.instances.empty() && isWaveDue(state, toUnixMilliseconds(wallNow()), WaveDueFraction);
        previousWaveStartedAt = state.waveStartedAt;
    });
    if (isDue) {
        propose(WaveStarted{previousWaveStartedAt}, "the oldest maintenance is due");
    }
}

void WaveController::stopFailingWave()
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

void WaveController::proposeOutages()
{
    std::vector<WaveDecision> decisions;
    m_replica.query([&](const FleetState &state) {
        decisions = decideWave(state, DependencyAwareWaves{});
    });
    for (const WaveDecision &decision : decisions) {
        const std::int64_t beginDeadline = toUnixMilliseconds(wallNow() + OutageBeginTimeout);
        m_proposedOutagesTotal.increment();
        propose(OutageGranted{decision.instance, decision.sequence, OutagePurpose::Maintenance, m_self.name, m_self.number, beginDeadline}, decision.reason);
    }
}

void WaveController::advanceOutages()
{
    std::map<std::string, InstanceEntry> outages;
    m_replica.query([&](const FleetState &state) {
        for (const auto &[name, instance] : state.instances) {
            if (instance.state == InstanceState::PlannedOutage) {
                outages.emplace(name, instance);
            }
        }
    });
    if (outages.empty()) {
        return;
    }
    const auto listed = m_platform.instances(steadyNow() + CommandTimeout);
    if (!listed) {
        return;
    }
    for (const auto &[name, instance] : outages) {
        const auto listedInstance = std::find_if(listed->begin(), listed->end(), [&instanceName = name](const ListedInstance &entry) {
            return entry.name == instanceName;
        });
        carryOut(name, instance, nextStep(instance, listedInstance == listed->end() ? nullptr : &*listedInstance, wallNow()));
    }
}

void WaveController::carryOut(const std::string &name, const InstanceEntry &instance, OutageStep step)
{
    // A drain may take much longer than the time until the begin deadline of the grant, so the reboot
    // command gets a time limit of its own, and only the fencing token protects against an outdated command.
    constexpr auto RebootCommandLifetime = 60s;
    const SteadyTime deadline = steadyNow() + CommandTimeout;
    switch (step) {
    case OutageStep::Wait:
        return;
    case OutageStep::Drain:
        m_platform.drain({name, instance.fencingToken, fromUnixMilliseconds(instance.beginDeadline)}, deadline);
        return;
    case OutageStep::Reboot:
        m_platform.reboot({name, instance.fencingToken, wallNow() + RebootCommandLifetime}, deadline);
        return;
    case OutageStep::EndMaintained:
        propose(OutageEnded{name, instance.sequence, true, toUnixMilliseconds(wallNow())}, "maintained and serving again");
        return;
    case OutageStep::EndUnmaintained:
        propose(OutageEnded{name, instance.sequence, false, toUnixMilliseconds(wallNow())}, "not begun in time");
        return;
    }
}

void WaveController::propose(RecordBody body, const std::string &reason)
{
    const ProposalOutcome outcome = m_replica.propose(std::move(body), m_self.name, reason, steadyNow() + ProposalTimeout);
    const auto *folded = std::get_if<ProposalFolded>(&outcome);
    if (folded != nullptr && !folded->verdict.accepted) {
        m_refusedProposalsTotal.increment();
    }
}

}
