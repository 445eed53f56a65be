#include "jobs/job.h"

#include <algorithm>
#include <array>
#include <limits>
#include <set>
#include <stdexcept>

namespace Cornelquay {

namespace {

// The platform allows to give a task up after this many crashes under it.
constexpr std::uint32_t MinCrashes = 2;
// What an isolated crash weighs, and the weight at which the task is taken for its cause. A crash that does not follow the start of
// the task is more likely to have another cause.
constexpr std::uint32_t StartupCrashWeight = 3;
constexpr std::uint32_t LaterCrashWeight = 2;
constexpr std::uint32_t MaxIsolatedWeight = 6;
// Bounds the crashes under a task that cannot be isolated, for instance a member of a gang. A sound task would have to meet this many
// crashes that it did not cause, each just after one of its starts.
constexpr std::uint32_t MaxStartupCrashes = 4;
// Bounds the crashes whatever is known of them, once this many workers have crashed. The platform allows less than three starts after the
// third crash. One worker may crash any number of times by itself, and a task that can run nowhere else meets all of its crashes.
constexpr std::int64_t MaxCrashes = 5;
constexpr std::size_t MinCrashedWorkers = 2;
// Crashes that do not follow the start of a task often have another cause, so one of them arouses no suspicion.
constexpr std::uint32_t SuspiciousLaterCrashes = 2;

constexpr std::array<std::string_view, 5> StateNames = {"queued", "running", "completed", "failed", "cancelled"};
constexpr std::array<std::string_view, 6> EndNames = {"done", "failed", "stopped", "lapsed", "broken", "alone"};

// Only a few crashes of one worker are named, so that a worker that crashes again and again does not make the record grow.
void addCrashedWorker(TaskCrashes &crashes, const WorkerId &worker)
{
    if (std::count(crashes.workers.begin(), crashes.workers.end(), worker) < MaxCrashes) {
        crashes.workers.push_back(worker);
    }
}

}

std::string_view toName(JobState state)
{
    return StateNames.at(static_cast<std::size_t>(state));
}

std::string_view toName(RunEnd end)
{
    return EndNames.at(static_cast<std::size_t>(end));
}

WorkerIncarnation JobRecord::incarnationOf(const WorkerId &worker) const
{
    const auto found = std::find_if(workers.begin(), workers.end(), [&](const WorkerIncarnation &incarnation) {
        return incarnation.worker == worker;
    });
    return found == workers.end() ? WorkerIncarnation{worker, {}, 0} : *found;
}

Job::Job(JobRecord record)
    : m_record(std::move(record))
{
}

bool Job::openOccurrence()
{
    const std::uint32_t maxOccurrences = std::max<std::uint32_t>(1, m_record.spec.recurrence.count);
    if (!isOpen() || m_record.nextOccurrence >= maxOccurrences || !hasRoomForOccurrence()) {
        return false;
    }
    Occurrence occurrence;
    occurrence.number = m_record.nextOccurrence++;
    for (const StepSpec &step : m_record.spec.steps) {
        occurrence.steps.emplace_back(step.count);
    }
    m_record.occurrences.push_back(std::move(occurrence));
    return true;
}

bool Job::hasRoomForOccurrence() const
{
    std::uint64_t tasks = 0;
    for (const StepSpec &step : m_record.spec.steps) {
        tasks += step.count;
    }
    return m_record.occurrences.empty() || tasks * (m_record.occurrences.size() + 1) <= JobLimits::MaxOpenTasks;
}

std::uint32_t Job::place(const TaskRef &ref, const WorkerId &worker)
{
    Task *found = task(ref);
    if (found == nullptr || !isOpen() || found->phase != TaskPhase::Waiting || !mayStart(*findOccurrence(ref.occurrence), ref.step)) {
        throw std::logic_error("task cannot be placed: it is unknown or not waiting, its job is closed, or a step that it depends on is not finished");
    }
    found->phase = TaskPhase::Placed;
    found->worker = worker;
    found->run = nextRun(ref);
    return found->run;
}

std::uint32_t Job::placeGang(std::uint32_t occurrence, std::uint32_t step, const std::vector<WorkerId> &workers)
{
    // The member whose failure was counted has a higher number than its latest run, see Task::run.
    std::uint32_t run = std::numeric_limits<std::uint32_t>::max();
    for (std::uint32_t index = 0; index < workers.size(); ++index) {
        run = std::min(run, place({occurrence, step, index}, workers[index]));
    }
    for (std::uint32_t index = 0; index < workers.size(); ++index) {
        task({occurrence, step, index})->run = run;
    }
    return run;
}

EndOutcome Job::endRun(const TaskRef &ref, std::uint32_t run, RunEnd runEnd, const std::string &checkpoint, std::int64_t wallMs)
{
    if (const std::optional<EndOutcome> outcome = endWithCopies(ref, run, runEnd, checkpoint, wallMs)) {
        return *outcome;
    }
    Task *found = task(ref);
    if (found == nullptr || found->run != run || run == 0) {
        return EndOutcome::Ignored;
    }
    // The task waits again, for instance because its run was reported lost, but the run has finished after all: the task
    // must not run a second time.
    const bool isLateSuccess = found->phase == TaskPhase::Waiting && runEnd == RunEnd::Done && !step(ref).longRunning;
    if (found->phase != TaskPhase::Placed && !isLateSuccess) {
        return EndOutcome::Ignored;
    }
    found->worker.clear();
    if (step(ref).longRunning) {
        return restart(*found, checkpoint);
    }
    if (isGangDone(ref)) {
        finish(ref, *found, wallMs);
        return EndOutcome::TaskFinished;
    }
    switch (runEnd) {
    case RunEnd::Done:
        finish(ref, *found, wallMs);
        return EndOutcome::TaskFinished;
    case RunEnd::Failed:
        restart(*found, checkpoint);
        return fail(ref, *found, wallMs);
    case RunEnd::Stopped:
    case RunEnd::LeaseExpired:
    case RunEnd::GangMemberEnded:
    case RunEnd::GangIncomplete:
        break;
    }
    return restart(*found, checkpoint);
}

EndOutcome Job::loseRun(const TaskRef &ref, std::uint32_t run, std::int64_t wallMs)
{
    if (const std::optional<EndOutcome> outcome = endWithCopies(ref, run, std::nullopt, {}, wallMs)) {
        return *outcome;
    }
    Task *found = task(ref);
    if (found == nullptr || found->phase != TaskPhase::Placed || found->run != run) {
        return EndOutcome::Ignored;
    }
    found->worker.clear();
    if (isGangDone(ref)) {
        finish(ref, *found, wallMs);
        return EndOutcome::TaskFinished;
    }
    return restart(*found, {});
}

EndOutcome Job::countCrash(const TaskRef &ref, const WorkerId &worker, const CrashEvidence &evidence, std::uint32_t runsLostBeside, std::int64_t wallMs)
{
    TaskCrashes *crashes = crashesOf(ref);
    if (crashes == nullptr) {
        return EndOutcome::Ignored;
    }
    // A worker that crashes again may be at fault itself.
    const bool isOtherWorker = std::find(crashes->workers.begin(), crashes->workers.end(), worker) == crashes->workers.end();
    const bool isProof = evidence.isolated && isOtherWorker;
    crashes->runsLostBeside += runsLostBeside;
    addCrashedWorker(*crashes, worker);
    switch (evidence.moment) {
    case CrashMoment::Startup:
        ++crashes->duringStartup;
        crashes->isolatedDuringStartup += isProof ? 1 : 0;
        return judgeCrashes(*crashes, isProof && evidence.quietFleet, wallMs);
    case CrashMoment::Later:
        ++crashes->later;
        crashes->isolatedLater += isProof ? 1 : 0;
        break;
    case CrashMoment::Unknown:
        ++crashes->unconfirmed;
        break;
    }
    return judgeCrashes(*crashes, false, wallMs);
}

EndOutcome Job::countUnconfirmedLoss(const TaskRef &ref, const WorkerId &worker, std::int64_t wallMs)
{
    TaskCrashes *crashes = crashesOf(ref);
    if (crashes == nullptr) {
        return EndOutcome::Ignored;
    }
    ++crashes->unconfirmed;
    addCrashedWorker(*crashes, worker);
    return judgeCrashes(*crashes, false, wallMs);
}

bool Job::explainLoss(const TaskRef &ref, const WorkerId &worker)
{
    TaskCrashes *crashes = findCrashes(ref) == nullptr ? nullptr : crashesOf(ref);
    if (crashes == nullptr || crashes->unconfirmed == 0) {
        return false;
    }
    const auto named = std::find(crashes->workers.begin(), crashes->workers.end(), worker);
    if (named == crashes->workers.end()) {
        return false;
    }
    crashes->workers.erase(named);
    --crashes->unconfirmed;
    return true;
}

TaskCrashes *Job::crashesOf(const TaskRef &ref)
{
    const Task *found = findTask(ref);
    if (found == nullptr || found->phase == TaskPhase::Finished || !isOpen()) {
        return nullptr;
    }
    const auto known = std::find_if(m_record.crashes.begin(), m_record.crashes.end(), [&](const TaskCrashes &entry) {
        return entry.task == ref;
    });
    if (known != m_record.crashes.end()) {
        return &*known;
    }
    TaskCrashes &added = m_record.crashes.emplace_back();
    added.task = ref;
    return &added;
}

EndOutcome Job::judgeCrashes(const TaskCrashes &crashes, bool isCertainCause, std::int64_t wallMs)
{
    const std::uint32_t confirmed = crashes.duringStartup + crashes.later;
    const std::uint32_t isolatedWeight = crashes.isolatedDuringStartup * StartupCrashWeight + crashes.isolatedLater * LaterCrashWeight;
    const bool causesCrashes = isCertainCause || isolatedWeight >= MaxIsolatedWeight || crashes.duringStartup >= MaxStartupCrashes;
    const std::set<WorkerId> crashedWorkers(crashes.workers.begin(), crashes.workers.end());
    const bool hasMostCrashes = confirmed + crashes.unconfirmed >= MaxCrashes && crashedWorkers.size() >= MinCrashedWorkers;
    if (!(causesCrashes && confirmed >= MinCrashes) && !hasMostCrashes) {
        return EndOutcome::TaskWaiting;
    }
    m_record.state = JobState::Failed;
    m_record.closedMs = wallMs;
    return EndOutcome::JobFailed;
}

void Job::noteWorker(const WorkerIncarnation &incarnation)
{
    if (std::find(m_record.workers.begin(), m_record.workers.end(), incarnation) != m_record.workers.end()) {
        return;
    }
    std::set<WorkerId> placedOn;
    for (const Occurrence &occurrence : m_record.occurrences) {
        for (const std::vector<Task> &tasks : occurrence.steps) {
            for (const Task &task : tasks) {
                placedOn.insert(task.worker);
            }
        }
    }
    for (const TaskCopies &copies : m_record.copies) {
        for (const ExtraRun &extra : copies.extraRuns) {
            placedOn.insert(extra.worker);
        }
    }
    std::erase_if(m_record.workers, [&](const WorkerIncarnation &known) {
        return known.worker == incarnation.worker || placedOn.count(known.worker) == 0;
    });
    m_record.workers.push_back(incarnation);
}

void Job::clearCrashes(const TaskRef &ref)
{
    std::erase_if(m_record.crashes, [&](const TaskCrashes &entry) {
        return entry.task == ref;
    });
}

EndOutcome Job::restart(Task &task, const std::string &checkpoint)
{
    task.phase = TaskPhase::Waiting;
    if (!checkpoint.empty()) {
        task.checkpoint = checkpoint;
    }
    return EndOutcome::TaskWaiting;
}

EndOutcome Job::fail(const TaskRef &ref, Task &task, std::int64_t wallMs)
{
    countFailure(ref, task);
    if (!isOpen() || failedRuns(ref) < m_record.terms.attempts) {
        return EndOutcome::TaskWaiting;
    }
    m_record.state = JobState::Failed;
    m_record.closedMs = wallMs;
    return EndOutcome::JobFailed;
}

// A gang fails as a whole: a run counts once, for the first of its members that fails.
void Job::countFailure(const TaskRef &ref, Task &task)
{
    if (!step(ref).gang) {
        ++task.failures;
        return;
    }
    const std::vector<Task> &members = findOccurrence(ref.occurrence)->steps[ref.step];
    const bool isCounted = std::any_of(members.begin(), members.end(), [&](const Task &member) {
        return member.run > task.run;
    });
    if (!isCounted) {
        ++task.failures;
        task.run += members.size() > 1 ? 1 : 0;
    }
}

std::uint32_t Job::failedRuns(const TaskRef &ref) const
{
    if (!step(ref).gang) {
        return findTask(ref)->failures;
    }
    std::uint32_t failures = 0;
    for (const Task &member : findOccurrence(ref.occurrence)->steps[ref.step]) {
        failures += member.failures;
    }
    return failures;
}

bool Job::isGangDone(const TaskRef &ref) const
{
    const Occurrence *occurrence = findOccurrence(ref.occurrence);
    return occurrence != nullptr && step(ref).gang && isStepFinished(*occurrence, ref.step);
}

bool Job::isStepFinished(const Occurrence &occurrence, std::uint32_t step) const
{
    const std::vector<Task> &tasks = occurrence.steps[step];
    const auto isTaskFinished = [](const Task &task) {
        return task.phase == TaskPhase::Finished;
    };
    // The members of a gang finish together, so one of them stands for all. A gang is placed anew only while all its members wait, so a
    // finished member belongs to the latest run.
    return m_record.spec.steps[step].gang ? std::any_of(tasks.begin(), tasks.end(), isTaskFinished) : std::all_of(tasks.begin(), tasks.end(), isTaskFinished);
}

bool Job::isFinished(const Occurrence &occurrence) const
{
    for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
        if (!isStepFinished(occurrence, step)) {
            return false;
        }
    }
    return true;
}

