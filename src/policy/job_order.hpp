#pragma once

#include "protocol/job.hpp"
#include "protocol/site_document.hpp"

#include <chrono>
#include <compare>
#include <cstdint>

namespace hornbeamrail {

/// First key of the order in which jobs of a pool get workers.
enum class scheduling_class : std::uint8_t {
    long_running, ///< long-running tasks
    on_time,      ///< can meet its objective
    late,         ///< cannot meet it any more
    beyond_share, ///< beyond the share of its account
};

/// How urgent the tasks of one occurrence of a job are against others of the same pool. Lower comes first.
struct job_rank {
    scheduling_class job_class = scheduling_class::long_running;
    std::int32_t priority = 0;    ///< of the queue
    std::int32_t not_started = 0; ///< 0: some tasks have run; what was begun is finished first
    std::int64_t slack_ms = 0;    ///< time left until the latest start that meets the objective

    friend auto operator<=>(const job_rank&, const job_rank&) = default;
};

/// What the rank of an occurrence depends on.
struct job_urgency {
    bool long_running = false;
    bool started = false;
    bool beyond_share = false; ///< the account has sent more than its share
    std::int32_t priority = 0;
    unix_time due{};                                      ///< from when its time counts
    std::chrono::milliseconds objective{0};               ///< allowed from `due` to its end
    std::chrono::milliseconds remaining_critical_path{0}; ///< longest chain of work that is left
};

/// Pattern: a pool is asked for several times what it holds, for seconds. Jobs that can still meet their
/// objective go first, those that were begun before the others; jobs that missed it come behind them, jobs
/// beyond the share of their account last.
job_rank rank_job(const job_urgency& job, unix_time now);

/// @param durations expected duration of a task of each step
/// @return the longest chain of steps of @p job; zero for a step that @p is_done tells to be over
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
