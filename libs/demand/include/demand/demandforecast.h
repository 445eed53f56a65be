#pragma once

#include "demand/arrivalforecast.h"
#include "demand/offeredload.h"
#include "demand/pooloutlook.h"
#include "demand/surgedetector.h"
#include "demand/surgeorder.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Cornelquay {

enum class DemandEventKind : std::uint8_t {
    SurgeBegun,
    SurgeEnded,
    /** The load has lasted too long for a surge. */
    SurgeIsLevel,
    PredictionRight,
    PredictionWrong,
};
constexpr std::array<std::string_view, 5> DemandEventNames = {"surge-begun", "surge-ended", "surge-is-level", "prediction-right", "prediction-wrong"};

/** A change of what is known about the demand, for the log. */
struct DemandEvent {
    DemandEventKind kind = DemandEventKind::SurgeBegun;
    std::string pool;
    /** Of a surge: its load now, and its peak once it has ended. Of a prediction: the predicted load. */
    Resources load;
    /** Of a surge: the time since its begin. Of a prediction: the time since the predicted begin, which may be negative. */
    std::chrono::milliseconds age{0};
    /** Of a prediction. */
    PredictionRule rule = PredictionRule::FurthestBack;
    /** Of a prediction: how often its rule has been right, including this time, between 0 and 1. */
    double skill = 0;
};

/** Estimates the load of each pool from its latest arrivals and their own work. Not thread-safe. */
class ObservedDemand
{
public:
    void recordArrival(const std::string &pool, const std::string &queue, const JobArrival &arrival, BootTime now);
    PoolOutlook outlook(const std::string &pool, BootTime now) const;
    /** Does nothing, as no event depends on the time. */
    void advance(BootTime now);
    /** Always empty. */
    std::vector<DemandEvent> takeEvents();
    /** Always 0. */
    double predictionSkill() const;
    /** Always empty, as there is no history. */
    std::string snapshot(BootTime now, std::int64_t wallMs) const;
    bool restore(std::string_view bytes, BootTime now, std::int64_t wallMs);
    std::uint64_t revision() const;

private:
    std::map<std::string, OfferedLoad> m_pools;
};

/**
 * Forecasts the load of each pool from its arrivals, the history of its queues and the order in which the pools have
 * their surges.
 *
 * The work per arrival is constant. Performs no I/O and reads no clock. Not thread-safe.
 *
 * @code
 * DemandForecast forecast;
 * forecast.recordArrival(pool, queue, {work, chainLength}, now);
 * const PoolOutlook outlook = forecast.outlook(pool, now);
 * @endcode
 */
class DemandForecast
{
public:
    static constexpr std::size_t MaxSnapshotBytes = 4096;

    /** Records the arrival of a job of @p queue, whose tasks run in @p pool. */
    void recordArrival(const std::string &pool, const std::string &queue, const JobArrival &arrival, BootTime now);
    PoolOutlook outlook(const std::string &pool, BootTime now) const;
    /** Detects surges and checks predictions; call it every 100 ms or more often. */
    void advance(BootTime now);
    /** The events since the last call, oldest first. */
    std::vector<DemandEvent> takeEvents();
    /** How often predictions of surges have been right; see SurgeOrder::skill(). */
    double predictionSkill() const;
    /** The history for a successor, at most MaxSnapshotBytes. @p wallMs is the wall-clock time in milliseconds since 1970. */
    std::string snapshot(BootTime now, std::int64_t wallMs) const;
    /** Takes over the snapshot() of a former owner, before the first arrival. Returns false, without a change, if it is unreadable. */
    bool restore(std::string_view bytes, BootTime now, std::int64_t wallMs);
    /** Increases with changes of the history that are worth a new snapshot(); 0 while there is none. */
    std::uint64_t revision() const;

private:
    struct Pool {
        ArrivalForecast arrivals;
        SurgeDetector surges;
    };

    /** See PoolOutlook::spareFraction. */
    double spareFraction(const std::string &name, const Pool &pool) const;
    void observe(const std::string &name, Pool &pool, BootTime now);

    std::map<std::string, Pool> m_pools;
    SurgeOrder m_order;
    std::vector<DemandEvent> m_events;
    BootTime m_observedAt{};
    std::uint64_t m_arrivals = 0;
};

}
