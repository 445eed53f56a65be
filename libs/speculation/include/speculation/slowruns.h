#pragma once

#include "jobs/job.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace Cornelquay {

/** A run whose reported percentage does not change for this time makes no progress: even a run of one minute advances by 3 % in it. */
constexpr std::chrono::milliseconds StalledRunTimeout{1800};
/** A task is restarted for lack of progress at most this often. After that, it is left alone. */
constexpr std::uint32_t MaxRestartsPerTask = 3;
/** A task gets at most this many copies one after another, so that a task whose copies fail or are lost does not use up the budget. */
constexpr std::uint32_t MaxCopiesPerTask = 3;

/** Why a task gets a copy. The order is that in which tasks are served. */
enum class CopyCause : std::uint8_t {
    /** The run's worker does not answer, so the run is probably lost. */
    WorkerSilent,
    /** The run's reported percentage does not change. */
    NoProgress,
    /** The run needs much longer than a new run would. */
    Slow,
};
constexpr std::array<std::string_view, 3> CopyCauseNames = {"worker silent", "no progress", "slow"};

/** What is known of the only run of a task. */
struct RunFacts {
    TaskName task;
    std::string pool;
    Resources demand;
    /** Time since the run began, or since it was first seen if that is unknown. */
    std::chrono::milliseconds age{0};
    /** Reported progress, 0 to 100; negative if unknown. */
    int percent = -1;
    /** Progress when the age began: above 0 for a run that resumed from a checkpoint or was seen late. */
    int basePercent = 0;
    /** Time since the latest report of progress. */
    std::chrono::milliseconds reportAge{0};
    /** Time for which the reported percentage had not changed in the latest report. */
    std::chrono::milliseconds unchangedFor{0};
    /** How long the worker has not been heard of; std::nullopt while it answers. */
    std::optional<std::chrono::milliseconds> silence;
    /** While the worker is silent: time until its lease is over, so that the run is lost and the task placed anew in any case. */
    std::chrono::milliseconds leaseLeft{0};
    /** Expected run time of a new run; 0 if it is unknown, so that the run is never called slow. */
    std::chrono::milliseconds expected{0};
    std::uint32_t copiesPlaced = 0;
    std::uint32_t restarts = 0;
    /** Failures after which the job fails. */
    std::uint32_t attemptsLeft = 1;
};

/** A task that is to get a copy. */
struct CopyProposal {
    TaskName task;
    std::string pool;
    Resources demand;
    CopyCause cause = CopyCause::Slow;
    /** Time that the copy is expected to save. */
    std::chrono::milliseconds gain{0};
    /** Position of the task's run in the argument of proposeCopies(). */
    std::size_t run = 0;
};

/** Estimated time that the run still needs, a lower bound within the resolution of the reported percentage. */
std::chrono::milliseconds remainingTime(const RunFacts &run);

/** Whether a copy is expected to finish the task much earlier, and why; std::nullopt if not. */
std::optional<CopyProposal> proposeCopy(const RunFacts &run);

/** The tasks of @p runs that should get a copy, most urgent first: by cause, and then by time saved for each core-second of the copy. */
std::vector<CopyProposal> proposeCopies(const std::vector<RunFacts> &runs);

/** What a pool can spend on copies. */
struct CopyBudget {
    /** Demand for CPU of all runs in progress, in thousandths of a core. */
    std::int64_t runningCpu = 0;
    /** The part of it that copies use, including those that are being stopped. */
    std::int64_t copiesCpu = 0;
    /** A task of the pool that may start waits, for whatever reason. */
    bool anyTaskWaits = false;

    /** Whether the pool has the budget for a copy with @p demand, which is then to be added to copiesCpu. */
    bool allows(const Resources &demand) const;
};

/** Whether a run without progress is to be stopped, so that the task is placed elsewhere; @p allowsCopies tells that the task may get a copy first. */
bool isRestartDue(const RunFacts &run, bool allowsCopies);

}
