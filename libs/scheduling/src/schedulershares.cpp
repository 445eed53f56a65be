#include "details/schedulerimpl.h"

#include <algorithm>

namespace Cornelquay {

namespace {

/** At most one in so many workers of a pool, but at least one, is kept for tasks that fit on no worker at present. */
constexpr std::size_t WorkersPerKeptWorker = 16;

/** What a placement pass knows of one pool with waiting jobs that are subject to shares. */
struct PoolPass {
    std::string name;
    PoolCandidates *candidates = nullptr;
    /** Positions of the waiting jobs in the placement order. */
    std::vector<std::size_t> jobs;
    /** For each resource, the smallest demand of a waiting task that some worker could run. */
    std::optional<Resources> smallestDemand;
    /** Set if the pool is full. */
    std::optional<PoolShares> shares;
    /** Some worker can run a waiting task, so that it matters who goes first. */
    bool hasRoom = false;
};

Resources minOf(const Resources &left, const Resources &right)
{
    return {std::min(left.cpu, right.cpu), std::min(left.memory, right.memory), std::min(left.gpu, right.gpu)};
}

Resources maxOf(const Resources &left, const Resources &right)
{
    return {std::max(left.cpu, right.cpu), std::max(left.memory, right.memory), std::max(left.gpu, right.gpu)};
}

Resources largestWorkerOf(const PoolCandidates &candidates)
{
    Resources largest;
    for (const PlacementCandidate &candidate : candidates.all) {
        largest = maxOf(largest, candidate.session->facts().capacity);
    }
    return largest;
}

/** Free capacity of the workers that can run at least the smallest waiting task. */
Resources freeCapacityFor(const Resources &smallestDemand, const PoolCandidates &candidates)
{
    Resources sum;
    for (const PlacementCandidate &candidate : candidates.all) {
        const Resources free = candidate.session->freeCapacity();
        if (candidate.keptFor.empty() && smallestDemand.fitsInto(free)) {
            sum += free;
        }
    }
    return sum;
}

/** Capacity of a worker that runs other than long-running tasks use or could use. */
Resources capacityBesideLongRunning(const WorkerSession &session)
{
    Resources capacity = session.facts().capacity;
    if (session.longRunningCount() > 0) {
        for (const auto &[task, run] : session.runs()) {
            capacity -= run.longRunning ? run.demand : Resources{};
        }
    }
    return capacity;
}

/**
 * Takes a worker on which a task with @p demand will fit sooner than on others out of the open ones for the rest of the pass.
 *
 * Smaller tasks would otherwise use each gap as soon as a run ends, so that there would never be room for a large one.
 * The worker with the most free capacity is chosen. As nothing is placed there, the next passes choose it again.
 */
void keepForUnplaced(PoolCandidates &candidates, const Resources &demand, ResourceKind bottleneck)
{
    if (candidates.keptForUnplaced >= std::max<std::size_t>(1, candidates.all.size() / WorkersPerKeptWorker)) {
        return;
    }
    auto chosen = candidates.open.end();
    for (auto candidate = candidates.open.begin(); candidate != candidates.open.end(); ++candidate) {
        const WorkerSession &session = *(*candidate)->session;
        if ((*candidate)->leaving || !(*candidate)->keptFor.empty() || !demand.fitsInto(capacityBesideLongRunning(session))) {
            continue;
        }
        const auto freeOf = [&](const PlacementCandidate *of) {
            return amountOf(of->session->freeCapacity(), bottleneck);
        };
        if (chosen == candidates.open.end() || freeOf(*candidate) > freeOf(*chosen)) {
            chosen = candidate;
        }
    }
    if (chosen != candidates.open.end()) {
        candidates.open.erase(chosen);
        ++candidates.keptForUnplaced;
    }
}

/** Whether two waiting jobs are equal in all that goes before shares. */
bool isSameClass(const JobUrgency &left, const JobUrgency &right)
{
    return left.longRunning == right.longRunning && left.priority == right.priority && left.worthless == right.worthless;
}

bool isSubjectToShares(const JobUrgency &urgency)
{
    return !urgency.longRunning && !urgency.worthless;
}

}

const std::vector<ReadyTasks> &Scheduler::Impl::readyTasksOf(JobEntry &entry) const
{
    if (entry.readyTasks) {
        return *entry.readyTasks;
    }
    std::vector<ReadyTasks> &ready = entry.readyTasks.emplace();
    for (const Occurrence &occurrence : entry.job.record().occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const StepSpec &spec = entry.job.record().spec.steps[step];
            const std::vector<Task> &tasks = occurrence.steps[step];
            const auto waiting = std::count_if(tasks.begin(), tasks.end(), [](const Task &task) {
                return task.phase == TaskPhase::Waiting;
            });
            if (waiting > 0 && entry.job.mayStart(occurrence, step)) {
                const Resources demand{spec.bestEffort ? 0 : spec.demand.cpu, spec.demand.memory, spec.demand.gpu};
                ready.push_back({demand, static_cast<std::uint32_t>(waiting)});
            }
        }
    }
    return ready;
}

