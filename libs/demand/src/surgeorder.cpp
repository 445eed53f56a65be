#include "demand/surgeorder.h"

#include "details/resourcearithmetic.h"

#include <algorithm>
#include <utility>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t MaxPools = 64;
constexpr std::size_t MaxSurgesPerPool = 16;
// The former and the latest turn of each pool.
constexpr std::size_t MaxTurns = 2 * MaxPools;
// Number of latest gaps between turns that determine the time of the next one.
constexpr std::size_t MaxGaps = 8;
// Number of latest surges of a pool that determine its expected peak: the peak varies by chance, and the mean of a queue changes.
constexpr std::size_t PeakSurgeCount = 3;
// A load below this fraction of the pool's former peaks is a burst. Chance and the growth of the projection at the begin
// of a surge explain less than half.
constexpr double MinOwnPeakFraction = 0.5;
// The same for a pool without former surges, by the smallest peak of the others. Pools differ by a factor of two.
constexpr double MinOtherPeakFraction = 0.35;
// A surge that begins within this fraction of the usual gap after the latest turn is a burst: turns vary by less.
constexpr double MinGapFraction = 0.6;
// While the usual gap is unknown, a surge that begins sooner than this after the latest turn is a burst. No surge is shorter.
constexpr std::chrono::milliseconds MinFirstGap = 2s;
// A prediction is right if the surge begins within this time before or after the predicted begin. Instances that were ordered for it
// are held until then if it is wrong, which costs as much as a move.
constexpr std::chrono::milliseconds MaxEarliness = 1500ms;
constexpr std::chrono::milliseconds MaxDelay = 1s;
// A prediction that was used and is wrong costs an instance two moves, as much as 2.3 s of an instance in a pool, and about 4 s in which it is held.
// One that is right saves the jobs that would wait for 1.5 s. Both are worth about the same, so a rule must be right more often than not:
// after one right prediction it is used, after one right and one wrong prediction it is not.
constexpr double MinSkill = 0.6;
// Weight of a check after one more check. The order may change; the latest ten checks count most.
constexpr double CheckRetention = 0.9;

}

void PredictionSkill::note(bool wasRight)
{
    m_right = CheckRetention * m_right + (wasRight ? 1 : 0);
    m_wrong = CheckRetention * m_wrong + (wasRight ? 0 : 1);
}

double PredictionSkill::value() const
{
    return (1 + m_right) / (2 + m_right + m_wrong);
}

bool PredictionSkill::isValid() const
{
    // The sum of the weights of all checks.
    constexpr double MaxChecks = 1 / (1 - CheckRetention);
    return m_right >= 0 && m_wrong >= 0 && m_right <= MaxChecks && m_wrong <= MaxChecks;
}

void SurgeOrder::addPool(const std::string &pool)
{
    if (m_surges.size() < MaxPools) {
        m_surges.try_emplace(pool);
    }
}

void SurgeOrder::noteBegin(const std::string &pool, BootTime begin)
{
    if (m_surges.count(pool) == 0) {
        return;
    }
    const bool isPredicted = std::any_of(m_predictions.begin(), m_predictions.end(), [&](const auto &prediction) {
        return prediction && prediction->pool == pool && begin >= prediction->begin - MaxEarliness;
    });
    const bool isPending = std::any_of(m_predictions.begin(), m_predictions.end(), [](const auto &prediction) {
        return prediction.has_value();
    });
    if (isPredicted) {
        check(pool);
        addTurn({pool, begin});
    } else if (isBurst(begin)) {
        return;
    } else if (!isPending) {
        addTurn({pool, begin});
    } else if (!m_unexpected) {
        m_unexpected = SurgeTurn{pool, begin};
    }
}

void SurgeOrder::noteEnd(const std::string &pool, const Surge &surge)
{
    const auto found = m_surges.find(pool);
    const auto turn = latestTurn(pool);
    const bool isTurn = (turn && m_turns[*turn].begin == surge.begin) || (m_unexpected && m_unexpected->pool == pool);
    if (found == m_surges.end() || !isTurn) {
        return;
    }
    ++m_revision;
    found->second.push_back(surge);
    if (found->second.size() > MaxSurgesPerPool) {
        found->second.pop_front();
    }
}

