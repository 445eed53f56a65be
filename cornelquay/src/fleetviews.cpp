#include "details/fleetviews.h"

#include "capacity/wave.h"
#include "configuration/difference.h"
#include "configuration/reader.h"

#include <algorithm>

namespace Cornelquay::Details {

namespace {

using Json = nlohmann::ordered_json;

Json auditEntryView(const AuditEntry &entry)
{
    Json entryView;
    entryView["offset"] = entry.offset;
    entryView["time-ms"] = entry.appendedAtMs;
    entryView["who"] = entry.author;
    entryView["kind"] = entry.kind;
    entryView["subject"] = entry.subject;
    entryView["from-version"] = entry.fromVersion;
    entryView["accepted"] = entry.accepted;
    entryView["why"] = entry.reason;
    entryView["refusal"] = entry.refusal;
    return entryView;
}

int instanceCount(const FleetState &state, const std::string &pool, InstanceState wantedState)
{
    return static_cast<int>(std::count_if(state.instances.begin(), state.instances.end(), [&](const auto &entry) {
        return entry.second.pool == pool && entry.second.state == wantedState;
    }));
}

Json instanceView(const std::string &name, const InstanceEntry &instance)
{
    Json entryView;
    entryView["name"] = name;
    entryView["incarnation"] = instance.incarnation;
    entryView["pool"] = instance.pool;
    entryView["state"] = toName(instance.state);
    entryView["address"] = instance.address;
    entryView["zone"] = instance.zone;
    entryView["rack"] = instance.rack;
    entryView["sequence"] = instance.sequence;
    entryView["maintained-at-ms"] = instance.maintainedAtMs;
    if (instance.state == InstanceState::PlannedOutage) {
        entryView["purpose"] = toName(instance.purpose);
        entryView["holder"] = instance.holder;
        entryView["granted-at"] = instance.fencingToken;
    }
    return entryView;
}

std::string serviceRule(const FleetState &state, const Service &service)
{
    const int outageCount = outOfServiceCount(state, service.pool);
    const int budget = poolBudget(*state.parsedConfiguration, service.pool);
    return "pool '" + service.pool + "' has " + std::to_string(outageCount) + " instances out of a budget of " + std::to_string(budget)
        + (outageCount >= budget ? ": no planned outage is granted" : ": a planned outage may be granted");
}

std::string instanceRule(const InstanceEntry &instance)
{
    switch (instance.state) {
    case InstanceState::InService:
        return "it serves; nothing is planned";
    case InstanceState::PlannedOutage:
        return "it is out for " + std::string(toName(instance.purpose)) + " by the grant at offset " + std::to_string(instance.fencingToken);
    case InstanceState::Failed:
        return "it was found out of service and counts against its pool's budget";
    case InstanceState::Arriving:
        return "it was moved into its pool and does not serve there yet";
    }
    return {};
}

Json requestView(const FleetState &state, const std::string &subject)
{
    Json view;
    for (const auto &[team, entry] : state.parsedConfiguration->teams) {
        const auto claim = state.claims.find(claimKeyOf(team, subject));
        if (claim == state.claims.end()) {
            continue;
        }
        view["team"] = team;
        view["instance"] = state.instanceNames[claim->second.instanceIndex];
        view["bound-at"] = claim->second.bindingOffset;
        view["rule"] = claim->second.released ? "it provably did not run and may be bound again" : "it runs on this instance only";
    }
    return view;
}

}

Json configurationView(const FleetState &state)
{
    Json view;
    view["version"] = state.configuration.version;
    view["changed-at"] = state.configuration.changeOffset;
    view["who"] = state.configuration.author;
    view["text"] = state.configuration.text;
    return view;
}

Json configurationHistoryView(const FleetState &state)
{
    Json view = Json::array();
    for (const AuditEntry &entry : state.audit) {
        if (entry.subject == "configuration") {
            view.push_back(auditEntryView(entry));
        }
    }
    return view;
}

Json keysView(const FleetState &state)
{
    Json view = Json::array();
    for (const auto &[id, key] : state.keys) {
        Json entryView;
        entryView["id"] = id;
        entryView["team"] = key.team;
        entryView["granted-by"] = key.grantedBy;
        entryView["granted-at-ms"] = key.grantedAt;
        entryView["withdrawn"] = key.withdrawn;
        view.push_back(std::move(entryView));
    }
    return view;
}

Json teamsView(const FleetState &state, const std::map<std::string, TeamLoad> &loads)
{
    Json view = Json::array();
    for (const auto &[name, team] : state.parsedConfiguration->teams) {
        Json entryView;
        entryView["name"] = name;
        entryView["share"] = team.share;
        entryView["limit"] = team.runningLimit;
        entryView["limit-unassigned"] = unassignedQuota(state, name);
        if (const auto load = loads.find(name); load != loads.end()) {
            entryView["held-here"] = load->second.limits.held;
            entryView["borrowed-here"] = load->second.limits.borrowed;
            entryView["lent-here"] = load->second.limits.lent;
            entryView["running-here"] = load->second.limits.running;
            entryView["waiting-here"] = load->second.waiting;
        }
        view.push_back(std::move(entryView));
    }
    return view;
}

Json servicesView(const FleetState &state)
{
    Json view = Json::array();
    for (const auto &[name, service] : state.parsedConfiguration->services) {
        Json entryView;
        entryView["name"] = name;
        entryView["pool"] = service.pool;
        entryView["depends-on"] = service.dependsOn;
        entryView["peak"] = service.peakInstances;
        entryView["budget"] = service.availabilityBudget;
        entryView["in-service"] = instanceCount(state, service.pool, InstanceState::InService);
        entryView["out"] = outOfServiceCount(state, service.pool);
        view.push_back(std::move(entryView));
    }
    return view;
}

Json poolsView(const FleetState &state)
{
    Json view = Json::array();
    for (const auto &[name, pool] : state.parsedConfiguration->pools) {
        Json entryView;
        entryView["name"] = name;
        entryView["spare"] = pool.spare;
        for (const InstanceState instanceState : {InstanceState::InService, InstanceState::PlannedOutage, InstanceState::Failed, InstanceState::Arriving}) {
            entryView[std::string(toName(instanceState))] = instanceCount(state, name, instanceState);
        }
        view.push_back(std::move(entryView));
    }
    return view;
}

Json instancesView(const FleetState &state, const std::vector<UpstreamStatus> &upstreams)
{
    Json view = Json::array();
    for (const auto &[name, instance] : state.instances) {
        Json entryView = instanceView(name, instance);
        const auto status = std::find_if(upstreams.begin(), upstreams.end(), [&instanceName = name](const UpstreamStatus &upstream) {
            return upstream.instance.name == instanceName;
        });
        if (status != upstreams.end()) {
            entryView["accepts-work"] = status->instance.acceptsWork;
            entryView["in-flight-here"] = status->inFlight;
            entryView["ejected-here"] = status->ejected;
        }
        view.push_back(std::move(entryView));
    }
    return view;
}

Json maintenanceView(const FleetState &state)
{
    Json view;
    view["paused"] = state.maintenancePaused;
    const WaveProgress progress = waveProgress(state);
    view["wave-started-at-ms"] = progress.startedAt;
    view["done"] = progress.done;
    view["left"] = progress.remaining;
    view["held-up-by-failures"] = progress.blockedPools;
    view["period-hours"] = state.parsedConfiguration->policy.maintenancePeriod.count();
    view["out"] = Json::array();
    for (const auto &[name, instance] : state.instances) {
        if (instance.state == InstanceState::PlannedOutage) {
            view["out"].push_back(instanceView(name, instance));
        }
    }
    return view;
}

Json membersView(const FleetState &state)
{
    Json view = Json::array();
    for (const auto &[name, member] : state.members) {
        Json entryView;
        entryView["name"] = name;
        entryView["incarnation"] = member.incarnation;
        entryView["zone"] = member.zone;
        entryView["peer-address"] = member.peerAddress;
        entryView["present"] = member.present;
        view.push_back(std::move(entryView));
    }
    return view;
}

Json auditView(const FleetState &state, const std::string &subject, std::size_t maxEntries)
{
    Json view = Json::array();
    for (auto entry = state.audit.rbegin(); entry != state.audit.rend() && view.size() < maxEntries; ++entry) {
        if (subject.empty() || entry->subject == subject) {
            view.push_back(auditEntryView(*entry));
        }
    }
    std::reverse(view.begin(), view.end());
    return view;
}

Json whyView(const FleetState &state, const std::string &subject)
{
    constexpr std::size_t MaxRecords = 20;
    Json view;
    view["subject"] = subject;
    if (const auto instance = state.instances.find(subject); instance != state.instances.end()) {
        view["kind"] = "instance";
        view["now"] = instanceView(subject, instance->second);
        view["rule"] = instanceRule(instance->second);
    } else if (const auto service = state.parsedConfiguration->services.find(subject); service != state.parsedConfiguration->services.end()) {
        view["kind"] = "service";
        view["rule"] = serviceRule(state, service->second);
    } else if (Json request = requestView(state, subject); !request.empty()) {
        view["kind"] = "request";
        view["now"] = std::move(request);
    } else {
        view["kind"] = "unknown";
        view["rule"] = "no instance, service or claimed request has this name";
    }
    view["records"] = auditView(state, subject, MaxRecords);
    return view;
}

Json differenceView(const FleetState &state, const std::string &text)
{
    const ConfigurationResult result = readConfiguration("configuration", text);
    Json view;
    view["base-version"] = state.configuration.version;
    view["findings"] = Json::array();
    for (const Finding &finding : result.findings.sorted()) {
        view["findings"].push_back(
            {{"line", finding.location.line}, {"column", finding.location.column}, {"problem", finding.problem}, {"remedy", finding.remedy}});
    }
    view["changes"] = Json::array();
    if (result.findings.isEmpty()) {
        for (const ConfigurationChange &change : difference(*state.parsedConfiguration, result.configuration)) {
            view["changes"].push_back({{"change", toName(change.kind)}, {"section", change.section}, {"name", change.name}, {"detail", change.detail}});
        }
    }
    return view;
}

}
