#include "details/folds.h"

namespace Cornelquay::Details {

namespace {

/** The instance if it is still at @p sequence, else null. */
InstanceEntry *findUnchanged(FleetState &state, const std::string &name, std::uint64_t sequence)
{
    const auto found = state.instances.find(name);
    const bool unchanged = found != state.instances.end() && found->second.sequence == sequence;
    return unchanged ? &found->second : nullptr;
}

/** Sets the pool and state of @p instance, increments its sequence and updates the out-of-service counts of the pools. */
void setPoolAndState(FleetState &state, InstanceEntry &instance, const std::string &pool, InstanceState next)
{
    state.outOfServiceByPool[instance.pool] -= isOutOfService(instance) ? 1 : 0;
    instance.pool = pool;
    instance.state = next;
    state.outOfServiceByPool[instance.pool] += isOutOfService(instance) ? 1 : 0;
    instance.sequence += 1;
}

Verdict refusedAsChanged(const FleetState &state, const std::string &name)
{
    const auto found = state.instances.find(name);
    if (found == state.instances.end()) {
        return refused("there is no instance '" + name + "'");
    }
    return refused("the instance changed: it is at sequence " + std::to_string(found->second.sequence));
}

Verdict refusedForState(const InstanceEntry &instance)
{
    return refused("the instance is " + std::string(toName(instance.state)));
}

}

Verdict apply(FleetState &state, const InstanceEnrolled &body, const LogPosition &)
{
    if (!state.parsedConfiguration->pools.contains(body.pool)) {
        return refused("there is no pool '" + body.pool + "'");
    }
    InstanceEntry &instance = state.instances[body.instance];
    if (body.incarnation <= instance.incarnation) {
        return refused("incarnation " + std::to_string(instance.incarnation) + " of the instance is known already");
    }
    const bool known = instance.incarnation != 0;
    instance.incarnation = body.incarnation;
    instance.address = body.address;
    instance.zone = body.zone;
    instance.rack = body.rack;
    instance.cores = body.cores;
    instance.memoryBytes = body.memoryBytes;
    instance.accelerators = body.accelerators;
    if (known) {
        // A replaced instance keeps its pool, its state and the time of its last maintenance: an outage continues.
        instance.sequence += 1;
        return accepted();
    }
    instance.pool = body.pool;
    instance.maintainedAtMs = body.maintainedAtMs;
    return accepted();
}

Verdict apply(FleetState &state, const InstanceDismissed &body, const LogPosition &)
{
    if (findUnchanged(state, body.instance, body.sequence) == nullptr) {
        return refusedAsChanged(state, body.instance);
    }
    setPoolAndState(state, state.instances.at(body.instance), {}, InstanceState::InService);
    state.instances.erase(body.instance);
    return accepted();
}

Verdict apply(FleetState &state, const InstanceMoved &body, const LogPosition &)
{
    InstanceEntry *instance = findUnchanged(state, body.instance, body.sequence);
    if (instance == nullptr) {
        return refusedAsChanged(state, body.instance);
    }
    if (instance->pool != body.fromPool || body.fromPool == body.toPool) {
        return refused("the instance is in pool '" + instance->pool + "'");
    }
    const auto target = state.parsedConfiguration->pools.find(body.toPool);
    if (target == state.parsedConfiguration->pools.end()) {
        return refused("there is no pool '" + body.toPool + "'");
    }
    const auto source = state.parsedConfiguration->pools.find(body.fromPool);
    const bool fromSpare = source != state.parsedConfiguration->pools.end() && source->second.spare && instance->state == InstanceState::InService;
    const bool inPlannedOutage = instance->state == InstanceState::PlannedOutage;
    if (!fromSpare && !inPlannedOutage) {
        return refusedForState(*instance);
    }
    setPoolAndState(state, *instance, body.toPool, InstanceState::Arriving);
    return accepted();
}

Verdict apply(FleetState &state, const OutageGranted &body, const LogPosition &position)
{
    InstanceEntry *instance = findUnchanged(state, body.instance, body.sequence);
    if (instance == nullptr) {
        return refusedAsChanged(state, body.instance);
    }
    if (!isPresent(state, {body.node, body.incarnation})) {
        return refused("node '" + body.node + "' is not present with this incarnation");
    }
    if (instance->state != InstanceState::InService) {
        return refusedForState(*instance);
    }
    if (state.maintenancePaused && body.purpose == OutagePurpose::Maintenance) {
        return refused("maintenance is paused");
    }
    const int budget = poolBudget(*state.parsedConfiguration, instance->pool);
    if (outOfServiceCount(state, instance->pool) >= budget) {
        return refused("pool '" + instance->pool + "' has " + std::to_string(budget) + " instances out, its whole budget");
    }
    setPoolAndState(state, *instance, instance->pool, InstanceState::PlannedOutage);
    instance->purpose = body.purpose;
    instance->holder = body.node;
    instance->holderIncarnation = body.incarnation;
    instance->fencingToken = position.offset;
    instance->beginDeadline = body.beginDeadline;
    return accepted();
}

Verdict apply(FleetState &state, const OutageEnded &body, const LogPosition &)
{
    InstanceEntry *instance = findUnchanged(state, body.instance, body.sequence);
    if (instance == nullptr) {
        return refusedAsChanged(state, body.instance);
    }
    if (instance->state != InstanceState::PlannedOutage && instance->state != InstanceState::Arriving) {
        return refusedForState(*instance);
    }
    setPoolAndState(state, *instance, instance->pool, InstanceState::InService);
    if (body.maintained) {
        instance->maintainedAtMs = body.endedAt;
    }
    return accepted();
}

Verdict apply(FleetState &state, const InstanceFailed &body, const LogPosition &)
{
    InstanceEntry *instance = findUnchanged(state, body.instance, body.sequence);
    if (instance == nullptr) {
        return refusedAsChanged(state, body.instance);
    }
    if (instance->state != InstanceState::InService && instance->state != InstanceState::Arriving) {
        return refusedForState(*instance);
    }
    setPoolAndState(state, *instance, instance->pool, InstanceState::Failed);
    return accepted();
}

Verdict apply(FleetState &state, const InstanceRecovered &body, const LogPosition &)
{
    InstanceEntry *instance = findUnchanged(state, body.instance, body.sequence);
    if (instance == nullptr) {
        return refusedAsChanged(state, body.instance);
    }
    if (instance->state != InstanceState::Failed) {
        return refusedForState(*instance);
    }
    setPoolAndState(state, *instance, instance->pool, InstanceState::InService);
    return accepted();
}

Verdict apply(FleetState &state, const MaintenanceSkipped &body, const LogPosition &)
{
    InstanceEntry *instance = findUnchanged(state, body.instance, body.sequence);
    if (instance == nullptr) {
        return refusedAsChanged(state, body.instance);
    }
    if (instance->maintainedAtMs >= state.waveStartedAt) {
        return refused("the instance is not due in this wave");
    }
    instance->maintainedAtMs = state.waveStartedAt;
    instance->sequence += 1;
    return accepted();
}

}
