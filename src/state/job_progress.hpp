#pragma once

#include "protocol/job.hpp"
#include "protocol/platform.hpp"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail {

enum class run_phase : std::uint8_t {
    waiting,
    placed,  ///< the start is recorded; the worker may have received the order
    running, ///< the worker has confirmed the start
    done,
};

/// Progress of one task, as far as a successor of the scheduler must know it.
struct task_progress {
    run_phase phase = run_phase::waiting;
    std::int64_t run = 0;      ///< number of the latest start; 0: never started
    std::int32_t failures = 0; ///< runs that ended as failed
    std::string worker;        ///< where it is placed or running
    std::string checkpoint;    ///< progress to resume from
    boot_time placed_at{};     ///< local time of the latest placement; not recorded
    boot_time retry_at{};      ///< not before this time; not recorded
    boot_time stop_sent{};     ///< latest order to stop the run; not recorded
};

struct step_progress {
    std::vector<task_progress> tasks;
    std::int32_t done = 0;
    std::int32_t waiting = 0;

    [[nodiscard]] bool is_done() const noexcept {
        return this->done == static_cast<std::int32_t>(this->tasks.size());
    }
};

struct occurrence_progress {
    std::int32_t number = 0;
    std::vector<step_progress> steps;

    [[nodiscard]] bool is_done() const noexcept;
};

/// A job with the progress of its tasks.
class job_progress {
public:
    explicit job_progress(job_spec job);

    /// @return the occurrence; made with all its tasks waiting when it was not there
    occurrence_progress& occurrence(std::int32_t number);

    /// @return the task, or null when the job has none of that name or the occurrence was not made yet
    task_progress* find_task(const task_id& id);

    /// Changes the phase of a task and the counts of its step.
    void set_phase(const task_id& id, task_progress& task, run_phase phase);

    /// @return whether every step that @p step waits for is done in the occurrence
    [[nodiscard]] bool is_released(const occurrence_progress& from, std::int32_t step) const;

    /// @return whether a task of the occurrence waits whose step waits for no other
    [[nodiscard]] bool has_released_tasks(const occurrence_progress& of) const;

    /// @return whether every occurrence is done
    [[nodiscard]] bool is_done() const noexcept;

    /// @return whether the tasks last until the job is cancelled
    [[nodiscard]] bool is_long_running() const noexcept;

    /// @return tasks that are placed or running
    [[nodiscard]] std::int32_t active_tasks() const noexcept;

    /// Writes state and progress as the log keeps them.
    [[nodiscard]] std::string encode() const;

    /// Reads what `encode` wrote into this job.
    /// @return `errc::parse_failed` for anything else
    result<void> decode(std::string_view text);

    job_spec spec;
    job_state state = job_state::pending;
    bool cancel_requested = false;
    bool beyond_share = false;  ///< its account had sent more than its share; not recorded
    std::int32_t partition = 0; ///< of the jobs topic, where the job's record lies
    std::deque<occurrence_progress> occurrences;
    std::int32_t finished_occurrences = 0; ///< occurrences below this number are done and dropped
};

} // namespace hornbeamrail
