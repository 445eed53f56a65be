#include "jobnode/fleetcontroller.h"

#include "telemetry/log.h"

#include <algorithm>
#include <utility>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

constexpr auto DecisionInterval = 100ms;
constexpr auto ListInterval = 700ms;
// No decisions are made from a list of instances that is older than this.
constexpr auto MaxListAge = 2500ms;
// Time from the answer to an order until the list of instances certainly shows its effect.
constexpr auto OrderVisibilityDelay = 2300ms;
// Exceeds InstanceTimes::handOverDelay by more than the wall clocks of two machines differ. A worker that has run for this
// long shows that the predecessor gave no recent order for its instance.
constexpr std::chrono::milliseconds MinStableWorkerAge{8000};
// Fraction of the control plane's rate of orders that this node uses: the limit holds for all nodes together, and the predecessor's
// last orders count too.
constexpr double UsedRateFraction = 0.9;
// The allowance of orders is at most that of this time.
constexpr double MaxAllowanceSeconds = 0.5;
// A long-running task may be without a worker for 6 s after its last run. A stop takes up to 0.9 s of them, and the start of the next run some.
constexpr auto MaxDisplacedWait = 2000ms;
// An instance without long-running tasks is usually maintained and back within this time, so it is given up later.
constexpr std::chrono::milliseconds MaxDisplacedWaitForEmpty = 4000ms;
// Enough for the waiting task to be started and ready on an instance that was given up.
constexpr auto EmptyingPause = 2000ms;

std::string targetOf(const InstanceOrder &order)
{
    if (const MoveInstance *move = std::get_if<MoveInstance>(&order)) {
        return move->pool;
    }
    return std::to_string(std::get<MaintainInstance>(order).wave);
}

std::string resultText(const InstanceResult &result)
{
    if (const InstanceRefusal *refusal = std::get_if<InstanceRefusal>(&result)) {
        return std::string(toName(*refusal));
    }
    return std::holds_alternative<InstanceOrderAccepted>(result) ? "taken" : "unanswered";
}

/** Of instances without a worker outside evacuated zones, which are switched off, moving or starting. */
Resources unusedCapacity(const std::map<InstanceId, InstanceView> &views, const ZoneEvacuation &evacuation)
{
    Resources unused;
    for (const auto &[id, view] : views) {
        const bool isUnused = view.facts.worker.empty() && view.facts.state != InstancePhase::Maintenance;
        unused += isUnused && !evacuation.isEvacuated(view.facts.zone) ? view.facts.capacity : Resources{};
    }
    return unused;
}

}

FleetController::FleetController(
    InstancePort &port, Scheduler &scheduler, InstanceTimes times, std::uint64_t epoch, InstanceHandOver handOver, SendCondition mayOrder, Metrics &metrics)
    : m_port(port)
    , m_scheduler(scheduler)
    , m_times(times)
    , m_epoch(epoch)
    , m_predecessor(std::move(handOver), times.orderTimeout, times.handOverDelay)
    , m_mayOrder(std::move(mayOrder))
    , m_movesTotal(metrics.counter("instance_moves_total", "Moves of instances between pools"))
    , m_maintenanceTotal(metrics.counter("instance_maintenance_total", "Maintenance of instances begun"))
    , m_announcementsTotal(metrics.counter("instance_announcements_total", "Records of instances with orders that were stored"))
    , m_takenBackTotal(metrics.counter("instance_orders_taken_back_total", "Orders for instances that were not announced in time and not sent"))
    , m_spareInstances(metrics.gauge("spare_instances_wanted", "Instances that the pools together want beyond their demand"))
    , m_pools(times.pools)
{
}

void FleetController::addWave(const WaveSpec &spec, BootTime seenAt)
{
    const auto [wave, added] = m_waves.try_emplace(spec.number, spec, m_times.waves, seenAt);
    if (!added) {
        return;
    }
    const auto restored = m_restored.find(spec.number);
    if (restored != m_restored.end()) {
        wave->second.restore(restored->second);
    }
    logChange("instances",
              "wave",
              {{"wave", std::to_string(spec.number)}, {"instances", std::to_string(spec.instances.size())}, {"out-most", std::to_string(spec.maxUnavailable)}});
    if (!wave->second.isCompleted()) {
        reportWave(spec.number, false);
    }
}

void FleetController::restore(const WaveRecord &record)
{
    m_restored[record.number] = record;
}

