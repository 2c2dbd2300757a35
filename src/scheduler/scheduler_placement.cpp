#include "scheduler/scheduler_impl.hpp"

#include <algorithm>

// Choice of workers for the tasks of one step.

namespace hornbeamrail {

namespace {

std::int32_t tasks_of_step(const worker_control& worker, const task_id& step) {
    const task_id first{.job = step.job, .occurrence = step.occurrence, .step = step.step, .index = 0};
    std::int32_t count = 0;
    for (auto at = worker.tasks.lower_bound(first); at != worker.tasks.end(); ++at) {
        if (at->first.job != step.job || at->first.occurrence != step.occurrence ||
            at->first.step != step.step) {
            break;
        }
        ++count;
    }
    return count;
}

} // namespace

bool scheduler::impl::is_within_upper_limit(const job_progress& job, limited_start start,
                                            std::int32_t placed) const {
    const auto& account = job.spec.account;
    const auto* config_entry = account.empty() ? nullptr : this->config->find_account(account);
    if (config_entry == nullptr) {
        return true;
    }
    const account_limit limit{.upper_limit = config_entry->upper_limit,
                              .tolerance = this->options.limits.upper_limit_tolerance};
    const auto known_use = this->account_use.find(account);
    auto used = known_use == this->account_use.end() ? resources{} : known_use->second;
    for (std::int32_t task = 0; task < placed; ++task) {
        used -= start.task;
    }
    start.must_not_wait = start.must_not_wait || job.active_tasks() == placed;
    const auto verdict = limit.check(used, start);
    return verdict == limit_verdict::within ||
           (verdict == limit_verdict::beyond && this->count_open_starts(account) == placed);
}

bool scheduler::impl::is_still_within_upper_limit(job_progress& job, const task_id& id) const {
    const auto& step = job.spec.steps[static_cast<std::size_t>(id.step)];
    if (!step.gang) {
        return this->is_within_upper_limit(job, start_of_task(step), 1);
    }
    const auto& members = job.occurrence(id.occurrence).steps[static_cast<std::size_t>(id.step)];
    return this->is_within_upper_limit(job, start_of_gang(step), members.active());
}

std::int32_t scheduler::impl::count_open_starts(const std::string& account) const {
    std::int32_t open = 0;
    for (const auto& [worker_id, worker] : this->workers) {
        for (const auto& [id, placed] : worker.tasks) {
            const auto job = this->jobs.find(id.job);
            const bool is_open = placed.is_starting() || placed.is_unresolved();
            open += is_open && job != this->jobs.end() && job->second->spec.account == account ? 1 : 0;
        }
    }
    return open;
}

void scheduler::impl::apply_step_rules(accepting_workers& candidates, const step_spec& step,
                                       const task_id& step_id) {
    for (std::size_t index = 0; index < candidates.views.size(); ++index) {
        auto& view = candidates.views[index];
        const auto& worker = *candidates.controls[index];
        view.same_step_tasks =
            step.max_per_worker > 0 || step.long_running ? tasks_of_step(worker, step_id) : 0;
        view.allowed = step.required_label.empty() || worker.entry.has_label(step.required_label);
    }
}

placement_request scheduler::impl::make_request(const step_spec& step) {
    return {.need = step.reserved(),
            .data_rack = step.data_rack,
            .max_per_worker = step.max_per_worker,
            .best_effort = step.best_effort,
            .latency_sensitive = step.latency_target.count() > 0,
            .unlimited_attempts = step.long_running,
            .spread = step.long_running};
}

void scheduler::impl::note_held_back(job_progress& job, const placement_request& request,
                                     const std::vector<worker_view>& views,
                                     const std::vector<worker_control*>& controls, boot_time now) const {
    if (job.active_tasks() > 0) {
        return;
    }
    auto unconditional = request;
    unconditional.overdue = true;
    unconditional.unlimited_attempts = true;
    const auto can_run_task = [&](const worker_view& view) {
        return can_run(view, unconditional);
    };
    if (std::none_of(views.begin(), views.end(), can_run_task)) {
        return;
    }
    const bool goes_on = job.held_back_since && now <= job.held_back_at + this->timings.held_back_gap;
    job.held_back_since = goes_on ? *job.held_back_since : now;
    job.held_back_at = now;
    // A VM that starts to drain in place of another holds the job back since the other did.
    for (std::size_t index = 0; index < views.size(); ++index) {
        if (views[index].standing == worker_standing::leaving && can_run_task(views[index])) {
            auto& since = controls[index]->found_to_hold_back_since;
            since = std::min(since.value_or(now), *job.held_back_since);
        }
    }
}

bool scheduler::impl::is_held_back_long(const job_progress& job, boot_time now) const {
    return job.held_back_since && now <= job.held_back_at + this->timings.held_back_gap &&
           now >= *job.held_back_since + this->timings.longest_hold_back &&
           !this->is_half_used(this->pool_of(job));
}

bool scheduler::impl::place_step(const pending_occurrence& item, std::int32_t number,
                                 accepting_workers& candidates, boot_time now) {
    auto& job = *item.job;
    auto& occurrence = job.occurrence(item.occurrence);
    const auto& step = job.spec.steps[static_cast<std::size_t>(number)];
    const task_id step_id{.job = job.spec.id, .occurrence = occurrence.number, .step = number};
    auto& views = candidates.views;
    const auto& controls = candidates.controls;
    apply_step_rules(candidates, step, step_id);
    const auto* queue = this->find_queue(job.spec.queue);
    const bool needs_advice = queue != nullptr && queue->advice;
    if (needs_advice) {
        const auto& granted_advice = this->get_advice(step_id, candidates, now);
        for (auto& view : views) {
            view.allowed = view.allowed && granted_advice.tickets.contains(std::string(view.id));
        }
    }
    const bool log_late = this->log_is_late(now);
    bool placed_all = false;
    if (step.gang) {
        placed_all = !log_late && this->place_gang(item, number, candidates, now);
    } else {
        auto request = make_request(step);
        if (step.rack_sensitive) {
            const auto group = this->choose_group_rack(item, number, request, candidates, now);
            if (group.waits) {
                return true;
            }
            request.preferred_rack = group.rack;
        }
        const bool any_worker_may = !needs_advice && step.required_label.empty() && step.max_per_worker == 0;
        placed_all = this->place_tasks(item, number, request, candidates, any_worker_may, now);
    }
    if (!placed_all && needs_advice) {
        this->request_more_advice(step_id, candidates, now);
    }
    if (!log_late && !step.gang) {
        this->reserve_later_steps(job, occurrence, number);
    }
    return placed_all;
}

bool scheduler::impl::place_tasks(const pending_occurrence& item, std::int32_t number,
                                  placement_request request, accepting_workers& candidates,
                                  bool any_worker_may, boot_time now) {
    auto& job = *item.job;
    auto& occurrence = job.occurrence(item.occurrence);
    auto& views = candidates.views;
    const auto& controls = candidates.controls;
    auto& too_large = candidates.too_large;
    const auto& step = job.spec.steps[static_cast<std::size_t>(number)];
    const bool log_late = this->log_is_late(now);
    const auto attempts = this->attempts_of(job);
    const auto target = this->find_near_target(item, number, request.preferred_rack, now);
    bool placed_all = true;
    auto& tasks = occurrence.steps[static_cast<std::size_t>(number)].tasks;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        auto& task = tasks[index];
        if (task.phase != run_phase::waiting || now < task.retry_at) {
            this->dispatch_due = this->dispatch_due || now < task.retry_at;
            continue;
        }
        if (!this->is_within_upper_limit(job, start_of_task(step))) {
            return false;
        }
        if (!log_late && this->has_enough_starts()) {
            return true; // the next dispatch goes on
        }
        const task_id id{.job = job.spec.id,
                         .occurrence = occurrence.number,
                         .step = number,
                         .index = static_cast<std::int32_t>(index)};
        request.overdue = step.long_running && this->is_overdue(id, now);
        request.unlimited_attempts =
            step.long_running || (task.failures + 1 < attempts && this->is_held_back_long(job, now));
        const bool is_plain =
            any_worker_may && !log_late && task.worker.empty() && !request.unlimited_attempts;
        const bool cannot_fit = is_plain && too_large && fits(*too_large, request.need);
        const auto choice = cannot_fit ? std::nullopt
                            : log_late ? this->find_reserved_worker(task, views, request)
                                       : this->find_place(id, task, target, request, candidates, now);
        if (!choice && !cannot_fit && task.waits_near_from) {
            continue;
        }
        if (!choice && is_plain) {
            too_large = cannot_fit ? too_large : request.need;
        }
        if (!choice && !log_late) {
            note_held_back(job, request, views, controls, now);
        }
        // Others may have failed elsewhere, or may use more workers because they are overdue.
        const bool others_may_fit =
            log_late || !task.worker.empty() || (step.long_running && !request.overdue);
        if (!choice && others_may_fit) {
            placed_all = placed_all && log_late;
            continue;
        }
        if (!choice) {
            return false;
        }
        auto& view = views[*choice];
        view.available -= request.need;
        ++view.same_step_tasks;
        view.latency_sensitive_tasks += request.latency_sensitive ? 1 : 0;
        view.best_effort_tasks += request.best_effort ? 1 : 0;
        view.long_running_tasks += step.long_running ? 1 : 0;
        if (log_late) {
            this->place_reserved(job, id, task, *controls[*choice], now);
        } else {
            this->place(job, id, task, *controls[*choice], task.run + 1, now);
        }
    }
    return placed_all;
}