void Job::finish(const TaskRef &ref, Task &task, std::int64_t wallMs)
{
    finishTask(ref, task);
    if (step(ref).gang) {
        finishWaitingMembers(ref);
    }
    closeFinished(ref.occurrence, wallMs);
}

void Job::finishTask(const TaskRef &ref, Task &task)
{
    task.phase = TaskPhase::Finished;
    task.checkpoint.clear();
    clearCrashes(ref);
    dropCopies(ref);
}

// Placed members keep their runs until it is known that these are over. Those that wait have none left whose end could finish them.
bool Job::finishWaitingMembers(const TaskRef &ref)
{
    bool isChanged = false;
    for (TaskRef member{ref.occurrence, ref.step, 0}; Task *found = task(member); ++member.index) {
        if (found->phase == TaskPhase::Waiting) {
            finishTask(member, *found);
            isChanged = true;
        }
    }
    return isChanged;
}

bool Job::finishGangs(std::int64_t wallMs)
{
    bool isChanged = false;
    for (const Occurrence &occurrence : std::vector<Occurrence>(m_record.occurrences)) {
        bool hasFinished = false;
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const TaskRef first{occurrence.number, step, 0};
            hasFinished = (isGangDone(first) && finishWaitingMembers(first)) || hasFinished;
        }
        if (hasFinished) {
            closeFinished(occurrence.number, wallMs);
        }
        isChanged = isChanged || hasFinished;
    }
    return isChanged;
}

