#include "details/schedulerimpl.h"

#include <algorithm>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// For this long after the first placement pass of an owner, its workers and the instances may not all be known.
constexpr auto FleetLearningPeriod = 3s;
// Bounds the cost: with 9,100 workers and as many waiting jobs, taking over the backlog takes 2.7 ms.
constexpr auto BacklogInterval = 150ms;

bool isForecastEnabled(const SchedulerOptions &options)
{
    return options.admission == AdmissionMethod::Predicted;
}

/** The demand that counts against the capacity of workers. */
Resources capacityDemand(const StepSpec &step)
{
    Resources demand = step.demand;
    if (step.bestEffort) {
        demand.cpu = 0;
    }
    return demand;
}

/**
 * Whether waiting tasks of the step use up capacity that other tasks could use. A gang or a task that needs a label may wait
 * while others are placed.
 */
bool competesForCapacity(const StepSpec &step)
{
    return !step.longRunning && !step.gang && step.requiredLabel.empty() && step.maxTasksPerWorker == 0;
}

}

Resources unplacedWork(const JobEntry &entry)
{
    const JobRecord &record = entry.job.record();
    Resources work;
    for (const Occurrence &occurrence : record.occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            const std::vector<Task> &tasks = occurrence.steps[step];
            if (competesForCapacity(record.spec.steps[step])) {
                const auto waiting = std::count_if(tasks.begin(), tasks.end(), [](const Task &task) {
                    return task.phase == TaskPhase::Waiting;
                });
                work += capacityDemand(record.spec.steps[step]) * entry.stepRunMs[step] * waiting;
            }
        }
    }
    return work;
}

void Scheduler::Impl::beginForecasts(BootTime now)
{
    if (!isForecastEnabled(options)) {
        return;
    }
    admission.begunAt = admission.begunAt.value_or(now);
    admission.takesBacklog = now - admission.backlogAt >= BacklogInterval;
    admission.backlogAt = admission.takesBacklog ? now : admission.backlogAt;
    for (auto &[name, pool] : admission.pools) {
        pool.isCapacityCurrent = false;
        if (admission.takesBacklog) {
            pool.forecast.clearBacklog();
            pool.order.clear();
        }
    }
}

void Scheduler::Impl::addToForecast(const JobUrgency &urgency, const JobEntry &entry, BootTime now)
{
    if (!isForecastEnabled(options) || !admission.takesBacklog || !entry.mayHaveReady) {
        return;
    }
    const JobRecord &record = entry.job.record();
    const auto queue = policy->queues.find(record.queue);
    // Jobs that wait for permissions of the advice service leave the capacity to others meanwhile.
    const bool waitsForAdvice = queue != policy->queues.end() && queue->second.advice.has_value();
    if (waitsForAdvice) {
        return;
    }
    const Resources work = unplacedWork(entry);
    if (work == Resources{}) {
        return;
    }
    PoolAdmission &pool = admission.pools[record.terms.pool];
    pool.forecast.addWaiting({record.account, entry.estimate.receivedAt, isWorthless(entry.estimate, now), work});
    pool.order.push_back(urgency);
}

void Scheduler::Impl::predictEnd(LiveRun &run, const JobEntry &entry, const TaskRef &ref, const std::string &pool)
{
    if (!isForecastEnabled(options) || run.longRunning) {
        return;
    }
    // The age of a run that a former owner placed is not known, so it is assumed to end at once.
    const std::chrono::milliseconds runTime(run.restored ? 0 : entry.stepRunMs[ref.step]);
    run.predictedEnd = run.placedOrAcceptedAt + runTime;
    admission.pools[pool].forecast.runs().add(run.predictedEnd, run.demand);
}

void Scheduler::Impl::forgetPredictedEnd(const LiveRun &run, const std::string &pool)
{
    if (isForecastEnabled(options) && !run.longRunning) {
        admission.pools[pool].forecast.runs().remove(run.predictedEnd, run.demand);
    }
}

void Scheduler::Impl::movePredictedEnds(const WorkerSession &session, const std::string &pool)
{
    if (!isForecastEnabled(options) || session.facts().pool == pool) {
        return;
    }
    for (const auto &[task, run] : session.runs()) {
        if (!run.longRunning) {
            admission.pools[session.facts().pool].forecast.runs().remove(run.predictedEnd, run.demand);
            admission.pools[pool].forecast.runs().add(run.predictedEnd, run.demand);
        }
    }
}

PoolCapacity Scheduler::Impl::capacityOf(const std::string &pool, BootTime now) const
{
    PoolCapacity capacity;
    capacity.obtainable = admission.unusedInstances;
    for (const auto &[id, session] : workers) {
        const WorkerFacts &facts = session.facts();
        const bool isSilent = !session.isReachable() || !session.isRegistered();
        if (isSilent || session.isEvacuated() || facts.state != WorkerState::Ready) {
            continue;
        }
        if (facts.pool != pool) {
            capacity.obtainable += session.used() == Resources{} ? facts.capacity : Resources{};
            continue;
        }
        capacity.present += facts.capacity;
        if (session.longRunningCount() > 0) {
            for (const auto &[task, run] : session.runs()) {
                capacity.present -= run.longRunning ? run.demand : Resources{};
            }
        }
        if (!reasonAgainstCandidate(id, session, now)) {
            capacity.addFreeRoom(session.freeCapacity());
        }
    }
    return capacity;
}

