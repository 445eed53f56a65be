#include "jobadmission/admissiondecision.h"

#include <algorithm>
#include <cmath>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// The predicted work must exceed what can be done by this factor before a job counts as hopeless, because predictions of run
// times err, and a wrong refusal costs the caller more than a wrong acceptance.
constexpr double CertaintyFactor = 1.25;

// Returning callers are apart by this multiple of the time that the pool needs for the work of one, so that new jobs find room
// beside them.
constexpr double ReturnSpacingFactor = 1.25;

/** A resource in which the work ahead of a job exceeds what can be done in time. */
struct Shortage {
    RefusalReason reason = RefusalReason::PoolFull;
    std::size_t resource = 0;
    std::int64_t ahead = 0;
    std::int64_t own = 0;
    std::int64_t inTime = 0;
};

bool certainlyExceeds(std::int64_t work, double available)
{
    return static_cast<double>(work) > CertaintyFactor * available;
}

/** Compares the work ahead of a job with what can be done until @p until. */
class ShortageSearch
{
public:
    ShortageSearch(const PoolForecast &forecast, const NewJob &job, const OrderRange &range, BootTime now, BootTime until)
        : m_job(job)
        , m_ahead(forecast.workAhead(range))
        , m_available(forecast.availableWork(now, until))
        , m_period(std::max<std::int64_t>(0, (until - now).count()))
    {
    }

    std::optional<Shortage> find() const
    {
        for (std::size_t resource = 0; resource < ResourceFields.size(); ++resource) {
            if (m_job.work.*ResourceFields[resource] > 0) {
                if (const std::optional<Shortage> shortage = findIn(resource)) {
                    return shortage;
                }
            }
        }
        return std::nullopt;
    }

private:
    /** The work of @p account ahead that its cap allows to do in the period. */
    std::int64_t withinCap(const std::string &account, std::int64_t work, std::int64_t Resources::*field) const
    {
        const auto cap = m_job.accountCaps.find(account);
        return cap == m_job.accountCaps.end() || cap->second.*field == 0 ? work : std::min(work, cap->second.*field * m_period);
    }

    std::optional<Shortage> findIn(std::size_t resource) const
    {
        const auto field = ResourceFields[resource];
        const auto ownWork = m_ahead.find(m_job.account);
        const std::int64_t own = ownWork == m_ahead.end() ? 0 : ownWork->second.*field;
        const std::int64_t ownWithinCap = withinCap(m_job.account, own, field);
        std::int64_t ahead = 0;
        for (const auto &[account, work] : m_ahead) {
            ahead += withinCap(account, work.*field, field);
        }
        const auto available = static_cast<double>(m_available.*field);
        if (certainlyExceeds(own, static_cast<double>(ownWithinCap))) {
            return Shortage{RefusalReason::AccountAtCap, resource, own, own, ownWithinCap};
        }
        const bool isServedByShare = m_job.guaranteedShare > 0 && !certainlyExceeds(own, m_job.guaranteedShare * available);
        if (!certainlyExceeds(ahead, available) || isServedByShare) {
            return std::nullopt;
        }
        const bool isBeyondShare = m_job.isBeyondAgreedRate || m_job.guaranteedShare > 0;
        const bool isOwnCause = isBeyondShare && own > 0 && !certainlyExceeds(ahead - ownWithinCap, available);
        return Shortage{isOwnCause ? RefusalReason::AccountOverShare : RefusalReason::PoolFull, resource, ahead, own, m_available.*field};
    }

    const NewJob &m_job;
    AccountWork m_ahead;
    Resources m_available;
    std::int64_t m_period;
};

std::chrono::milliseconds timeToRoom(const PoolForecast &forecast, const NewJob &job, const Shortage &shortage, BootTime now)
{
    const auto field = ResourceFields[shortage.resource];
    if (shortage.reason == RefusalReason::AccountAtCap) {
        return std::chrono::milliseconds(shortage.own / std::max<std::int64_t>(1, job.accountCaps.at(job.account).*field));
    }
    return forecast.timeFor(shortage.ahead, field, now);
}

std::chrono::milliseconds timeForOwnWork(const PoolForecast &forecast, const NewJob &job, std::int64_t Resources::*field)
{
    const std::int64_t rate = forecast.capacity().present.*field + forecast.capacity().obtainable.*field;
    const double time = static_cast<double>(job.work.*field) / static_cast<double>(std::max<std::int64_t>(1, rate));
    return std::chrono::milliseconds(std::llround(ReturnSpacingFactor * time));
}

}

std::string_view toName(RefusalReason reason)
{
    return RefusalReasonNames.at(static_cast<std::size_t>(reason));
}

AdmissionDecision decideAdmission(const PoolForecast &forecast, const NewJob &job, BootTime now)
{
    const bool fits = std::any_of(job.firstDemands.begin(), job.firstDemands.end(), [&](const Resources &demand) {
        return forecast.fitsNow(demand);
    });
    if (fits || !forecast.hasBacklog()) {
        return JobAccepted{};
    }
    const OrderRange present{job.place.position, job.place.position, {}};
    const BootTime latestStartInTime = job.receivedAt + job.objective - job.chain;
    if (latestStartInTime > now && !ShortageSearch(forecast, job, present, now, latestStartInTime).find()) {
        return JobAccepted{};
    }
    const BootTime latestUsefulStart = job.receivedAt + job.objective * UsefulObjectiveMultiple - job.chain;
    const std::optional<Shortage> shortage = ShortageSearch(forecast, job, job.place, now, latestUsefulStart).find();
    if (!shortage) {
        return JobAccepted{};
    }
    JobRefused refused;
    refused.reason = shortage->reason;
    refused.resource = shortage->resource;
    refused.workAhead = shortage->ahead;
    refused.ownWorkAhead = shortage->own;
    refused.workInTime = shortage->inTime;
    refused.chain = job.chain;
    refused.objective = job.objective;
    refused.age = now - job.receivedAt;
    refused.retryAfter = timeToRoom(forecast, job, *shortage, now);
    refused.ownTime = timeForOwnWork(forecast, job, ResourceFields[shortage->resource]);
    return refused;
}

}
