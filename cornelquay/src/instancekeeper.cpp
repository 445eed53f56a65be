#include "details/instancekeeper.h"

#include <algorithm>

namespace Cornelquay::Details {

namespace {

using namespace std::chrono_literals;

constexpr auto ListInterval = 1s;
constexpr auto ListTimeout = 2s;
constexpr auto ProposalTimeout = 5s;
/** Each further rank among the members waits this much longer before it proposes. */
constexpr auto RankDelay = 3s;

InstanceEnrolled enrolment(const ListedInstance &listed)
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
            listed.maintainedAt};
}

bool isServing(const ListedInstance &listed)
{
    return listed.state == ListedState::Live;
}

}

InstanceKeeper::InstanceKeeper(Replica &replica, PlatformService &platform, Upstreams &upstreams, Incarnation self, Metrics &metrics)
    : m_replica(replica)
    , m_platform(platform)
    , m_upstreams(upstreams)
    , m_self(std::move(self))
    , m_listErrorsTotal(metrics.counter("list_errors_total", "Reads of the platform's list that failed"))
    , m_task(ListInterval, [this] {
        work();
    })
{
}

void InstanceKeeper::start()
{
    m_task.start();
}

void InstanceKeeper::stop()
{
    m_task.stop();
}

void InstanceKeeper::work()
{
    if (readList()) {
        refreshUpstreams();
        propose(differences());
    }
}

bool InstanceKeeper::readList()
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
    m_listKnown = true;
    return true;
}

void InstanceKeeper::refreshUpstreams()
{
    std::vector<UpstreamInstance> upstreams;
    {
        const std::lock_guard lock(m_mutex);
        m_replica.query([&](const FleetState &state) {
            for (const auto &[name, instance] : state.instances) {
                const auto listed = m_listed.find(name);
                const bool leaving = m_listKnown && (listed == m_listed.end() || !isServing(listed->second));
                const std::optional<Address> address = parseAddress(instance.address);
                if (address) {
                    const bool accepts = instance.state == InstanceState::InService && !leaving;
                    upstreams.push_back({name, instance.incarnation, instance.pool, *address, accepts});
                }
            }
        });
    }
    m_upstreams.update(upstreams);
}

std::map<std::string, InstanceKeeper::Difference> InstanceKeeper::differences() const
{
    std::map<std::string, Difference> result;
    const std::lock_guard lock(m_mutex);
    m_replica.query([&](const FleetState &state) {
        for (const auto &[name, listed] : m_listed) {
            const auto known = state.instances.find(name);
            if (known == state.instances.end() || known->second.incarnation < listed.incarnation) {
                if (state.parsed->pools.contains(listed.pool)) {
                    result[name] = {enrolment(listed), "the platform lists it"};
                }
            } else if (known->second.state == InstanceState::Failed && isServing(listed)) {
                result[name] = {InstanceRecovered{name, known->second.sequence}, "the platform lists it as live"};
            } else if (known->second.state == InstanceState::InService && !isServing(listed)) {
                result[name] = {InstanceFailed{name, known->second.sequence}, "the platform lists it as " + std::string(toName(listed.state))};
            }
        }
        for (const auto &[name, known] : state.instances) {
            if (!m_listed.contains(name) && known.state == InstanceState::InService) {
                result[name] = {InstanceFailed{name, known.sequence}, "the platform does not list it"};
            }
        }
    });
    return result;
}

void InstanceKeeper::propose(const std::map<std::string, Difference> &differences)
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
        if (now - firstSeen < RankDelay * rank) {
            continue;
        }
        const ProposalOutcome outcome = m_replica.propose(difference.proposal, m_self.name, difference.reason, now + ProposalTimeout);
        if (!std::holds_alternative<ProposalFolded>(outcome)) {
            return;
        }
    }
}

}