void FleetController::end()
{
    m_ended = true;
}

std::vector<WaveRecord> FleetController::takeChanged()
{
    std::vector<WaveRecord> records;
    for (const std::uint64_t number : m_changed) {
        const auto wave = m_waves.find(number);
        records.push_back(wave == m_waves.end() ? m_restored.at(number) : wave->second.record());
    }
    m_changed.clear();
    return records;
}

void FleetController::markAllChanged()
{
    for (const auto &[number, record] : m_restored) {
        m_changed.insert(number);
    }
    for (const auto &[number, wave] : m_waves) {
        m_changed.insert(number);
    }
    m_announcements.markChanged();
}

void FleetController::notePredecessorFenced(BootTime fencedAt)
{
    m_predecessor.noteFenced(fencedAt);
}

void FleetController::restoreOrders(const std::string &bytes)
{
    m_predecessor.restore(bytes);
    // A successor that is not this node must not order these instances either.
    for (const InstanceId &instance : m_predecessor.ownInstances()) {
        m_orderUnderWayAt[instance] = m_predecessor.endAt();
    }
}

bool FleetController::isAnnouncementDue(BootTime now) const
{
    return !m_ended && m_announcements.isDue(now);
}

std::optional<std::string> FleetController::takeAnnouncement(BootTime now)
{
    if (!isAnnouncementDue(now)) {
        return std::nullopt;
    }
    InstanceOrderRecord record{m_epoch, m_predecessor.knowsAll(now), {}, {}};
    for (const auto &[instance, age] : recentOrders()) {
        record.ordered.push_back(instance);
    }
    const std::set<InstanceId> blocked = m_predecessor.blockedInstances(now);
    record.blocked.assign(blocked.begin(), blocked.end());
    return m_announcements.takeRecord(std::move(record), now);
}

void FleetController::handleAnnouncementStored(BootTime now)
{
    m_announcementsTotal.increment();
    const std::vector<DecidedOrder> announced = m_announcements.takeAnnounced();
    if (m_ended || !m_mayOrder()) {
        takeBack(announced, "may not be sent", now);
        return;
    }
    for (const DecidedOrder &decided : announced) {
        sendOrder(decided, now);
    }
}

void FleetController::advance(BootTime now, const FleetPolicy &policy)
{
    if (m_ended || now - m_decidedAt < DecisionInterval) {
        return;
    }
    m_decidedAt = now;
    takeBack(m_announcements.takeExpired(now), "not announced in time", now);
    refresh(now);
    if (m_instances.empty() || now - m_listedAt > MaxListAge) {
        return;
    }
    std::map<InstanceId, InstanceView> views = viewInstances(now);
    m_scheduler.setUnusedInstances(unusedCapacity(views, m_scheduler.evacuation()));
    std::vector<WorkerId> previouslyCordoned;
    std::swap(m_cordoned, previouslyCordoned);
    // A run that starts while the order is under way would end with the worker.
    for (const auto &[instance, ordered] : m_orderedWorkers) {
        m_cordoned.push_back(ordered.worker);
    }
    for (const auto &[instance, facts] : m_instances) {
        if (!facts.worker.empty() && m_predecessor.mayArrive(instance, now)) {
            m_cordoned.push_back(facts.worker);
        }
    }
    refillOrderAllowance(now);
    if (m_mayOrder()) {
        decideWaves(views, now);
        // Instances for which a wave has just given an order must not be moved, so the views are built again.
        views = viewInstances(now);
        // Before the view of evacuated zones is usable, instances of such a zone might be moved into a pool.
        if (m_scheduler.mayPlace(now)) {
            decidePools(views, policy, now);
        }
    }
    // The first decision also replaces what the scheduler has cordoned by itself after the takeover.
    if (previouslyCordoned != m_cordoned || !std::exchange(m_hasDecided, true)) {
        m_scheduler.setCordoned(m_cordoned);
    }
}

void FleetController::refresh(BootTime now)
{
    // The first list that shows the effect of all orders of the predecessor is read as soon as possible.
    const bool isFirstAfterPredecessor = m_listBegunAt < m_predecessor.endAt() && now >= m_predecessor.endAt();
    if (m_listInFlight || (now - m_listedAt < ListInterval && !isFirstAfterPredecessor)) {
        return;
    }
    m_listInFlight = true;
    m_nextListBegunAt = now;
    m_nextInstances.clear();
    readPage({});
}

