#pragma once

#include "timing/instant.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace Cornelquay {

/**
 * Spreads the times at which the refused callers of a pool come back.
 *
 * Nobody is called back before those that were refused earlier, and two callers are apart by the time that the pool needs for the
 * job of the first one. The times are whole seconds after the refusal, because callers are told whole seconds, and rounding would change
 * the order. Not thread-safe.
 */
class ReturnSchedule
{
public:
    /**
     * Longest time that a caller is told to wait. With 10 s, 38 of 90 refused callers of a surge to five times a queue's mean came
     * back at the rate of the surge.
     */
    static constexpr std::chrono::seconds MaxWait{30};

    /** The time after which a caller that is refused at @p now comes back, not before @p earliest after @p now if that is within MaxWait. */
    std::chrono::seconds assign(BootTime now, std::chrono::milliseconds earliest, std::chrono::milliseconds ownTime);

private:
    /** Nobody else comes back before this. */
    BootTime m_nextReturn{};
};

/**
 * When refused jobs were first submitted, by their ids. Each time is kept for KeepTime, and for at most MaxIds ids; the oldest
 * ones are dropped first. Not thread-safe.
 */
class FirstTries
{
public:
    static constexpr std::chrono::seconds KeepTime{10};
    static constexpr std::size_t MaxIds = 20000;

    /** The job was refused at @p now. Has no effect if an earlier try is kept. */
    void record(const std::string &job, BootTime now);
    /** When the job was first submitted; std::nullopt if it is not known. */
    std::optional<BootTime> find(const std::string &job, BootTime now) const;
    /** The job was accepted, so its first try is part of it. */
    void forget(const std::string &job);
    std::size_t size() const;

private:
    void dropOldest();

    std::unordered_map<std::string, BootTime> m_tries;
    /** In the order of the times; may have ids that are forgotten or recorded again later. */
    std::deque<std::pair<BootTime, std::string>> m_byTime;
};

}
