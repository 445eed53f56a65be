#include "speculation/slowruns.h"

#include <algorithm>
#include <tuple>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// A copy is worth it if the run needs at least this multiple of the expected time of a new run: it then saves at least as much time
// as it uses. A lower factor would copy the runs that merely exceed the prediction, which is often wrong by a factor of 1.5.
constexpr int SlowFactor = 2;
// Time from the decision until the copy runs and until its end is known: store, start order and listing.
constexpr auto CopyOverhead = 200ms;
// A worker that misses one answer is asked again after 0 ms and 300 ms. Its runs get copies once it has missed these as well.
constexpr auto SilentWorkerPeriod = 600ms;
// With the budget of 5 % of the running cores, copies that gain nothing cost no more than that.
constexpr std::int64_t BudgetDivisor = 20;
// The failure of a copy must not fail a job whose other run may succeed, and each of both runs may fail.
constexpr std::uint32_t MinAttemptsForCopy = 2;
constexpr int FullPercent = 100;

// Core-seconds of the copy, at least one of CPU and time so that they can divide.
double costOf(const RunFacts &run)
{
    const double cores = static_cast<double>(std::max<std::int64_t>(1, run.demand.cpu)) / 1000.0;
    return cores * static_cast<double>(std::max<std::int64_t>(1, run.expected.count()));
}

CopyProposal makeProposal(const RunFacts &run, CopyCause cause, std::chrono::milliseconds gain)
{
    return {run.task, run.pool, run.demand, cause, gain, 0};
}

}

std::chrono::milliseconds remainingTime(const RunFacts &run)
{
    if (run.percent < 0) {
        // Without a report, a run is expected to need as long again as it has run.
        return run.age;
    }
    const std::chrono::milliseconds reportedAt = run.age - run.reportAge;
    // A report of 3 % stands for any progress below 4 %.
    const int progress = std::max(0, run.percent - run.basePercent) + 1;
    const int left = std::max(0, FullPercent - run.percent - 1);
    return std::max(0ms, reportedAt * left / progress - run.reportAge);
}

std::optional<CopyProposal> proposeCopy(const RunFacts &run)
{
    if (run.copiesPlaced >= MaxCopiesPerTask || run.attemptsLeft < MinAttemptsForCopy) {
        return std::nullopt;
    }
    if (run.silence) {
        const bool isDue = *run.silence >= SilentWorkerPeriod && run.leaseLeft > CopyOverhead;
        return isDue ? std::optional(makeProposal(run, CopyCause::WorkerSilent, run.leaseLeft)) : std::nullopt;
    }
    if (run.percent >= 0 && run.unchangedFor >= StalledRunTimeout) {
        return makeProposal(run, CopyCause::NoProgress, run.unchangedFor);
    }
    // Before that age, the run may still end in the expected time, and its progress says little. Nothing is expected of a task without
    // estimate in a queue without history.
    if (run.expected == 0ms || run.age < run.expected) {
        return std::nullopt;
    }
    const std::chrono::milliseconds left = remainingTime(run);
    if (left <= run.expected * SlowFactor + CopyOverhead) {
        return std::nullopt;
    }
    return makeProposal(run, CopyCause::Slow, left - run.expected);
}

std::vector<CopyProposal> proposeCopies(const std::vector<RunFacts> &runs)
{
    using Rank = std::tuple<CopyCause, double, TaskName>;
    std::vector<std::pair<Rank, CopyProposal>> ranked;
    for (std::size_t index = 0; index < runs.size(); ++index) {
        const RunFacts &run = runs[index];
        if (std::optional<CopyProposal> proposal = proposeCopy(run)) {
            proposal->run = index;
            const Rank rank{proposal->cause, -static_cast<double>(proposal->gain.count()) / costOf(run), run.task};
            ranked.emplace_back(rank, std::move(*proposal));
        }
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto &left, const auto &right) {
        return left.first < right.first;
    });
    std::vector<CopyProposal> proposals;
    proposals.reserve(ranked.size());
    for (auto &[rank, proposal] : ranked) {
        proposals.push_back(std::move(proposal));
    }
    return proposals;
}

bool CopyBudget::allows(const Resources &demand) const
{
    return !anyTaskWaits && (copiesCpu + demand.cpu) * BudgetDivisor <= runningCpu;
}

bool isRestartDue(const RunFacts &run, bool allowsCopies)
{
    // A task that may have a copy keeps its run for as long again, since the copy may end first.
    const std::chrono::milliseconds timeout = allowsCopies ? 2 * StalledRunTimeout : StalledRunTimeout;
    return run.percent >= 0 && run.unchangedFor >= timeout && run.restarts < MaxRestartsPerTask;
}

}
