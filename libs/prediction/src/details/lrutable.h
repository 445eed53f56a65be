#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <utility>

namespace Cornelquay {

/** A map of limited size from 64-bit keys, which drops the least recently used entry when it is full. */
template<typename Value>
class LruTable
{
public:
    explicit LruTable(std::size_t maxSize)
        : m_maxSize(maxSize)
    {
    }

    /** The value of @p key, which is added if it is missing, and becomes the most recently used one. */
    Value &use(std::uint64_t key)
    {
        const auto found = m_index.find(key);
        if (found != m_index.end()) {
            m_entries.splice(m_entries.begin(), m_entries, found->second);
            return found->second->second;
        }
        if (m_entries.size() >= m_maxSize) {
            m_index.erase(m_entries.back().first);
            m_entries.pop_back();
        }
        m_entries.emplace_front(key, Value{});
        m_index[key] = m_entries.begin();
        return m_entries.front().second;
    }

    /** The value of @p key without counting as a use; nullptr if it is missing. */
    const Value *find(std::uint64_t key) const
    {
        const auto found = m_index.find(key);
        return found == m_index.end() ? nullptr : &found->second->second;
    }

    /** Keys and values, the most recently used first. */
    const std::list<std::pair<std::uint64_t, Value>> &entries() const
    {
        return m_entries;
    }

    std::size_t size() const
    {
        return m_entries.size();
    }

private:
    std::size_t m_maxSize;
    std::list<std::pair<std::uint64_t, Value>> m_entries;
    std::unordered_map<std::uint64_t, typename std::list<std::pair<std::uint64_t, Value>>::iterator> m_index;
};

}
