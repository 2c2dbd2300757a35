#pragma once

#include "protocol/job.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail {

/// How far a worker is excluded from placement, in ascending order.
enum class worker_standing : std::uint8_t {
    good,
    suspect, ///< chosen only if no good worker can run the task
    avoided, ///< like `suspect`, and only for tasks that may fail any number of times
    leaving, ///< its VM is next in maintenance: only for tasks that have waited too long
};

/// State of a worker on which `choose_worker` bases its decision. The strings are not owned.
struct worker_view {
    std::string_view id;
    std::string_view rack;
    resources available; ///< not reserved by tasks
    resources capacity;
    std::int32_t latency_sensitive_tasks = 0; ///< tasks with a latency target
    std::int32_t best_effort_tasks = 0;       ///< tasks that only use capacity that other tasks leave unused
    std::int32_t long_running_tasks = 0;      ///< tasks that run until their job is cancelled
    std::int32_t same_step_tasks = 0;         ///< tasks of the step to place that are on this worker
    worker_standing standing = worker_standing::good;
    bool allowed = true;      ///< labels, placement advice and health permit the step here
    bool rack_wanted = false; ///< tasks with their data in this rack found no place there a moment ago
};

/// Requirements and preferences of a task. The strings are not owned.
struct placement_request {
    resources need;
    std::string_view data_rack; ///< rack of the task's data, preferred; empty: no preference
    std::string_view
        avoided_worker; ///< where the last run failed; excluded from this search; empty: all permitted
    std::int32_t max_per_worker = 0; ///< limit on tasks of the same step; 0: no limit
    bool best_effort = false;
    bool latency_sensitive = false;
    bool unlimited_attempts = false; ///< the task may fail any number of times
    bool overdue = false;            ///< it has waited too long
    bool spread = false;             ///< distribute the step over as many workers as possible
    std::string_view preferred_rack; ///< rack chosen for a rack-sensitive step; empty: no preference
};

/// @return how many tasks of size @p need fit into @p available at the same time
std::int64_t copies_that_fit(const resources& need, const resources& available);

/// @return whether the worker is permitted and has the resources for the task
bool can_run(const worker_view& worker, const placement_request& request);

/// Chooses the worker for one task.
///
/// The demand on a pool varies, and idle VMs can move to another pool. Tasks are therefore packed:
/// long-running tasks of different steps share a few workers, and other tasks fill those first, then one
/// worker after another, so that the remaining workers stay idle. The rack of the task's data is preferred if
/// it has capacity. Tasks without data there fill a rack that others want only before they use an idle
/// worker. Best-effort tasks and latency-sensitive tasks avoid each other. Workers on which tasks failed
/// repeatedly come last.
/// @return index into @p workers, or nothing when no permitted worker has enough free resources
std::optional<std::size_t> choose_worker(const std::vector<worker_view>& workers,
                                         const placement_request& request);

/// Like `choose_worker`, for some of the workers.
/// @param candidates indices in @p workers
std::optional<std::size_t> choose_worker_among(const std::vector<worker_view>& workers,
                                               const std::vector<std::size_t>& candidates,
                                               const placement_request& request);

/// A worker on which tasks failed repeatedly.
struct failing_worker {
    std::size_t index = 0;            ///< in the list of workers
    std::int32_t recent_failures = 0; ///< failed runs since the last one that succeeded
};

/// Sets the standing of workers on which tasks failed repeatedly.
///
/// Jobs that can never be done fail on every worker, so failures speak against a worker only as far as most
/// others have none. A limited fraction of the workers, those with the most failures, is avoided; the others
/// are suspect.
/// @param workers that are not avoided for another reason
/// @param failing those of @p workers on which tasks failed
void set_standings(std::vector<worker_view>& workers, std::vector<failing_worker> failing);

/// Chooses one rack for all tasks of a step.
/// @param need resources of one task
/// @param count number of tasks
/// @return the rack with capacity for the most such tasks; empty when no rack has capacity for @p count. The
/// view refers to a string of @p workers.
std::string_view choose_rack(const std::vector<worker_view>& workers, const resources& need,
                             std::int32_t count);

/// @return the rack with capacity for the most tasks of that size; empty if there is no worker
std::string_view find_roomiest_rack(const std::vector<worker_view>& workers, const resources& need);

} // namespace hornbeamrail