std::optional<std::size_t> scheduler::impl::find_place(const task_id& id, task_progress& task,
                                                       const near_target& target,
                                                       const placement_request& request,
                                                       accepting_workers& candidates, boot_time now) {
    // A task that failed or has saved work may have little left to do, and has lost time already.
    if (target.rack.empty() || !task.worker.empty() || !task.checkpoint.empty()) {
        this->note_near_decision(task, false, now);
        return this->find_worker(task, candidates.views, request, now);
    }
    const bool has_waited = task.waits_near_from.has_value();
    if (has_waited) {
        const auto& rack = this->find_near_rack(*this->find_job(id.job), target.rack, candidates, now);
        const auto near = choose_worker_among(candidates.views, rack.places.workers(), request);
        if (near || this->waits_near(id, task, target, request, candidates, now)) {
            return near;
        }
    }
    const auto choice = this->find_worker(task, candidates.views, request, now);
    const bool is_far = choice && candidates.views[*choice].rack != target.rack;
    const bool may_begin = is_far && !has_waited;
    return may_begin && this->waits_near(id, task, target, request, candidates, now) ? std::nullopt : choice;
}

std::optional<std::size_t> scheduler::impl::find_worker(const task_progress& task,
                                                        const std::vector<worker_view>& views,
                                                        placement_request request, boot_time now) const {
    request.avoided_worker = task.worker; // where its last run failed or was not answered, else empty
    auto choice = choose_worker(views, request);
    const bool may_return =
        request.unlimited_attempts || now >= task.retry_at + this->timings.return_after_failure;
    if (!choice && !task.worker.empty() && may_return) {
        request.avoided_worker = {};
        choice = choose_worker(views, request);
    }
    return choice;
}

