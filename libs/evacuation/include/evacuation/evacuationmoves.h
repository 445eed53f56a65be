#pragma once

#include "jobs/job.h"
#include "timing/instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace Cornelquay {

/** Capacity of a worker that is kept free for a task on its way from an evacuated zone. */
struct MoveReservation {
    TaskName task;
    WorkerId target;
    Resources demand;
    /** The capacity is open to all again from then on. */
    BootTime expiresAt{};
};

/**
 * The long-running tasks that are on their way from an evacuated zone to others: one task of a step at a time, each with
 * capacity reserved on another worker from the stop of its run until it is placed again. Not thread-safe.
 */
class EvacuationMoves
{
public:
    // Commands.
    /** The run of @p task is being stopped, and @p demand of @p target is reserved for it. Requires mayBegin(). */
    void begin(const TaskName &task, const WorkerId &target, const Resources &demand, BootTime now);
    /** Ends the moves for which @p isMoving is false: the task has a new run, or needs none. */
    template<typename Predicate>
    void retain(Predicate isMoving)
    {
        std::erase_if(m_moves, [&](const auto &item) {
            return !isMoving(item.second.task);
        });
    }

    // Queries.
    /** Whether no other task of the step of @p task is on its way. */
    bool mayBegin(const TaskName &task) const;
    bool isEmpty() const;
    /** The reservation on @p worker; nullptr if there is none. Valid until the next command. */
    const MoveReservation *reservationOn(const WorkerId &worker, BootTime now) const;
    /** Number of moves that were begun. */
    std::uint64_t begunCount() const;

private:
    using StepName = std::tuple<JobId, std::uint32_t, std::uint32_t>;
    static StepName stepOf(const TaskName &task);

    std::map<StepName, MoveReservation> m_moves;
    std::uint64_t m_begunCount = 0;
};

}
