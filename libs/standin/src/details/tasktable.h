#pragma once

#include "standin/runledger.h"
#include "upstream/taskprotocol.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace Cornelquay::Details {

/** The state of a task at a worker. */
struct TaskRecord {
    TaskState state = TaskState::NotStarted;
    std::string requestId;
    std::string team;
    std::string answer;
    WallTime leaseUntil;
};

/** Why a worker refused to run a task; None if it did not. */
enum class TaskRefusal {
    None,
    NoSlot,
    /** The worker is draining. */
    Leaving,
    LeaseExpired,
    /** The task was ended before it started. */
    Fenced,
};

/** A request to run a task. */
struct TaskStart {
    std::string id;
    std::string requestId;
    std::string team;
    std::string payload;
    WallTime leaseUntil;
    /** The task fails at its start. */
    bool fails = false;
};

/**
 * The tasks of one worker. Runs each task id at most once, and only during its lease. Thread-safe.
 * run() blocks the calling thread for the run time of the task.
 */
class TaskTable
{
public:
    TaskTable(int slots, RunLedger &ledger);

    /** Runs the task to its end, unless it is refused, or its id is already known (not a refusal unless fenced). */
    TaskRefusal run(const TaskStart &start);
    /** Stops the task if it runs; fences it if it never started, so that it cannot start later. */
    TaskRecord end(const std::string &id);
    /**
     * Extends the task's lease to @p leaseUntil if that is later, and then waits until the task is no
     * longer running, or until @p until. Returns at once if the task is unknown.
     */
    TaskRecord await(const std::string &id, SteadyTime until, std::optional<WallTime> leaseUntil);

    void setDraining(bool draining);
    void setLeavingSince(std::optional<SteadyTime> since);
    /** Stops and removes all tasks. */
    void clear();

    /** The task's state; a default TaskRecord (not started) if it is unknown. */
    TaskRecord find(const std::string &id) const;
    /** The id and state of any finished task other than @p id, for the fault of a crossed answer. */
    std::optional<std::pair<std::string, TaskRecord>> findOtherFinished(const std::string &id) const;
    int running() const;
    int slotsFree() const;

private:
    void waitForEnd(const std::string &id, std::chrono::milliseconds runTime, std::unique_lock<std::mutex> &lock);

    const int m_slots;
    RunLedger &m_ledger;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::unordered_map<std::string, TaskRecord> m_tasks;
    int m_running = 0;
    bool m_draining = false;
    std::optional<SteadyTime> m_leavingSince;
};

/** The run time set by a payload that begins with "run-ms=N"; 0 for any other payload. */
std::chrono::milliseconds runTimeOf(const std::string &payload);

}
