#include "scheduling/scheduler.h"

#include "details/schedulerimpl.h"
#include "jobs/jobcodec.h"

#include <algorithm>
#include <utility>

namespace Cornelquay {

namespace {

// An owner raises a worker's fencing token far fewer times than this, so the tokens of two epochs never overlap.
constexpr std::uint64_t TokensPerEpoch = 1000000;
// A job is small if it takes this part of the free memory. It may come until its account holds so many times the free memory.
constexpr std::size_t SmallJobDivisor = 64;
constexpr std::size_t SmallJobShare = 4;
// Of the time until memory for jobs is expected to be free.
constexpr std::chrono::milliseconds MinMemoryRetryAfter{1000};
constexpr std::chrono::milliseconds MaxMemoryRetryAfter{30000};

}

Scheduler::Impl::Impl(SchedulerTimes schedulerTimes, std::uint64_t epoch, SchedulerOptions schedulerOptions)
    : times(schedulerTimes)
    , options(schedulerOptions)
    , demand(makeDemandEstimate(schedulerOptions.capacity))
    , firstToken(epoch * TokensPerEpoch + 1)
{
}

void Scheduler::Impl::markDirty(JobEntry &entry)
{
    if (!entry.dirty) {
        entry.dirty = true;
        dirtyJobs.push_back(entry.job.record().id);
    }
    entry.mayHaveReady = true;
    entry.readyTasks.reset();
    placementNeeded = true;
}

std::uint64_t Scheduler::Impl::durableBatch() const
{
    return dirtyJobs.empty() && !disruptionsChanged ? nextBatch - 1 : nextBatch;
}

JobEntry *Scheduler::Impl::findEntry(const JobId &job)
{
    const auto found = jobs.find(job);
    return found == jobs.end() ? nullptr : &found->second;
}

void Scheduler::Impl::emitEvent(std::string_view event, const TaskName &task, std::uint32_t run, const WorkerId &worker, std::string detail)
{
    events.push_back({event, task.job, task.ref, run, worker, std::move(detail)});
}

void Scheduler::Impl::refreshEstimate(JobEntry &entry) const
{
    const JobSpec &spec = entry.job.record().spec;
    entry.stepRunMs = expectedRunMs(entry.job.record());
    const std::vector<std::int64_t> &runMs = entry.stepRunMs;
    const std::vector<std::int64_t> chains = criticalPathsMs(spec, runMs);
    JobEstimate &estimate = entry.estimate;
    estimate.remainingChainMs = 0;
    estimate.totalWork = 0;
    estimate.remainingWork = 0;
    std::int64_t totalChain = 0;
    for (std::size_t step = 0; step < spec.steps.size(); ++step) {
        const double workPerTask = static_cast<double>(spec.steps[step].demand.cpu) / 1000.0 * static_cast<double>(runMs[step]);
        estimate.totalWork += workPerTask * spec.steps[step].count;
        totalChain = std::max(totalChain, chains[step]);
        for (const Occurrence &occurrence : entry.job.record().occurrences) {
            const auto unfinished = std::count_if(occurrence.steps[step].begin(), occurrence.steps[step].end(), [](const Task &task) {
                return task.phase != TaskPhase::Finished;
            });
            if (unfinished > 0) {
                estimate.remainingChainMs = std::max(estimate.remainingChainMs, chains[step]);
                estimate.remainingWork += workPerTask * static_cast<double>(unfinished);
            }
        }
        entry.longRunning = entry.longRunning || spec.steps[step].longRunning;
    }
    estimate.objectiveDeadline = estimate.receivedAt + objectiveDuration(entry.job.record().terms, std::chrono::milliseconds(totalChain));
}

JobEntry Scheduler::Impl::newEntry(JobRecord record, BootTime receivedAt, BootTime now) const
{
    JobEntry entry(std::move(record));
    entry.estimate.receivedAt = receivedAt;
    entry.overAgreedRate = isBeyondAgreedRate(entry.job.record().account, now);
    if (entry.job.record().spec.recurrence.count == 0) {
        entry.job.openOccurrence();
    }
    refreshEstimate(entry);
    return entry;
}

Scheduler::Scheduler(SchedulerTimes times, std::uint64_t epoch, SchedulerOptions options)
    : m_impl(std::make_unique<Impl>(times, epoch, options))
{
}

Scheduler::~Scheduler() = default;

void Scheduler::restore(JobRecord record, BootTime now, std::int64_t wallMs)
{
    const JobId id = record.id;
    JobEntry &entry = m_impl->jobs.insertOrAssign(id, JobEntry(std::move(record))).first->second;
    const JobRecord &restored = entry.job.record();
    entry.stored = true;
    entry.storedState = restored.state;
    if (entry.job.finishGangs(wallMs)) {
        m_impl->markDirty(entry);
        m_impl->emitEvent("gang-finished", {id, {}}, 0, {}, "a member had finished before the takeover");
    }
    entry.estimate.receivedAt
        = now - std::chrono::milliseconds(std::clamp<std::int64_t>(wallMs - restored.submittedMs, 0, m_impl->times.closedJobRetentionPeriod.count()));
    m_impl->refreshEstimate(entry);
    for (const Occurrence &occurrence : restored.occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            for (std::uint32_t index = 0; index < occurrence.steps[step].size(); ++index) {
                const Task &task = occurrence.steps[step][index];
                if (task.phase == TaskPhase::Placed) {
                    m_impl->restoreRun(entry, {occurrence.number, step, index}, {task.run, task.worker}, false, now);
                }
            }
        }
    }
    for (const TaskCopies &copies : restored.copies) {
        for (const ExtraRun &extra : copies.extraRuns) {
            m_impl->restoreRun(entry, copies.task, extra, true, now);
        }
    }
}

