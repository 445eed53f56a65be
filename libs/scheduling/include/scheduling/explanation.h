#pragma once

#include "jobadmission/admissiondecision.h"
#include "jobs/jobspec.h"
#include "scheduling/candidaterejection.h"
#include "timing/instant.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace Cornelquay {

// What Scheduler::explain() answers. All of it are plain values; those with fields() can be packed for other nodes. An age of
// UnknownAgeMs means that there is nothing of that age.

/** Age, in milliseconds, of a view that has never been read. */
constexpr std::int64_t UnknownAgeMs = -1;

/** The age in milliseconds of what was read at @p at; UnknownAgeMs if that is the epoch of BootTime. */
inline std::int64_t ageMs(BootTime at, BootTime now)
{
    return at == BootTime{} ? UnknownAgeMs : (now - at).count();
}

/** What becomes of a task that could start at once. */
enum class PlacementOutcome : std::uint8_t {
    Placed,
    /** No worker of the pool is chosen; the rejected candidates tell why. */
    NoWorker,
    /** The client account would exceed its cap. */
    AccountAtCap,
    /** The advice service must permit workers first. */
    AwaitsPermission,
    /** The members of the gang do not fit together at present. */
    GangDoesNotFit,
    /** The owner has not read the evacuated zones yet, so it places nothing. */
    ZonesNotRead,
    /** The job would be refused. */
    NotAdmitted,
    /** The first occurrence of the job is not due. */
    NotDue,
};
constexpr std::array<std::string_view, 8> PlacementOutcomeNames
    = {"placed", "no-worker", "account-at-cap", "awaits-permission", "gang-does-not-fit", "zones-not-read", "not-admitted", "not-due"};
std::string_view toName(PlacementOutcome outcome);

/** What the expected run time of a step rests on, from the general to the specific. */
enum class PredictionBasis : std::uint8_t {
    /** A long-running step has no run time. */
    None,
    /** The submitter's estimate, because its queue has no history. */
    Estimate,
    /** The regression by queue. */
    Queue,
    Account,
    Image,
    /** Finished tasks of the same step. */
    Step,
};
constexpr std::array<std::string_view, 6> PredictionBasisNames = {"none", "estimate", "queue", "account", "image", "step"};
std::string_view toName(PredictionBasis basis);

/** What is expected of one step. */
struct StepExplanation {
    std::uint32_t tasks = 0;
    /** Of one task, in milliseconds; 0 for a long-running step. */
    std::int64_t expectedRunMs = 0;
    PredictionBasis basis = PredictionBasis::None;

    auto fields()
    {
        return std::tie(tasks, expectedRunMs, basis);
    }
};

/** Tasks of the first step with the same fate. */
struct TaskGroup {
    PlacementOutcome outcome = PlacementOutcome::NoWorker;
    /** Set for Placed only. */
    std::string worker;
    std::uint32_t tasks = 0;

    auto fields()
    {
        return std::tie(outcome, worker, tasks);
    }
    bool operator==(const TaskGroup &) const = default;
};

/** A worker that does not get the task. */
struct RejectedCandidate {
    std::string worker;
    CandidateRejection reason = CandidateRejection::NoCapacity;
    /** Capacity that the task could have used. */
    Resources free;

    auto fields()
    {
        return std::tie(worker, reason, free);
    }
};

/** The position of the job in the order of its pool, as of the question. */
struct OrderExplanation {
    /** Waiting jobs of the pool that go before the job, or with it. */
    std::uint64_t jobsAhead = 0;
    /** Work of their tasks that have no run, in resources times milliseconds. */
    Resources workAhead;
    /** Expected time of the longest chain of dependent tasks, and the time within which the job should be complete, in milliseconds. */
    std::int64_t chainMs = 0;
    std::int64_t objectiveMs = 0;
    bool overAgreedRate = false;

    auto fields()
    {
        return std::tie(jobsAhead, workAhead, chainMs, objectiveMs, overAgreedRate);
    }
};

/** What the client account uses and may use. */
struct AccountExplanation {
    Resources used;
    /** A field of 0 means no limit. */
    Resources cap;
    double weight = 0;
    /** Whether the pool is full and divided by weight. The fields after it are those of AccountShare, with the job counted as waiting. */
    bool hasShare = false;
    std::uint32_t resource = 0;
    std::int64_t entitlement = 0;
    std::int64_t usedOfPool = 0;
    std::int64_t waiting = 0;

    auto fields()
    {
        return std::tie(used, cap, weight, hasShare, resource, entitlement, usedOfPool, waiting);
    }
};

/** How recent the scheduler's knowledge is, in milliseconds. */
struct SchedulerViews {
    std::uint64_t poolWorkers = 0;
    /** Workers of the pool that accept work. */
    std::uint64_t usableWorkers = 0;
    /** Time since the latest and since the earliest of the latest answers of the pool's workers. An idle worker is not asked. */
    std::int64_t newestAnswerAgeMs = UnknownAgeMs;
    std::int64_t oldestAnswerAgeMs = UnknownAgeMs;
    /** Time since the read of the operators' records of evacuated zones was sent. */
    std::int64_t zonesAgeMs = UnknownAgeMs;
    std::uint64_t evacuatedZones = 0;
    std::uint64_t configurationVersion = 0;

    auto fields()
    {
        return std::tie(poolWorkers, usableWorkers, newestAnswerAgeMs, oldestAnswerAgeMs, zonesAgeMs, evacuatedZones, configurationVersion);
    }
};

/** Where a job would be placed, and why. */
struct PlacementExplanation {
    /** The longest list of named candidates. */
    static constexpr std::size_t MaxNamedCandidates = 10;

    std::string pool;
    OrderExplanation order;
    AccountExplanation account;
    std::vector<StepExplanation> steps;
    /** The tasks of the first step. */
    std::vector<TaskGroup> firstStep;
    /**
     * The workers of the pool that were not chosen for one task of the first step: the first one without a worker, or the first one
     * if all have a worker. Empty if no worker was examined.
     */
    std::map<CandidateRejection, std::uint32_t> rejections;
    /** Some of these, at most MaxNamedCandidates; each reason has one before any has a second. */
    std::vector<RejectedCandidate> namedCandidates;
    SchedulerViews views;

    auto fields()
    {
        return std::tie(pool, order, account, steps, firstStep, rejections, namedCandidates, views);
    }
    /** The job would not be placed at all, for the reason @p outcome. */
    void setNotPlaced(PlacementOutcome outcome);
};

/** The answer to the question what a submission of a job would lead to. */
struct Explanation {
    AdmissionDecision admission;
    PlacementExplanation placement;
};

}
