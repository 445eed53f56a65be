#pragma once

#include <cstddef>

namespace Cornelquay {

/** What a process may use of its machine. */
struct ProcessResources {
    std::size_t memoryBytes = 0;
    /** Open descriptors at a time. */
    std::size_t descriptors = 0;
};

/** The memory of the machine and the descriptors that the operating system allows the process. Limits of a container are not seen. */
ProcessResources detectProcessResources();

/** What callers and their jobs may occupy of the resources of a process. The rest is left for everything else that it does. */
struct CallerResources {
    /** Limit of the MemoryBudget: a fifth of the memory. */
    std::size_t budgetBytes = 0;
    /**
     * For the jobs that the owner has accepted and not forgotten: 35 % of the memory, but not more than a process with 192 MiB may use,
     * since the jobs of an owner move to any node that succeeds it.
     */
    std::size_t jobBytes = 0;
    /** Half of the descriptors; not more connections than take half of the budget. */
    std::size_t maxConnections = 0;
    /** Each of the two buffers of a connection in the kernel; the receive buffers together take an eighth of the memory at most. */
    std::size_t socketBufferBytes = 0;
};

/** Pure. */
CallerResources callerResources(const ProcessResources &resources);

}