void Scheduler::Impl::completeClaims(const std::string &pool, std::map<std::string, AccountClaim> &claims) const
{
    for (const auto &[account, used] : poolUsage.byAccount(pool)) {
        claims[account].running = used;
    }
    for (auto &[account, claim] : claims) {
        // An account that is not configured has the default weight and no cap.
        const auto known = policy->accounts.find(account);
        const AccountPolicy terms = known == policy->accounts.end() ? AccountPolicy{} : known->second;
        const auto used = accountUsed.find(account);
        claim.weight = terms.weight;
        claim.cap = terms.cap;
        claim.runningInAllPools = used == accountUsed.end() ? Resources{} : used->second;
    }
}

void Scheduler::Impl::publishShares(const std::string &pool, const std::map<std::string, AccountClaim> &claims, const PoolShares &shares)
{
    const ResourceKind kind = shares.bottleneck();
    for (const auto &[account, claim] : claims) {
        const auto entitlement = static_cast<std::int64_t>(shares.entitlementOf(account));
        accountShares.push_back({pool, account, kind, entitlement, amountOf(claim.running, kind), amountOf(claim.waiting, kind)});
    }
}

/** One placement pass over the jobs that wait, in their order. Refers to its arguments, which must outlive it. */
class Scheduler::Impl::SharePass
{
public:
    SharePass(Impl &impl, const std::vector<WaitingJob> &waiting, std::map<std::string, PoolCandidates> &candidatesByPool, BootTime now)
        : m_impl(impl)
        , m_waiting(waiting)
        , m_candidatesByPool(candidatesByPool)
        , m_now(now)
        , m_settled(waiting.size(), false)
    {
    }
    void run();

private:
    /** Queues the jobs from position @p begin on and divides the full pools. */
    void dividePools(std::size_t begin);
    void divide(PoolPass &pool);
    /** Places tasks of accounts within their share, of jobs from position @p begin up to @p end. */
    void placeWithinShares(PoolPass &pool, std::size_t begin, std::size_t end);
    void placeJobInTurn(const PoolPass &pool, JobEntry &entry, ShareTurn &turn);
    /** Places the jobs from position @p begin up to @p end that are not settled. */
    void placeOthers(std::size_t begin, std::size_t end);
    PoolPass &poolPassOf(const std::string &pool);

    Impl &m_impl;
    const std::vector<WaitingJob> &m_waiting;
    std::map<std::string, PoolCandidates> &m_candidatesByPool;
    const BootTime m_now;
    /** By position: the job need not be tried again in this pass. */
    std::vector<bool> m_settled;
    std::unordered_map<std::string, PoolPass> m_pools;
};

void Scheduler::Impl::placeByShares(const std::vector<WaitingJob> &waiting, std::map<std::string, PoolCandidates> &candidatesByPool, BootTime now)
{
    SharePass(*this, waiting, candidatesByPool, now).run();
}

void Scheduler::Impl::SharePass::run()
{
    bool divided = false;
    for (std::size_t begin = 0; begin < m_waiting.size();) {
        const auto last = std::find_if(m_waiting.begin() + static_cast<std::ptrdiff_t>(begin), m_waiting.end(), [&](const WaitingJob &job) {
            return !isSameClass(job.first, m_waiting[begin].first);
        });
        const auto end = static_cast<std::size_t>(last - m_waiting.begin());
        if (isSubjectToShares(m_waiting[begin].first)) {
            if (!divided) {
                // Long-running tasks, which are placed before, have taken their part of the capacity.
                dividePools(begin);
                divided = true;
            }
            for (auto &[name, pool] : m_pools) {
                if (pool.shares && pool.hasRoom) {
                    placeWithinShares(pool, begin, end);
                }
            }
        }
        placeOthers(begin, end);
        begin = end;
    }
}

PoolPass &Scheduler::Impl::SharePass::poolPassOf(const std::string &pool)
{
    const auto [found, added] = m_pools.try_emplace(pool);
    if (added) {
        found->second.name = pool;
        found->second.candidates = &m_candidatesByPool[pool];
    }
    return found->second;
}

