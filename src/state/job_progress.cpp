#include "state/job_progress.hpp"

#include <algorithm>

namespace hornbeamrail {

bool occurrence_progress::is_done() const noexcept {
    return std::all_of(this->steps.begin(), this->steps.end(),
                       [](const step_progress& step) { return step.is_done(); });
}

job_progress::job_progress(job_spec job) : spec(std::move(job)) {}

occurrence_progress& job_progress::occurrence(std::int32_t number) {
    const auto found = std::find_if(this->occurrences.begin(), this->occurrences.end(),
                                    [number](const auto& item) { return item.number == number; });
    if (found != this->occurrences.end()) {
        return *found;
    }
    occurrence_progress created{.number = number};
    for (const auto& step : this->spec.steps) {
        created.steps.push_back({.tasks = std::vector<task_progress>(static_cast<std::size_t>(step.count)),
                                 .waiting = step.count});
    }
    this->occurrences.push_back(std::move(created));
    return this->occurrences.back();
}

task_progress* job_progress::find_task(const task_id& id) {
    const auto found = std::find_if(this->occurrences.begin(), this->occurrences.end(),
                                    [&id](const auto& item) { return item.number == id.occurrence; });
    if (found == this->occurrences.end() || id.step < 0 ||
        id.step >= static_cast<std::int32_t>(found->steps.size())) {
        return nullptr;
    }
    auto& tasks = found->steps[static_cast<std::size_t>(id.step)].tasks;
    if (id.index < 0 || id.index >= static_cast<std::int32_t>(tasks.size())) {
        return nullptr;
    }
    return &tasks[static_cast<std::size_t>(id.index)];
}

void job_progress::set_phase(const task_id& id, task_progress& task, run_phase phase) {
    auto& occurrence = this->occurrence(id.occurrence);
    occurrence.summary.reset();
    auto& step = occurrence.steps[static_cast<std::size_t>(id.step)];
    const auto adjust_counts = [&step](run_phase counted, std::int32_t change) {
        step.done += counted == run_phase::done ? change : 0;
        step.waiting += counted == run_phase::waiting ? change : 0;
    };
    adjust_counts(task.phase, -1);
    task.phase = phase;
    adjust_counts(phase, 1);
}

bool job_progress::is_released(const occurrence_progress& progress, std::int32_t step) const {
    const auto& after = this->spec.steps[static_cast<std::size_t>(step)].after;
    return std::all_of(after.begin(), after.end(), [&progress](std::int32_t earlier) {
        return progress.steps[static_cast<std::size_t>(earlier)].is_done();
    });
}

bool job_progress::has_released_tasks(const occurrence_progress& progress) const {
    for (std::size_t step = 0; step < progress.steps.size(); ++step) {
        if (progress.steps[step].waiting > 0 &&
            this->is_released(progress, static_cast<std::int32_t>(step))) {
            return true;
        }
    }
    return false;
}

std::int32_t job_progress::max_open_occurrences() const noexcept {
    const auto tasks = std::max<std::int64_t>(1, this->spec.tasks_per_occurrence());
    return static_cast<std::int32_t>(std::max<std::int64_t>(1, job_limits::max_tasks / tasks));
}

bool job_progress::is_done() const noexcept {
    const auto left = this->spec.occurrence_count() - this->finished_occurrences;
    return left <= static_cast<std::int32_t>(this->occurrences.size()) &&
           std::all_of(this->occurrences.begin(), this->occurrences.end(),
                       [](const auto& item) { return item.is_done(); });
}

bool job_progress::is_long_running() const noexcept {
    return std::any_of(this->spec.steps.begin(), this->spec.steps.end(),
                       [](const step_spec& step) { return step.long_running; });
}

std::int32_t job_progress::active_tasks() const noexcept {
    std::int32_t active = 0;
    for (const auto& occurrence : this->occurrences) {
        for (const auto& step : occurrence.steps) {
            active += step.active();
        }
    }
    return active;
}

void job_progress::open_recorded_occurrences(std::int32_t number) {
    const auto end =
        std::min<std::int64_t>(this->spec.occurrence_count(), std::int64_t{this->finished_occurrences} +
                                                                  std::int64_t{this->max_open_occurrences()});
    // Those before it are open too, but have no row while none of their tasks was started.
    for (auto next = std::max(this->finished_occurrences, 0); next <= number && number < end; ++next) {
        this->occurrence(next);
    }
}

} // namespace hornbeamrail
