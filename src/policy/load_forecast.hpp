#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

namespace hornbeamrail {

/// One step of a job, as far as the forecast needs it. Best-effort and long-running steps do not count.
struct forecast_step {
    double task_millicores = 0;            ///< CPU of one task, in thousandths of a core
    std::chrono::milliseconds duration{0}; ///< expected duration of one task
    std::vector<std::int32_t> after;       ///< numbers of earlier steps that this step depends on
    std::int32_t running = 0;              ///< tasks that are placed or running
    std::int32_t waiting = 0;              ///< tasks that are not placed
    std::chrono::milliseconds elapsed{0};  ///< mean time since the running tasks were placed
};

/// Forecast of the CPU that jobs will use, for a demand that rises within less time than a VM needs to
/// arrive.
///
/// A job uses the CPU of its steps one after the other. The CPU that is in use now and the rate at which work
/// arrives are therefore both wrong at the time when a VM that is ordered now arrives: at the beginning of a
/// surge of long jobs most of their work lies beyond that time, and later many of the running tasks will have
/// ended.
/// @param steps in topological order: a step depends only on earlier ones
/// @param ahead time from now
/// @return thousandths of a core that the tasks of the job will use at that time. Tasks that are ready start
/// evenly spread over the time until then.
double forecast_millicores(const std::vector<forecast_step>& steps, std::chrono::milliseconds ahead);

/// @param steps of a job that has not started
/// @param ahead time from now
/// @return millicore-seconds of the job's work that lie within `ahead` of its arrival. Multiplied by a rate
/// of arrivals, this is the CPU that jobs which arrive until then will use at that time.
double work_within(const std::vector<forecast_step>& steps, std::chrono::milliseconds ahead);

} // namespace hornbeamrail
