#include "demand/arrivedload.h"

#include "details/resourcearithmetic.h"

#include <algorithm>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// Shorter jobs are treated as this long, because their load would otherwise be high for a moment only. About a dozen jobs of a
// surge arrive in this time.
constexpr std::chrono::milliseconds MinJobLength = 700ms;

}

void ArrivedLoad::add(const JobArrival &arrival, BootTime now)
{
    const std::chrono::milliseconds jobLength = std::max(MinJobLength, arrival.chainLength);
    m_jobs.push_back({now + jobLength, divided(arrival.work, jobLength.count())});
    while (m_jobs.front().until < now) {
        m_jobs.pop_front();
    }
}

Resources ArrivedLoad::at(BootTime now) const
{
    Resources sum;
    for (const ExpectedJob &job : m_jobs) {
        sum += job.until >= now ? job.load : Resources{};
    }
    return sum;
}

}
