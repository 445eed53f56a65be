#pragma once

#include <map>
#include <mutex>
#include <string>

namespace Cornelquay::Details {

/**
 * Limits retries of each service to a fraction of its requests, so that retries never multiply an
 * overload. Each request adds a fraction of a retry, up to a small reserve. Thread-safe.
 */
class RetryBudget
{
public:
    explicit RetryBudget(double fraction);

    /** Counts a request of @p service. */
    void addRequest(const std::string &service);
    /** Takes one retry; whether there was one. */
    bool tryTake(const std::string &service);

private:
    const double m_fraction;
    std::mutex m_mutex;
    std::map<std::string, double> m_availableRetries;
};

}
