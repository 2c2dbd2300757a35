#pragma once

#include "protocol/job.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail {

/// A worker as the choice of a place sees it.
struct worker_view {
    std::string_view id;
    std::string_view rack;
    resources available; ///< free
    resources capacity;
    std::int32_t latency_sensitive_tasks = 0; ///< tasks with a latency target
    std::int32_t best_effort_tasks = 0;       ///< tasks that use leftover capacity
    std::int32_t long_running_tasks = 0;      ///< tasks that run until their job is cancelled
    std::int32_t same_step = 0;               ///< tasks of the step in question that are on it
    bool allowed = true;                      ///< may run the step: label, advice, health
};

/// What a task asks of its place.
struct placement_request {
    resources need;
    std::string_view data_rack;      ///< preferred; empty: none
    std::string_view avoided_worker; ///< where its last run failed
    std::int32_t max_per_worker = 0; ///< 0: no limit
    bool best_effort = false;
    bool latency_sensitive = false;
    bool spread = false;             ///< on as many workers as possible
    std::string_view preferred_rack; ///< of a rack-sensitive step; empty: none
};

/// Pattern: the demand of a pool rises and falls, and VMs that are idle can help another pool. Long-running
/// tasks share a few workers, other tasks fill those first and then one worker after the other, so that the
/// rest stays idle. A task goes to the rack of its data if there is room; filling tasks keep away from
/// serving ones.
/// @return index of the chosen worker, or nothing when none has room
std::optional<std::size_t> choose_worker(const std::vector<worker_view>& workers,
                                         const placement_request& request);

/// @return rack with the most room for tasks of @p need, empty when no rack holds @p count of them
std::string_view choose_rack(const std::vector<worker_view>& workers, const resources& need,
                             std::int32_t count);

} // namespace hornbeamrail