void FleetController::readPage(const std::string &token)
{
    m_port.list(token, [self = shared_from_this()](const std::optional<InstancePage> &page) {
        if (self->m_ended) {
            return;
        }
        if (!page) {
            self->m_listInFlight = false;
            return;
        }
        for (const InstanceFacts &facts : page->instances) {
            self->m_nextInstances.insert_or_assign(facts.id, facts);
        }
        if (!page->next.empty()) {
            self->readPage(page->next);
            return;
        }
        if (self->m_listedAt == BootTime{}) {
            // A new owner decides as soon as it knows the instances.
            self->m_decidedAt = BootTime{};
        }
        self->m_listedAt = BootClock::now();
        self->m_listBegunAt = self->m_nextListBegunAt;
        self->m_listInFlight = false;
        self->applyList(std::exchange(self->m_nextInstances, {}));
    });
}

void FleetController::applyList(std::map<InstanceId, InstanceFacts> instances)
{
    for (const auto &[id, former] : m_instances) {
        const auto found = instances.find(id);
        if (found == instances.end() || former.worker.empty() || found->second.worker == former.worker) {
            continue;
        }
        const bool isBetweenWorkers = found->second.state == InstancePhase::Moving || found->second.state == InstancePhase::Maintenance;
        if (isBetweenWorkers || !found->second.worker.empty()) {
            m_scheduler.noteWorkerReplaced(former.worker, m_listedAt, toUnixMilliseconds(wallNow()));
        }
    }
    forgetShownOrders();
    m_instances = std::move(instances);
    reportPredecessorOrders(m_listedAt);
}

void FleetController::forgetShownOrders()
{
    std::erase_if(m_orderedWorkers, [this](const auto &ordered) {
        return ordered.second.unansweredAt && *ordered.second.unansweredAt <= m_listBegunAt;
    });
}

void FleetController::reportPredecessorOrders(BootTime now)
{
    if (std::exchange(m_hasReportedPredecessor, true)) {
        return;
    }
    const auto blocked = std::count_if(m_instances.begin(), m_instances.end(), [&](const auto &instance) {
        return now < m_predecessor.blockOf(instance.first, false).until;
    });
    logChange("instances",
              "orders of the predecessor",
              {{"epoch", std::to_string(m_epoch)},
               {"record", std::string(toName(m_predecessor.record()))},
               {"blocked", std::to_string(blocked)},
               {"free", std::to_string(static_cast<std::ptrdiff_t>(m_instances.size()) - blocked)},
               {"arrive-until-ms", std::to_string(std::max<std::int64_t>(0, (m_predecessor.endAt() - now).count()))}});
}

void FleetController::refillOrderAllowance(BootTime now)
{
    const double rate = UsedRateFraction * m_times.maxOrdersPerSecond;
    const double elapsedSeconds = std::chrono::duration<double>(now - m_allowanceFilledAt).count();
    m_orderAllowance = std::min(m_orderAllowance + rate * elapsedSeconds, std::max(1.0, rate * MaxAllowanceSeconds));
    m_allowanceFilledAt = now;
}

bool FleetController::hasOrderAllowance() const
{
    return m_times.maxOrdersPerSecond <= 0 || m_orderAllowance >= 1;
}

std::map<InstanceId, std::int64_t> FleetController::recentOrders() const
{
    const BootTime now = BootClock::now();
    std::map<InstanceId, std::int64_t> recent;
    for (const auto &[instance, underWayAt] : m_orderUnderWayAt) {
        if (m_inFlight.count(instance) != 0) {
            recent[instance] = -m_times.orderTimeout.count();
        } else if (now - underWayAt < m_times.handOverDelay) {
            recent[instance] = (now - underWayAt).count();
        }
    }
    return recent;
}

// A worker that was started long ago shows that its instance has had no order since its start, as an order ends the worker; the
// list must be read after the predecessor's last order has arrived.
bool FleetController::mayOrder(const InstanceFacts &facts, BootTime now) const
{
    if (now >= m_predecessor.blocksUntil()) {
        return true;
    }
    const WorkerSession *worker = facts.worker.empty() ? nullptr : m_scheduler.findWorker(facts.worker);
    const bool isHeard = worker != nullptr && worker->isRegistered() && worker->isReachable();
    const OrderBlock block = m_predecessor.blockOf(facts.id, !facts.worker.empty() && !isHeard);
    if (now >= block.until) {
        return true;
    }
    if (!block.endsWithStableWorker || m_listBegunAt < m_predecessor.endAt()) {
        return false;
    }
    const std::int64_t workerStartMs = worker == nullptr ? 0 : worker->facts().startTimeMs;
    return workerStartMs != 0 && toUnixMilliseconds(wallNow()) - workerStartMs > MinStableWorkerAge.count();
}