void Scheduler::setPredecessor(PredecessorLeases leases)
{
    m_impl->predecessor = std::move(leases);
}

void Scheduler::setPublishedUnreachable(const std::set<WorkerId> &workers)
{
    for (auto &[id, session] : m_impl->workers) {
        session.setLeaseExtensionSuspended(workers.count(id) != 0);
    }
}

std::map<WorkerId, std::chrono::milliseconds> Scheduler::unreachableWorkers(BootTime now) const
{
    std::map<WorkerId, std::chrono::milliseconds> unreachable;
    for (const auto &[id, session] : m_impl->workers) {
        if (!session.isReachable() && !session.runs().empty()) {
            unreachable[id] = std::max<std::chrono::milliseconds>(std::chrono::milliseconds(0), session.maxLeaseUntil() - now);
        }
    }
    return unreachable;
}

void Scheduler::setPolicy(std::shared_ptr<const FleetPolicy> policy)
{
    m_impl->policy = std::move(policy);
    for (JobEntry *entry : m_impl->jobs.open()) {
        const auto queue = m_impl->policy->queues.find(entry->job.record().queue);
        if (queue != m_impl->policy->queues.end()) {
            entry->job.setTerms(queue->second.terms);
        }
    }
    m_impl->placementNeeded = true;
}

void Scheduler::updateWorker(const WorkerFacts &facts, BootTime now)
{
    const auto [worker, added] = m_impl->workers.try_emplace(facts.id, facts, m_impl->firstToken, m_impl->times.lease);
    if (added) {
        m_impl->emitEvent("worker-registered", {}, 0, facts.id, facts.pool);
    } else if (worker->second.facts().state != facts.state) {
        m_impl->emitEvent("worker-state", {}, 0, facts.id, facts.state == WorkerState::Draining ? "draining" : "ready");
    }
    m_impl->movePredictedEnds(worker->second, facts.pool);
    worker->second.setFacts(facts, now);
    worker->second.setEvacuated(m_impl->evacuation.isEvacuated(facts.zone));
    worker->second.setRegistered(true);
    m_impl->placementNeeded = true;
}

void Scheduler::unregisterWorker(const WorkerId &worker)
{
    const auto found = m_impl->workers.find(worker);
    if (found != m_impl->workers.end()) {
        found->second.setRegistered(false);
        m_impl->emitEvent("worker-unregistered", {}, 0, worker);
    }
}

void Scheduler::setCordoned(std::vector<WorkerId> workers)
{
    m_impl->cordoned = {workers.begin(), workers.end()};
    m_impl->placementNeeded = true;
}