void SurgeOrder::advance(BootTime now)
{
    const bool isExpired = std::any_of(m_predictions.begin(), m_predictions.end(), [now](const auto &prediction) {
        return prediction && now > prediction->until;
    });
    if (!isExpired) {
        return;
    }
    check({});
    if (m_unexpected) {
        addTurn(*std::exchange(m_unexpected, std::nullopt));
    }
}

void SurgeOrder::check(const std::string &begunPool)
{
    for (std::size_t rule = 0; rule < m_predictions.size(); ++rule) {
        if (const auto prediction = std::exchange(m_predictions[rule], std::nullopt)) {
            const bool wasRight = prediction->pool == begunPool;
            ++m_revision;
            m_skills[rule].note(wasRight);
            m_checked.push_back({*prediction, wasRight, m_skills[rule].value()});
        }
    }
}

bool SurgeOrder::isBurst(BootTime begin) const
{
    if (m_turns.empty()) {
        return false;
    }
    const auto gap = medianGap();
    const auto minGap = gap ? std::chrono::milliseconds(static_cast<std::int64_t>(MinGapFraction * static_cast<double>(gap->count()))) : MinFirstGap;
    return begin - m_turns.back().begin < minGap;
}

void SurgeOrder::addTurn(const SurgeTurn &turn)
{
    ++m_revision;
    m_unexpected.reset();
    m_turns.push_back(turn);
    if (m_turns.size() > MaxTurns) {
        m_turns.pop_front();
    }
    predictNext();
}

void SurgeOrder::predictNext()
{
    const auto gap = medianGap();
    if (!gap) {
        return;
    }
    const BootTime begin = m_turns.back().begin + *gap;
    const std::array<std::optional<std::string>, PredictionRuleCount> pools = {findFurthestBack(), findFormerSuccessor()};
    for (std::size_t rule = 0; rule < pools.size(); ++rule) {
        if (pools[rule]) {
            m_predictions[rule] = SurgePrediction{*pools[rule], static_cast<PredictionRule>(rule), begin, begin + MaxDelay};
        }
    }
}

std::optional<std::size_t> SurgeOrder::latestTurn(const std::string &pool) const
{
    for (std::size_t index = m_turns.size(); index > 0; --index) {
        if (m_turns[index - 1].pool == pool) {
            return index - 1;
        }
    }
    return std::nullopt;
}

std::optional<std::string> SurgeOrder::findFurthestBack() const
{
    std::vector<std::string> without;
    std::set<std::string> seen;
    for (const auto &[pool, surges] : m_surges) {
        if (!latestTurn(pool)) {
            without.push_back(pool);
        }
    }
    const bool isFirstRound = std::all_of(m_turns.begin(), m_turns.end(), [&seen](const SurgeTurn &turn) {
        return seen.insert(turn.pool).second;
    });
    // Pools that had no surge while another one had two may never have any.
    if (isFirstRound && !without.empty()) {
        return without.size() == 1 ? std::optional(without.front()) : std::nullopt;
    }
    std::optional<std::size_t> furthest;
    for (const auto &[pool, surges] : m_surges) {
        const auto latest = latestTurn(pool);
        if (latest && (!furthest || *latest < *furthest)) {
            furthest = latest;
        }
    }
    return furthest ? std::optional(m_turns[*furthest].pool) : std::nullopt;
}

std::optional<std::string> SurgeOrder::findFormerSuccessor() const
{
    for (std::size_t index = m_turns.size() - 1; index > 0; --index) {
        if (m_turns[index - 1].pool == m_turns.back().pool) {
            return m_turns[index].pool;
        }
    }
    return std::nullopt;
}

