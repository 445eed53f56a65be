#pragma once

#include "replica/replica.h"
#include "timing/instant.h"

#include <atomic>
#include <string_view>

namespace Cornelquay::Details {

/** A node whose view is older than this accepts no work unless the log is down for everyone. */
constexpr std::chrono::milliseconds MaxViewAge{4000};

/** How this node's view of the fleet stands. */
enum class ViewState {
    /** Confirmed against the log, by this node or another, within MaxViewAge. */
    Fresh,
    /** No reachable node reads the log, and those reachable are most of all nodes. */
    LogDown,
    /** The log may have moved on without this node. */
    Stale,
    /** There is no state yet, or none that may be used. */
    None,
};

/** What a node may want to do with its view; docs/DESIGN.md has the table. */
enum class ViewAction {
    /** Take work for a key that is good in the view. */
    AcceptWork,
    /** Begin a planned outage, move or other change that a record allowed. */
    ChangeInstances,
};

/** Whether @p action is allowed with a view in @p state. */
bool isAllowed(ViewAction action, ViewState state);

std::string_view toName(ViewState state);

/** What the peers of a node say about the log, as far as they were heard lately. */
struct PeerView {
    /** Present members other than this node. */
    int members = 0;
    /** Members heard within MaxViewAge. */
    int reachable = 0;
    /** Reachable members that read the log within MaxViewAge themselves. */
    int readingLog = 0;
};

/** Judges the view of a node from its age and what peers say. Pure. */
ViewState judgeView(ReplicaCondition condition, SteadyTime confirmedAt, const PeerView &peers, SteadyTime now);

}