void Scheduler::setLeaving(std::vector<WorkerId> workers)
{
    m_impl->leaving = {workers.begin(), workers.end()};
}

void Scheduler::suspendWorker(const WorkerId &worker, BootTime now)
{
    const auto found = m_impl->workers.find(worker);
    if (found != m_impl->workers.end()) {
        found->second.setRegistered(false);
        found->second.expectEnd();
        found->second.requestListing(now);
    }
}

MemoryDecision Scheduler::decideMemory(const JobRecord &record, std::int64_t wallMs) const
{
    const std::size_t limit = m_impl->options.maxHeldBytes;
    const std::size_t free = limit - std::min(limit, m_impl->jobs.bytes());
    const std::size_t needed = memoryOf(record.spec);
    const std::size_t ofAccount = needed <= free / SmallJobDivisor ? SmallJobShare * free : free;
    if (m_impl->jobs.bytesOf(record.account) + needed <= ofAccount) {
        return {};
    }
    const std::chrono::milliseconds untilForgotten{m_impl->nextForgottenMs - wallMs};
    return {true, needed <= free, std::clamp(untilForgotten, MinMemoryRetryAfter, MaxMemoryRetryAfter)};
}

SubmitOutcome Scheduler::submit(JobRecord record, BootTime now, std::int64_t wallMs)
{
    Impl &impl = *m_impl;
    const JobId id = record.id;
    const JobEntry *known = impl.findEntry(id);
    if (known != nullptr && known->job.record().isSubmitted()) {
        return {SubmitOutcome::Kind::Known, known->stored ? impl.storedBatch : std::max(known->batch, impl.durableBatch())};
    }
    if (known != nullptr) {
        impl.dropEarlyCancellation(id);
    }
    const BootTime receivedAt = impl.admission.firstTries.find(id, now).value_or(now);
    impl.admission.firstTries.forget(id);
    record.submittedMs = wallMs - (now - receivedAt).count();
    JobEntry &entry = impl.jobs.tryEmplace(id, impl.newEntry(std::move(record), receivedAt, now)).first->second;
    const auto account = impl.policy->accounts.find(entry.job.record().account);
    if (account != impl.policy->accounts.end()) {
        SubmissionBucket &bucket = impl.buckets[account->first];
        bucket = impl.bucketAt(account->first, account->second, now);
        bucket.jobs = std::max(0.0, bucket.jobs - 1.0);
    }
    impl.recordArrival(entry, now);
    impl.markDirty(entry);
    impl.emitEvent("job-received", {id, {}}, 0, {}, entry.job.record().queue);
    return {SubmitOutcome::Kind::Added, impl.durableBatch()};
}

CancelOutcome Scheduler::cancel(const JobId &job, std::int64_t wallMs)
{
    Impl &impl = *m_impl;
    JobEntry *entry = impl.findEntry(job);
    if (entry == nullptr || !entry->job.record().isSubmitted()) {
        return {};
    }
    if (entry->job.cancel(wallMs)) {
        impl.markDirty(*entry);
        impl.emitEvent("job-cancelled", {job, {}}, 0, {});
        impl.stopRunsOfClosedJob(*entry);
    }
    return {true, std::max(entry->batch, impl.durableBatch())};
}

// Requests the stop of all runs of a closed job. Runs whose start order was not sent are given up by releaseStarts().
void Scheduler::Impl::stopRunsOfClosedJob(JobEntry &entry)
{
    const JobId &id = entry.job.record().id;
    for (const Occurrence &occurrence : std::vector<Occurrence>(entry.job.record().occurrences)) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            for (std::uint32_t index = 0; index < occurrence.steps[step].size(); ++index) {
                const Task &task = occurrence.steps[step][index];
                const auto worker = workers.find(task.worker);
                const bool isEnding = entry.job.isGangDone({occurrence.number, step, index});
                if (task.phase == TaskPhase::Placed && !isEnding && worker != workers.end()) {
                    requestStop(worker->second, {id, {occurrence.number, step, index}}, "job-closed");
                }
            }
        }
    }
    for (const TaskCopies &copies : entry.job.record().copies) {
        stopExtraRuns(entry, copies.task, "job-closed");
    }
}