NewJob Scheduler::Impl::describe(const JobRecord &record, const PoolAdmission &pool, BootTime now) const
{
    const JobEntry entry = newEntry(record, admission.firstTries.find(record.id, now).value_or(now), now);
    NewJob job;
    job.account = record.account;
    for (std::size_t step = 0; step < record.spec.steps.size(); ++step) {
        const StepSpec &spec = record.spec.steps[step];
        job.work += capacityDemand(spec) * entry.stepRunMs[step] * spec.count;
        if (spec.after.empty()) {
            job.firstDemands.push_back(capacityDemand(spec));
        }
    }
    job.chain = std::chrono::milliseconds(entry.estimate.remainingChainMs);
    job.objective = entry.estimate.objectiveDeadline - entry.estimate.receivedAt;
    job.receivedAt = entry.estimate.receivedAt;
    job.isBeyondAgreedRate = entry.overAgreedRate;
    JobUrgency urgency = urgencyOf(entry, now);
    const auto positionOf = [&] {
        return static_cast<std::size_t>(std::lower_bound(pool.order.begin(), pool.order.end(), urgency) - pool.order.begin());
    };
    job.place.position = positionOf();
    urgency.late = true;
    job.place.latePosition = positionOf();
    job.place.receivedBefore = job.receivedAt;
    addAccountLimits(job, pool);
    return job;
}

SubmissionBucket Scheduler::Impl::bucketAt(const std::string &account, const AccountPolicy &accountPolicy, BootTime now) const
{
    const auto found = buckets.find(account);
    const SubmissionBucket bucket = found == buckets.end() ? SubmissionBucket{} : found->second;
    const double maxJobs = std::max(1.0, accountPolicy.weight);
    const double elapsed = bucket.started ? static_cast<double>((now - bucket.filledAt).count()) / 1000.0 : 1.0;
    return {std::min(maxJobs, bucket.jobs + elapsed * accountPolicy.weight), now, true};
}

bool Scheduler::Impl::isBeyondAgreedRate(const std::string &account, BootTime now) const
{
    const auto found = policy->accounts.find(account);
    return found != policy->accounts.end() && bucketAt(account, found->second, now).jobs < 1.0;
}

void Scheduler::Impl::addAccountLimits(NewJob &job, const PoolAdmission &pool) const
{
    const auto own = policy->accounts.find(job.account);
    double weights = own == policy->accounts.end() ? 0 : own->second.weight;
    for (const auto &[name, account] : policy->accounts) {
        const bool hasBacklog = pool.forecast.backlog().count(name) != 0;
        weights += hasBacklog && name != job.account ? account.weight : 0;
        if (hasBacklog) {
            job.accountCaps[name] = account.cap;
        }
    }
    if (options.accountOrder == AccountOrder::Weighted && own != policy->accounts.end() && weights > 0) {
        job.guaranteedShare = own->second.weight / weights;
    }
}

AdmissionDecision Scheduler::Impl::decideAdmission(const JobRecord &record, PoolAdmission *pool, BootTime now) const
{
    const bool hasLongRunning = std::any_of(record.spec.steps.begin(), record.spec.steps.end(), [](const StepSpec &step) {
        return step.longRunning;
    });
    const bool isFleetKnown = admission.begunAt && now - *admission.begunAt >= FleetLearningPeriod;
    if (!isForecastEnabled(options) || hasLongRunning || record.spec.recurrence.count > 0 || jobs.count(record.id) != 0 || !isFleetKnown || pool == nullptr
        || !pool->forecast.hasBacklog()) {
        return JobAccepted{};
    }
    if (!pool->isCapacityCurrent) {
        pool->forecast.setCapacity(capacityOf(record.terms.pool, now));
        pool->isCapacityCurrent = true;
    }
    if (pool->forecast.capacity().present == Resources{}) {
        return JobAccepted{};
    }
    AdmissionDecision decision = Cornelquay::decideAdmission(pool->forecast, describe(record, *pool, now), now);
    if (JobRefused *refused = std::get_if<JobRefused>(&decision)) {
        refused->forecastAge = now - admission.backlogAt;
        refused->retryAfter = pool->returns.assign(now, refused->retryAfter, refused->ownTime);
    }
    return decision;
}

AdmissionDecision Scheduler::decideAdmission(const JobRecord &record, BootTime now)
{
    AdmissionState &admission = m_impl->admission;
    const auto pool = admission.pools.find(record.terms.pool);
    const AdmissionDecision decision = m_impl->decideAdmission(record, pool == admission.pools.end() ? nullptr : &pool->second, now);
    if (std::holds_alternative<JobRefused>(decision)) {
        admission.firstTries.record(record.id, now);
    }
    return decision;
}

void Scheduler::setUnusedInstances(const Resources &capacity)
{
    m_impl->admission.unusedInstances = capacity;
}

}
