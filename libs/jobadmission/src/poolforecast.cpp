#include "jobadmission/poolforecast.h"

#include <algorithm>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// Run times are several hundred milliseconds, so a coarser interval would distort the work that runs still need.
constexpr auto EndInterval = 100ms;
// Longest time that timeFor() returns.
constexpr auto MaxDrainTime = 60s;

/** Rounded down, so that the work of runs is never overestimated. */
BootTime intervalOf(BootTime end)
{
    return end - end.time_since_epoch() % EndInterval;
}

}

void RunEnds::add(BootTime predictedEnd, const Resources &demand)
{
    Interval &interval = m_intervals[intervalOf(predictedEnd)];
    ++interval.runs;
    interval.demand += demand;
}

void RunEnds::remove(BootTime predictedEnd, const Resources &demand)
{
    const auto interval = m_intervals.find(intervalOf(predictedEnd));
    if (interval == m_intervals.end()) {
        return;
    }
    interval->second.demand -= demand;
    if (--interval->second.runs == 0) {
        m_intervals.erase(interval);
    }
}

Resources RunEnds::workWithin(BootTime now, BootTime until) const
{
    Resources work;
    for (auto interval = m_intervals.upper_bound(now); interval != m_intervals.end(); ++interval) {
        work += interval->second.demand * std::max<std::int64_t>(0, (std::min(interval->first, until) - now).count());
    }
    return work;
}

void PoolCapacity::addFreeRoom(const Resources &free)
{
    const bool isExceeded = std::any_of(freeRooms.begin(), freeRooms.end(), [&](const Resources &room) {
        return free.fitsInto(room);
    });
    if (isExceeded) {
        return;
    }
    std::erase_if(freeRooms, [&](const Resources &room) {
        return room.fitsInto(free);
    });
    freeRooms.push_back(free);
}

RunEnds &PoolForecast::runs()
{
    return m_runs;
}

void PoolForecast::clearBacklog()
{
    m_waiting.clear();
    m_accounts.clear();
    m_accountPositions.clear();
    m_backlog.clear();
}

void PoolForecast::addWaiting(const WaitingWork &waiting)
{
    m_backlog[waiting.account] += waiting.work;
    const auto [position, added] = m_accountPositions.try_emplace(waiting.account, m_accounts.size());
    if (added) {
        m_accounts.push_back(waiting.account);
    }
    m_waiting.push_back({position->second, waiting.receivedAt, waiting.isExpired, waiting.work});
}

void PoolForecast::setCapacity(PoolCapacity capacity)
{
    m_capacity = std::move(capacity);
}

const PoolCapacity &PoolForecast::capacity() const
{
    return m_capacity;
}

bool PoolForecast::hasBacklog() const
{
    return !m_waiting.empty();
}

const AccountWork &PoolForecast::backlog() const
{
    return m_backlog;
}

AccountWork PoolForecast::workAhead(const OrderRange &range) const
{
    std::vector<Resources> sums(m_accounts.size());
    const std::size_t end = std::min(std::max(range.position, range.latePosition), m_waiting.size());
    for (std::size_t position = 0; position < end; ++position) {
        const JobWork &waiting = m_waiting[position];
        if (!waiting.isExpired && (position < range.position || waiting.receivedAt < range.receivedBefore)) {
            sums[waiting.account] += waiting.work;
        }
    }
    AccountWork ahead;
    for (std::size_t account = 0; account < sums.size(); ++account) {
        if (!(sums[account] == Resources{})) {
            ahead[m_accounts[account]] = sums[account];
        }
    }
    return ahead;
}

Resources PoolForecast::availableWork(BootTime now, BootTime until) const
{
    const std::int64_t period = std::max<std::int64_t>(0, (until - now).count());
    const std::int64_t obtainedPeriod = std::max<std::int64_t>(0, period - ObtainDelay.count());
    Resources work = m_capacity.present * period + m_capacity.obtainable * obtainedPeriod - m_runs.workWithin(now, until);
    for (const auto field : ResourceFields) {
        work.*field = std::max<std::int64_t>(0, work.*field);
    }
    return work;
}

std::chrono::milliseconds PoolForecast::timeFor(std::int64_t work, std::int64_t Resources::*field, BootTime now) const
{
    std::chrono::milliseconds tooShort = 0ms;
    std::chrono::milliseconds enough = MaxDrainTime;
    while (enough - tooShort > 1ms) {
        const std::chrono::milliseconds middle = (tooShort + enough) / 2;
        (availableWork(now, now + middle).*field < work ? tooShort : enough) = middle;
    }
    return enough;
}

bool PoolForecast::fitsNow(const Resources &demand) const
{
    return std::any_of(m_capacity.freeRooms.begin(), m_capacity.freeRooms.end(), [&](const Resources &room) {
        return demand.fitsInto(room);
    });
}

}