void Scheduler::Impl::SharePass::dividePools(std::size_t begin)
{
    for (std::size_t position = begin; position < m_waiting.size(); ++position) {
        const auto &[urgency, entry] = m_waiting[position];
        if (isSubjectToShares(urgency)) {
            const JobRecord &record = entry->job.record();
            poolPassOf(record.terms.pool).jobs.push_back(position);
        }
    }
    for (auto &[name, pool] : m_pools) {
        divide(pool);
    }
}

void Scheduler::Impl::SharePass::divide(PoolPass &pool)
{
    const Resources largestWorker = largestWorkerOf(*pool.candidates);
    std::optional<Resources> &smallest = pool.smallestDemand;
    std::map<std::string, AccountClaim> claims;
    for (const std::size_t position : pool.jobs) {
        JobEntry &entry = *m_waiting[position].second;
        Resources &waiting = claims[entry.job.record().account].waiting;
        for (const ReadyTasks &tasks : m_impl.readyTasksOf(entry)) {
            if (tasks.demand.fitsInto(largestWorker)) {
                waiting += tasks.demand * tasks.count;
                smallest = smallest ? minOf(*smallest, tasks.demand) : tasks.demand;
            }
        }
    }
    if (!smallest) {
        return;
    }
    m_impl.completeClaims(pool.name, claims);
    const Resources freeCapacity = freeCapacityFor(*smallest, *pool.candidates);
    pool.hasRoom = !(freeCapacity == Resources{});
    PoolShares shares(freeCapacity, claims);
    if (shares.isFull()) {
        m_impl.publishShares(pool.name, claims, shares);
        pool.shares = std::move(shares);
    }
}

void Scheduler::Impl::SharePass::placeWithinShares(PoolPass &pool, std::size_t begin, std::size_t end)
{
    const auto first = std::lower_bound(pool.jobs.begin(), pool.jobs.end(), begin);
    const auto last = std::lower_bound(first, pool.jobs.end(), end);
    std::set<std::string> beyondShare;
    std::set<std::string> haveKeptWorker;
    for (auto position = first; position != last; ++position) {
        JobEntry &entry = *m_waiting[*position].second;
        const std::string &account = entry.job.record().account;
        if (beyondShare.count(account) != 0) {
            continue;
        }
        ShareTurn turn(*pool.shares, m_impl.poolUsage, pool.name, account);
        placeJobInTurn(pool, entry, turn);
        m_settled[*position] = !turn.isBeyondShare();
        if (turn.isBeyondShare()) {
            beyondShare.insert(account);
        }
        // Only smaller tasks can take the gaps that a task needs.
        const bool isDisplaced = turn.unplaced() && !turn.unplaced()->fitsInto(*pool.smallestDemand);
        if (isDisplaced && haveKeptWorker.insert(account).second) {
            keepForUnplaced(*pool.candidates, *turn.unplaced(), pool.shares->bottleneck());
        }
    }
}

// A job with tasks beyond the share is tried again in the same pass, and its backlog is counted then.
void Scheduler::Impl::SharePass::placeJobInTurn(const PoolPass &pool, JobEntry &entry, ShareTurn &turn)
{
    const Resources backlogBefore = m_impl.backlog[pool.name];
    const std::map<std::string, Resources> labelledBefore = m_impl.labelledBacklog[pool.name];
    const std::uint64_t before = m_impl.placements;
    pool.candidates->turn = &turn;
    m_impl.placeJob(entry, *pool.candidates, m_now);
    pool.candidates->turn = nullptr;
    m_impl.sharePlacements.withinShare += m_impl.placements - before;
    if (turn.isBeyondShare()) {
        m_impl.backlog[pool.name] = backlogBefore;
        m_impl.labelledBacklog[pool.name] = labelledBefore;
    }
}

void Scheduler::Impl::SharePass::placeOthers(std::size_t begin, std::size_t end)
{
    for (std::size_t position = begin; position < end; ++position) {
        if (m_settled[position]) {
            continue;
        }
        JobEntry &entry = *m_waiting[position].second;
        const std::string &pool = entry.job.record().terms.pool;
        const std::uint64_t before = m_impl.placements;
        m_impl.placeJob(entry, m_candidatesByPool[pool], m_now);
        if (m_impl.placements != before) {
            const auto divided = m_pools.find(pool);
            m_impl.sharePlacements.lent += divided != m_pools.end() && divided->second.shares ? m_impl.placements - before : 0;
        }
    }
}

const std::vector<AccountShare> &Scheduler::accountShares() const
{
    return m_impl->accountShares;
}

SharePlacements Scheduler::sharePlacements() const
{
    return m_impl->sharePlacements;
}

}
