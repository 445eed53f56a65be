#include "details/instancecontroller.h"

#include <algorithm>

namespace Cornelquay::Details {

namespace {

using namespace std::chrono_literals;

constexpr auto ListInterval = 1s;
constexpr auto ListTimeout = 2s;
constexpr auto ProposalTimeout = 5s;
/** A member waits this time multiplied by its rank before it proposes a record for a difference. */
constexpr auto ProposalDelayPerRank = 3s;

InstanceEnrolled toEnrolment(const ListedInstance &listed)
{
    return {listed.name,
            listed.incarnation,
            listed.pool,
            toText(listed.address),
            listed.zone,
            listed.rack,
            listed.cores,
            listed.memoryBytes,
            listed.accelerators,
            listed.maintainedAtMs};
}

bool isServing(const ListedInstance &listed)
{
    return listed.state == ListedState::Live;
}

}

InstanceController::InstanceController(Replica &replica, PlatformService &platform, Upstreams &upstreams, Incarnation self, Metrics &metrics)
    : m_replica(replica)
    , m_platform(platform)
    , m_upstreams(upstreams)
    , m_self(std::move(self))
    , m_listErrorsTotal(metrics.counter("list_errors_total", "Failed reads of the platform's list of instances"))
    , m_task(ListInterval, [this] {
        runCycle();
    })
{
}

void InstanceController::start()
{
    m_task.start();
}

void InstanceController::stop()
{
    m_task.stop();
}

void InstanceController::runCycle()
{
    if (readList()) {
        refreshUpstreams();
        propose(differences());
    }
}

bool InstanceController::readList()
{
    auto instances = m_platform.instances(steadyNow() + ListTimeout);
    if (!instances) {
        m_listErrorsTotal.increment();
        return false;
    }
    std::map<std::string, ListedInstance> listed;
    for (ListedInstance &instance : *instances) {
        listed[instance.name] = std::move(instance);
    }
    const std::lock_guard lock(m_mutex);
    m_listed = std::move(listed);
    m_hasList = true;
    return true;
}

void InstanceController::refreshUpstreams()
{
    std::vector<UpstreamInstance> upstreams;
    {
        const std::lock_guard lock(m_mutex);
        m_replica.query([&](const FleetState &state) {
            for (const auto &[name, instance] : state.instances) {
                const auto listed = m_listed.find(name);
                const bool leaving = m_hasList && (listed == m_listed.end() || !isServing(listed->second));
                const std::optional<Address> address = parseAddress(instance.address);
                if (address) {
                    const bool acceptsWork = instance.state == InstanceState::InService && !leaving;
                    upstreams.push_back({name, instance.incarnation, instance.pool, *address, acceptsWork});
                }
            }
        });
    }
    m_upstreams.update(upstreams);
}

std::map<std::string, InstanceController::Difference> InstanceController::differences() const
{
    std::map<std::string, Difference> result;
    const std::lock_guard lock(m_mutex);
    m_replica.query([&](const FleetState &state) {
        for (const auto &[name, listed] : m_listed) {
            const auto recorded = state.instances.find(name);
            if (recorded == state.instances.end() || recorded->second.incarnation < listed.incarnation) {
                if (state.parsedConfiguration->pools.contains(listed.pool)) {
                    result[name] = {toEnrolment(listed), "the platform lists it"};
                }
            } else if (recorded->second.state == InstanceState::Failed && isServing(listed)) {
                result[name] = {InstanceRecovered{name, recorded->second.sequence}, "the platform lists it as live"};
            } else if (recorded->second.state == InstanceState::InService && !isServing(listed)) {
                result[name] = {InstanceFailed{name, recorded->second.sequence}, "the platform lists it as " + std::string(toName(listed.state))};
            }
        }
        for (const auto &[name, recorded] : state.instances) {
            if (!m_listed.contains(name) && recorded.state == InstanceState::InService) {
                result[name] = {InstanceFailed{name, recorded.sequence}, "the platform does not list it"};
            }
        }
    });
    return result;
}

void InstanceController::propose(const std::map<std::string, Difference> &differences)
{
    std::erase_if(m_firstSeen, [&](const auto &entry) {
        return !differences.contains(entry.first);
    });
    int rank = 0;
    m_replica.query([&](const FleetState &state) {
        rank = memberRank(state, m_self.name);
    });
    for (const auto &[name, difference] : differences) {
        const SteadyTime now = steadyNow();
        const SteadyTime firstSeen = m_firstSeen.emplace(name, now).first->second;
        if (now - firstSeen < ProposalDelayPerRank * rank) {
            continue;
        }
        const ProposalOutcome outcome = m_replica.propose(difference.proposal, m_self.name, difference.reason, now + ProposalTimeout);
        if (!std::holds_alternative<ProposalFolded>(outcome)) {
            return;
        }
    }
}

}
