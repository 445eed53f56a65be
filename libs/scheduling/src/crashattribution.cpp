#include "scheduling/crashattribution.h"

#include <algorithm>

namespace Cornelquay {

bool hasRunFor(const LiveRun &run, std::chrono::milliseconds period, BootTime at)
{
    return run.start == StartProgress::Accepted && at - run.placedOrAcceptedAt >= period;
}

bool isProven(const LiveRun &run, BootTime at)
{
    return run.longRunning && hasRunFor(run, ProvenPeriod, at);
}

bool isIsolatedFor(const JobId &job, const std::map<TaskName, LiveRun> &runs, BootTime at)
{
    return std::all_of(runs.begin(), runs.end(), [&](const auto &item) {
        return item.first.job == job || isProven(item.second, at);
    });
}

namespace {

CrashMoment momentOf(const LiveRun &run, BootTime crashedAt)
{
    if (run.restored) {
        return run.start == StartProgress::Accepted ? CrashMoment::Later : CrashMoment::Unknown;
    }
    return hasRunFor(run, StartupPeriod, crashedAt) ? CrashMoment::Later : CrashMoment::Startup;
}

}

bool isAloneInStartup(const JobId &job, const std::map<TaskName, LiveRun> &runs, BootTime at)
{
    return std::all_of(runs.begin(), runs.end(), [&](const auto &item) {
        return item.first.job == job || hasRunFor(item.second, StartupPeriod, at);
    });
}

std::map<TaskName, CrashEvidence> attributeCrash(const std::map<TaskName, LiveRun> &runs, BootTime crashedAt, bool quietFleet)
{
    std::map<TaskName, LiveRun> sent;
    std::copy_if(runs.begin(), runs.end(), std::inserter(sent, sent.end()), [](const auto &item) {
        return item.second.mayHaveStarted();
    });
    std::map<TaskName, CrashEvidence> evidence;
    for (const auto &[task, run] : sent) {
        // A start without an answer may have reached a worker that had crashed before.
        if (!run.restored && run.start != StartProgress::Accepted) {
            continue;
        }
        const CrashMoment moment = momentOf(run, crashedAt);
        const bool alone = isIsolatedFor(task.job, sent, crashedAt) || (moment == CrashMoment::Startup && isAloneInStartup(task.job, sent, crashedAt));
        // A run that is being stopped may have ended before the crash.
        const bool isolated = run.suspect && run.stop == StopProgress::NotWanted && !isProven(run, crashedAt) && alone;
        evidence[task] = {moment, isolated, quietFleet};
    }
    return evidence;
}

SilenceHistory::SilenceHistory(BootTime beginAt)
    : m_latestUnexplained(beginAt)
{
}

void SilenceHistory::note(const WorkerFacts &worker, const std::map<TaskName, LiveRun> &runs, BootTime silentSince, std::size_t workersInRack)
{
    std::erase_if(m_silences, [&](const auto &item) {
        return silentSince - item.second.since > SilenceMemory;
    });
    const bool isExplained = std::any_of(runs.begin(), runs.end(), [&](const auto &item) {
        return item.second.mayHaveStarted() && momentOf(item.second, silentSince) == CrashMoment::Startup;
    });
    if (!isExplained) {
        m_latestUnexplained = std::max(m_latestUnexplained, silentSince);
    }
    m_silences[worker.id] = {worker.rack, workersInRack, silentSince, isExplained};
}

void SilenceHistory::noteIdleEnd(BootTime endedAt)
{
    m_latestUnexplained = std::max(m_latestUnexplained, endedAt);
}

bool SilenceHistory::isRackFailure(const WorkerId &worker, BootTime silentSince) const
{
    const auto found = m_silences.find(worker);
    // An earlier silence says nothing about a later crash.
    if (found == m_silences.end() || found->second.rack.empty() || found->second.since != silentSince) {
        return false;
    }
    const Silence &own = found->second;
    std::size_t silentOthers = 0;
    bool isOneUnexplained = false;
    for (const auto &[id, other] : m_silences) {
        const auto distance = std::max(own.since, other.since) - std::min(own.since, other.since);
        if (id != worker && other.rack == own.rack && distance <= RackFailureSpread) {
            ++silentOthers;
            isOneUnexplained = isOneUnexplained || !other.isExplained;
        }
    }
    return isOneUnexplained && silentOthers + 1 >= own.workersInRack;
}

bool SilenceHistory::isQuietAt(BootTime at) const
{
    return at - m_latestUnexplained >= QuietPeriod;
}

}
