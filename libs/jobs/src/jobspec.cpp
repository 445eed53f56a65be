#include "jobs/jobspec.h"

#include <algorithm>

namespace Cornelquay {

namespace {

// The record of a job and what its owner keeps beside it, without its steps and tasks.
constexpr std::size_t JobBytes = 1024;
// The record of a task with its worker and progress, the copy of it that is being stored, and its run on a worker.
constexpr std::size_t TaskBytes = 160;

std::string findStepFault(const StepSpec &step, std::size_t number)
{
    const std::string location = "step " + std::to_string(number) + ": ";
    if (step.count == 0) {
        return location + "count must be at least 1";
    }
    if (step.demand.cpu < 0 || step.demand.memory < 0 || step.demand.gpu < 0) {
        return location + "resources must not be negative";
    }
    const bool dependsOnEarlierStepsOnly = std::all_of(step.after.begin(), step.after.end(), [number](std::uint32_t earlier) {
        return earlier < number;
    });
    return dependsOnEarlierStepsOnly ? std::string() : location + "it can only come after earlier steps";
}

}

Resources &Resources::operator+=(const Resources &other)
{
    cpu += other.cpu;
    memory += other.memory;
    gpu += other.gpu;
    return *this;
}

Resources &Resources::operator-=(const Resources &other)
{
    cpu -= other.cpu;
    memory -= other.memory;
    gpu -= other.gpu;
    return *this;
}

bool Resources::fitsInto(const Resources &available) const
{
    return cpu <= available.cpu && memory <= available.memory && gpu <= available.gpu;
}

Resources operator+(Resources left, const Resources &right)
{
    return left += right;
}

Resources operator-(Resources left, const Resources &right)
{
    return left -= right;
}

Resources operator*(Resources left, std::int64_t factor)
{
    return {left.cpu * factor, left.memory * factor, left.gpu * factor};
}

std::size_t memoryOf(const JobSpec &spec)
{
    std::size_t bytes = JobBytes + spec.payload.size();
    std::uint64_t tasks = 0;
    for (const StepSpec &step : spec.steps) {
        bytes += sizeof(StepSpec) + step.requiredLabel.size() + step.dataRack.size() + step.image.size() + step.after.size() * sizeof(std::uint32_t);
        tasks += step.count;
    }
    const std::uint64_t occurrences = std::max<std::uint32_t>(1, spec.recurrence.count);
    return bytes + TaskBytes * std::max(tasks, std::min<std::uint64_t>(tasks * occurrences, JobLimits::MaxOpenTasks));
}

std::string findSpecError(const JobSpec &spec)
{
    if (spec.payload.size() > JobLimits::MaxPayloadBytes) {
        return "the specification is longer than " + std::to_string(JobLimits::MaxPayloadBytes) + " bytes";
    }
    if (spec.steps.empty() || spec.steps.size() > JobLimits::MaxSteps) {
        return "a job has 1 to " + std::to_string(JobLimits::MaxSteps) + " steps";
    }
    std::uint64_t tasks = 0;
    for (std::size_t number = 0; number < spec.steps.size(); ++number) {
        if (std::string fault = findStepFault(spec.steps[number], number); !fault.empty()) {
            return fault;
        }
        tasks += spec.steps[number].count;
    }
    if (tasks > JobLimits::MaxTasks) {
        return "a job has at most " + std::to_string(JobLimits::MaxTasks) + " tasks";
    }
    if (spec.recurrence.count > 1 && spec.recurrence.intervalMs <= 0) {
        return "a recurring job needs an interval";
    }
    return {};
}

std::vector<std::int64_t> criticalPathsMs(const JobSpec &spec, const std::vector<std::int64_t> &runMs)
{
    std::vector<std::int64_t> chains(spec.steps.size(), 0);
    for (std::size_t number = spec.steps.size(); number-- > 0;) {
        chains[number] += runMs[number];
        for (const std::uint32_t earlier : spec.steps[number].after) {
            chains[earlier] = std::max(chains[earlier], chains[number]);
        }
    }
    return chains;
}

}
