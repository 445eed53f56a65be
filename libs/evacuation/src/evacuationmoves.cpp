#include "evacuation/evacuationmoves.h"

#include <algorithm>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// Longer than a worker takes to stop a run (0.9 s) with one repeat of the order and the next placement pass.
constexpr auto ReservationPeriod = 3s;

}

EvacuationMoves::StepName EvacuationMoves::stepOf(const TaskName &task)
{
    return {task.job, task.ref.occurrence, task.ref.step};
}

void EvacuationMoves::begin(const TaskName &task, const WorkerId &target, const Resources &demand, BootTime now)
{
    m_moves.insert_or_assign(stepOf(task), MoveReservation{task, target, demand, now + ReservationPeriod});
    ++m_begunCount;
}

bool EvacuationMoves::mayBegin(const TaskName &task) const
{
    return m_moves.count(stepOf(task)) == 0;
}

bool EvacuationMoves::isEmpty() const
{
    return m_moves.empty();
}

const MoveReservation *EvacuationMoves::reservationOn(const WorkerId &worker, BootTime now) const
{
    const auto found = std::find_if(m_moves.begin(), m_moves.end(), [&](const auto &item) {
        return item.second.target == worker && now < item.second.expiresAt;
    });
    return found == m_moves.end() ? nullptr : &found->second;
}

std::uint64_t EvacuationMoves::begunCount() const
{
    return m_begunCount;
}

}
