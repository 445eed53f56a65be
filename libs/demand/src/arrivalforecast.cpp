#include "demand/arrivalforecast.h"

#include "details/projection.h"
#include "details/resourcearithmetic.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iterator>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// About this many latest jobs of a queue determine its mean work. Jobs differ by a factor of ten, so fewer are noisy; at the
// mean rate of a queue, these arrive within a few seconds.
constexpr std::int64_t MeanJobCount = 60;
// Limits of valid content of a record: a thousand cores for three hours, and a day.
constexpr std::int64_t MaxValidWork = 1000LL * 1000 * 3 * 3600 * 1000;
constexpr std::int64_t MaxValidSlackMs = 24LL * 3600 * 1000;
// Numbers of latest arrivals from which rates are computed, ascending. Five detect a surge within a tenth of a second at 80 arrivals
// a second, but their rate varies by half by chance; forty vary by a sixth.
constexpr std::array<std::size_t, 4> RateWindows = {5, 10, 20, 40};
// This many arrivals within this time are no chance in a calm pool, which has about one arrival a second.
constexpr std::size_t FrequentArrivalCount = 20;
constexpr std::chrono::milliseconds MaxFrequentPeriod = 3s;
// These latest arrivals determine how frequent arrivals are.
constexpr std::size_t FrequencyArrivalCount = 10;
// A gap between arrivals that is this many times the mean one belongs to the time before, as chance gives one of 150.
constexpr int MaxGapRatio = 5;
constexpr std::chrono::milliseconds MinMaxGap = 50ms;

}

void QueueMeans::add(const JobArrival &arrival)
{
    m_count = std::min(m_count + 1, MeanJobCount);
    m_work += divided(arrival.work - m_work, m_count);
    m_slackMs += (arrival.slack.count() - m_slackMs) / m_count;
}

const Resources &QueueMeans::work() const
{
    return m_work;
}

std::chrono::milliseconds QueueMeans::slack() const
{
    return std::chrono::milliseconds(m_slackMs);
}

bool QueueMeans::isValid() const
{
    const auto isWork = [](std::int64_t amount) {
        return amount >= 0 && amount <= MaxValidWork;
    };
    const bool hasJobs = m_count > 0 && m_count <= MeanJobCount;
    return hasJobs && isWork(m_work.cpu) && isWork(m_work.memory) && isWork(m_work.gpu) && std::abs(m_slackMs) <= MaxValidSlackMs;
}

void ArrivalForecast::add(const std::string &queue, const JobArrival &arrival, BootTime now)
{
    m_arrived.add(arrival, now);
    QueueMeans &means = m_queues[queue];
    means.add(arrival);
    m_latest.push_back({now, &means});
    if (m_latest.size() > RateWindows.back()) {
        m_latest.pop_front();
    }
}

Resources ArrivalForecast::at(BootTime now) const
{
    Resources load = m_arrived.at(now);
    Resources work;
    std::size_t count = 0;
    for (auto arrival = m_latest.rbegin(); arrival != m_latest.rend(); ++arrival) {
        work += arrival->queue->work();
        ++count;
        if (std::find(RateWindows.begin(), RateWindows.end(), count) != RateWindows.end()) {
            load = largerOf(load, projectLoad(divided(work, static_cast<std::int64_t>(count)), count, arrival->at, now));
        }
    }
    return load;
}

const std::map<std::string, QueueMeans> &ArrivalForecast::queues() const
{
    return m_queues;
}

void ArrivalForecast::restoreQueue(const std::string &queue, const QueueMeans &means)
{
    m_queues.try_emplace(queue, means);
}

std::chrono::milliseconds ArrivalForecast::meanSlack() const
{
    std::chrono::milliseconds sum{0};
    for (const LatestArrival &arrival : m_latest) {
        sum += arrival.queue->slack();
    }
    return sum / std::max<std::int64_t>(1, static_cast<std::int64_t>(m_latest.size()));
}

std::optional<BootTime> ArrivalForecast::frequentSince(BootTime now) const
{
    if (m_latest.size() < FrequentArrivalCount || now - m_latest[m_latest.size() - FrequentArrivalCount].at > MaxFrequentPeriod) {
        return std::nullopt;
    }
    auto first = m_latest.end() - FrequencyArrivalCount;
    const std::chrono::milliseconds period = m_latest.back().at - first->at;
    const std::chrono::milliseconds maxGap = std::max<std::chrono::milliseconds>(MinMaxGap, period * MaxGapRatio / FrequencyArrivalCount);
    while (first != m_latest.begin() && first->at - std::prev(first)->at <= maxGap) {
        --first;
    }
    return first->at;
}

}