std::optional<std::chrono::milliseconds> SurgeOrder::medianGap() const
{
    std::vector<std::chrono::milliseconds> gaps;
    for (std::size_t index = m_turns.size(); index > 1 && gaps.size() < MaxGaps; --index) {
        gaps.push_back(m_turns[index - 1].begin - m_turns[index - 2].begin);
    }
    if (gaps.empty()) {
        return std::nullopt;
    }
    const auto middle = gaps.begin() + static_cast<std::ptrdiff_t>((gaps.size() - 1) / 2);
    std::nth_element(gaps.begin(), middle, gaps.end());
    return *middle;
}

std::size_t SurgeOrder::betterRule() const
{
    constexpr auto First = static_cast<std::size_t>(PredictionRule::FurthestBack);
    constexpr auto Second = static_cast<std::size_t>(PredictionRule::FormerOrder);
    // At equal skill, the order that was seen says more than the rule.
    return m_skills[Second].value() >= m_skills[First].value() && m_predictions[Second] ? Second : First;
}

std::optional<SurgePrediction> SurgeOrder::prediction() const
{
    const std::size_t rule = betterRule();
    return m_skills[rule].value() >= MinSkill ? m_predictions[rule] : std::nullopt;
}

double SurgeOrder::skill() const
{
    return m_skills[betterRule()].value();
}

Resources SurgeOrder::expectedPeak(const std::string &pool) const
{
    const auto meanPeak = [](const std::deque<Surge> &surges) {
        Resources sum;
        const std::size_t count = std::min(PeakSurgeCount, surges.size());
        for (std::size_t index = surges.size() - count; index < surges.size(); ++index) {
            sum += surges[index].peak;
        }
        return divided(sum, static_cast<std::int64_t>(std::max<std::size_t>(1, count)));
    };
    const auto own = m_surges.find(pool);
    if (own != m_surges.end() && !own->second.empty()) {
        return meanPeak(own->second);
    }
    std::optional<Resources> smallest;
    for (const auto &[other, surges] : m_surges) {
        if (!surges.empty() && (!smallest || meanPeak(surges).cpu < smallest->cpu)) {
            smallest = meanPeak(surges);
        }
    }
    return smallest.value_or(Resources{});
}

Resources SurgeOrder::minLoad(const std::string &pool) const
{
    const auto own = m_surges.find(pool);
    const bool hasOwn = own != m_surges.end() && !own->second.empty();
    return scaled(expectedPeak(pool), hasOwn ? MinOwnPeakFraction : MinOtherPeakFraction);
}

bool SurgeOrder::isAfterOthers(const std::string &pool) const
{
    const auto latest = latestTurn(pool);
    const auto &prediction = m_predictions[betterRule()];
    return latest && prediction && prediction->pool != pool;
}

std::vector<CheckedPrediction> SurgeOrder::takeChecked()
{
    return std::exchange(m_checked, {});
}

SurgeOrderState SurgeOrder::state() const
{
    SurgeOrderState state;
    for (const auto &[pool, surges] : m_surges) {
        std::vector<Resources> &peaks = state.peaks[pool];
        for (std::size_t index = surges.size() - std::min(PeakSurgeCount, surges.size()); index < surges.size(); ++index) {
            peaks.push_back(surges[index].peak);
        }
    }
    state.turns.assign(m_turns.begin(), m_turns.end());
    state.skills = m_skills;
    return state;
}

void SurgeOrder::restore(const SurgeOrderState &state, BootTime now)
{
    m_surges.clear();
    for (const auto &[pool, peaks] : state.peaks) {
        addPool(pool);
        for (const Resources &peak : peaks) {
            m_surges[pool].push_back({BootTime{}, BootTime{}, peak});
        }
    }
    m_turns.assign(state.turns.begin(), state.turns.end());
    m_skills = state.skills;
    ++m_revision;
    m_unexpected.reset();
    m_predictions = {};
    if (!m_turns.empty()) {
        predictNext();
    }
    // A surge that began while no owner could see it is no wrong prediction.
    for (auto &prediction : m_predictions) {
        if (prediction && now > prediction->until) {
            prediction.reset();
        }
    }
}

std::uint64_t SurgeOrder::revision() const
{
    return m_revision;
}

}
