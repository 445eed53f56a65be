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
 * Follows the platform's list: tells the upstreams who may take work, and proposes records for
 * instances that are new, replaced, failed or back.
 *
 * All nodes see the same list; the members' order decides who proposes first, and the others only
 * if nothing happens, so that the log is not filled with repeats. Created once per node.
 */
class InstanceController
{
public:
    InstanceController(Replica &replica, PlatformService &platform, Upstreams &upstreams, Incarnation self, Metrics &metrics);

    void start();
    void stop();
    /** Brings the upstreams up to date with the fleet's state and the list as last read. */
    void refreshUpstreams();

private:
    /** A difference between list and records, and since when it is seen. */
    struct Difference {
        RecordBody proposal;
        std::string reason;
    };

    void runCycle();
    bool readList();
    std::map<std::string, Difference> differences() const;
    void propose(const std::map<std::string, Difference> &differences);

    Replica &m_replica;
    PlatformService &m_platform;
    Upstreams &m_upstreams;
    const Incarnation m_self;
    mutable std::mutex m_mutex;
    bool m_hasList = false;
    std::map<std::string, ListedInstance> m_listed;
    std::map<std::string, SteadyTime> m_firstSeen;
    Counter m_listErrorsTotal;
    PeriodicTask m_task;
};

}
