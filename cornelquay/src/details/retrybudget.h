#pragma once

#include <map>
#include <mutex>
#include <string>

namespace Cornelquay::Details {

/**
 * Limits the retries of each service to a fraction of its requests, so that retries do not amplify an
 * overload. Each service starts with a reserve of 10 retries; each request adds the fraction to the
 * reserve, up to 10, and each retry takes 1 from it. Thread-safe.
 */
class RetryBudget
{
public:
    /** @p fraction is the number of retries that each request adds. */
    explicit RetryBudget(double fraction);

    /** Counts a request of @p service. */
    void addRequest(const std::string &service);
    /** Takes one retry of @p service; returns whether one was available. */
    bool tryTake(const std::string &service);

private:
    const double m_fraction;
    std::mutex m_mutex;
    std::map<std::string, double> m_availableRetries;
};

}
