#pragma once

#include "fakes/seeded_generator.hpp"
#include "protocol/platform.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hornbeamrail {

/// Sizes and faults of a `fake_worker`. They can be changed while it runs.
struct fake_worker_options {
    std::int64_t cores = 32;
    std::int64_t memory_mb = 65536;
    std::int64_t accelerators = 0;
    std::chrono::microseconds usage_lag{
        2'000'000};                ///< delay until a state change appears in the usage report
    double size_factor = 1;        ///< actual use divided by the reserved cores and memory
    double run_time_factor = 1;    ///< actual run time divided by the declared one
    bool fails_everything = false; ///< every task fails after 0.1 % of its run time
    bool can_checkpoint = true;
};

struct task_lease_request {
    std::string task_id;
    log_offset fencing_token = 0;
    std::int64_t cores = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;
    std::chrono::microseconds ttl{10'000'000};
    bool adopt = false; ///< succeeds only when the worker already holds the task
};

enum class worker_verdict { done, stale_token, no_room, lease_lapsed, unknown_task, not_supported };

struct task_lease_answer {
    worker_verdict verdict = worker_verdict::done;
    std::string lease_id; ///< set when the verdict is `done`
};

enum class worker_task_state { reserved, running, throttled, finished, failed, stopped, checkpointed };

/// @return "reserved", "running", "throttled", "finished", "failed", "stopped" or "checkpointed"
std::string_view to_string(worker_task_state state) noexcept;

struct task_usage {
    std::string task_id;
    worker_task_state state = worker_task_state::reserved;
    double cores_used = 0;
    double memory_mb_used = 0;
};

/// In-memory stand-in of a guarded worker: tasks run under leases that the worker grants. Not thread-safe.
/// The caller must deliver nothing to it before `paused_until()`; leases lapse during a pause.
class fake_worker {
public:
    explicit fake_worker(fake_worker_options options = {});

    [[nodiscard]] fake_worker_options& faults() noexcept { return this->options; }

    /// Reserves resources. A reservation whose fencing token is not lower than the current one of the task
    /// adopts a reserved or running task; a reservation with a lower token is refused.
    task_lease_answer reserve(boot_time now, const task_lease_request& request);

    /// Starts a reserved task. A repeated start has no second effect.
    /// @param run_time declared run time, before `run_time_factor`
    worker_verdict start(boot_time now, const std::string& task_id, const std::string& lease_id,
                         std::chrono::microseconds run_time);

    /// Executes a command on a task under its current lease.
    worker_verdict command(boot_time now, const std::string& task_id, const std::string& lease_id,
                           task_command requested);

    /// @return the tasks with their states of `usage_lag` ago; ended tasks are listed for a minute
    [[nodiscard]] std::vector<task_usage> usage(boot_time now);

    /// Drops every task and lease, as a restart of the worker process does.
    void restart();

    void pause(boot_time until) { this->resume_time = until; }
    [[nodiscard]] boot_time paused_until() const noexcept { return this->resume_time; }

    /// @return number of tasks that run now
    [[nodiscard]] std::int64_t running(boot_time now);

private:
    struct task_entry {
        task_lease_request reservation;
        std::string lease_id;
        boot_time lease_end{};
        worker_task_state state = worker_task_state::reserved;
        worker_task_state previous_state = worker_task_state::reserved; ///< reported during `usage_lag`
        boot_time changed{};
        boot_time ends{};
    };

    void advance(boot_time now);
    static void set_state(boot_time now, task_entry& entry, worker_task_state state);
    [[nodiscard]] bool fits(const task_lease_request& request) const;
    task_entry* find_leased(boot_time now, const std::string& task_id, const std::string& lease_id,
                            worker_verdict& verdict);

    fake_worker_options options;
    std::int64_t issued_leases = 0;
    std::map<std::string, task_entry> tasks;
    boot_time resume_time{};
};

} // namespace hornbeamrail
