#pragma once

#include "jobadmission/poolforecast.h"

#include <optional>
#include <variant>

namespace Cornelquay {

/** A job has no value for its caller after this multiple of its objective. */
constexpr int UsefulObjectiveMultiple = 3;

/** A new job, as far as its admission depends on it. */
struct NewJob {
    std::string account;
    /** Resources that one task of each step that may start at once needs. */
    std::vector<Resources> firstDemands;
    /** Work of all tasks, in resources times milliseconds. */
    Resources work;
    /** Predicted run time of the longest chain of dependent tasks. */
    std::chrono::milliseconds chain{0};
    std::chrono::milliseconds objective{0};
    /** When the job was first submitted, even if it was refused then. */
    BootTime receivedAt{};
    /** The place of the job in the order: at present, and latePosition once it is late. */
    OrderRange place;
    /** The account is beyond its agreed submission rate. */
    bool isBeyondAgreedRate = false;
    /** Fraction of the pool that the account gets whenever it has demand; 0 if accounts have no shares. */
    double guaranteedShare = 0;
    /** Limits of the resources that the runs of accounts use at once, by account. A field of 0, or no entry, means no limit. */
    std::map<std::string, Resources> accountCaps;
};

/** Why a job is refused. */
enum class RefusalReason : std::uint8_t {
    /** The work ahead of the job exceeds what the pool can do. */
    PoolFull,
    /** As PoolFull, but only because of the account's own work, and the account is beyond its share or its agreed rate. */
    AccountOverShare,
    /** The account's own work ahead of the job exceeds what its cap allows to do. */
    AccountAtCap,
};
constexpr std::array<std::string_view, 3> RefusalReasonNames = {"pool-full", "account-over-share", "account-at-cap"};

std::string_view toName(RefusalReason reason);

struct JobAccepted {
};

/** The job cannot be completed while that is of value. The fields after reason are the inputs of the decision. */
struct JobRefused {
    RefusalReason reason = RefusalReason::PoolFull;
    /** Index in ResourceNames of the resource that is short. */
    std::size_t resource = 0;
    /** In units of the resource times milliseconds: the work ahead, the account's part of it, and what can be done in time. */
    std::int64_t workAhead = 0;
    std::int64_t ownWorkAhead = 0;
    std::int64_t workInTime = 0;
    std::chrono::milliseconds chain{0};
    std::chrono::milliseconds objective{0};
    /** Time since the job was first submitted. */
    std::chrono::milliseconds age{0};
    /** Age of the backlog in the forecast. */
    std::chrono::milliseconds forecastAge{0};
    /** The caller should come back after this time. */
    std::chrono::milliseconds retryAfter{0};
    /** The time that the pool needs for the work of the job, and some more; the next caller comes back so much later. */
    std::chrono::milliseconds ownTime{0};
};

using AdmissionDecision = std::variant<JobAccepted, JobRefused>;

/**
 * Refuses @p job if the work ahead of it certainly prevents its completion within UsefulObjectiveMultiple times its objective.
 *
 * Two cases lead to acceptance: the job is predicted to be in time, with the work in front of its present place, or it is
 * predicted to be late but still useful, with the work in front of its place once it is late. A job of which a task fits into
 * free capacity is accepted in any case. Pure.
 */
AdmissionDecision decideAdmission(const PoolForecast &forecast, const NewJob &job, BootTime now);

}
