#pragma once

#include "demand/arrivedload.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace Cornelquay {

/**
 * Means over the jobs of one queue. All jobs count alike at first; the weight of the latest one settles, so that
 * a change of the queue is followed. Not thread-safe.
 */
class QueueMeans
{
public:
    void add(const JobArrival &arrival);
    /** In resources times milliseconds; zero before the first job. */
    const Resources &work() const;
    /** See JobArrival::slack; 0 before the first job. */
    std::chrono::milliseconds slack() const;
    /** Whether the content can have come from add(); for content that was read from a record. */
    bool isValid() const;

    auto fields()
    {
        return std::tie(m_work, m_slackMs, m_count);
    }

private:
    Resources m_work;
    std::int64_t m_slackMs = 0;
    /** Number of jobs, up to the number at which the weight settles. */
    std::int64_t m_count = 0;
};

/**
 * Estimates the resources that the jobs arriving for one pool keep busy, like OfferedLoad but less noisily: each
 * arrival counts with the mean work of its queue, and the rate is the highest of those over several numbers of latest
 * arrivals. The few shortest ones detect a surge early, and the long ones do not fall with every pause
 * between two arrivals. The cost of a call does not depend on the number of arrivals, apart from those of jobs that
 * are still expected to run. Performs no I/O and reads no clock. Not thread-safe.
 */
class ArrivalForecast
{
public:
    ArrivalForecast() = default;
    ArrivalForecast(ArrivalForecast &&) = default;
    ArrivalForecast &operator=(ArrivalForecast &&) = default;
    // A copy would point into the queues of the original.
    ArrivalForecast(const ArrivalForecast &) = delete;
    ArrivalForecast &operator=(const ArrivalForecast &) = delete;
    ~ArrivalForecast() = default;

    /** Records the arrival of a job of @p queue. */
    void add(const std::string &queue, const JobArrival &arrival, BootTime now);

    /** For each resource, the larger of the load of the jobs that have arrived and the load if jobs keep arriving at the highest rate. */
    Resources at(BootTime now) const;
    /** For how long the latest jobs may wait on average without missing their objectives; 0 before the first arrival. */
    std::chrono::milliseconds meanSlack() const;

    /**
     * When the latest arrivals began to be as frequent as they are, if there are enough to tell that from chance; std::nullopt
     * otherwise. At least the latest ten arrivals are so.
     */
    std::optional<BootTime> frequentSince(BootTime now) const;
    /** By name. */
    const std::map<std::string, QueueMeans> &queues() const;
    /** Takes over the means of a queue that has had no arrival yet. */
    void restoreQueue(const std::string &queue, const QueueMeans &means);

private:
    struct LatestArrival {
        BootTime at{};
        /** Of the job's queue; points into m_queues. */
        const QueueMeans *queue = nullptr;
    };

    ArrivedLoad m_arrived;
    std::map<std::string, QueueMeans> m_queues;
    /** The latest arrivals, oldest first; at most those of the longest window. */
    std::deque<LatestArrival> m_latest;
};

}
