#include "scheduler/scheduler_impl.hpp"

#include <algorithm>

// Pattern of load: the log is silent for seconds while accepted jobs are between two steps. A start needs its
// record first, so the placement of the later steps is recorded together with the start of an earlier one. A
// successor treats a reservation as a run that may exist: it asks the worker, under its own fence, before it
// starts the task elsewhere. A reserved run may therefore start without another record, as long as this
// scheduler may extend leases.

namespace hornbeamrail {

bool scheduler::impl::log_is_late(boot_time now) const {
    return this->batch_in_flight && now >= this->last_commit + this->timings.late_append;
}

void scheduler::impl::withdraw_unrecorded_starts() {
    for (const auto& start : this->next_batch.starts) {
        auto* task = this->remove_unsent_start(start);
        if (task == nullptr) {
            continue;
        }
        this->find_job(start.task.job)->set_phase(start.task, *task, run_phase::waiting);
        task->worker.clear();
        --task->run; // no record and no order has this number
    }
    this->next_batch.starts.clear();
}

void scheduler::impl::drop_unrecorded_reservations(job_progress& job) const {
    for (auto& occurrence : job.occurrences) {
        for (auto& step : occurrence.steps) {
            for (auto& task : step.tasks) {
                if (task.is_reserved() && task.reserved_in > this->commits_recorded) {
                    task.reserved_worker.clear();
                }
            }
        }
    }
}

bool scheduler::impl::can_be_reserved(const job_progress& job, const step_spec& step) const {
    const auto* queue = this->find_queue(job.spec.queue);
    const bool needs_ticket = queue != nullptr && queue->advice;
    return !step.after.empty() && !step.gang && !step.long_running && !step.best_effort && !needs_ticket;
}

void scheduler::impl::reserve_later_steps(job_progress& job, occurrence_progress& occurrence,
                                          std::int32_t number) {
    const auto& placed = occurrence.steps[static_cast<std::size_t>(number)].tasks;
    for (std::size_t later = static_cast<std::size_t>(number) + 1; later < occurrence.steps.size(); ++later) {
        if (!this->can_be_reserved(job, job.spec.steps[later])) {
            continue;
        }
        auto& tasks = occurrence.steps[later].tasks;
        for (std::size_t index = 0; index < tasks.size(); ++index) {
            auto& task = tasks[index];
            const auto& worker = placed[index % placed.size()].worker;
            if (task.phase != run_phase::waiting || task.is_reserved() || worker.empty()) {
                continue;
            }
            task.reserved_worker = worker;
            task.reserved_in = this->commits_begun + 1;
            this->mark_dirty(job); // so that the next commit records it
        }
    }
}

std::optional<std::size_t> scheduler::impl::find_reserved_worker(const task_progress& task,
                                                                 const std::vector<worker_view>& views,
                                                                 const placement_request& request) const {
    if (!task.is_reserved() || task.reserved_in > this->commits_recorded) {
        return std::nullopt;
    }
    const auto found = std::find_if(views.begin(), views.end(),
                                    [&task](const auto& view) { return view.id == task.reserved_worker; });
    if (found == views.end() || !can_run(*found, request)) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - views.begin());
}

} // namespace hornbeamrail
