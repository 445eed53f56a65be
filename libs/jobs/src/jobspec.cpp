#include "jobs/jobspec.h"

#include <algorithm>

namespace Cornelquay {

namespace {

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
