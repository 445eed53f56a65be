#include "details/retrybudget.h"

#include <algorithm>

namespace Cornelquay::Details {

namespace {

constexpr double ReserveMax = 10.0;

}

RetryBudget::RetryBudget(double fraction)
    : m_fraction(fraction)
{
}

void RetryBudget::noteRequest(const std::string &service)
{
    const std::lock_guard lock(m_mutex);
    double &retries = m_retries.try_emplace(service, ReserveMax).first->second;
    retries = std::min(ReserveMax, retries + m_fraction);
}

bool RetryBudget::take(const std::string &service)
{
    const std::lock_guard lock(m_mutex);
    double &retries = m_retries.try_emplace(service, ReserveMax).first->second;
    if (retries < 1.0) {
        return false;
    }
    retries -= 1.0;
    return true;
}

}
