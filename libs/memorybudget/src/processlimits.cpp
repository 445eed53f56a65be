#include "memorybudget/processlimits.h"

#include <algorithm>

#include <sys/resource.h>
#include <unistd.h>

namespace Cornelquay {

namespace {

constexpr std::size_t BudgetDivisor = 5;
constexpr std::size_t SocketBuffersDivisor = 8;
constexpr std::size_t JobsPercent = 35;
constexpr std::size_t MaxMemoryForJobsBytes = 192 << 20;
// Memory of an idle connection, see HttpServer.
constexpr std::size_t ConnectionBytes = 10240;
// The system's minimum is half of this; its default is larger than the maximum.
constexpr std::size_t MinSocketBufferBytes = 4096;
constexpr std::size_t MaxSocketBufferBytes = 65536;

}

ProcessResources detectProcessResources()
{
    ProcessResources resources;
    resources.memoryBytes = static_cast<std::size_t>(sysconf(_SC_PHYS_PAGES)) * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    resources.descriptors = limit.rlim_cur;
    return resources;
}

CallerResources callerResources(const ProcessResources &resources)
{
    CallerResources limits;
    limits.budgetBytes = resources.memoryBytes / BudgetDivisor;
    limits.jobBytes = std::min(resources.memoryBytes, MaxMemoryForJobsBytes) / 100 * JobsPercent;
    limits.maxConnections = std::max<std::size_t>(1, std::min(resources.descriptors / 2, limits.budgetBytes / 2 / ConnectionBytes));
    limits.socketBufferBytes = std::clamp(resources.memoryBytes / SocketBuffersDivisor / limits.maxConnections, MinSocketBufferBytes, MaxSocketBufferBytes);
    return limits;
}

}