std::map<InstanceId, InstanceView> FleetController::viewInstances(BootTime now) const
{
    std::map<InstanceId, InstanceView> views;
    for (const auto &[id, facts] : m_instances) {
        InstanceView view;
        view.facts = facts;
        view.evacuated = m_scheduler.evacuation().isEvacuated(facts.zone);
        const auto ordered = m_orderedAt.find(id);
        view.hasPendingOrder = !mayOrder(facts, now) || m_announcements.isWaiting(id) || m_inFlight.count(id) != 0
            || (ordered != m_orderedAt.end() && now - ordered->second < OrderVisibilityDelay);
        const auto movingTo = m_movingTo.find(id);
        if (view.hasPendingOrder && movingTo != m_movingTo.end()) {
            view.movingTo = movingTo->second;
        }
        if (const WorkerSession *worker = facts.worker.empty() ? nullptr : m_scheduler.findWorker(facts.worker)) {
            view.evacuated = view.evacuated || worker->isEvacuated();
            view.usable = worker->isRegistered() && worker->isReachable() && worker->facts().state == WorkerState::Ready;
            view.runs = worker->runs().size();
            for (const auto &[task, run] : worker->runs()) {
                if (run.longRunning) {
                    ++view.longRunningRuns;
                    view.longRunningDemand += run.demand;
                    view.isBeingEmptied = view.isBeingEmptied || m_scheduler.isDisrupted(task, run.run);
                } else {
                    view.emptyAfter = std::max(view.emptyAfter, m_scheduler.remainingTime(run, now));
                }
            }
        }
        views.emplace(id, std::move(view));
    }
    return views;
}

WaveSurroundings FleetController::surroundingsOfWaves(const std::map<InstanceId, InstanceView> &views, BootTime now)
{
    WaveSurroundings surroundings;
    for (const auto &[id, view] : views) {
        surroundings.backlog.try_emplace(view.facts.pool, m_scheduler.backlogOf(view.facts.pool));
        if (view.isBeingEmptied) {
            surroundings.emptying.insert(id);
        }
    }
    bool hasOpenWaves = false;
    for (const auto &[number, wave] : m_waves) {
        if (!wave.isCompleted()) {
            hasOpenWaves = true;
            surroundings.emptying.insert(wave.emptying().begin(), wave.emptying().end());
        }
    }
    for (const auto &[pool, wait] : m_scheduler.displacedTasks(now)) {
        if (wait < MaxDisplacedWait) {
            continue;
        }
        const DisplacedWait length = wait < MaxDisplacedWaitForEmpty ? DisplacedWait::Long : DisplacedWait::TooLong;
        DisplacementPause &pause = m_pauses[pool];
        if (pause.until < now || pause.length < length) {
            logChange("instances", "emptying pauses", {{"pool", pool}, {"task-waits-ms", std::to_string(wait.count())}});
        }
        pause.length = pause.until < now ? length : std::max(pause.length, length);
        pause.until = now + EmptyingPause;
    }
    if (!hasOpenWaves) {
        m_pauses.clear();
    }
    for (const auto &[pool, pause] : m_pauses) {
        surroundings.crowded.insert(pool);
        if (now < pause.until) {
            surroundings.displaced.emplace(pool, pause.length);
        }
    }
    return surroundings;
}