bool scheduler::impl::place_gang(const pending_occurrence& item, std::int32_t number,
                                 accepting_workers& candidates, boot_time now) {
    auto& job = *item.job;
    auto& occurrence = job.occurrence(item.occurrence);
    auto& views = candidates.views;
    const auto& controls = candidates.controls;
    const auto& step = job.spec.steps[static_cast<std::size_t>(number)];
    auto& tasks = occurrence.steps[static_cast<std::size_t>(number)].tasks;
    std::int64_t run = 0;
    for (const auto& task : tasks) {
        if (task.phase != run_phase::waiting) {
            return false; // an earlier run still has members
        }
        if (now < task.retry_at) {
            this->dispatch_due = true;
            return false;
        }
        run = std::max(run, task.run);
    }
    if (!this->is_within_upper_limit(job, start_of_gang(step))) {
        return false;
    }
    std::vector<std::size_t> assignment; // index of the worker of each member
    placement_request request{
        .need = step.need, .data_rack = step.data_rack, .max_per_worker = step.max_per_worker};
    const auto group = this->choose_group_rack(item, number, request, candidates, now);
    if (group.waits) {
        return true;
    }
    request.preferred_rack = group.rack;
    auto trial = views;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        const auto choice = choose_worker(trial, request);
        if (!choice) {
            note_held_back(job, request, trial, controls, now);
            return false;
        }
        trial[*choice].available -= request.need;
        ++trial[*choice].same_step_tasks;
        assignment.push_back(*choice);
    }
    views = std::move(trial);
    // All members resume from the same checkpoint: the one of the last member that has any.
    std::string checkpoint;
    for (const auto& task : tasks) {
        checkpoint = task.checkpoint.empty() ? checkpoint : task.checkpoint;
    }
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        const task_id id{.job = job.spec.id,
                         .occurrence = occurrence.number,
                         .step = number,
                         .index = static_cast<std::int32_t>(index)};
        tasks[index].checkpoint = checkpoint;
        this->place(job, id, tasks[index], *controls[assignment[index]], run + 1, now);
    }
    return true;
}

placement& scheduler::impl::assign(job_progress& job, const task_id& id, task_progress& task,
                                   worker_control& worker, std::int64_t run, boot_time now) {
    job.held_back_since.reset();
    this->count_near_placement(job, id, task, worker, now);
    task.run = run;
    task.worker = worker.entry.id;
    task.placed_at = now;
    task.stop_sent = {};
    job.set_phase(id, task, run_phase::placed);
    this->mark_dirty(job);
    return *this->add_placement(worker, job, id, run, now);
}

void scheduler::impl::place(job_progress& job, const task_id& id, task_progress& task, worker_control& worker,
                            std::int64_t run, boot_time now) {
    auto& placed = this->assign(job, id, task, worker, run, now);
    task_id step_id = id;
    step_id.index = 0;
    if (const auto found = this->advice.find(step_id); found != this->advice.end()) {
        const auto ticket = found->second.tickets.find(worker.entry.id);
        placed.ticket = ticket == found->second.tickets.end() ? std::string() : ticket->second.ticket;
    }
    this->next_batch.starts.push_back({.worker = worker.entry.id, .task = id, .run = run});
}

void scheduler::impl::place_reserved(job_progress& job, const task_id& id, task_progress& task,
                                     worker_control& worker, boot_time now) {
    task.reserved_worker.clear();
    auto& placed = this->assign(job, id, task, worker, task.run + 1, now);
    this->send_start_order(worker, id, placed, now);
}

} // namespace hornbeamrail
