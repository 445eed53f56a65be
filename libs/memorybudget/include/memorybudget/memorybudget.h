#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace Cornelquay {

/** What a process holds memory for on behalf of its callers. */
enum class MemoryUse : std::uint8_t {
    /** Connections, requests that are being received, pipelined bytes, and responses that are being sent. */
    Connections,
    /** Requests of this node's callers that are not answered yet. */
    Requests,
    /** Calls that other nodes forwarded and that are not answered yet. */
    ForwardedCalls,
};
constexpr std::size_t MemoryUses = 3;

std::string_view toName(MemoryUse use);

/**
 * Limits the memory that a process holds for all its callers together, whatever the number of their connections.
 *
 * Holders of memory charge it through MemoryCharge. The budget itself refuses nothing: whoever charges it asks whether the limit is
 * exceeded and then gives memory back or turns work away. Thread-safe.
 *
 * @code
 * auto budget = std::make_shared<MemoryBudget>(64 << 20);
 * MemoryCharge charge(budget, MemoryUse::Requests, request.body.size());
 * if (budget->isExceeded()) { ... }
 * @endcode
 */
class MemoryBudget
{
public:
    /** @p limitBytes is at least 1. */
    explicit MemoryBudget(std::size_t limitBytes);

    std::size_t limit() const;
    std::size_t used() const;
    std::size_t used(MemoryUse use) const;
    bool isExceeded() const;
    /**
     * Whether work that holds @p bytes until it is answered may begin. Such work may use half of the budget, so that the other half is
     * left for receiving requests. One request is admitted whatever its size.
     */
    bool admits(std::size_t bytes) const;

private:
    friend class MemoryCharge;

    const std::size_t m_limitBytes;
    std::array<std::atomic<std::size_t>, MemoryUses> m_used{};
};

/** Memory that one holder has charged to a budget; given back on destruction. Not thread-safe, but may be destroyed on any thread. */
class MemoryCharge
{
public:
    /** A charge without a budget, or with a null one, has no effect. */
    MemoryCharge() = default;
    MemoryCharge(std::shared_ptr<MemoryBudget> budget, MemoryUse use, std::size_t bytes);
    ~MemoryCharge();
    MemoryCharge(const MemoryCharge &) = delete;
    MemoryCharge &operator=(const MemoryCharge &) = delete;

    /** Replaces the number of bytes that are charged. */
    void set(std::size_t bytes);
    std::size_t bytes() const;

private:
    std::shared_ptr<MemoryBudget> m_budget;
    MemoryUse m_use = MemoryUse::Connections;
    std::size_t m_bytes = 0;
};

}