void FleetController::decideWaves(const std::map<InstanceId, InstanceView> &views, BootTime now)
{
    WaveSurroundings surroundings = surroundingsOfWaves(views, now);
    std::vector<WorkerId> leaving;
    for (auto &[number, wave] : m_waves) {
        if (wave.isCompleted()) {
            continue;
        }
        const WaveDecision decision = wave.decide(views, surroundings, now);
        surroundings.emptying.insert(decision.emptying.begin(), decision.emptying.end());
        logEmptying(number, decision, views);
        for (const InstanceId &instance : decision.cordon) {
            m_cordoned.push_back(views.at(instance).facts.worker);
        }
        for (const InstanceId &instance : decision.due) {
            leaving.push_back(views.at(instance).facts.worker);
        }
        // Cordons the workers before the orders are sent, so that nothing is placed on them in between.
        m_scheduler.setCordoned(m_cordoned);
        for (const InstanceId &instance : decision.evacuate) {
            m_scheduler.evacuate(views.at(instance).facts.worker, now);
        }
        for (const MaintainInstance &order : decision.maintain) {
            if (hasOrderAllowance()) {
                announceOrder(order, now);
            }
        }
        if (decision.completed && m_reported.count(number) == 0) {
            m_reported.insert(number);
            reportWave(number, true);
        }
    }
    m_scheduler.setLeaving(std::move(leaving));
}

void FleetController::logEmptying(std::uint64_t wave, const WaveDecision &decision, const std::map<InstanceId, InstanceView> &views)
{
    std::string emptying;
    for (const InstanceId &instance : decision.evacuate) {
        emptying += (emptying.empty() ? "" : ",") + instance + ":" + std::to_string(views.at(instance).longRunningRuns);
    }
    if (std::exchange(m_loggedEmptying[wave], emptying) != emptying) {
        logChange("instances", "wave empties", {{"wave", std::to_string(wave)}, {"long-running-runs", emptying}});
    }
}

void FleetController::decidePools(const std::map<InstanceId, InstanceView> &views, const FleetPolicy &policy, BootTime now)
{
    std::map<std::string, PoolDemand> pools;
    for (const auto &[name, pool] : policy.pools) {
        PoolDemand demand;
        demand.standby = pool.standby;
        demand.backlog = m_scheduler.backlogOf(name);
        demand.labelledBacklog = m_scheduler.labelledBacklogOf(name);
        demand.outlook = m_scheduler.demandOutlook(name, now);
        pools.emplace(name, demand);
    }
    for (const auto &[name, counts] : m_scheduler.poolCounts(now)) {
        if (const auto pool = pools.find(name); pool != pools.end()) {
            pool->second.used = counts.used;
        }
    }
    const std::set<WorkerId> cordoned(m_cordoned.begin(), m_cordoned.end());
    std::map<InstanceId, InstanceView> poolViews = views;
    for (auto &[id, view] : poolViews) {
        // An instance that a wave is about to take out of service is not available for pools: neither idle nor usable.
        view.hasPendingOrder = view.hasPendingOrder || (!view.facts.worker.empty() && cordoned.count(view.facts.worker) != 0);
    }
    const PoolDecision decision = m_pools.decide(poolViews, pools, now);
    m_spareInstances.set(static_cast<double>(m_pools.spareInstances()));
    for (const InstanceId &instance : decision.cordon) {
        m_cordoned.push_back(views.at(instance).facts.worker);
    }
    for (const MoveInstance &move : decision.moves) {
        if (!hasOrderAllowance()) {
            break;
        }
        const WorkerId &worker = views.at(move.instance).facts.worker;
        if (!worker.empty()) {
            m_cordoned.push_back(worker);
        }
        m_scheduler.setCordoned(m_cordoned);
        announceOrder(move, now);
    }
}

void FleetController::announceOrder(const InstanceOrder &order, BootTime now)
{
    const InstanceId &instance = instanceOf(order);
    // Two waves of one decision may name the same instance.
    if (m_announcements.isWaiting(instance)) {
        return;
    }
    const WorkerId worker = m_instances.at(instance).worker;
    m_orderAllowance -= 1;
    if (!worker.empty()) {
        m_orderedWorkers[instance] = {worker, std::nullopt};
    }
    if (const MoveInstance *move = std::get_if<MoveInstance>(&order)) {
        m_movingTo[instance] = move->pool;
    } else {
        m_movingTo.erase(instance);
    }
    DecidedOrder decided;
    decided.order = order;
    decided.worker = worker;
    decided.maySend = sendConditionOf(order);
    decided.decidedAt = now;
    m_announcements.add(std::move(decided));
}

void FleetController::sendOrder(const DecidedOrder &decided, BootTime now)
{
    const InstanceId &instance = instanceOf(decided.order);
    m_inFlight.insert(instance);
    m_orderedAt[instance] = now;
    m_orderUnderWayAt[instance] = now;
    m_port.order(decided.order,
                 m_epoch,
                 decided.maySend,
                 m_times.orderTimeout,
                 [self = shared_from_this(), order = decided.order, worker = decided.worker](const InstanceResult &result) {
                     if (!self->m_ended) {
                         self->noteResult(order, worker, result);
                     }
                 });
}

