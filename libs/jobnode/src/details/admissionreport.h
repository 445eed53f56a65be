#pragma once

#include "jobadmission/admissiondecision.h"
#include "jobs/job.h"
#include "telemetry/metrics.h"

#include <cstdint>
#include <vector>

namespace Cornelquay {

/**
 * Counts and logs refused jobs. At most MaxLinesPerSecond refusals are logged; the next line has the number of those that were
 * left out. Not thread-safe.
 */
class AdmissionReport
{
public:
    static constexpr int MaxLinesPerSecond = 20;

    explicit AdmissionReport(Metrics &metrics);

    void record(const JobRecord &job, const JobRefused &refused, BootTime now);

private:
    /** By RefusalReason. */
    std::vector<Counter> m_refusedTotal;
    BootTime m_secondBegunAt{};
    int m_linesInSecond = 0;
    std::uint64_t m_omitted = 0;
};

}
