#pragma once

#include "replica/replica.h"
#include "timing/instant.h"

#include <atomic>
#include <string_view>

namespace Cornelquay::Details {

/** A node whose view is older than this accepts no work, unless its view is in the state LogDown. */
constexpr std::chrono::milliseconds MaxViewAge{4000};

/** The state of this node's view of the fleet. */
enum class ViewState {
    /** Confirmed against the log by this or another node within MaxViewAge. */
    Fresh,
    /** The log is unavailable: a majority of the nodes, including this one, is reachable and none of them reads it. */
    LogDown,
    /** The log may contain newer records that this node has not seen. */
    Stale,
    /** The replica has no usable fleet state, or the view was never confirmed. */
    None,
};

/** An action that depends on the state of the view; docs/DESIGN.md has the table. */
enum class ViewAction {
    /** Accept work for a key that is valid in the view. */
    AcceptWork,
    /** Change instances, for instance begin a planned outage that a record granted. */
    ChangeInstances,
};

/** Whether @p action is allowed with a view in @p state. */
bool isAllowed(ViewAction action, ViewState state);

std::string_view toName(ViewState state);

/** What a node knows about its peers and their access to the log. */
struct PeerView {
    /** Present members other than this node. */
    int members = 0;
    /** Members that are reachable, see ReachableTimeout. */
    int reachable = 0;
    /** Reachable members that themselves read the log within MaxViewAge. */
    int readingLog = 0;
};

/**
 * Determines the state of a node's view. @p confirmedAt is when the view was last known to include
 * everything in the log; the default value means never. Pure.
 */
ViewState judgeView(ReplicaCondition condition, SteadyTime confirmedAt, const PeerView &peers, SteadyTime now);

}
