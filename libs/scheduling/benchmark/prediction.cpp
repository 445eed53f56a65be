#include "prediction/predictionerrors.h"
#include "prediction/runtimepredictor.h"
#include "scheduling/runtimes.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <queue>
#include <random>
#include <vector>

using namespace Cornelquay;

namespace {

using namespace std::chrono_literals;

constexpr BootTime Start{std::chrono::milliseconds(1000000)};
constexpr int StepCount = 6000;
constexpr int WarmUpSteps = 200;
constexpr int ImagesPerQueue = 30;
constexpr int AccountCount = 20;
constexpr std::uint32_t MaxTasks = 12;
// Tasks of a step that run at the same time; the others start as these end.
constexpr std::uint32_t Parallel = 5;
constexpr double StepIntervalMs = 50;

/** A synthetic load. Deviations are those of the natural logarithm. */
struct Load {
    const char *name;
    /** Deviation of the usual run times of the images of a queue, and of the tasks of one image. */
    double imageDeviation;
    double taskDeviation;
    /** Deviation of the estimate of a step from the usual run time of its image. */
    double estimateDeviation;
    /** Share of the tasks that take seven times the usual time. */
    double slowShare;
    /** Share of the steps without an image. */
    double unnamedShare;
};

struct Queue {
    std::string name;
    double meanMs;
};

const std::vector<Queue> Queues = {{"queue-a", 680}, {"queue-b", 680}, {"queue-c", 1100}, {"queue-d", 1100}};

struct Step {
    std::string job;
    std::string image;
    std::string account;
    std::string queue;
    std::chrono::milliseconds estimate{0};
    std::vector<std::chrono::milliseconds> runTimes;
    std::uint32_t started = 0;
    std::uint32_t running = 0;
};

/** A run that is in progress, with the predictions that were made at its start. */
struct Run {
    BootTime endsAt;
    std::size_t step = 0;
    std::chrono::milliseconds runTime{0};
    std::chrono::milliseconds learned{0};
    std::chrono::milliseconds byQueue{0};

    bool operator<(const Run &other) const
    {
        return endsAt > other.endsAt;
    }
};

std::chrono::milliseconds toMs(double ms)
{
    return std::chrono::milliseconds(std::max<std::int64_t>(10, std::llround(ms)));
}

std::vector<Step> makeSteps(const Load &load, std::uint32_t seed)
{
    std::mt19937 random(seed);
    std::normal_distribution<double> normal;
    std::uniform_real_distribution<double> uniform;
    std::vector<std::vector<double>> usual(Queues.size());
    for (std::size_t queue = 0; queue < Queues.size(); ++queue) {
        for (int image = 0; image < ImagesPerQueue; ++image) {
            usual[queue].push_back(Queues[queue].meanMs * std::exp(load.imageDeviation * normal(random)));
        }
    }
    std::vector<Step> steps(StepCount);
    for (int number = 0; number < StepCount; ++number) {
        Step &step = steps[static_cast<std::size_t>(number)];
        const std::size_t queue = random() % Queues.size();
        const std::size_t image = random() % ImagesPerQueue;
        step.job = "job-" + std::to_string(number);
        step.queue = Queues[queue].name;
        step.account = "account-" + std::to_string(random() % AccountCount);
        step.image = uniform(random) < load.unnamedShare ? "" : step.queue + "/image-" + std::to_string(image);
        step.estimate = toMs(usual[queue][image] * std::exp(load.estimateDeviation * normal(random)));
        for (std::uint32_t task = 0; task < 1 + random() % MaxTasks; ++task) {
            const double slowness = uniform(random) < load.slowShare ? 7 : 1;
            step.runTimes.push_back(toMs(slowness * usual[queue][image] * std::exp(load.taskDeviation * normal(random))));
        }
    }
    return steps;
}

RunTraits traitsOf(const Step &step)
{
    return {step.job, 0, step.image, step.queue, step.account, step.estimate, step.running};
}

/** Plays a load against both predictions. */
class Replay
{
public:
    explicit Replay(std::vector<Step> steps)
        : m_steps(std::move(steps))
    {
    }

