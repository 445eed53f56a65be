#include "details/admissionreport.h"

#include "telemetry/log.h"

#include <string>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

std::string seconds(std::int64_t resourceMilliseconds)
{
    return std::to_string(resourceMilliseconds / 1000);
}

}

AdmissionReport::AdmissionReport(Metrics &metrics)
{
    for (const std::string_view reason : RefusalReasonNames) {
        m_refusedTotal.push_back(
            metrics.counter("jobs_refused_total", "Jobs refused because they cannot be completed in time", {{"reason", std::string(reason)}}));
    }
}

void AdmissionReport::record(const JobRecord &job, const JobRefused &refused, BootTime now)
{
    m_refusedTotal.at(static_cast<std::size_t>(refused.reason)).increment();
    if (now - m_secondBegunAt >= 1s) {
        m_secondBegunAt = now;
        m_linesInSecond = 0;
    }
    if (++m_linesInSecond > MaxLinesPerSecond) {
        ++m_omitted;
        return;
    }
    logChange("owner",
              "job-refused",
              {{"job", job.id},
               {"pool", job.terms.pool},
               {"queue", job.queue},
               {"account", job.account},
               {"reason", std::string(toName(refused.reason))},
               {"resource", std::string(ResourceNames.at(refused.resource))},
               {"ahead-s", seconds(refused.workAhead)},
               {"own-ahead-s", seconds(refused.ownWorkAhead)},
               {"in-time-s", seconds(refused.workInTime)},
               {"chain-ms", std::to_string(refused.chain.count())},
               {"objective-ms", std::to_string(refused.objective.count())},
               {"age-ms", std::to_string(refused.age.count())},
               {"forecast-age-ms", std::to_string(refused.forecastAge.count())},
               {"retry-ms", std::to_string(refused.retryAfter.count())},
               {"omitted", std::to_string(m_omitted)}});
    m_omitted = 0;
}

}