RecordBatch Scheduler::takeBatch()
{
    Impl &impl = *m_impl;
    RecordBatch batch;
    batch.number = impl.nextBatch;
    for (const JobId &id : impl.dirtyJobs) {
        JobEntry *entry = impl.findEntry(id);
        if (entry == nullptr || !entry->dirty) {
            continue;
        }
        entry->dirty = false;
        entry->batch = batch.number;
        batch.records.emplace_back(id, impl.encodeWithinLimit(*entry));
        impl.batchStates[batch.number].emplace_back(id, entry->job.record().state);
    }
    impl.dirtyJobs.clear();
    impl.addDisruptions(batch);
    batch.dropped = std::move(impl.droppedJobs);
    impl.droppedJobs.clear();
    // Removals are stored behind the records of their batch, so one of an id that is in use again would remove the new record.
    std::erase_if(batch.dropped, [&](const JobId &id) {
        return impl.jobs.count(id) != 0;
    });
    if (!batch.isEmpty()) {
        ++impl.nextBatch;
    }
    return batch;
}

std::string Scheduler::Impl::encodeWithinLimit(JobEntry &entry)
{
    std::string bytes = encodeJob(entry.job.record());
    if (bytes.size() > options.maxJobBytes && entry.job.dropProgress()) {
        emitEvent("progress-dropped", {entry.job.record().id, {}}, 0, {}, "the record has " + std::to_string(bytes.size()) + " bytes");
        bytes = encodeJob(entry.job.record());
    }
    if (bytes.size() > options.maxJobBytes) {
        giveUpTasks(entry, "the record has " + std::to_string(bytes.size()) + " bytes");
        bytes = encodeJob(entry.job.record());
    }
    return bytes;
}

void Scheduler::Impl::giveUpTasks(JobEntry &entry, std::string_view reason)
{
    emitEvent("job-not-storable", {entry.job.record().id, {}}, 0, {}, std::string(reason));
    stopRunsOfClosedJob(entry);
    entry.job.giveUp(lastWallMs);
    emitEvent("job-closed", {entry.job.record().id, {}}, 0, {}, std::string(toName(entry.job.record().state)));
}

std::optional<std::uint64_t> Scheduler::handleRecordRefused(const JobId &job)
{
    JobEntry *entry = m_impl->findEntry(job);
    const bool hasTasks = entry != nullptr && (entry->job.isOpen() || !entry->job.record().occurrences.empty());
    if (!hasTasks) {
        // The record cannot become any smaller.
        return std::nullopt;
    }
    m_impl->giveUpTasks(*entry, "the store refuses the record");
    m_impl->markDirty(*entry);
    return m_impl->durableBatch();
}

void Scheduler::markAllChanged()
{
    m_impl->disruptionsChanged = m_impl->disruptionsChanged || !m_impl->disruptedRuns.empty();
    for (auto &[id, entry] : m_impl->jobs) {
        if (!entry.dirty) {
            entry.dirty = true;
            m_impl->dirtyJobs.push_back(id);
        }
    }
}

void Scheduler::handleBatchStored(std::uint64_t batch, BootTime now)
{
    Impl &impl = *m_impl;
    impl.storedBatch = std::max(impl.storedBatch, batch);
    // Earlier batches may have been abandoned in favour of this one, see markAllChanged().
    const auto states = impl.batchStates.upper_bound(batch);
    for (auto stored = impl.batchStates.begin(); stored != states; ++stored) {
        for (const auto &[id, state] : stored->second) {
            if (JobEntry *entry = impl.findEntry(id)) {
                entry->stored = true;
                entry->storedState = state;
            }
        }
    }
    impl.batchStates.erase(impl.batchStates.begin(), states);
    const auto starts = impl.batchStarts.upper_bound(batch);
    for (auto stored = impl.batchStarts.begin(); stored != starts; ++stored) {
        impl.markStartsDue(stored->second, batch);
    }
    impl.batchStarts.erase(impl.batchStarts.begin(), starts);
    for (auto &[id, session] : impl.workers) {
        session.handleBatchStored(impl.storedBatch, now);
    }
}

