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

struct task_placement_options {
    std::chrono::milliseconds settle_time{
        10000};                ///< usage reports this soon after a start do not lower a size
    double usage_margin = 1.2; ///< reserved over reported use
    double min_factor = 0.25;  ///< bounds of use over declared size for new tasks
    double max_factor = 4;
};

struct task_reservation {
    std::string vm;
    resource_vector size; ///< what to lease: the declared size, corrected by the use of earlier tasks
};

/// Chooses workers for tasks by cores, memory and accelerators.
///
/// Each pool keeps a tree over its workers that holds the largest free amount of each resource per subtree,
/// so a search skips subtrees that cannot hold the task. A task without accelerators uses workers with
/// accelerators only if no other fits.
class task_placement {
public:
    explicit task_placement(task_placement_options options = {});
    ~task_placement();
    task_placement(task_placement&&) noexcept;
    task_placement& operator=(task_placement&&) noexcept;

    /// Adds a worker or changes it. A worker that moved to another pool keeps its running tasks.
    /// @param in_service whether new tasks may start on it
    void set_worker(const vm_description& vm, bool in_service);
    void remove_worker(std::string_view vm);

    /// @return why the task can never run in the pool, or nothing if some worker is large enough
    [[nodiscard]] std::optional<std::string> explain_infeasibility(std::string_view pool,
                                                                   const task_spec& task) const;

    /// Reserves room for a task. The lesser loaded of two random fitting workers is taken; racks count as
    /// well.
    /// @return the worker, or nothing when no worker in service has room now
    std::optional<task_reservation> place(boot_time now, std::string_view pool, const task_spec& task,
                                          std::mt19937_64& random);

    /// Frees the room of a task; a second call has no effect.
    void release(std::string_view task_id);

    /// Takes in a usage report, which describes the past.
    /// @param sampled_at when the worker measured; reports older than the last one are dropped
    void report_usage(boot_time sampled_at, std::string_view task_id, double cores_used,
                      double memory_mb_used);

    /// @return free resources of a worker by reserved sizes, or nothing if it is not known
    [[nodiscard]] std::optional<resource_vector> free_on(std::string_view vm) const;

    /// @return use over declared size that is assumed for a new task of the team on the service: cores,
    /// memory
    [[nodiscard]] std::pair<double, double> factors(std::string_view service, std::string_view team) const;

private:
    struct impl;
    std::unique_ptr<impl> self;
};

} // namespace hornbeamrail
