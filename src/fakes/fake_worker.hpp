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
    std::chrono::microseconds usage_lag{2'000'000};
    double size_factor = 1;     ///< true use over the reserved cores and memory
    double run_time_factor = 1; ///< true run time over the declared one
    bool fails_everything = false;
    bool can_checkpoint = true;
};

struct task_lease_request {
    std::string task_id;
    log_offset fencing_token = 0;
    std::int64_t cores = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;
    std::chrono::microseconds ttl{10'000'000};
    bool adopt = false; ///< only if the worker holds the task already
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

/// In-memory stand-in of a guarded worker: tasks run under leases that it granted itself. Not thread-safe.
/// While it is paused the caller delivers nothing to it before `paused_until()`; leases lapse meanwhile.
class fake_worker {
public:
    explicit fake_worker(fake_worker_options options = {});

    [[nodiscard]] fake_worker_options& faults() noexcept { return this->options; }

    /// Reserves resources. A reservation with a higher fencing token adopts a running task; one with a lower
    /// token than the highest seen for the task is refused.
    task_lease_answer reserve(boot_time now, const task_lease_request& request);

    /// Starts a reserved task. A repeated start has no second effect.
    /// @param run_time true run time before `run_time_factor`
    worker_verdict start(boot_time now, const std::string& task_id, const std::string& lease_id,
                         std::chrono::microseconds run_time);

    worker_verdict command(boot_time now, const std::string& task_id, const std::string& lease_id,
                           task_command wanted);

    /// @return the tasks as they were `usage_lag` ago; ended tasks are listed for a minute
    [[nodiscard]] std::vector<task_usage> usage(boot_time now);

    /// Loses every task and lease.
    void restart();

    void pause(boot_time until) { this->resumes = until; }
    [[nodiscard]] boot_time paused_until() const noexcept { return this->resumes; }

    /// @return number of tasks that run now
    [[nodiscard]] std::int64_t running(boot_time now);

private:
    struct task_entry {
        task_lease_request reservation;
        std::string lease_id;
        boot_time lease_end{};
        worker_task_state state = worker_task_state::reserved;
        worker_task_state state_before = worker_task_state::reserved; ///< what the lagging report shows
        boot_time changed{};
        boot_time ends{};
    };

    void advance(boot_time now);
    static void set_state(boot_time now, task_entry& entry, worker_task_state state);
    [[nodiscard]] bool fits(const task_lease_request& request) const;
    task_entry* find_leased(boot_time now, const std::string& task_id, const std::string& lease_id,
                            worker_verdict& verdict);

    fake_worker_options options;
    std::int64_t issued = 0;
    std::map<std::string, task_entry> tasks;
    boot_time resumes{};
};

} // namespace hornbeamrail
