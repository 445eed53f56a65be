#include "details/tasktable.h"

#include "standin/workerstandin.h"

#include <algorithm>
#include <charconv>

namespace Cornelquay::Details {

std::chrono::milliseconds runTimeOf(const std::string &payload)
{
    constexpr std::string_view Prefix = "run-ms=";
    if (!payload.starts_with(Prefix)) {
        return std::chrono::milliseconds(0);
    }
    std::int64_t milliseconds = 0;
    std::from_chars(payload.data() + Prefix.size(), payload.data() + payload.size(), milliseconds);
    return std::chrono::milliseconds(milliseconds);
}

TaskTable::TaskTable(int slots, RunLedger &ledger)
    : m_slots(slots)
    , m_ledger(ledger)
{
}

TaskRefusal TaskTable::run(const TaskStart &start)
{
    std::unique_lock lock(m_mutex);
    const auto known = m_tasks.find(start.id);
    if (known != m_tasks.end()) {
        return known->second.state == TaskState::Fenced ? TaskRefusal::Fenced : TaskRefusal::None;
    }
    if (m_draining) {
        return TaskRefusal::Leaving;
    }
    if (start.leaseUntil <= wallNow()) {
        return TaskRefusal::LeaseExpired;
    }
    if (m_running >= m_slots) {
        return TaskRefusal::NoSlot;
    }
    if (m_leavingSince) {
        m_ledger.recordLateStart(std::chrono::duration_cast<std::chrono::milliseconds>(steadyNow() - *m_leavingSince));
    }
    m_tasks[start.id] = {TaskState::Running, start.requestId, start.team, {}, start.leaseUntil};
    m_running += 1;
    m_ledger.begin(start.requestId, start.team);
    const SteadyTime startedAt = steadyNow();
    waitForEnd(start.id, start.fails ? std::chrono::milliseconds(0) : runTimeOf(start.payload), lock);
    m_ledger.end(start.team, std::chrono::duration_cast<std::chrono::milliseconds>(steadyNow() - startedAt));
    m_running -= 1;
    const auto task = m_tasks.find(start.id);
    if (task != m_tasks.end() && task->second.state == TaskState::Running) {
        task->second.state = start.fails ? TaskState::Failed : TaskState::Finished;
        task->second.answer = start.fails ? "failed" : answerFor(start.requestId, start.payload);
    }
    m_changed.notify_all();
    return TaskRefusal::None;
}

// Waits for the run time of the task. Returns early if the task is stopped or removed, or if its lease expires.
void TaskTable::waitForEnd(const std::string &id, std::chrono::milliseconds runTime, std::unique_lock<std::mutex> &lock)
{
    const SteadyTime endAt = steadyNow() + runTime;
    while (true) {
        const auto task = m_tasks.find(id);
        if (task == m_tasks.end() || task->second.state != TaskState::Running || steadyNow() >= endAt) {
            return;
        }
        const WallTime wall = wallNow();
        if (task->second.leaseUntil <= wall) {
            task->second.state = TaskState::Stopped;
            return;
        }
        m_changed.wait_until(lock, std::min(endAt, steadyNow() + (task->second.leaseUntil - wall)));
    }
}

TaskRecord TaskTable::end(const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    TaskRecord &task = m_tasks[id];
    if (task.state == TaskState::NotStarted) {
        task.state = TaskState::Fenced;
    } else if (task.state == TaskState::Running) {
        task.state = TaskState::Stopped;
    }
    m_changed.notify_all();
    return task;
}

TaskRecord TaskTable::await(const std::string &id, SteadyTime until, std::optional<WallTime> leaseUntil)
{
    std::unique_lock lock(m_mutex);
    const auto task = m_tasks.find(id);
    if (task == m_tasks.end()) {
        return {};
    }
    if (leaseUntil) {
        task->second.leaseUntil = std::max(task->second.leaseUntil, *leaseUntil);
    }
    m_changed.wait_until(lock, until, [&] {
        const auto current = m_tasks.find(id);
        return current == m_tasks.end() || current->second.state != TaskState::Running;
    });
    const auto current = m_tasks.find(id);
    return current == m_tasks.end() ? TaskRecord{} : current->second;
}

void TaskTable::setDraining(bool draining)
{
    const std::lock_guard lock(m_mutex);
    m_draining = draining;
}

void TaskTable::setLeavingSince(std::optional<SteadyTime> since)
{
    const std::lock_guard lock(m_mutex);
    m_leavingSince = since;
}

void TaskTable::clear()
{
    const std::lock_guard lock(m_mutex);
    m_tasks.clear();
    m_changed.notify_all();
}

TaskRecord TaskTable::find(const std::string &id) const
{
    const std::lock_guard lock(m_mutex);
    const auto task = m_tasks.find(id);
    return task == m_tasks.end() ? TaskRecord{} : task->second;
}

std::optional<std::pair<std::string, TaskRecord>> TaskTable::findOtherFinished(const std::string &id) const
{
    const std::lock_guard lock(m_mutex);
    for (const auto &[otherId, task] : m_tasks) {
        if (otherId != id && task.state == TaskState::Finished) {
            return std::pair(otherId, task);
        }
    }
    return std::nullopt;
}

int TaskTable::running() const
{
    const std::lock_guard lock(m_mutex);
    return m_running;
}

int TaskTable::slotsFree() const
{
    const std::lock_guard lock(m_mutex);
    return m_slots - m_running;
}

}
