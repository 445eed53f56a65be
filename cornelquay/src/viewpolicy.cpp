#include "details/viewpolicy.h"

#include <array>

namespace Cornelquay::Details {

bool isAllowed(ViewAction action, ViewState state)
{
    switch (state) {
    case ViewState::Fresh:
        return true;
    case ViewState::LogDown:
        // No key can be withdrawn while no node reaches the log, so valid keys stay valid.
        return action == ViewAction::AcceptWork;
    case ViewState::Stale:
    case ViewState::None:
        break;
    }
    return false;
}

std::string_view toName(ViewState state)
{
    constexpr std::array<std::string_view, 4> Names{"fresh", "log-down", "stale", "none"};
    return Names[static_cast<std::size_t>(state)];
}

ViewState judgeView(ReplicaCondition condition, SteadyTime confirmedAt, const PeerView &peers, SteadyTime now)
{
    if (condition != ReplicaCondition::Ready || confirmedAt == SteadyTime()) {
        return ViewState::None;
    }
    if (now - confirmedAt <= MaxViewAge) {
        return ViewState::Fresh;
    }
    const int totalNodes = peers.members + 1;
    const int reachableNodes = peers.reachable + 1;
    if (peers.readingLog == 0 && 2 * reachableNodes > totalNodes) {
        return ViewState::LogDown;
    }
    return ViewState::Stale;
}

}
