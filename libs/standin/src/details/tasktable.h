#pragma once

#include "standin/runledger.h"
#include "upstream/taskprotocol.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace Cornelquay::Details {

/** A task as a worker knows it. */
struct TaskRecord {
    TaskState state = TaskState::NotStarted;
    std::string requestId;
    std::string team;
    std::string answer;
    WallTime leaseUntil;
};

/** Why a task was not taken. */
enum class TaskRefusal {
    None,
    NoSlot,
    Leaving,
    LeaseExpired,
    Fenced,
};

/** A request to run a task. */
struct TaskStart {
    std::string id;
    std::string requestId;
    std::string team;
    std::string payload;
    WallTime leaseUntil;
    bool fails = false;
};

/**
 * The tasks of one worker: runs each id at most once, within its lease. Thread-safe; run() takes
 * the task's run time in the calling thread.
 */
class TaskTable
{
public:
    TaskTable(int slots, RunLedger &ledger);

    /** Runs the task to its end, unless it is known, fenced or refused. */
    TaskRefusal run(const TaskStart &start);
    /** Ends a task: fences it if it never started, stops it if it runs. */
    TaskRecord end(const std::string &id);
    /** Waits until the task is no longer running or @p until; renews its lease first. */
    TaskRecord await(const std::string &id, SteadyTime until, std::optional<WallTime> leaseUntil);

    void setDraining(bool draining);
    void setLeavingSince(std::optional<SteadyTime> since);
    /** Stops and forgets everything. */
    void clear();

    TaskRecord find(const std::string &id) const;
    /** Any finished task other than @p id; for crossed answers. */
    std::optional<std::pair<std::string, TaskRecord>> anyOther(const std::string &id) const;
    int running() const;
    int slotsFree() const;

private:
    void work(const std::string &id, std::chrono::milliseconds runTime, std::unique_lock<std::mutex> &lock);

    const int m_slots;
    RunLedger &m_ledger;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::unordered_map<std::string, TaskRecord> m_tasks;
    int m_running = 0;
    bool m_draining = false;
    std::optional<SteadyTime> m_leavingSince;
};

/** The run time that a payload asks for. */
std::chrono::milliseconds runTimeOf(const std::string &payload);

}
