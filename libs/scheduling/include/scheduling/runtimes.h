#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace Cornelquay {

/**
 * Learns how long the tasks of each queue run from how long earlier ones ran.
 *
 * Answers the load pattern "submitters' estimates are far off". Some queues' estimates say much and
 * others' next to nothing, and many are too low on the whole, so for each queue the run times are
 * regressed on the estimates, both as logarithms: an estimate counts as much as it was worth so far,
 * and the queue's usual run time for the rest. Until enough has run, estimates are believed. Pure.
 *
 * @code
 * RunTimes times;
 * times.note("quotes", 400ms, 950ms);
 * const auto expected = times.expected("quotes", 700ms);
 * @endcode
 */
class RunTimes
{
public:
    /** A task that was estimated at @p estimate ran for @p actual from its beginning to its end. */
    void record(const std::string &queue, std::chrono::milliseconds estimate, std::chrono::milliseconds actual);

    /** How long a task of the queue with this estimate will run. */
    std::chrono::milliseconds expected(const std::string &queue, std::chrono::milliseconds estimate) const;

private:
    /** Sums over the tasks of a queue: of the estimate's logarithm, and of what the run time's is above it. */
    struct Sums {
        double count = 0;
        double estimate = 0;
        double estimateSquared = 0;
        double excess = 0;
        double excessByEstimate = 0;
    };

    std::map<std::string, Sums> m_queues;
};

}