void FleetController::takeBack(const std::vector<DecidedOrder> &orders, std::string_view reason, BootTime now)
{
    if (orders.empty()) {
        return;
    }
    for (const DecidedOrder &decided : orders) {
        const InstanceId &instance = instanceOf(decided.order);
        m_orderAllowance += 1;
        m_orderedAt.erase(instance);
        m_movingTo.erase(instance);
        // An earlier order for the instance may be unanswered: the cordon ends once a list shows its effect.
        if (const auto ordered = m_orderedWorkers.find(instance); ordered != m_orderedWorkers.end()) {
            ordered->second.unansweredAt = decided.decidedAt;
        }
    }
    forgetShownOrders();
    m_takenBackTotal.increment(static_cast<double>(orders.size()));
    logChange(
        "instances",
        "orders taken back",
        {{"orders", std::to_string(orders.size())}, {"oldest-ms", std::to_string((now - orders.front().decidedAt).count())}, {"reason", std::string(reason)}});
}

SendCondition FleetController::sendConditionOf(const InstanceOrder &order)
{
    if (!std::holds_alternative<MoveInstance>(order)) {
        return m_mayOrder;
    }
    // Weak, as the controller keeps the condition while the order waits for its announcement.
    return [weak = weak_from_this(), zone = m_instances.at(instanceOf(order)).zone] {
        const auto self = weak.lock();
        return self && self->m_mayOrder() && !self->m_ended && !self->m_scheduler.evacuation().isEvacuated(zone);
    };
}

void FleetController::noteResult(const InstanceOrder &order, const WorkerId &worker, const InstanceResult &result)
{
    const BootTime now = BootClock::now();
    const MoveInstance *move = std::get_if<MoveInstance>(&order);
    const MaintainInstance *maintain = std::get_if<MaintainInstance>(&order);
    const InstanceId &instance = instanceOf(order);
    m_inFlight.erase(instance);
    m_orderedAt[instance] = now;
    m_orderUnderWayAt[instance] = now;
    const bool taken = std::holds_alternative<InstanceOrderAccepted>(result);
    const InstanceRefusal *refusal = std::get_if<InstanceRefusal>(&result);
    logChange("instances",
              move != nullptr ? "move" : "maintain",
              {{"instance", instance}, {"worker", worker}, {"target", targetOf(order)}, {"result", resultText(result)}});
    if (refusal != nullptr) {
        m_movingTo.erase(instance);
    }
    const auto ordered = m_orderedWorkers.find(instance);
    if (taken || refusal != nullptr) {
        m_orderedWorkers.erase(instance);
    } else if (ordered != m_orderedWorkers.end()) {
        ordered->second.unansweredAt = now;
    }
    if (!taken) {
        // The order may be given again once the list has been read again. Repeating an unanswered order is safe, as it takes
        // effect only once.
        if (move != nullptr && refusal != nullptr && *refusal == InstanceRefusal::Invalid) {
            m_pools.handleInvalidMove(*move);
        }
        m_orderedAt[instance] = now - OrderVisibilityDelay + ListInterval;
        return;
    }
    if (maintain == nullptr) {
        m_movesTotal.increment();
    } else {
        m_maintenanceTotal.increment();
        const auto wave = m_waves.find(maintain->wave);
        if (wave != m_waves.end()) {
            wave->second.noteDone(instance, now);
            m_changed.insert(maintain->wave);
        }
    }
    if (!worker.empty()) {
        m_scheduler.suspendWorker(worker, now);
    }
}

void FleetController::reportWave(std::uint64_t number, bool completed)
{
    m_port.reportWave(number, completed, m_mayOrder, [self = shared_from_this(), number, completed](bool stored) {
        if (self->m_ended) {
            return;
        }
        logChange("instances",
                  "wave reported",
                  {{"wave", std::to_string(number)}, {"state", completed ? "completed" : "running"}, {"stored", stored ? "true" : "false"}});
        if (!stored) {
            self->m_reported.erase(number);
        } else if (completed) {
            self->m_waves.at(number).noteCompleted();
            self->m_changed.insert(number);
        }
    });
}

}
