#include "details/schedulerimpl.h"

#include <algorithm>

namespace Cornelquay {

namespace {

// No id of a submitted job: those have 16 hexadecimal digits.
constexpr const char *ExplainedJob = "explained";

/** Adds @p outcome of one task to the groups. */
void addToGroup(std::vector<TaskGroup> &groups, PlacementOutcome outcome, const WorkerId &worker)
{
    const auto found = std::find_if(groups.begin(), groups.end(), [&](const TaskGroup &group) {
        return group.outcome == outcome && group.worker == worker;
    });
    if (found == groups.end()) {
        groups.push_back({outcome, worker, 1});
    } else {
        ++found->tasks;
    }
}

std::vector<RejectedCandidate> nameSome(const std::map<CandidateRejection, std::vector<RejectedCandidate>> &rejections)
{
    std::vector<RejectedCandidate> named;
    for (std::size_t round = 0; round < PlacementExplanation::MaxNamedCandidates; ++round) {
        for (const auto &[reason, candidates] : rejections) {
            if (round < candidates.size() && named.size() < PlacementExplanation::MaxNamedCandidates) {
                named.push_back(candidates[round]);
            }
        }
    }
    return named;
}

/**
 * Without @p withRuns, the runs themselves are copied only where some are long-running, which take a part of the worker for good. Else only
 * the placement of crash suspects reads them, which are kept apart from other runs.
 */
void copyWorker(const WorkerSession &session, bool withRuns, std::map<WorkerId, WorkerSession> &copies)
{
    if (withRuns || session.longRunningCount() > 0) {
        copies.try_emplace(session.facts().id, session);
    } else {
        copies.try_emplace(session.facts().id, session, WorkerSession::WithoutRuns{});
    }
}

void describeTrace(const PlacementTrace &trace, PlacementExplanation &explanation)
{
    for (const auto &[reason, candidates] : trace.rejections) {
        explanation.rejections[reason] = static_cast<std::uint32_t>(candidates.size());
    }
    explanation.namedCandidates = nameSome(trace.rejections);
}

}

std::string_view toName(PlacementOutcome outcome)
{
    return PlacementOutcomeNames.at(static_cast<std::size_t>(outcome));
}

std::string_view toName(PredictionBasis basis)
{
    return PredictionBasisNames.at(static_cast<std::size_t>(basis));
}

std::string_view toName(CandidateRejection reason)
{
    return CandidateRejectionNames.at(static_cast<std::size_t>(reason));
}

void PlacementExplanation::setNotPlaced(PlacementOutcome outcome)
{
    firstStep = {{outcome, {}, steps.empty() ? 0 : steps.front().tasks}};
    rejections.clear();
    namedCandidates.clear();
}

std::vector<const JobEntry *> Scheduler::Impl::waitingJobs() const
{
    std::vector<const JobEntry *> waiting;
    for (const auto &[id, entry] : jobs) {
        if (isWaiting(entry)) {
            waiting.push_back(&entry);
        }
    }
    return waiting;
}

OrderExplanation Scheduler::Impl::explainOrder(const JobEntry &entry, const std::vector<const JobEntry *> &waiting, BootTime now) const
{
    OrderExplanation order;
    const JobUrgency own = urgencyOf(entry, now);
    for (const JobEntry *other : waiting) {
        if (other->job.record().terms.pool == entry.job.record().terms.pool && !(own < urgencyOf(*other, now))) {
            ++order.jobsAhead;
            order.workAhead += unplacedWork(*other);
        }
    }
    order.chainMs = entry.estimate.remainingChainMs;
    order.objectiveMs = (entry.estimate.objectiveDeadline - entry.estimate.receivedAt).count();
    order.overAgreedRate = entry.overAgreedRate;
    return order;
}

AccountExplanation Scheduler::Impl::explainAccount(const JobRecord &record) const
{
    AccountExplanation account;
    const auto used = accountUsed.find(record.account);
    account.used = used == accountUsed.end() ? Resources{} : used->second;
    const auto terms = policy->accounts.find(record.account);
    const AccountPolicy accountPolicy = terms == policy->accounts.end() ? AccountPolicy{} : terms->second;
    account.cap = accountPolicy.cap;
    account.weight = accountPolicy.weight;
    return account;
}

std::vector<StepExplanation> Scheduler::Impl::explainSteps(const JobEntry &entry) const
{
    std::vector<StepExplanation> steps;
    const JobRecord &record = entry.job.record();
    for (std::uint32_t step = 0; step < record.spec.steps.size(); ++step) {
        steps.push_back({record.spec.steps[step].count, entry.stepRunMs[step], predictionBasis(record, step)});
    }
    return steps;
}

SchedulerViews Scheduler::Impl::explainViews(const std::string &pool, BootTime now) const
{
    SchedulerViews views;
    for (const auto &[id, session] : workers) {
        if (session.facts().pool != pool) {
            continue;
        }
        ++views.poolWorkers;
        views.usableWorkers += reasonAgainstCandidate(id, session, now) ? 0 : 1;
        const std::int64_t age = ageMs(session.listedAt(), now);
        if (age != UnknownAgeMs) {
            views.newestAnswerAgeMs = views.newestAnswerAgeMs == UnknownAgeMs ? age : std::min(views.newestAnswerAgeMs, age);
            views.oldestAnswerAgeMs = std::max(views.oldestAnswerAgeMs, age);
        }
    }
    views.zonesAgeMs = ageMs(evacuation.readAt(), now);
    views.evacuatedZones = evacuation.zones().size();
    views.configurationVersion = policy->version;
    return views;
}

// Without shares, a pass places the jobs one after another, so those behind the job do not matter. With shares, the claims of all jobs
// of the pool do. Where an account has a cap, its jobs in other pools may use it up before.
std::set<std::string> Scheduler::Impl::retainJobsBeside(const JobEntry &entry, std::vector<const JobEntry *> &waiting, BootTime now) const
{
    const auto isCapped = [&](const std::string &account) {
        const auto terms = policy->accounts.find(account);
        return terms != policy->accounts.end() && !(terms->second.cap == Resources{});
    };
    std::set<std::string> pools{entry.job.record().terms.pool};
    std::set<std::string> cappedAccounts;
    if (isCapped(entry.job.record().account)) {
        cappedAccounts.insert(entry.job.record().account);
    }
    for (bool grown = true; grown;) {
        grown = false;
        for (const JobEntry *other : waiting) {
            const JobRecord &record = other->job.record();
            if (cappedAccounts.count(record.account) != 0) {
                grown = pools.insert(record.terms.pool).second || grown;
            } else if (pools.count(record.terms.pool) != 0 && isCapped(record.account)) {
                grown = cappedAccounts.insert(record.account).second || grown;
            }
        }
    }
    const JobUrgency own = urgencyOf(entry, now);
    std::erase_if(waiting, [&](const JobEntry *other) {
        const bool isBehind = options.accountOrder == AccountOrder::Rate && own < urgencyOf(*other, now);
        return pools.count(other->job.record().terms.pool) == 0 || isBehind;
    });
    return pools;
}

std::unique_ptr<Scheduler::Impl>
Scheduler::Impl::copyForTrial(const std::vector<const JobEntry *> &copied, const std::set<std::string> &pools, BootTime now) const
{
    auto trial = std::make_unique<Impl>(times, 0, options);
    trial->policy = policy;
    trial->cordoned = cordoned;
    trial->leaving = leaving;
    trial->evacuation = evacuation;
    trial->evacuationMoves = evacuationMoves;
    trial->viewAwaitedSince = viewAwaitedSince;
    trial->accountUsed = accountUsed;
    trial->poolUsage = poolUsage;
    trial->isolation = isolation;
    trial->adviceInFlight = adviceInFlight;
    trial->adviceSlots = adviceSlots;
    trial->runTimes = runTimes;
    // The trial's own forecast is of no use, so its pass must not build one.
    trial->admission.backlogAt = now;
    const bool withRuns = std::any_of(copied.begin(), copied.end(), [](const JobEntry *entry) {
        return !entry->job.record().crashes.empty();
    });
    for (const auto &[id, session] : workers) {
        if (pools.count(session.facts().pool) == 0) {
            continue;
        }
        copyWorker(session, withRuns, trial->workers);
        if (const JobId *keptFor = isolation.jobOf(id)) {
            const auto suspect = jobs.find(*keptFor);
            if (suspect != jobs.end()) {
                copyJob(suspect->second, withRuns, *trial);
            }
        }
    }
    for (const JobEntry *entry : copied) {
        copyJob(*entry, withRuns, *trial);
    }
    return trial;
}

void Scheduler::Impl::copyJob(const JobEntry &entry, bool withRuns, Impl &trial) const
{
    const JobRecord &record = entry.job.record();
    trial.jobs.tryEmplace(record.id, entry);
    for (auto known = advice.lower_bound({record.id, {}}); known != advice.end() && known->first.first == record.id; ++known) {
        trial.advice.insert(*known);
    }
    for (const Occurrence &occurrence : record.occurrences) {
        for (const std::vector<Task> &tasks : occurrence.steps) {
            for (const Task &task : tasks) {
                const auto worker = task.phase == TaskPhase::Placed ? workers.find(task.worker) : workers.end();
                if (worker != workers.end()) {
                    copyWorker(worker->second, withRuns, trial.workers);
                }
            }
        }
    }
}

void Scheduler::Impl::tryPlacement(
    const JobEntry &entry, std::vector<const JobEntry *> waiting, BootTime now, std::int64_t wallMs, PlacementExplanation &explanation) const
{
    if (!mayPlace(now)) {
        explanation.setNotPlaced(PlacementOutcome::ZonesNotRead);
        return;
    }
    const std::set<std::string> pools = retainJobsBeside(entry, waiting, now);
    const std::unique_ptr<Impl> trial = copyForTrial(waiting, pools, now);
    PlacementTrace trace;
    trace.job = entry.job.record().id;
    trial->trace = &trace;
    trial->jobs.tryEmplace(trace.job, entry);
    trial->openDueOccurrences(wallMs);
    trial->placeWaitingJobs(now);
    const JobRecord &placed = trial->jobs.at(trace.job).job.record();
    if (placed.occurrences.empty()) {
        explanation.setNotPlaced(PlacementOutcome::NotDue);
        return;
    }
    for (const Task &task : placed.occurrences.front().steps.front()) {
        const bool isPlaced = task.phase == TaskPhase::Placed;
        addToGroup(explanation.firstStep, isPlaced ? PlacementOutcome::Placed : trace.reason, isPlaced ? task.worker : WorkerId());
    }
    describeTrace(trace, explanation);
    for (const AccountShare &share : trial->accountShares) {
        if (share.pool == placed.terms.pool && share.account == placed.account) {
            AccountExplanation &account = explanation.account;
            account.hasShare = true;
            account.resource = static_cast<std::uint32_t>(share.resource);
            account.entitlement = share.entitlement;
            account.usedOfPool = share.used;
            account.waiting = share.waiting;
        }
    }
}

void Scheduler::Impl::noteReason(const JobEntry &entry, std::uint32_t step, PlacementOutcome reason)
{
    if (trace != nullptr && step == 0 && entry.job.record().id == trace->job) {
        trace->reason = reason;
    }
}

void Scheduler::Impl::noteDecision(const TaskDecision &decision, BootTime now)
{
    if (trace == nullptr || decision.step != 0 || decision.entry.job.record().id != trace->job) {
        return;
    }
    const bool isUnplaced = decision.chosen == nullptr;
    if (isUnplaced) {
        const PlacementOutcome missing = decision.permissions == nullptr ? PlacementOutcome::NoWorker : PlacementOutcome::AwaitsPermission;
        trace->reason = decision.isWithinCap ? missing : PlacementOutcome::AccountAtCap;
    }
    const bool isNews = trace->rejections.empty() || (isUnplaced && !trace->concernsUnplaced);
    if (!isNews || !decision.isWithinCap) {
        return;
    }
    trace->concernsUnplaced = isUnplaced;
    trace->rejections.clear();
    const std::set<const PlacementCandidate *> open(decision.candidates.open.begin(), decision.candidates.open.end());
    for (const PlacementCandidate &candidate : decision.candidates.all) {
        const WorkerId &worker = candidate.session->facts().id;
        std::optional<CandidateRejection> reason = rejectionOf(decision.request, candidate);
        if (open.count(&candidate) == 0) {
            reason = CandidateRejection::KeptForLargerTask;
        } else if (decision.permissions != nullptr && decision.permissions->usableTicket(worker, now) == nullptr) {
            reason = CandidateRejection::NotPermitted;
        }
        if (&candidate != decision.chosen) {
            const CandidateRejection why = reason.value_or(CandidateRejection::OtherIsBetter);
            trace->rejections[why].push_back({worker, why, candidate.freeCapacityFor(decision.request.job)});
        }
    }
    for (const auto &[id, session] : workers) {
        const std::optional<CandidateRejection> reason = reasonAgainstCandidate(id, session, now);
        if (reason && session.facts().pool == decision.entry.job.record().terms.pool) {
            trace->rejections[*reason].push_back({id, *reason, session.freeCapacity()});
        }
    }
}

Explanation Scheduler::explain(JobRecord record, BootTime now, std::int64_t wallMs) const
{
    const Impl &impl = *m_impl;
    record.id = ExplainedJob;
    record.submittedMs = wallMs;
    const JobEntry entry = impl.newEntry(std::move(record), now, now);
    const JobRecord &job = entry.job.record();
    Explanation explanation;
    const auto pool = impl.admission.pools.find(job.terms.pool);
    std::optional<PoolAdmission> poolCopy;
    if (impl.options.admission == AdmissionMethod::Predicted && pool != impl.admission.pools.end()) {
        poolCopy = pool->second;
    }
    explanation.admission = impl.decideAdmission(job, poolCopy ? &*poolCopy : nullptr, now);
    PlacementExplanation &placement = explanation.placement;
    placement.pool = job.terms.pool;
    std::vector<const JobEntry *> waiting = impl.waitingJobs();
    placement.order = impl.explainOrder(entry, waiting, now);
    placement.account = impl.explainAccount(job);
    placement.steps = impl.explainSteps(entry);
    placement.views = impl.explainViews(job.terms.pool, now);
    if (std::holds_alternative<JobRefused>(explanation.admission)) {
        placement.setNotPlaced(PlacementOutcome::NotAdmitted);
    } else {
        impl.tryPlacement(entry, std::move(waiting), now, wallMs, placement);
    }
    return explanation;
}

}
