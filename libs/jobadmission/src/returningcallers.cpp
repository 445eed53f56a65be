#include "jobadmission/returningcallers.h"

#include <algorithm>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// Keeps apart the callers whose jobs take no noticeable time of a pool.
constexpr std::chrono::milliseconds MinSpacing = 1ms;

}

std::chrono::seconds ReturnSchedule::assign(BootTime now, std::chrono::milliseconds earliest, std::chrono::milliseconds ownTime)
{
    const BootTime target = std::max(now + earliest, m_nextReturn);
    const std::chrono::seconds wait = std::clamp<std::chrono::seconds>(std::chrono::ceil<std::chrono::seconds>(target - now), 1s, MaxWait);
    m_nextReturn = std::max(m_nextReturn, now + wait + std::max(MinSpacing, ownTime));
    return wait;
}

void FirstTries::record(const std::string &job, BootTime now)
{
    while (!m_byTime.empty() && now - m_byTime.front().first >= KeepTime) {
        dropOldest();
    }
    if (!m_tries.try_emplace(job, now).second) {
        return;
    }
    if (m_byTime.size() >= MaxIds) {
        dropOldest();
    }
    m_byTime.emplace_back(now, job);
}

std::optional<BootTime> FirstTries::find(const std::string &job, BootTime now) const
{
    const auto found = m_tries.find(job);
    return found == m_tries.end() || now - found->second >= KeepTime ? std::nullopt : std::optional(found->second);
}

void FirstTries::forget(const std::string &job)
{
    m_tries.erase(job);
}

std::size_t FirstTries::size() const
{
    return m_tries.size();
}

void FirstTries::dropOldest()
{
    const auto found = m_tries.find(m_byTime.front().second);
    if (found != m_tries.end() && found->second == m_byTime.front().first) {
        m_tries.erase(found);
    }
    m_byTime.pop_front();
}

}
