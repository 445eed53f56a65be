#include "jobs/job.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace Cornelquay {

namespace {

std::vector<ExtraRun>::const_iterator findExtra(const TaskCopies &copies, std::uint32_t run)
{
    return std::find_if(copies.extraRuns.begin(), copies.extraRuns.end(), [run](const ExtraRun &extra) {
        return extra.run == run;
    });
}

}

std::uint32_t Job::nextRun(const TaskRef &ref) const
{
    const TaskCopies *copies = findCopies(ref);
    return std::max(findTask(ref)->run, copies == nullptr ? 0 : copies->latestCopy) + 1;
}

std::uint32_t Job::placeCopy(const TaskRef &ref, const WorkerId &worker)
{
    const Task *found = findTask(ref);
    const TaskCopies *known = findCopies(ref);
    const bool hasCopy = known != nullptr && !known->extraRuns.empty();
    if (found == nullptr || !isOpen() || found->phase != TaskPhase::Placed || !step(ref).allowsCopies() || hasCopy || found->worker == worker) {
        throw std::logic_error("no copy can be placed: the task is not placed, its job is closed, its step allows none, it has one, or it runs on this worker");
    }
    const std::uint32_t run = nextRun(ref);
    TaskCopies &copies = addCopies(ref);
    copies.extraRuns.push_back({run, worker});
    copies.latestCopy = run;
    ++copies.copiesPlaced;
    return run;
}

void Job::countRestart(const TaskRef &ref)
{
    const Task *found = findTask(ref);
    if (found != nullptr && found->phase != TaskPhase::Finished) {
        ++addCopies(ref).restarts;
    }
}

std::optional<EndOutcome>
Job::endWithCopies(const TaskRef &ref, std::uint32_t run, std::optional<RunEnd> runEnd, const std::string &checkpoint, std::int64_t wallMs)
{
    TaskCopies *copies = copiesOf(ref);
    if (copies == nullptr || copies->copiesPlaced == 0 || run == 0) {
        return std::nullopt;
    }
    const Task *found = findTask(ref);
    const auto extra = findExtra(*copies, run);
    const bool isExtra = extra != copies->extraRuns.end();
    if (found == nullptr || found->phase == TaskPhase::Finished) {
        if (!isExtra) {
            return EndOutcome::Ignored;
        }
        copies->extraRuns.erase(extra);
        dropCopies(ref);
        return EndOutcome::ExtraRunEnded;
    }
    // Every success counts, also that of a run which was reported lost: its end is acknowledged, so the task must not start again.
    if (runEnd == RunEnd::Done && run <= std::max(found->run, copies->latestCopy)) {
        return finishWithCopies(ref, run, wallMs);
    }
    if (isExtra || (run == found->run && found->phase == TaskPhase::Placed && !copies->extraRuns.empty())) {
        return continueWithOtherRun(ref, run, runEnd == RunEnd::Failed, checkpoint, wallMs);
    }
    return std::nullopt;
}

// The runs of the task other than the one that finished it remain as extra runs until their ends are known.
EndOutcome Job::finishWithCopies(const TaskRef &ref, std::uint32_t run, std::int64_t wallMs)
{
    Task &found = *task(ref);
    TaskCopies &copies = *copiesOf(ref);
    if (found.phase == TaskPhase::Placed && found.run != run) {
        copies.extraRuns.push_back({found.run, found.worker});
    }
    std::erase_if(copies.extraRuns, [run](const ExtraRun &extra) {
        return extra.run == run;
    });
    found.run = run;
    found.worker.clear();
    finish(ref, found, wallMs);
    return EndOutcome::TaskFinished;
}

EndOutcome Job::continueWithOtherRun(const TaskRef &ref, std::uint32_t run, bool failed, const std::string &checkpoint, std::int64_t wallMs)
{
    Task &found = *task(ref);
    const ExtraRun copy = std::exchange(copiesOf(ref)->extraRuns, {}).front();
    if (found.run == run) {
        found.run = copy.run;
        found.worker = copy.worker;
        // Of two runs only the current one saves progress, so a copy's is used once it is that.
        found.checkpoint = checkpoint.empty() ? found.checkpoint : checkpoint;
    }
    const bool jobFailed = failed && fail(ref, found, wallMs) == EndOutcome::JobFailed;
    return jobFailed ? EndOutcome::JobFailed : EndOutcome::OtherRunContinues;
}

void Job::dropCopies(const TaskRef &ref)
{
    std::erase_if(m_record.copies, [&](const TaskCopies &copies) {
        return copies.task == ref && copies.extraRuns.empty();
    });
}

TaskCopies *Job::copiesOf(const TaskRef &ref)
{
    const auto found = std::find_if(m_record.copies.begin(), m_record.copies.end(), [&](const TaskCopies &copies) {
        return copies.task == ref;
    });
    return found == m_record.copies.end() ? nullptr : &*found;
}

TaskCopies &Job::addCopies(const TaskRef &ref)
{
    if (TaskCopies *known = copiesOf(ref)) {
        return *known;
    }
    TaskCopies &added = m_record.copies.emplace_back();
    added.task = ref;
    return added;
}

const TaskCopies *Job::findCopies(const TaskRef &ref) const
{
    const auto found = std::find_if(m_record.copies.begin(), m_record.copies.end(), [&](const TaskCopies &copies) {
        return copies.task == ref;
    });
    return found == m_record.copies.end() ? nullptr : &*found;
}

}
