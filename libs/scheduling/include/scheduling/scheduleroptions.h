#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string_view>

namespace Cornelquay {

/** What predicts the run times of tasks. */
enum class PredictionMethod : std::uint8_t {
    /** A regression of the run time on the submitter's estimate, for each queue. */
    Queue,
    /** Finished runs by step, image, client account and queue. */
    Learned,
};
constexpr std::array<std::string_view, 2> PredictionMethodNames = {"queue", "learned"};

/** What decides between client accounts while a pool is full. */
enum class AccountOrder : std::uint8_t {
    /** Jobs beyond the agreed submission rate of their account come last. */
    Rate,
    /** Accounts below their weighted share of what runs come first. */
    Weighted,
};
constexpr std::array<std::string_view, 2> AccountOrderNames = {"rate", "weighted"};

/** Which new jobs are accepted. */
enum class AdmissionMethod : std::uint8_t {
    All,
    /** Jobs that cannot be completed while that is of value to the caller are refused. */
    Predicted,
};
constexpr std::array<std::string_view, 2> AdmissionMethodNames = {"all", "predicted"};

/** What is done about runs that are slow or whose worker is silent. */
enum class SlowRunMethod : std::uint8_t {
    /** A run without progress is stopped and started elsewhere. */
    Restart,
    /** As above, but three times a task at most; tasks of speculative steps get a second run instead. */
    Copies,
};
constexpr std::array<std::string_view, 2> SlowRunMethodNames = {"restart", "copies"};

/** From what the number of instances of a pool follows. */
enum class CapacityMethod : std::uint8_t {
    /** The latest few arrivals and the backlog of jobs that are not late. */
    Observed,
    /** The arrivals, the history of the queues, and the backlog of all jobs that can still be of value. */
    Forecast,
};
constexpr std::array<std::string_view, 2> CapacityMethodNames = {"observed", "forecast"};

/** Optional behaviour of the scheduler. The defaults are the behaviour without any option. */
struct SchedulerOptions {
    PredictionMethod prediction = PredictionMethod::Queue;
    AccountOrder accountOrder = AccountOrder::Rate;
    AdmissionMethod admission = AdmissionMethod::All;
    SlowRunMethod slowRuns = SlowRunMethod::Restart;
    CapacityMethod capacity = CapacityMethod::Observed;
    /**
     * Maximum size of the encoded record of a job, in bytes. A record that exceeds it loses the saved progress of the job's tasks; a
     * job whose record still exceeds it fails.
     */
    std::size_t maxJobBytes = 1572864;
    /** Maximum memory of all jobs together, closed ones included until they are forgotten, in bytes; see Scheduler::decideMemory(). */
    std::size_t maxHeldBytes = std::numeric_limits<std::size_t>::max();
};

}