void Scheduler::Impl::markStartsDue(const std::vector<std::pair<WorkerId, TaskName>> &starts, std::uint64_t batch)
{
    for (const auto &[worker, task] : starts) {
        const auto session = workers.find(worker);
        if (session == workers.end()) {
            continue;
        }
        const auto run = session->second.runs().find(task);
        if (run != session->second.runs().end() && run->second.start == StartProgress::Unstored && run->second.batch <= batch) {
            run->second.start = StartProgress::Due;
            dueStarts.emplace_back(worker, task);
        }
    }
}

std::vector<SchedulerEvent> Scheduler::takeEvents()
{
    return std::exchange(m_impl->events, {});
}

bool Scheduler::hasLostOwnership() const
{
    return m_impl->ownershipLost;
}

bool Scheduler::isStored(std::uint64_t batch) const
{
    return batch <= m_impl->storedBatch;
}

bool Scheduler::hasUnstored() const
{
    return !m_impl->dirtyJobs.empty() || !m_impl->droppedJobs.empty() || m_impl->disruptionsChanged;
}

std::optional<JobState> Scheduler::stateOf(const JobId &job) const
{
    const JobEntry *entry = m_impl->findEntry(job);
    if (entry == nullptr || !entry->stored || !entry->job.record().isSubmitted()) {
        return std::nullopt;
    }
    const bool begun = entry->storedState == JobState::Queued && entry->job.record().hasStarted;
    return begun ? JobState::Running : entry->storedState;
}

const JobRecord *Scheduler::findJob(const JobId &job) const
{
    const JobEntry *entry = m_impl->findEntry(job);
    return entry == nullptr || !entry->job.record().isSubmitted() ? nullptr : &entry->job.record();
}

std::size_t Scheduler::pendingJobCount(const std::string &queue) const
{
    const std::vector<JobEntry *> &open = m_impl->jobs.open();
    return static_cast<std::size_t>(std::count_if(open.begin(), open.end(), [&](const JobEntry *entry) {
        return entry->stored && !entry->job.record().hasStarted && entry->job.record().queue == queue;
    }));
}

SchedulerCounts Scheduler::counts() const
{
    SchedulerCounts counts;
    counts.jobs = m_impl->jobs.size();
    counts.heldBytes = m_impl->jobs.bytes();
    counts.openJobs = m_impl->jobs.open().size();
    counts.workers = m_impl->workers.size();
    for (const auto &[id, session] : m_impl->workers) {
        counts.reachableWorkers += session.isReachable() ? 1 : 0;
        counts.runs += session.runs().size();
    }
    counts.placementPasses = m_impl->placementPasses;
    counts.copies = m_impl->copyCounts;
    return counts;
}

const WorkerSession *Scheduler::findWorker(const WorkerId &worker) const
{
    const auto found = m_impl->workers.find(worker);
    return found == m_impl->workers.end() ? nullptr : &found->second;
}

std::map<std::string, PoolCounts> Scheduler::poolCounts(BootTime now) const
{
    std::map<std::string, PoolCounts> pools;
    for (const auto &[id, session] : m_impl->workers) {
        PoolCounts &counts = pools[session.facts().pool];
        ++counts.workers;
        counts.used += session.used();
        if (session.canTakeWork(now)) {
            ++counts.usable;
            counts.capacity += session.facts().capacity;
        }
    }
    for (const auto &[pool, demand] : m_impl->backlog) {
        pools[pool].backlog = demand;
    }
    for (const JobEntry *entry : m_impl->jobs.open()) {
        if (entry->mayHaveReady) {
            PoolCounts &counts = pools[entry->job.record().terms.pool];
            ++counts.waitingJobs;
            counts.lateJobs += isLate(entry->estimate, now) ? 1 : 0;
        }
    }
    return pools;
}

const std::map<std::string, Resources> &Scheduler::usedByAccount() const
{
    return m_impl->accountUsed;
}

Resources Scheduler::backlogOf(const std::string &pool) const
{
    const auto found = m_impl->backlog.find(pool);
    return found == m_impl->backlog.end() ? Resources{} : found->second;
}

std::map<std::string, Resources> Scheduler::labelledBacklogOf(const std::string &pool) const
{
    const auto found = m_impl->labelledBacklog.find(pool);
    return found == m_impl->labelledBacklog.end() ? std::map<std::string, Resources>{} : found->second;
}

}
