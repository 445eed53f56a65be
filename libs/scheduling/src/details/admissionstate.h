#pragma once

#include "jobadmission/poolforecast.h"
#include "jobadmission/returningcallers.h"
#include "scheduling/joborder.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Cornelquay {

/** State of the admission to one pool. */
struct PoolAdmission {
    PoolForecast forecast;
    /** The order of the jobs in the backlog of the forecast. */
    std::vector<JobUrgency> order;
    /** The capacity in the forecast is as of the latest placement pass or later. */
    bool isCapacityCurrent = false;
    ReturnSchedule returns;
};

/** State of the admission of jobs. Lost with the owner. */
struct AdmissionState {
    std::map<std::string, PoolAdmission> pools;
    FirstTries firstTries;
    /** Capacity of instances without a worker that can be given one. */
    Resources unusedInstances;
    /** When the backlogs of the forecasts were last replaced, and whether the present or latest placement pass replaces them. */
    BootTime backlogAt{};
    bool takesBacklog = false;
    /** When this owner began to place jobs. */
    std::optional<BootTime> begunAt;
};

}
