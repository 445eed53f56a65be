#include "platform/logservice.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <mutex>

namespace Cornelquay {

struct MemoryLog::Impl {
    std::size_t maxEntries;
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<LogEntry> entries;
    Offset head = 0;
    Offset end = 0;
    std::int64_t lastAppendedAtMs = 0;
    LogFaults faults;
};

MemoryLog::MemoryLog(std::size_t maxEntries)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->maxEntries = maxEntries;
}

MemoryLog::~MemoryLog() = default;

tl::expected<AppendResult, LogError> MemoryLog::append(const std::string &bytes, SteadyTime)
{
    const std::lock_guard lock(m_impl->mutex);
    if (m_impl->faults.down) {
        return tl::make_unexpected(LogError::NotDone);
    }
    m_impl->lastAppendedAtMs = std::max(m_impl->lastAppendedAtMs, toUnixMilliseconds(wallNow()));
    m_impl->entries.push_back({m_impl->end++, m_impl->lastAppendedAtMs, bytes});
    while (m_impl->entries.size() > m_impl->maxEntries) {
        m_impl->entries.pop_front();
        m_impl->head += 1;
    }
    m_impl->changed.notify_all();
    if (m_impl->faults.loseAppendAnswers) {
        return tl::make_unexpected(LogError::Unknown);
    }
    return AppendResult{m_impl->end - 1};
}

tl::expected<LogRead, LogError> MemoryLog::read(const LogQuery &query)
{
    std::unique_lock lock(m_impl->mutex);
    m_impl->changed.wait_until(lock, query.answerDeadline, [&] {
        return m_impl->faults.down || m_impl->end > query.from;
    });
    if (m_impl->faults.down) {
        return tl::make_unexpected(LogError::NotDone);
    }
    LogRead result{m_impl->head, m_impl->end, {}};
    const Offset first = std::max(query.from, m_impl->head);
    for (Offset offset = first; offset < m_impl->end && result.entries.size() < query.maxEntries; ++offset) {
        result.entries.push_back(m_impl->entries[offset - m_impl->head]);
    }
    return result;
}

void MemoryLog::setFaults(LogFaults faults)
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->faults = faults;
    m_impl->changed.notify_all();
}

void MemoryLog::expire(Offset head)
{
    const std::lock_guard lock(m_impl->mutex);
    while (!m_impl->entries.empty() && m_impl->head < head) {
        m_impl->entries.pop_front();
        m_impl->head += 1;
    }
}

void MemoryLog::close()
{
    setFaults({true, false});
}

}