void Job::closeFinished(std::uint32_t number, std::int64_t wallMs)
{
    const Occurrence *ended = findOccurrence(number);
    if (ended == nullptr || !isFinished(*ended)) {
        return;
    }
    if (m_record.spec.recurrence.count > 0) {
        std::erase_if(m_record.occurrences, [&](const Occurrence &occurrence) {
            return occurrence.number == number;
        });
    }
    const bool isLastOccurrence = m_record.nextOccurrence >= std::max<std::uint32_t>(1, m_record.spec.recurrence.count);
    if (isOpen() && isLastOccurrence && std::all_of(m_record.occurrences.begin(), m_record.occurrences.end(), [this](const Occurrence &occurrence) {
            return isFinished(occurrence);
        })) {
        m_record.state = JobState::Completed;
        m_record.closedMs = wallMs;
    }
}

bool Job::saveProgress(const TaskRef &ref, std::uint32_t run, const std::string &checkpoint)
{
    Task *found = task(ref);
    if (found == nullptr || found->phase != TaskPhase::Placed || found->run != run || found->checkpoint == checkpoint || checkpoint.empty()) {
        return false;
    }
    found->checkpoint = checkpoint;
    return true;
}

void Job::markStarted()
{
    m_record.hasStarted = true;
    if (m_record.state == JobState::Queued) {
        m_record.state = JobState::Running;
    }
}

