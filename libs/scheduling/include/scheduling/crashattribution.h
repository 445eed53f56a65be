#pragma once

#include "scheduling/workersession.h"

#include <map>

namespace Cornelquay {

/** A run that started this long before its worker fell silent did not crash it by its start. */
constexpr std::chrono::milliseconds StartupPeriod{100};
/** A long-running task that has run this long is not the cause of a crash under a task that started after it. */
constexpr std::chrono::milliseconds ProvenPeriod{3000};

/** How long the fleet must have been quiet, see SilenceHistory. Workers that go down and up by turns do so more often. */
constexpr std::chrono::milliseconds QuietPeriod{8000};

/** Whether a run had been running for at least @p period at @p at. */
bool hasRunFor(const LiveRun &run, std::chrono::milliseconds period, BootTime at);

/** Whether the run is of a long-running task that has proved to be sound; see ProvenPeriod. */
bool isProven(const LiveRun &run, BootTime at);

/** Whether all runs on a worker are of @p job or proven. */
bool isIsolatedFor(const JobId &job, const std::map<TaskName, LiveRun> &runs, BootTime at);

/** Whether all runs on a worker are of @p job or have been running for StartupPeriod. */
bool isAloneInStartup(const JobId &job, const std::map<TaskName, LiveRun> &runs, BootTime at);

/**
 * Judges what the crash of a worker says of each of its runs. @p runs are all runs on the worker, and @p crashedAt is
 * when it fell silent. Runs that are not known to have been started are left out, unless a former owner placed them.
 *
 * With several suspects on one worker the crash proves nothing about any of them, since each may have caused it. A suspect is
 * therefore run apart from other jobs, see JobIsolation. The crash of its worker counts as isolated if all that runs beside it is
 * proven or, right after its start, has been running for StartupPeriod.
 */
std::map<TaskName, CrashEvidence> attributeCrash(const std::map<TaskName, LiveRun> &runs, BootTime crashedAt, bool quietFleet);

/**
 * Remembers when workers fell silent without having started a task just before. While there are such workers, a crash after a start
 * may be a coincidence. Not thread-safe.
 */
class SilenceHistory
{
public:
    /** Nothing is known of the time before @p beginAt. */
    explicit SilenceHistory(BootTime beginAt);

    // Commands.
    /** A worker with @p runs fell silent at @p silentSince. */
    void note(const std::map<TaskName, LiveRun> &runs, BootTime silentSince);

    // Queries.
    /** Whether no worker fell silent without a start from QuietPeriod before @p at until now. */
    bool isQuietAt(BootTime at) const;

private:
    BootTime m_latestUnexplained;
};

}
