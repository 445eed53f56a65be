#include "scheduling/runtimes.h"

#include <algorithm>
#include <cmath>

namespace Cornelquay {

void RunTimes::record(const std::string &queue, std::chrono::milliseconds estimate, std::chrono::milliseconds actual)
{
    m_queues[queue].record(RunTimeRegression::logarithmOf(estimate), RunTimeRegression::logarithmOf(actual));
}

std::chrono::milliseconds RunTimes::expected(const std::string &queue, std::chrono::milliseconds estimate) const
{
    const auto found = m_queues.find(queue);
    if (found == m_queues.end()) {
        return estimate;
    }
    const auto expected = static_cast<std::int64_t>(std::exp(found->second.expected(RunTimeRegression::logarithmOf(estimate))));
    return std::clamp(std::chrono::milliseconds(expected), RunTimeRegression::MinRunTime, RunTimeRegression::MaxRunTime);
}

bool RunTimes::hasHistory(const std::string &queue) const
{
    return m_queues.count(queue) != 0;
}

}
