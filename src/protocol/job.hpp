#pragma once

#include "hornbeamrail/error.hpp"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail {

/// Wall-clock time in whole milliseconds since the Unix epoch.
using unix_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// Resources that a worker offers or a task requires.
struct resources {
    std::int64_t cpu_millicores = 0; ///< thousandths of a core
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    resources& operator+=(const resources& other) noexcept;
    resources& operator-=(const resources& other) noexcept;
    friend bool operator==(const resources&, const resources&) = default;
};

/// @return whether @p need fits into @p available in every dimension
[[nodiscard]] bool fits(const resources& need, const resources& available) noexcept;

/// Limits of a job, which bound what the scheduler keeps of it.
struct job_limits {
    static constexpr std::size_t max_steps = 200;
    static constexpr std::int64_t max_tasks = 2000; ///< of all steps together
    static constexpr std::int64_t max_occurrences = 1'000'000;
    static constexpr std::chrono::milliseconds max_duration = std::chrono::hours(24 * 365);
    static constexpr std::int64_t max_resource = 1'000'000'000; ///< of one task, in any unit
};

/// One step of a job: tasks of the same size that may run in parallel.
struct step_spec {
    std::int32_t count = 1;                ///< number of tasks
    resources need;                        ///< per task
    std::chrono::milliseconds estimate{0}; ///< approximate task duration declared by the submitter
    std::vector<std::int32_t> after;       ///< numbers of earlier steps that this step depends on
    bool gang = false;                     ///< the tasks run all at the same time or not at all
    bool rack_sensitive = false;           ///< the tasks run slower when spread over several racks
    bool speculative = false;              ///< several runs of one task may be active at the same time
    bool long_running = false;             ///< the tasks run until the job is cancelled
    bool supports_checkpoints = false;     ///< a restarted task resumes from its latest checkpoint
    bool best_effort = false;              ///< uses only capacity that other tasks leave unused
    std::string required_label;            ///< label that the worker must have; empty: any worker
    std::string data_rack;           ///< rack that holds the data; tasks elsewhere run slower; empty: any
    std::int32_t max_per_worker = 0; ///< tasks per occurrence on one worker; 0: no limit
    std::string image;
    std::chrono::milliseconds latency_target{0}; ///< for requests to long-running tasks; 0: none
    std::int32_t max_unavailable = 0;            ///< tasks of a long-running step that may be down at once

    /// @return what a task reserves on its worker: `need`, for best-effort tasks without CPU
    [[nodiscard]] resources reserved() const noexcept {
        auto reserved = this->need;
        reserved.cpu_millicores = this->best_effort ? 0 : reserved.cpu_millicores;
        return reserved;
    }
};

/// A job as submitted.
struct job_spec {
    std::string id;            ///< 16 hexadecimal digits, chosen by the submitter
    std::string queue;         ///< name of the queue it was submitted to
    std::string account;       ///< client account; empty on open queues
    std::string pool;          ///< pool of the queue at acceptance; still valid if the queue is removed
    std::int32_t attempts = 1; ///< `queue_config::attempts` of the queue at acceptance
    std::string payload;       ///< passed to every task unchanged
    std::vector<step_spec> steps;
    std::int32_t occurrences = 0; ///< 0: the steps run once, immediately
    unix_time first_due{};        ///< due time of occurrence 0
    std::chrono::milliseconds interval{0};
    unix_time submitted{};

    /// @return whether the job has occurrences with due times
    [[nodiscard]] bool is_timed() const noexcept { return this->occurrences > 0; }
    [[nodiscard]] std::int32_t occurrence_count() const noexcept {
        return this->occurrences > 0 ? this->occurrences : 1;
    }
    /// @return number of tasks of one occurrence
    [[nodiscard]] std::int64_t tasks_per_occurrence() const noexcept {
        std::int64_t tasks = 0;
        for (const auto& step : this->steps) {
            tasks += step.count;
        }
        return tasks;
    }
    /// @return the due time of an occurrence; the submission time for a job without occurrences
    [[nodiscard]] unix_time due(std::int32_t occurrence) const noexcept {
        return this->is_timed() ? this->first_due + occurrence * this->interval : this->submitted;
    }
};

/// Identifies one task. A job may have several occurrences, each with the tasks of every step.
struct task_id {
    std::string job;
    std::int32_t occurrence = 0;
    std::int32_t step = 0;
    std::int32_t index = 0;

    friend bool operator==(const task_id&, const task_id&) = default;
    friend auto operator<=>(const task_id&, const task_id&) = default;
};

/// State of a job as reported to callers.
enum class job_state { pending, running, completed, failed, cancelled };

/// @return whether the state is terminal: no task of the job starts again
[[nodiscard]] bool is_final(job_state state) noexcept;

/// @return "pending", "running", "completed", "failed" or "cancelled"
std::string_view to_string(job_state state) noexcept;
/// @return the state with that name, or nothing for an unknown name
std::optional<job_state> parse_job_state(std::string_view text) noexcept;

/// @return partition of the jobs topic that holds the records of the job: the same on every node
std::int32_t partition_of_job(std::string_view id, std::int32_t partitions) noexcept;

/// @return the reason why the job is invalid, or nothing for a valid job
std::optional<std::string> find_problem(const job_spec& job);

/// @return the job in the format of the log
boost::json::object to_json(const job_spec& job);

/// Reads a job that `to_json` wrote.
/// @param id id of the job, which the document does not repeat
/// @return the job, or `errc::parse_failed` when the document is malformed or the job is invalid
result<job_spec> parse_job(std::string_view id, const boost::json::value& document);

} // namespace hornbeamrail
