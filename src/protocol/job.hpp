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

/// Time of day in whole milliseconds since 1970, as callers and operators state it.
using unix_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// An amount of what a worker offers or a task takes.
struct resources {
    std::int64_t cpu_millicores = 0; ///< thousandths of a core
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    resources& operator+=(const resources& other) noexcept;
    resources& operator-=(const resources& other) noexcept;
    friend bool operator==(const resources&, const resources&) = default;
};

/// @return whether @p need fits into @p room in every dimension
[[nodiscard]] bool fits(const resources& need, const resources& room) noexcept;

/// One step of a job: tasks of the same size that may run side by side.
struct step_spec {
    std::int32_t count = 1;                ///< number of tasks
    resources need;                        ///< of each task
    std::chrono::milliseconds estimate{0}; ///< rough duration of a task, as the submitter states it
    std::vector<std::int32_t> after;       ///< numbers of earlier steps that must be done first
    bool gang = false;                     ///< all tasks run at the same time or none
    bool rack_sensitive = false;           ///< the tasks run slower when they are on several racks
    bool speculative = false;              ///< several runs of one task may be active at the same time
    bool long_running = false;             ///< the tasks run until the job is cancelled
    bool supports_checkpoints = false;
    bool best_effort = false;        ///< takes only capacity that the other tasks leave unused
    std::string required_label;      ///< label that the worker must have; empty: any worker
    std::string data_rack;           ///< rack where the tasks run at full speed; empty: any
    std::int32_t max_per_worker = 0; ///< tasks of one occurrence on one worker; 0: no limit
    std::string image;
    std::chrono::milliseconds latency_target{0}; ///< of the users of long-running tasks; 0: none
    std::int32_t max_unavailable = 0;            ///< tasks of a long-running step that may be away at once
};

/// A job as its submitter gave it.
struct job_spec {
    std::string id;            ///< 16 hexadecimal digits, chosen by the submitter
    std::string queue;         ///< name of the queue that it was submitted to
    std::string account;       ///< client account; empty on open queues
    std::string pool;          ///< of the queue when the job was accepted, for queues that are removed later
    std::int32_t attempts = 1; ///< of the queue when the job was accepted
    std::string payload;       ///< passed on to every task
    std::vector<step_spec> steps;
    std::int32_t occurrences = 0; ///< 0: the steps run once, at once
    unix_time first_due{};        ///< due time of occurrence 0
    std::chrono::milliseconds interval{0};
    unix_time submitted{};

    [[nodiscard]] bool is_timed() const noexcept { return this->occurrences > 0; }
    [[nodiscard]] std::int32_t occurrence_count() const noexcept {
        return this->occurrences > 0 ? this->occurrences : 1;
    }
    [[nodiscard]] unix_time due(std::int32_t occurrence) const noexcept {
        return this->is_timed() ? this->first_due + occurrence * this->interval : this->submitted;
    }
};

/// Names one task: a job may have several occurrences, each with the tasks of every step.
struct task_id {
    std::string job;
    std::int32_t occurrence = 0;
    std::int32_t step = 0;
    std::int32_t index = 0;

    friend bool operator==(const task_id&, const task_id&) = default;
    friend auto operator<=>(const task_id&, const task_id&) = default;
};

enum class job_state { pending, running, completed, failed, cancelled };

/// @return whether no task of a job in this state starts any more
[[nodiscard]] bool is_final(job_state state) noexcept;

/// @return "pending", "running", "completed", "failed" or "cancelled"
std::string_view to_string(job_state state) noexcept;
std::optional<job_state> parse_job_state(std::string_view text) noexcept;

/// @return the problem that makes the job impossible to accept, or nothing
std::optional<std::string> find_problem(const job_spec& job);

/// Writes a job as the log keeps it.
boost::json::object to_json(const job_spec& job);

/// Reads a job that `to_json` wrote.
/// @return `errc::parse_failed` for anything else
result<job_spec> parse_job(std::string_view id, const boost::json::value& document);

} // namespace hornbeamrail
