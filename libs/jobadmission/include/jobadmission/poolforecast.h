#pragma once

#include "jobs/jobspec.h"
#include "timing/instant.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Cornelquay {

/** The fields of Resources, for computations on each of them. */
constexpr std::array<std::int64_t Resources::*, 3> ResourceFields = {&Resources::cpu, &Resources::memory, &Resources::gpu};
constexpr std::array<std::string_view, 3> ResourceNames = {"cpu", "memory", "gpu"};

/**
 * When the runs of a pool are predicted to end.
 *
 * Kept as sums over short intervals, so that the cost depends on the starts and ends of runs and not on their number. Not
 * thread-safe.
 */
class RunEnds
{
public:
    void add(BootTime predictedEnd, const Resources &demand);
    /** Must have been added with the same arguments. */
    void remove(BootTime predictedEnd, const Resources &demand);

    /** Work that the runs need from @p now to @p until, in resources times milliseconds. Runs past their predicted end need none. */
    Resources workWithin(BootTime now, BootTime until) const;

private:
    struct Interval {
        std::size_t runs = 0;
        Resources demand;
    };
    /** By the start of the interval that contains the predicted ends. */
    std::map<BootTime, Interval> m_intervals;
};

/** Capacity of a pool. */
struct PoolCapacity {
    /** Of the pool's workers that answer or have not been heard of yet, less the demand of long-running runs. */
    Resources present;
    /** Of instances that can join the pool within ObtainDelay. */
    Resources obtainable;
    /** Free capacity of single workers that take work. Only those are kept that no other one exceeds in every resource. */
    std::vector<Resources> freeRooms;

    void addFreeRoom(const Resources &free);
};

/** The unplaced work of one job. */
struct WaitingWork {
    std::string account;
    BootTime receivedAt{};
    /** The job can no longer be completed within the time in which that is of value. */
    bool isExpired = false;
    /** In resources times milliseconds. */
    Resources work;
};

/** Work of each client account, in resources times milliseconds. */
using AccountWork = std::map<std::string, Resources>;

/** A range of the placement order. */
struct OrderRange {
    /** Jobs in front of this position count. */
    std::size_t position = 0;
    /** Between position and this, only jobs received before receivedBefore count. */
    std::size_t latePosition = 0;
    BootTime receivedBefore{};
};

/**
 * What is known of the near future of one pool: capacity, free capacity, predicted ends of runs, and backlog in placement order.
 *
 * The runs are kept up to date with each start and end. The backlog is replaced in placement passes. The capacity is replaced
 * at most once between two passes, when it is needed. Performs no I/O and reads no clock. Not thread-safe.
 *
 * @code
 * forecast.clearBacklog();
 * forecast.addWaiting({account, receivedAt, false, work});
 * forecast.setCapacity(capacity);
 * const Resources work = forecast.availableWork(now, now + 3s);
 * @endcode
 */
class PoolForecast
{
public:
    /** Time in which an idle instance of another pool, or of the standby pool, can be moved. */
    static constexpr std::chrono::milliseconds ObtainDelay{1500};

    // Commands.
    RunEnds &runs();
    void clearBacklog();
    /** Adds the job that follows those added before in the placement order. */
    void addWaiting(const WaitingWork &waiting);
    void setCapacity(PoolCapacity capacity);

    // Queries.
    const PoolCapacity &capacity() const;
    bool hasBacklog() const;
    /** Unplaced work of all jobs, by account. */
    const AccountWork &backlog() const;
    /** Unplaced work in @p range, by account. Expired jobs do not count, because they are placed after all others. */
    AccountWork workAhead(const OrderRange &range) const;
    /** Work that the pool can do for waiting jobs from @p now to @p until, in resources times milliseconds. */
    Resources availableWork(BootTime now, BootTime until) const;
    /** Time from @p now in which the pool has done @p work of waiting jobs in the resource @p field. */
    std::chrono::milliseconds timeFor(std::int64_t work, std::int64_t Resources::*field, BootTime now) const;
    bool fitsNow(const Resources &demand) const;

private:
    /** As WaitingWork, with the position of the account in m_accounts: a sum over 9,100 jobs by name takes 0.35 ms for each submission. */
    struct JobWork {
        std::size_t account = 0;
        BootTime receivedAt{};
        bool isExpired = false;
        Resources work;
    };

    RunEnds m_runs;
    std::vector<JobWork> m_waiting;
    /** The accounts with backlog. */
    std::vector<std::string> m_accounts;
    std::map<std::string, std::size_t> m_accountPositions;
    AccountWork m_backlog;
    PoolCapacity m_capacity;
};

}
