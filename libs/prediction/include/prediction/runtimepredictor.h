#pragma once

#include "prediction/runtimedistribution.h"
#include "timing/instant.h"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Cornelquay {

/** The levels of history that can correct the regression by queue, from the general to the specific. */
enum class PredictionLevel : std::uint8_t {
    /** Queue with client account. */
    Account,
    Image,
    /** The finished tasks of the same step. */
    Step,
};
constexpr std::array<std::string_view, 3> PredictionLevelNames = {"account", "image", "step"};

/** What is known about a task before it runs. The texts must outlive the calls that they are passed to. */
struct RunTraits {
    std::string_view job;
    /** Index of the step in its job. */
    std::uint32_t step = 0;
    /** Empty if the step has none. */
    std::string_view image;
    std::string_view queue;
    std::string_view account;
    /** The submitter's estimate; 0 if none was given, which counts as the shortest run time. */
    std::chrono::milliseconds estimate{0};
    /** Number of other tasks of the step that run at present. */
    std::uint32_t runningSiblings = 0;
    /** Whether the run time is usual for the queue; otherwise the regression by queue does not learn from it. */
    bool isTypical = true;
};

/** The amount of history that a RunTimePredictor holds. */
struct PredictorSize {
    std::size_t queues = 0;
    std::size_t accounts = 0;
    std::size_t images = 0;
    std::size_t steps = 0;
};

/**
 * Predicts the run times of tasks from those of earlier tasks.
 *
 * The base is the regression on the submitter's estimate for each queue. Levels of history correct it: the queue with the
 * client account, the image, and the step. A level is on for a queue while its predictions have proved to be more accurate
 * than those of the former level. It then corrects by the more the more runs it has. Without a level that is on, the centre
 * of a prediction is the result of the regression. Old runs lose their weight as new ones are recorded and as time passes. Memory is bounded;
 * the history that was least recently added to is dropped first. Performs no I/O and reads no clock. Not thread-safe.
 *
 * @code
 * RunTimePredictor predictor;
 * predictor.record(traits, 950ms, now);
 * const auto expected = predictor.predict(traits).center();
 * @endcode
 */
class RunTimePredictor
{
public:
    static constexpr std::size_t MaxImages = 2000;
    static constexpr std::size_t MaxSteps = 500;
    static constexpr std::size_t MaxSnapshotBytes = 8192;

    RunTimePredictor();
    ~RunTimePredictor();
    RunTimePredictor(const RunTimePredictor &) = delete;
    RunTimePredictor &operator=(const RunTimePredictor &) = delete;

    // Commands.
    /** A run that was observed from its start has ended after @p runTime. */
    void record(const RunTraits &traits, std::chrono::milliseconds runTime, BootTime now);
    /** A run was stopped or lost, and would have taken longer than @p age. Changes nothing unless that is longer than expected. */
    void recordLowerBound(const RunTraits &traits, std::chrono::milliseconds age, BootTime now);
    /**
     * Replaces the history by that of a snapshot. Returns false, without a change, if @p bytes is no snapshot. The history
     * keeps its weight and counts as recorded at @p now: a successor usually reads it seconds after it was stored.
     */
    bool restore(std::string_view bytes, BootTime now);

    // Queries.
    /** The prediction for a task that has not started, or the unconditional one for a task that has. */
    RunTimeDistribution predict(const RunTraits &traits) const;
    /** The most specific level that is on and has history for the task; std::nullopt if predict() is the regression by queue. */
    std::optional<PredictionLevel> correctingLevel(const RunTraits &traits) const;
    /** Whether there is a correctingLevel(). */
    bool isCorrected(const RunTraits &traits) const;
    /** Whether there is history of @p queue. */
    bool hasHistory(std::string_view queue) const;
    /** The levels that are on for @p queue. */
    std::vector<PredictionLevel> activeLevels(std::string_view queue) const;
    /** The history of queues, client accounts and the latest images, with the levels that are on, in at most MaxSnapshotBytes. */
    std::string snapshot() const;
    /** Increases with each change of the history. */
    std::uint64_t revision() const;
    PredictorSize size() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}