bool Job::cancel(std::int64_t wallMs)
{
    if (!isOpen()) {
        return false;
    }
    m_record.state = JobState::Cancelled;
    m_record.closedMs = wallMs;
    return true;
}

bool Job::dropProgress()
{
    bool dropped = false;
    for (Occurrence &occurrence : m_record.occurrences) {
        for (std::vector<Task> &tasks : occurrence.steps) {
            for (Task &task : tasks) {
                dropped = dropped || !task.checkpoint.empty();
                task.checkpoint.clear();
            }
        }
    }
    return dropped;
}

void Job::giveUp(std::int64_t wallMs)
{
    if (isOpen()) {
        m_record.state = JobState::Failed;
        m_record.closedMs = wallMs;
    }
    m_record.occurrences.clear();
    m_record.workers.clear();
    m_record.crashes.clear();
    m_record.copies.clear();
}

void Job::setTerms(const QueueTerms &terms)
{
    m_record.terms = terms;
}

const JobRecord &Job::record() const
{
    return m_record;
}

bool Job::isOpen() const
{
    return m_record.state == JobState::Queued || m_record.state == JobState::Running;
}

bool Job::mayStart(const Occurrence &occurrence, std::uint32_t step) const
{
    const std::vector<std::uint32_t> &after = m_record.spec.steps[step].after;
    return std::all_of(after.begin(), after.end(), [&](std::uint32_t earlier) {
        return isStepFinished(occurrence, earlier);
    });
}

