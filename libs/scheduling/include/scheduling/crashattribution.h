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

/** Workers of a rack that fall silent together do so within this time; a closed connection shows the silence at once, a heartbeat later. */
constexpr std::chrono::milliseconds RackFailureSpread{250};
/** For how long the silence of a worker is remembered. Longer than a lease, and than workers take to restart. */
constexpr std::chrono::milliseconds SilenceMemory{60000};

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
 * Remembers when workers fell silent. While some did that had not started a task just before, a crash after a start may be a
 * coincidence; and if all workers of a rack did at the same time, the rack has failed. Not thread-safe.
 */
class SilenceHistory
{
public:
    /** Nothing is known of the time before @p beginAt. */
    explicit SilenceHistory(BootTime beginAt);

    // Commands.
    /** @p worker with @p runs fell silent at @p silentSince; its rack has @p workersInRack workers. */
    void note(const WorkerFacts &worker, const std::map<TaskName, LiveRun> &runs, BootTime silentSince, std::size_t workersInRack);
    /** An idle worker ended at @p endedAt at the latest; when it fell silent is not known. */
    void noteIdleEnd(BootTime endedAt);

    // Queries.
    /** Whether no worker fell silent without a start from QuietPeriod before @p at until now. */
    bool isQuietAt(BootTime at) const;
    /**
     * Whether @p worker, which is silent since @p silentSince, and all others of its rack fell silent within RackFailureSpread, and one
     * of the others without a start that would explain it.
     */
    bool isRackFailure(const WorkerId &worker, BootTime silentSince) const;

private:
    struct Silence {
        std::string rack;
        std::size_t workersInRack = 0;
        BootTime since{};
        /** The worker had started a task just before. */
        bool isExplained = false;
    };

    BootTime m_latestUnexplained;
    /** The latest of each worker, for SilenceMemory. */
    std::map<WorkerId, Silence> m_silences;
};

}
