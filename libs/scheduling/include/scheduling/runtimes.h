#pragma once

#include "prediction/runtimeregression.h"

#include <chrono>
#include <map>
#include <string>

namespace Cornelquay {

/**
 * Predicts task run times for each queue from the run times of earlier tasks.
 *
 * Submitters' estimates are accurate in some queues, nearly worthless in others, and often too low. For
 * each queue, a linear regression of the logarithm of the run time on the logarithm of the estimate
 * weights estimates by their past accuracy and otherwise falls back to the queue's mean run time. With
 * little history, the prediction is close to the estimate. Performs no I/O and reads no clock.
 * Not thread-safe.
 *
 * @code
 * RunTimes times;
 * times.record("quotes", 400ms, 950ms);
 * const auto expected = times.expected("quotes", 700ms);
 * @endcode
 */
class RunTimes
{
public:
    /** Records that a task with the submitter's @p estimate ran for @p actual from start to end. */
    void record(const std::string &queue, std::chrono::milliseconds estimate, std::chrono::milliseconds actual);

    /** Predicted run time of a task of @p queue with the submitter's @p estimate, 10 ms to 24 h; @p estimate itself for a queue without history. */
    std::chrono::milliseconds expected(const std::string &queue, std::chrono::milliseconds estimate) const;

    /** Whether a task of @p queue was recorded. */
    bool hasHistory(const std::string &queue) const;

private:
    std::map<std::string, RunTimeRegression> m_queues;
};

}
