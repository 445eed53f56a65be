#include "details/retrybudget.h"

#include <algorithm>

namespace Cornelquay::Details {

namespace {

constexpr double MaxReservedRetries = 10.0;

}

RetryBudget::RetryBudget(double fraction)
    : m_fraction(fraction)
{
}

void RetryBudget::addRequest(const std::string &service)
{
    const std::lock_guard lock(m_mutex);
    double &retries = m_availableRetries.try_emplace(service, MaxReservedRetries).first->second;
    retries = std::min(MaxReservedRetries, retries + m_fraction);
}

bool RetryBudget::tryTake(const std::string &service)
{
    const std::lock_guard lock(m_mutex);
    double &retries = m_availableRetries.try_emplace(service, MaxReservedRetries).first->second;
    if (retries < 1.0) {
        return false;
    }
    retries -= 1.0;
    return true;
}

}