    void run()
    {
        for (std::size_t step = 0; step < m_steps.size(); ++step) {
            const BootTime now = Start + toMs(StepIntervalMs * static_cast<double>(step + 1));
            while (!m_runs.empty() && m_runs.top().endsAt <= now) {
                endFirst();
            }
            while (startNext(step, now)) {
            }
        }
        while (!m_runs.empty()) {
            endFirst();
        }
    }

    void print(const char *load) const
    {
        const auto before = m_byQueue.factors();
        for (const auto &[queue, after] : m_learned.factors()) {
            const ErrorFactors &old = before.at(queue);
            std::printf("%-18s %-8s  half of the tasks within %.2f, before %.2f; nine tenths within %.2f, before %.2f; levels%s\n",
                        load,
                        queue.c_str(),
                        after.half,
                        old.half,
                        after.nineTenths,
                        old.nineTenths,
                        levelsText(queue).c_str());
        }
    }

    void printCosts(const char *load)
    {
        constexpr int Calls = 200000;
        std::int64_t sum = 0;
        const auto begun = std::chrono::steady_clock::now();
        for (int call = 0; call < Calls; ++call) {
            sum += m_predictor.predict(traitsOf(m_steps[static_cast<std::size_t>(call) % m_steps.size()])).center().count();
        }
        const double nanoseconds = std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - begun).count() / Calls;
        const std::size_t snapshotBytes = m_predictor.snapshot().size();
        const auto recordingBegun = std::chrono::steady_clock::now();
        for (int call = 0; call < Calls; ++call) {
            const Step &step = m_steps[static_cast<std::size_t>(call) % m_steps.size()];
            m_predictor.record(traitsOf(step), step.runTimes.front(), Start);
        }
        const double recordNanoseconds = std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - recordingBegun).count() / Calls;
        std::printf("%-18s one prediction %.0f ns, one record %.0f ns, snapshot %zu bytes (mean %.0f ms)\n",
                    load,
                    nanoseconds,
                    recordNanoseconds,
                    snapshotBytes,
                    static_cast<double>(sum) / Calls);
    }

private:
    std::string levelsText(const std::string &queue) const
    {
        std::string text;
        for (const PredictionLevel level : m_predictor.activeLevels(queue)) {
            text += " " + std::string(PredictionLevelNames[static_cast<std::size_t>(level)]);
        }
        return text.empty() ? " none" : text;
    }

    bool startNext(std::size_t index, BootTime now)
    {
        Step &step = m_steps[index];
        if (step.started == step.runTimes.size() || step.running == Parallel) {
            return false;
        }
        Run run;
        run.step = index;
        run.runTime = step.runTimes[step.started];
        run.endsAt = now + run.runTime;
        run.learned = m_predictor.predict(traitsOf(step)).center();
        run.byQueue = m_runTimes.expected(step.queue, step.estimate);
        ++step.started;
        ++step.running;
        m_runs.push(run);
        return true;
    }

    void endFirst()
    {
        const Run run = m_runs.top();
        m_runs.pop();
        Step &step = m_steps[run.step];
        --step.running;
        if (run.step >= WarmUpSteps) {
            m_learned.record(step.queue, run.learned, run.runTime);
            m_byQueue.record(step.queue, run.byQueue, run.runTime);
        }
        m_predictor.record(traitsOf(step), run.runTime, run.endsAt);
        m_runTimes.record(step.queue, step.estimate, run.runTime);
        startNext(run.step, run.endsAt);
    }

    std::vector<Step> m_steps;
    std::priority_queue<Run> m_runs;
    RunTimePredictor m_predictor;
    RunTimes m_runTimes;
    PredictionErrors m_learned;
    PredictionErrors m_byQueue;
};

}

int main()
{
    const std::vector<Load> loads = {
        {"uneven run times", 0.5, 0.2, 1.2, 0.03, 0.2},
        {"good estimates", 0.6, 0.25, 0.15, 0.0, 0.2},
        {"no images", 0.4, 0.2, 1.2, 0.03, 1.0},
        // The tasks of a step resemble each other by no more than their estimate tells.
        {"independent tasks", 0.4, 0.45, 0.0, 0.0, 1.0},
    };
    for (const Load &load : loads) {
        Replay replay(makeSteps(load, 1));
        replay.run();
        replay.print(load.name);
        replay.printCosts(load.name);
    }
    return 0;
}
