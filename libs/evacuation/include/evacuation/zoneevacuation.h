#pragma once

#include "timing/instant.h"

#include <chrono>
#include <map>
#include <set>
#include <string>

namespace Cornelquay {

/**
 * The zones that the operators evacuate, as one node has read their records, and the zones that have returned since.
 *
 * No task may start in an evacuated zone. The records are the only stored state; this is a view of them, and its age tells
 * from when on it may lack a record. Performs no I/O and reads no clock. Not thread-safe.
 *
 * @code
 * ZoneEvacuation evacuation;
 * evacuation.setZones({"zone-a"}, now);
 * evacuation.noteRead(requestSentAt);
 * if (evacuation.isUsable(ownerSince, now) && !evacuation.isEvacuated(worker.zone)) { ... }
 * @endcode
 */
class ZoneEvacuation
{
public:
    // Commands.
    /** Replaces the set of evacuated zones. Returns whether it changed. */
    bool setZones(const std::set<std::string> &zones, BootTime now);
    /** All records of the operators were read by a request that was sent at @p sentAt; an earlier time than before has no effect. */
    void noteRead(BootTime sentAt);

    // Queries.
    const std::set<std::string> &zones() const;
    bool isEvacuated(const std::string &zone) const;
    /** When the request that read the records was sent: the set has all records written before. The epoch of BootTime before the first read. */
    BootTime readAt() const;
    /**
     * Whether an owner that owns the jobs since @p ownerSince may start tasks: the records were read after that, or it has
     * waited for them long enough.
     */
    bool isUsable(BootTime ownerSince, BootTime now) const;
    /** Whether any zone has returned, so that comesLast() may hold for some worker. */
    bool hasReturnedZones() const;
    /** Whether a worker of @p zone gets work only after others: the zone has just returned, or it has returned and the worker is @p cold. */
    bool comesLast(const std::string &zone, bool cold, BootTime now) const;

private:
    std::set<std::string> m_zones;
    BootTime m_readAt{};
    /** Zones that were evacuated and are not any more, and until when all of their workers come last. */
    std::map<std::string, BootTime> m_returningUntil;
};

}
