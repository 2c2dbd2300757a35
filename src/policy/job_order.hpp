#pragma once

#include "protocol/job.hpp"
#include "protocol/site_document.hpp"

#include <chrono>
#include <compare>
#include <cstdint>

namespace hornbeamrail {

/// Most significant key of `job_rank`. Jobs of an earlier class get workers first.
enum class scheduling_class : std::uint8_t {
    long_running, ///< long-running tasks
    on_time,      ///< the job can still meet its objective
    late,         ///< the job can no longer meet its objective
    beyond_share, ///< the job exceeds the share of its account
};

/// Position of one job occurrence (one scheduled execution of the job) in the order in which the jobs of a
/// pool get workers. Lower ranks go first.
struct job_rank {
    scheduling_class job_class = scheduling_class::long_running;
    std::int32_t priority = 0;    ///< of the queue; lower goes first
    std::int32_t not_started = 0; ///< 0 if `job_urgency::started`, so that started jobs finish first; else 1
    std::int64_t slack_ms = 0;    ///< time until the latest start that meets the objective; negative if late

    friend auto operator<=>(const job_rank&, const job_rank&) = default;
};

/// Inputs of `rank_job` for one job occurrence.
struct job_urgency {
    bool long_running = false;
    bool started = false;                   ///< a task of the occurrence is placed, running or done
    bool beyond_share = false;              ///< the job exceeds the share of its account
    std::int32_t priority = 0;              ///< of the queue
    unix_time due{};                        ///< time from which the objective counts
    std::chrono::milliseconds objective{0}; ///< allowed time from `due` to the end of the job
    std::chrono::milliseconds remaining_critical_path{0}; ///< of the unfinished steps
};

/// Ranks a job occurrence.
///
/// For seconds at a time, the demand on a pool is several times its capacity. Long-running tasks go first,
/// then jobs that can still meet their objective, then jobs that cannot, then jobs beyond the share of their
/// account. Within a class the order is queue priority, started before not started, least slack first.
job_rank rank_job(const job_urgency& job, unix_time now);

/// Computes the duration of the longest chain of dependent steps.
/// @param job its steps are in topological order: a step depends only on earlier ones
/// @param duration_of maps the index of a step to the expected duration of one of its tasks
/// @param is_done returns whether the step with the given index has ended; such a step adds no time
/// @return duration of the critical path over the steps that have not ended
template <class Duration, class Done>
std::chrono::milliseconds critical_path_duration(const job_spec& job, Duration duration_of, Done is_done) {
    std::vector<std::chrono::milliseconds> ends(job.steps.size());
    std::chrono::milliseconds longest{0};
    for (std::size_t step = 0; step < job.steps.size(); ++step) {
        std::chrono::milliseconds begin{0};
        for (const auto earlier : job.steps[step].after) {
            begin = std::max(begin, ends[static_cast<std::size_t>(earlier)]);
        }
        ends[step] = is_done(step) ? begin : begin + duration_of(step);
        longest = std::max(longest, ends[step]);
    }
    return longest;
}

} // namespace hornbeamrail
