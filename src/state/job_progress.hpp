#pragma once

#include "protocol/job.hpp"
#include "protocol/platform.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail {

/// Phase of a task as the scheduler tracks it.
enum class run_phase : std::uint8_t {
    waiting,
    placed,  ///< the start is recorded; the worker may have received the order
    running, ///< the worker has confirmed the start
    done,
};

/// Progress of one task. Fields marked "not recorded" are local to the current scheduler.
struct task_progress {
    run_phase phase = run_phase::waiting;
    std::int64_t run = 0;      ///< number of the latest run; 0: never started
    std::int32_t failures = 0; ///< runs that ended as failed
    /// Worker on which the task is placed or running; while it waits, the one that its next run avoids.
    std::string worker;
    std::string checkpoint; ///< checkpoint to resume from
    boot_time placed_at{};  ///< local time of the latest placement; not recorded
    boot_time retry_at{};   ///< earliest time of the next start; not recorded
    boot_time stop_sent{};  ///< latest order to stop the run; not recorded
    /// When it first waited although a worker away from its data or group could run it; not recorded.
    std::optional<boot_time> near_wait_since;
    /// Since when it waits for such a place; empty: it does not wait now; not recorded.
    std::optional<boot_time> waits_near_from;
    /// Worker on which the next run is reserved; empty if none. It is recorded as a placement there, so that
    /// this run may start without another record. Void once a record places the task elsewhere.
    std::string reserved_worker;
    std::int64_t reserved_in = 0; ///< number of the commit that records the reservation; not recorded

    [[nodiscard]] bool is_reserved() const noexcept {
        return this->phase == run_phase::waiting && !this->reserved_worker.empty();
    }
};

/// Progress of one step. `done` and `waiting` count the tasks in these phases.
struct step_progress {
    std::vector<task_progress> tasks;
    std::int32_t done = 0;
    std::int32_t waiting = 0;

    /// @return number of tasks that are placed or running
    [[nodiscard]] std::int32_t active() const noexcept {
        return static_cast<std::int32_t>(this->tasks.size()) - this->done - this->waiting;
    }
    [[nodiscard]] bool is_done() const noexcept {
        return this->done == static_cast<std::int32_t>(this->tasks.size());
    }
};

/// What the order of occurrences depends on. Kept until a task of the occurrence changes its phase.
struct occurrence_summary {
    boot_time computed_at{};
    bool has_released_tasks = false;   ///< a task waits in a released step
    bool started = false;              ///< a task is placed, running or done
    std::int64_t least_millicores = 0; ///< smallest CPU that a waiting task of a released step reserves
    std::chrono::milliseconds critical_path{0};           ///< of all steps
    std::chrono::milliseconds remaining_critical_path{0}; ///< of the steps that are not done
};

/// Progress of one occurrence of a job.
struct occurrence_progress {
    std::int32_t number = 0;
    std::vector<step_progress> steps;
    std::optional<occurrence_summary> summary; ///< not recorded

    [[nodiscard]] bool is_done() const noexcept;
};

/// How the log holds the progress of a job; see progress_records.hpp.
struct recorded_progress {
    std::int32_t parts = 0; ///< records with tasks besides the main one; 0: the main one holds all tasks
    bool parts_are_counted = false;   ///< the main record in the log says that there are parts
    std::vector<std::size_t> digests; ///< of each part as it was encoded last, without checkpoints
    bool omits_checkpoints = false;   ///< the log did not accept a record with them
};

/// A job with the progress of its tasks, as the scheduler tracks and records it.
class job_progress {
public:
    explicit job_progress(job_spec job);

    /// @return the occurrence, created with all tasks waiting if it does not exist
    occurrence_progress& occurrence(std::int32_t number);

    /// @return the task, or nullptr when the job has no such task or the occurrence does not exist yet
    task_progress* find_task(const task_id& id);

    /// Changes the phase of a task and updates the counts of its step.
    void set_phase(const task_id& id, task_progress& task, run_phase phase);

    /// @return whether @p step is released: all steps that it depends on are done in the occurrence
    [[nodiscard]] bool is_released(const occurrence_progress& progress, std::int32_t step) const;

    /// @return whether a task waits in a released step of the occurrence
    [[nodiscard]] bool has_released_tasks(const occurrence_progress& progress) const;

    /// @return how many occurrences may be open at once, which bounds the memory and the records of a job
    [[nodiscard]] std::int32_t max_open_occurrences() const noexcept;

    /// @return whether every occurrence is done
    [[nodiscard]] bool is_done() const noexcept;

    /// @return whether the job has long-running tasks
    [[nodiscard]] bool is_long_running() const noexcept;

    /// @return number of tasks that are placed or running
    [[nodiscard]] std::int32_t active_tasks() const noexcept;

    /// Opens the unfinished occurrences up to @p number, in order, if that many may be open at once.
    void open_recorded_occurrences(std::int32_t number);

    job_spec spec;
    job_state state = job_state::pending;
    bool final_state_recorded = false; ///< its final state is in the log; its last run may not have ended
    bool cancel_requested = false;
    bool beyond_share = false;  ///< its account exceeded its share; not recorded
    std::int32_t partition = 0; ///< partition of the jobs topic that holds the job's record
    /// Since when it has nothing running while only workers that take no new tasks have room; not recorded.
    std::optional<boot_time> held_back_since;
    boot_time held_back_at{}; ///< when it was last found so; not recorded
    std::deque<occurrence_progress> occurrences;
    std::int32_t finished_occurrences = 0; ///< occurrences below this number are done and no longer kept
    recorded_progress recorded;
};

} // namespace hornbeamrail
