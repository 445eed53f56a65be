#pragma once

#include "details/periodictask.h"
#include "platform/platformservice.h"
#include "records/identifiers.h"
#include "replica/replica.h"
#include "upstream/upstreams.h"

#include <map>
#include <mutex>

namespace Cornelquay::Details {

/**
 * Polls the platform's list of instances once per second: updates which instances may receive work,
 * and proposes records for instances that are new, replaced, failed or recovered.
 *
 * All nodes poll the same list. Members propose with a delay that grows with their rank, so that the
 * log is not filled with duplicate records. Created once per node.
 */
class InstanceController
{
public:
    InstanceController(Replica &replica, PlatformService &platform, Upstreams &upstreams, Incarnation self, Metrics &metrics);

    void start();
    void stop();
    /** Updates the upstreams from the fleet state and the list as last read. Thread-safe. */
    void refreshUpstreams();

private:
    /** A record that removes a difference between the list and the fleet state, and the reason for it. */
    struct Difference {
        RecordBody proposal;
        std::string reason;
    };

    void runCycle();
    /** Returns whether the platform answered. */
    bool readList();
    /** Differences between the list and the fleet state, by instance. */
    std::map<std::string, Difference> differences() const;
    void propose(const std::map<std::string, Difference> &differences);

    Replica &m_replica;
    PlatformService &m_platform;
    Upstreams &m_upstreams;
    const Incarnation m_self;
    mutable std::mutex m_mutex;
    bool m_hasList = false;
    std::map<std::string, ListedInstance> m_listed;
    /** When each current difference was first seen, by instance. */
    std::map<std::string, SteadyTime> m_firstSeen;
    Counter m_listErrorsTotal;
    PeriodicTask m_task;
};

}