const Occurrence *Job::findOccurrence(std::uint32_t number) const
{
    const auto found = std::find_if(m_record.occurrences.begin(), m_record.occurrences.end(), [number](const Occurrence &occurrence) {
        return occurrence.number == number;
    });
    return found == m_record.occurrences.end() ? nullptr : &*found;
}

const Task *Job::findTask(const TaskRef &ref) const
{
    const Occurrence *occurrence = findOccurrence(ref.occurrence);
    if (occurrence == nullptr || ref.step >= occurrence->steps.size() || ref.index >= occurrence->steps[ref.step].size()) {
        return nullptr;
    }
    return &occurrence->steps[ref.step][ref.index];
}

Task *Job::task(const TaskRef &ref)
{
    // Safe: the task belongs to m_record, which is not const in this member function.
    return const_cast<Task *>(findTask(ref)); // NOLINT(cppcoreguidelines-pro-type-const-cast)
}

const StepSpec &Job::step(const TaskRef &ref) const
{
    return m_record.spec.steps.at(ref.step);
}

std::optional<std::int64_t> Job::nextDueMs() const
{
    const Recurrence &recurrence = m_record.spec.recurrence;
    if (!isOpen() || recurrence.count == 0 || m_record.nextOccurrence >= recurrence.count) {
        return std::nullopt;
    }
    return recurrence.firstDueMs + static_cast<std::int64_t>(m_record.nextOccurrence) * recurrence.intervalMs;
}

const TaskCrashes *Job::findCrashes(const TaskRef &ref) const
{
    const auto found = std::find_if(m_record.crashes.begin(), m_record.crashes.end(), [&](const TaskCrashes &entry) {
        return entry.task == ref;
    });
    return found == m_record.crashes.end() ? nullptr : &*found;
}

bool Job::isCrashSuspect(const TaskRef &ref) const
{
    const TaskCrashes *crashes = findCrashes(ref);
    return crashes != nullptr && (crashes->duringStartup > 0 || crashes->later + crashes->unconfirmed >= SuspiciousLaterCrashes);
}

bool Job::hasPlacedTasks() const
{
    if (std::any_of(m_record.copies.begin(), m_record.copies.end(), [](const TaskCopies &copies) {
            return !copies.extraRuns.empty();
        })) {
        return true;
    }
    for (const Occurrence &occurrence : m_record.occurrences) {
        for (const std::vector<Task> &tasks : occurrence.steps) {
            if (std::any_of(tasks.begin(), tasks.end(), [](const Task &task) {
                    return task.phase == TaskPhase::Placed;
                })) {
                return true;
            }
        }
    }
    return false;
}

}
