#include "scheduler/scheduler_impl.hpp"

#include "protocol/json_log.hpp"

#include <algorithm>
#include <utility>

namespace hornbeamrail {

namespace {

using std::chrono::milliseconds;

/// Occurrences open this long before they are due, so that their first tasks start on time.
constexpr milliseconds occurrence_lead_time{50};

bool fits_upper_limit(std::int64_t used, std::int64_t need, std::int64_t upper_limit) {
    return upper_limit <= 0 || used + need <= upper_limit;
}

/// @return largest unreserved CPU of any worker, in millicores
std::int64_t largest_available_cpu(const std::vector<worker_view>& views) {
    std::int64_t largest_cpu = 0;
    for (const auto& view : views) {
        largest_cpu = std::max(largest_cpu, view.available.cpu_millicores);
    }
    return largest_cpu;
}

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

void scheduler::impl::apply_config(std::shared_ptr<const site_config> updated_config) {
    this->config = std::move(updated_config);
    this->queues.clear();
    for (const auto& queue : this->config->queues) {
        this->queues.emplace(queue.name, &queue);
    }
}

const queue_config* scheduler::impl::find_queue(const std::string& name) const {
    const auto found = this->queues.find(name);
    return found == this->queues.end() ? nullptr : found->second;
}

const std::string& scheduler::impl::pool_of(const job_progress& job) const {
    const auto* queue = this->find_queue(job.spec.queue);
    return queue == nullptr ? job.spec.pool : queue->pool;
}

std::int32_t scheduler::impl::attempts_of(const job_progress& job) const {
    const auto* queue = this->find_queue(job.spec.queue);
    return queue == nullptr ? job.spec.attempts : queue->attempts;
}

void scheduler::impl::open_occurrences(unix_time clock) {
    for (auto& [id, job] : this->jobs) {
        if (!job->spec.is_timed() || is_final(job->state)) {
            continue;
        }
        const auto opened = job->finished_occurrences + static_cast<std::int32_t>(job->occurrences.size());
        const auto open_limit = job->finished_occurrences + job->max_open_occurrences();
        const auto end = std::min(job->spec.occurrence_count(), open_limit);
        for (auto next = opened; next < end && job->spec.due(next) <= clock + occurrence_lead_time; ++next) {
            job->occurrence(next);
            this->dispatch_due = true;
        }
    }
}

bool scheduler::impl::is_within_upper_limit(const std::string& account, const resources& need) const {
    const auto* config_entry = account.empty() ? nullptr : this->config->find_account(account);
    if (config_entry == nullptr) {
        return true;
    }
    const auto found = this->account_use.find(account);
    const auto used = found == this->account_use.end() ? resources{} : found->second;
    return fits_upper_limit(used.cpu_millicores, need.cpu_millicores,
                            config_entry->upper_limit.cpu_millicores) &&
           fits_upper_limit(used.memory_mb, need.memory_mb, config_entry->upper_limit.memory_mb) &&
           fits_upper_limit(used.accelerators, need.accelerators, config_entry->upper_limit.accelerators);
}

worker_block scheduler::impl::find_block(const worker_control& worker, boot_time now) const {
    if (!worker.listed) {
        return worker_block::not_listed;
    }
    if (worker.is_unresponsive()) {
        return worker_block::unresponsive;
    }
    if (!worker.confirmed || !worker.clock) {
        return worker_block::unconfirmed;
    }
    if (worker.entry.draining) {
        return worker_block::draining;
    }
    if (this->zones_out.contains(worker.entry.zone)) {
        return worker_block::zone_out;
    }
    const auto vm = this->vm_of_worker.find(worker.entry.id);
    const bool has_vm = vm != this->vm_of_worker.end();
    if (has_vm && this->has_pending_vm_order(vm->second)) {
        return worker_block::vm_ordered;
    }
    if (now < worker.refused_until) {
        return worker_block::refusing;
    }
    if (has_vm && this->is_next_in_wave(vm->second)) {
        return worker_block::leaving;
    }
    return now < worker.avoid_until ? worker_block::avoided : worker_block::none;
}

accepting_workers scheduler::impl::find_accepting_workers(const std::string& pool, boot_time now) {
    accepting_workers found;
    std::vector<failing_worker> failing;
    for (auto& [id, worker] : this->workers) {
        const auto block =
            worker.entry.pool == pool ? this->find_block(worker, now) : worker_block::not_listed;
        if (block != worker_block::none && block != worker_block::avoided && block != worker_block::leaving) {
            continue;
        }
        if (block == worker_block::avoided) {
            failing.push_back({.index = found.views.size(), .recent_failures = worker.recent_failures});
        }
        auto available = worker.entry.capacity;
        available -= worker.used;
        found.views.push_back(
            {.id = id,
             .rack = worker.entry.rack(),
             .available = available,
             .capacity = worker.entry.capacity,
             .latency_sensitive_tasks = worker.latency_sensitive_tasks,
             .best_effort_tasks = worker.best_effort_tasks,
             .long_running_tasks = worker.long_running_tasks,
             .standing = block == worker_block::leaving ? worker_standing::leaving : worker_standing::good});
        found.controls.push_back(&worker);
    }
    set_standings(found.views, std::move(failing));
    return found;
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
    placement_request request{.need = step.need,
                              .data_rack = step.data_rack,
                              .max_per_worker = step.max_per_worker,
                              .best_effort = step.best_effort,
                              .latency_sensitive = step.latency_target.count() > 0,
                              .unlimited_attempts = step.long_running,
                              .spread = step.long_running};
    if (step.best_effort) {
        request.need.cpu_millicores = 0;
    }
    return request;
}

job_rank scheduler::impl::rank_of(const job_progress& job, const occurrence_progress& occurrence,
                                  unix_time clock) const {
    const auto* queue = this->find_queue(job.spec.queue);
    const auto learned = this->durations.find(job.spec.queue);
    const auto duration_of = [&](std::size_t step) {
        const auto stated = job.spec.steps[step].estimate;
        return learned == this->durations.end() ? stated : learned->second.predict(stated);
    };
    const auto none_done = [](std::size_t) {
        return false;
    };
    const auto step_is_done = [&](std::size_t step) {
        return occurrence.steps[step].is_done();
    };
    const auto critical_path = critical_path_duration(job.spec, duration_of, none_done);
    const auto remaining = critical_path_duration(job.spec, duration_of, step_is_done);
    const double objective_factor = queue == nullptr ? 1.0 : queue->objective_factor;
    const auto slack = queue == nullptr ? milliseconds(0) : queue->objective_slack;
    const bool started = std::any_of(occurrence.steps.begin(), occurrence.steps.end(), [](const auto& step) {
        return step.waiting < static_cast<std::int32_t>(step.tasks.size());
    });
    return rank_job({.long_running = job.is_long_running(),
                     .started = started,
                     .beyond_share = job.beyond_share,
                     .priority = queue == nullptr ? 0 : queue->priority,
                     .due = job.spec.due(occurrence.number),
                     .objective = milliseconds(static_cast<std::int64_t>(
                                      objective_factor * static_cast<double>(critical_path.count()))) +
                                  slack,
                     .remaining_critical_path = remaining},
                    clock);
}

void scheduler::impl::dispatch(boot_time now, unix_time clock) {
    if (this->log_is_late(now)) {
        this->withdraw_unrecorded_starts();
    }
    const auto interval =
        this->dispatch_due ? this->timings.dispatch_interval : this->timings.dispatch_recheck;
    if (now < this->last_dispatch + interval) {
        return;
    }
    this->dispatch_due = false;
    this->last_dispatch = now;
    for (auto& [pool, pending] : this->collect_pending_occurrences(now, clock)) {
        this->dispatch_pool(std::string(pool), std::move(pending), now);
    }
    this->update_held_back(now);
}

void scheduler::impl::update_held_back(boot_time now) {
    for (auto& [id, worker] : this->workers) {
        if (!std::exchange(worker.holds_back, false)) {
            worker.holds_back_since.reset();
        } else if (!worker.holds_back_since) {
            worker.holds_back_since = now;
        }
    }
}

void scheduler::impl::note_held_back(job_progress& job, const placement_request& request,
                                     const std::vector<worker_view>& views,
                                     const std::vector<worker_control*>& controls, boot_time now) {
    if (job.active_tasks() > 0) {
        return;
    }
    auto unconditional = request;
    unconditional.overdue = true;
    unconditional.unlimited_attempts = true;
    bool has_room = false;
    for (std::size_t index = 0; index < views.size(); ++index) {
        if (can_run(views[index], unconditional)) {
            has_room = true;
            controls[index]->holds_back = views[index].standing == worker_standing::leaving;
        }
    }
    job.held_back_since = has_room ? job.held_back_since.value_or(now) : std::optional<boot_time>();
}

bool scheduler::impl::is_held_back_long(const job_progress& job, boot_time now) const {
    return job.held_back_since && now >= *job.held_back_since + this->timings.longest_hold_back &&
           !this->is_half_used(this->pool_of(job));
}

std::map<std::string_view, std::vector<pending_occurrence>>
scheduler::impl::collect_pending_occurrences(boot_time now, unix_time clock) {
    std::map<std::string_view, std::vector<pending_occurrence>> by_pool;
    for (auto& [id, job] : this->jobs) {
        if (is_final(job->state) || this->is_set_aside(id, now)) {
            continue;
        }
        for (const auto& occurrence : job->occurrences) {
            if (job->has_released_tasks(occurrence)) {
                by_pool[this->pool_of(*job)].push_back({.rank = this->rank_of(*job, occurrence, clock),
                                                        .job = job.get(),
                                                        .occurrence = occurrence.number});
            }
        }
    }
    return by_pool;
}

void scheduler::impl::dispatch_pool(const std::string& pool, std::vector<pending_occurrence> pending,
                                    boot_time now) {
    std::sort(pending.begin(), pending.end(), [](const auto& left, const auto& right) {
        return std::tie(left.rank, left.job->spec.id, left.occurrence) <
               std::tie(right.rank, right.job->spec.id, right.occurrence);
    });
    auto candidates = this->find_accepting_workers(pool, now);
    // Skips steps that fit on no worker, so a full pool is not searched once per waiting job.
    auto largest_cpu = largest_available_cpu(candidates.views);
    for (const auto& item : pending) {
        auto& occurrence = item.job->occurrence(item.occurrence);
        for (std::int32_t step = 0; step < static_cast<std::int32_t>(occurrence.steps.size()); ++step) {
            const auto& spec = item.job->spec.steps[static_cast<std::size_t>(step)];
            if (occurrence.steps[static_cast<std::size_t>(step)].waiting == 0 ||
                !item.job->is_released(occurrence, step) ||
                (!spec.best_effort && spec.need.cpu_millicores > largest_cpu)) {
                continue;
            }
            if (!this->place_step(*item.job, occurrence, step, candidates, now)) {
                largest_cpu = largest_available_cpu(candidates.views);
            }
        }
    }
}

bool scheduler::impl::place_step(job_progress& job, occurrence_progress& occurrence, std::int32_t number,
                                 accepting_workers& candidates, boot_time now) {
    const auto& step = job.spec.steps[static_cast<std::size_t>(number)];
    const task_id step_id{.job = job.spec.id, .occurrence = occurrence.number, .step = number};
    auto& [views, controls] = candidates;
    apply_step_rules(candidates, step, step_id);
    const auto* queue = this->find_queue(job.spec.queue);
    const bool needs_advice = queue != nullptr && queue->advice;
    if (needs_advice) {
        const auto& granted_advice = this->get_advice(step_id, controls, now);
        for (auto& view : views) {
            view.allowed = view.allowed && granted_advice.tickets.contains(std::string(view.id));
        }
    }
    const bool log_late = this->log_is_late(now);
    bool placed_all = false;
    if (step.gang) {
        placed_all = !log_late && this->place_gang(job, occurrence, number, views, controls, now);
    } else {
        auto request = make_request(step);
        if (step.rack_sensitive) {
            request.preferred_rack = choose_rack(views, request.need, step.count);
        }
        placed_all = this->place_tasks(job, occurrence, number, request, views, controls, now);
    }
    if (!placed_all && needs_advice) {
        this->request_more_advice(step_id, controls, now);
    }
    if (!log_late && !step.gang) {
        this->reserve_later_steps(job, occurrence, number);
    }
    return placed_all;
}

bool scheduler::impl::place_tasks(job_progress& job, occurrence_progress& occurrence, std::int32_t number,
                                  placement_request request, std::vector<worker_view>& views,
                                  const std::vector<worker_control*>& controls, boot_time now) {
    const auto& step = job.spec.steps[static_cast<std::size_t>(number)];
    const bool log_late = this->log_is_late(now);
    const auto attempts = this->attempts_of(job);
    bool placed_all = true;
    auto& tasks = occurrence.steps[static_cast<std::size_t>(number)].tasks;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        auto& task = tasks[index];
        if (task.phase != run_phase::waiting || now < task.retry_at) {
            this->dispatch_due = this->dispatch_due || now < task.retry_at;
            continue;
        }
        if (!this->is_within_upper_limit(job.spec.account, step.need)) {
            return false;
        }
        const task_id id{.job = job.spec.id,
                         .occurrence = occurrence.number,
                         .step = number,
                         .index = static_cast<std::int32_t>(index)};
        request.overdue = step.long_running && this->is_overdue(id, now);
        request.unlimited_attempts =
            step.long_running || (task.failures + 1 < attempts && this->is_held_back_long(job, now));
        const auto choice = log_late ? this->find_reserved_worker(task, views, request)
                                     : this->find_worker(task, views, request, now);
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

bool scheduler::impl::place_gang(job_progress& job, occurrence_progress& occurrence, std::int32_t number,
                                 std::vector<worker_view>& views,
                                 const std::vector<worker_control*>& controls, boot_time now) {
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
    auto trial = views;
    std::vector<std::size_t> assignment; // index of the worker of each member
    resources total;
    placement_request request{.need = step.need,
                              .data_rack = step.data_rack,
                              .max_per_worker = step.max_per_worker,
                              .preferred_rack = step.rack_sensitive
                                                    ? choose_rack(views, step.need, step.count)
                                                    : std::string_view()};
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        const auto choice = choose_worker(trial, request);
        total += step.need;
        if (!choice) {
            note_held_back(job, request, trial, controls, now);
            return false;
        }
        if (!this->is_within_upper_limit(job.spec.account, total)) {
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
