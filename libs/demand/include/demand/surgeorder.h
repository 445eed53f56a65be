#pragma once

#include "demand/surgedetector.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace Cornelquay {

/** What the next surge is predicted from. */
enum class PredictionRule : std::uint8_t {
    /** The pool whose latest surge lies furthest back is next. */
    FurthestBack,
    /** The pool is next whose surge followed when the present pool had its former one. */
    FormerOrder,
};
constexpr std::array<std::string_view, 2> PredictionRuleNames = {"furthest back", "former order"};

/** How often predictions have been right. Latest predictions count most. */
class PredictionSkill
{
public:
    void note(bool wasRight);
    /** Between 0 and 1; as if one right and one wrong prediction had preceded the others. */
    double value() const;
    /** Whether the content can have come from note(); for content that was read from a record. */
    bool isValid() const;

    auto fields()
    {
        return std::tie(m_right, m_wrong);
    }

private:
    double m_right = 0;
    double m_wrong = 0;
};

constexpr std::size_t PredictionRuleCount = PredictionRuleNames.size();

/** The surge of a pool in its turn. */
struct SurgeTurn {
    std::string pool;
    BootTime begin{};
};

/** What has been learned of the order of surges, for a successor. */
struct SurgeOrderState {
    /** Latest peaks of each known pool, oldest first. */
    std::map<std::string, std::vector<Resources>> peaks;
    /** Oldest first. */
    std::vector<SurgeTurn> turns;
    /** By rule. */
    std::array<PredictionSkill, PredictionRuleCount> skills;
};

/** A predicted surge. */
struct SurgePrediction {
    std::string pool;
    PredictionRule rule = PredictionRule::FurthestBack;
    BootTime begin{};
    /** The prediction is wrong if the surge has not begun by then. */
    BootTime until{};
};

/** A prediction that was checked. */
struct CheckedPrediction {
    SurgePrediction prediction;
    bool wasRight = false;
    /** Of the rule, including this check. */
    double skill = 0;
};

/**
 * Learns the order in which pools have their surges, and predicts the next one.
 *
 * The pools take turns: the surge of one pool follows that of another. Bursts of single accounts or queues look like
 * surges too and occur at any time. A surge that begins too early after the latest turn is a burst. One that begins while a surge of another pool
 * is predicted is a burst if the prediction turns out to be right. Bursts change neither the order nor the
 * predictions. Performs no I/O and reads no clock. Not thread-safe.
 */
class SurgeOrder
{
public:
    /** A pool that has arrivals and may have surges. At most 64 pools are kept; surges of further ones are ignored. */
    void addPool(const std::string &pool);
    void noteBegin(const std::string &pool, BootTime begin);
    /** @p surge is the one whose begin was noted last for @p pool. */
    void noteEnd(const std::string &pool, const Surge &surge);
    /** Checks the predictions that have expired. */
    void advance(BootTime now);

    /** The next surge, by the rule that has been right most often; std::nullopt if there is no prediction or if none has been right often enough. */
    std::optional<SurgePrediction> prediction() const;
    /** The mean of the peaks of the latest surges of @p pool; the smallest one of the other pools if it has had none. */
    Resources expectedPeak(const std::string &pool) const;
    /** A load of @p pool below this is no turn, as turns are of about the same size; zero without history. */
    Resources minLoad(const std::string &pool) const;
    /** Of the better rule; see PredictionSkill. */
    double skill() const;
    /** Whether other pools are expected to have their surges before the next one of @p pool. */
    bool isAfterOthers(const std::string &pool) const;
    /** The predictions that were checked since the last call. */
    std::vector<CheckedPrediction> takeChecked();
    SurgeOrderState state() const;
    /** Takes over the state of a former owner; replaces what has been learned. */
    void restore(const SurgeOrderState &state, BootTime now);
    /** Increases with each change of state(). */
    std::uint64_t revision() const;

private:
    void addTurn(const SurgeTurn &turn);
    void predictNext();
    void check(const std::string &begunPool);
    bool isBurst(BootTime begin) const;
    std::optional<std::string> findFurthestBack() const;
    std::optional<std::string> findFormerSuccessor() const;
    std::optional<std::chrono::milliseconds> medianGap() const;
    std::size_t betterRule() const;
    /** Index of the latest turn of @p pool in m_turns. */
    std::optional<std::size_t> latestTurn(const std::string &pool) const;

    /** The latest surges of each known pool that were turns, oldest first. */
    std::map<std::string, std::deque<Surge>> m_surges;
    std::deque<SurgeTurn> m_turns;
    /** Of the next turn, by rule. */
    std::array<std::optional<SurgePrediction>, PredictionRuleCount> m_predictions;
    std::array<PredictionSkill, PredictionRuleCount> m_skills;
    /** The first surge of another pool since the predictions were made, which is the next turn if they are wrong. */
    std::optional<SurgeTurn> m_unexpected;
    std::vector<CheckedPrediction> m_checked;
    std::uint64_t m_revision = 0;
};

}
