#include "memorybudget/memorybudget.h"

#include <utility>

namespace Cornelquay {

namespace {

constexpr std::array<std::string_view, MemoryUses> Names = {"connections", "requests", "forwarded-calls"};

}

std::string_view toName(MemoryUse use)
{
    return Names.at(static_cast<std::size_t>(use));
}

MemoryBudget::MemoryBudget(std::size_t limitBytes)
    : m_limitBytes(limitBytes)
{
}

std::size_t MemoryBudget::limit() const
{
    return m_limitBytes;
}

std::size_t MemoryBudget::used() const
{
    std::size_t sum = 0;
    for (const std::atomic<std::size_t> &bytes : m_used) {
        sum += bytes;
    }
    return sum;
}

std::size_t MemoryBudget::used(MemoryUse use) const
{
    return m_used.at(static_cast<std::size_t>(use));
}

bool MemoryBudget::isExceeded() const
{
    return used() > m_limitBytes;
}

bool MemoryBudget::admits(std::size_t bytes) const
{
    const std::size_t inProgress = used(MemoryUse::Requests) + used(MemoryUse::ForwardedCalls);
    return inProgress == 0 || inProgress + bytes <= m_limitBytes / 2;
}

MemoryCharge::MemoryCharge(std::shared_ptr<MemoryBudget> budget, MemoryUse use, std::size_t bytes)
    : m_budget(std::move(budget))
    , m_use(use)
{
    set(bytes);
}

MemoryCharge::~MemoryCharge()
{
    set(0);
}

void MemoryCharge::set(std::size_t bytes)
{
    if (!m_budget) {
        return;
    }
    std::atomic<std::size_t> &used = m_budget->m_used.at(static_cast<std::size_t>(m_use));
    used += bytes;
    used -= m_bytes;
    m_bytes = bytes;
}

std::size_t MemoryCharge::bytes() const
{
    return m_bytes;
}

}
