#pragma once

#include "policy/fair_share.hpp"
#include "protocol/log_record.hpp"
#include "protocol/platform.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail {

/// How reported usage corrects the reserved size of tasks.
struct task_placement_options {
    /// Usage reports within this time after the start of a task do not lower its reserved size and do not
    /// affect later tasks.
    std::chrono::milliseconds settle_time{10000};
    double usage_margin = 1.2; ///< ratio of reserved size to reported usage
    double min_factor = 0.25;  ///< lower bound of reserved over declared size
    double max_factor = 4;     ///< upper bound of reserved over declared size for new tasks
};

/// Resources reserved for a task on a worker.
struct task_reservation {
    std::string vm;
    resource_vector size; ///< size to lease: the declared size, corrected by the usage of earlier tasks
};

/// Chooses workers for tasks by cores, memory and accelerators.
///
/// Each pool keeps a tree over its workers with the largest free amount of each resource per subtree, so that
/// a search skips subtrees in which the task does not fit. A task without accelerators uses workers with
/// accelerators only if it fits on no other worker. Not thread-safe.
class task_placement {
public:
    explicit task_placement(task_placement_options options = {});
    ~task_placement();
    task_placement(task_placement&&) noexcept;
    task_placement& operator=(task_placement&&) noexcept;

    /// Adds or updates a worker. A worker that moved to another pool keeps its running tasks.
    /// @param in_service whether new tasks may start on it
    void set_worker(const vm_description& vm, bool in_service);

    /// Removes a worker; has no effect when it is not known. Its tasks stay known until `release`.
    void remove_worker(std::string_view vm);

    /// Checks a task against the sizes of all workers of the pool, including those out of service.
    /// @return the reason why the task can never run in the pool, or nothing if some worker is large enough
    [[nodiscard]] std::optional<std::string> explain_infeasibility(std::string_view pool,
                                                                   const task_spec& task) const;

    /// Reserves resources for a task on the less loaded of two random workers on which it fits. The load
    /// includes a penalty for tasks of the pool in the same rack.
    /// @return the reservation, or nothing when the task fits on no worker in service or is already placed
    std::optional<task_reservation> place(boot_time now, std::string_view pool, const task_spec& task,
                                          std::mt19937_64& random);

    /// Releases the resources of a task; has no effect when the task is not placed.
    void release(std::string_view task_id);

    /// Adjusts the reserved size of a task, and the sizes assumed for later tasks of its team on its service.
    /// @param sampled_at time of the measurement; a report not newer than the last one is dropped
    void report_usage(boot_time sampled_at, std::string_view task_id, double cores_used,
                      double memory_mb_used);

    /// @return resources of a worker that are not reserved, or nothing if the worker is not known
    [[nodiscard]] std::optional<resource_vector> free_on(std::string_view vm) const;

    /// @return ratio of reserved to declared cores and memory that a new task of the team on the service gets
    [[nodiscard]] std::pair<double, double> factors(std::string_view service, std::string_view team) const;

private:
    struct impl;
    std::unique_ptr<impl> self;
};

} // namespace hornbeamrail
