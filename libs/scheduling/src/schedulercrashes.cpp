#include "details/schedulerimpl.h"

#include <algorithm>

namespace Cornelquay {

namespace {

// Limits the length of a log line.
constexpr std::size_t MaxNamedRuns = 20;

std::string describeRuns(const WorkerSession &session)
{
    std::string text;
    std::size_t named = 0;
    for (const auto &[task, run] : session.runs()) {
        if (!run.mayHaveStarted()) {
            continue;
        }
        if (++named > MaxNamedRuns) {
            continue;
        }
        const std::int64_t ageMs = std::max<std::int64_t>(0, (session.aliveUntil() - run.placedOrAcceptedAt).count());
        text += (text.empty() ? "" : " ") + task.job + "/" + std::to_string(task.ref.occurrence) + "/" + std::to_string(task.ref.step) + "/"
            + std::to_string(task.ref.index) + ":" + std::to_string(ageMs);
    }
    return std::to_string(named) + " runs, with their age in ms: " + text;
}

}

void Scheduler::Impl::handleWorkerEnd(WorkerSession &session, std::string_view sign, BootTime now)
{
    // A cordoned worker is about to be moved or maintained, so an order whose answer was lost may have ended it.
    const bool isExpected = session.isEndExpected() || cordoned.count(session.facts().id) != 0;
    const std::string silence = std::to_string((now - session.aliveUntil()).count());
    emitEvent(isExpected ? "worker-left" : "worker-crashed",
              {},
              0,
              session.facts().id,
              std::string(sign) + ", silent for " + silence + " ms, " + describeRuns(session));
}

}
