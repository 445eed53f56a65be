#pragma once

#include "jobs/jobspec.h"
#include "timing/instant.h"

#include <cstdint>
#include <optional>

namespace Cornelquay {

/** A period in which the load of a pool is several times its mean. */
struct Surge {
    BootTime begin{};
    /** BootTime::max() while the surge lasts. */
    BootTime end = BootTime::max();
    /** Highest load, smoothed over some 100 ms. */
    Resources peak;
};

/** What an observation of the load shows. */
enum class SurgeChange : std::uint8_t {
    None,
    Begin,
    End,
    /** The surge has lasted so long that it is a change of the mean and no surge. */
    Level,
};

/** Detects begin and end of the surges of one pool. Performs no I/O and reads no clock. Not thread-safe. */
class SurgeDetector
{
public:
    /**
     * Observes the load; call it every 100 ms or more often. @p manyArrivalsSince is the time of the first of enough recent arrivals
     * to tell a surge from chance; std::nullopt if there are too few. A load below @p minLoad is no surge.
     */
    SurgeChange observe(const Resources &load, const Resources &minLoad, std::optional<BootTime> manyArrivalsSince, BootTime now);
    /** The surge that lasts or has just ended; its content is meaningless before the first one. */
    const Surge &surge() const;
    bool isSurging() const;

private:
    Surge m_surge;
    bool m_surging = false;
    std::optional<BootTime> m_observedAt;
    /** Means of the load over different periods. */
    Resources m_recent;
    Resources m_longTerm;
};

}
