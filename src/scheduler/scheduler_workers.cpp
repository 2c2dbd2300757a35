#include "scheduler/scheduler_impl.hpp"

#include "protocol/durations.hpp"
#include "protocol/json_log.hpp"

#include <algorithm>

namespace hornbeamrail {

namespace {

using std::chrono::milliseconds;

/// Each term has this many fences per worker; the fences of a later term are all higher.
constexpr std::int64_t fences_per_term = 100000;
/// Maximum number of ended tasks in one report. A report with fewer lists all of them; the rest of a longer
/// list follows in the next report.
constexpr std::size_t max_ends_per_report = 500;
/// Least number of renewals during one lease.
constexpr int renewals_per_lease = 4;
/// Reported progress of a long-running task that has completed its startup.
constexpr std::int32_t startup_complete_percent = 100;

} // namespace

std::int64_t scheduler::impl::fence_of(const worker_control& worker) const {
    const auto found = this->fence_increments.find(worker.entry.id);
    const std::int64_t increments = found == this->fence_increments.end() ? 0 : found->second;
    return this->term * fences_per_term + increments;
}

std::optional<milliseconds> scheduler::impl::lease_end(const worker_control& worker, milliseconds length,
                                                       boot_time now) const {
    if (!worker.process.clock) {
        return std::nullopt;
    }
    return *worker.process.clock + to_millis(now - worker.process.clock_at) + length;
}

namespace {

/// @return longest time by the clock of this node that a lease of @p length may last
milliseconds longest_lease(milliseconds length) {
    const auto on_slow_clock = static_cast<double>(length.count()) * slow_clock_factor;
    return milliseconds(static_cast<std::int64_t>(on_slow_clock)) + lease_margin;
}

} // namespace

void scheduler::impl::extend_lease_bound(worker_control& worker, milliseconds length, boot_time now) {
    worker.lease_bound = std::max(worker.lease_bound, now + longest_lease(length));
}

void scheduler::impl::note_lease_sent(worker_control& worker, milliseconds length, boot_time now) {
    this->extend_lease_bound(worker, length, now);
    worker.late_lease_bound =
        now + this->timings.longest_order_delay + longest_lease(this->options.limits.max_lease_duration);
}

bool scheduler::impl::may_extend_leases(boot_time now) const {
    return now <= this->term_confirmed + this->timings.hold_without_log;
}

milliseconds scheduler::impl::hold_pause() const {
    constexpr int pauses_per_delay = 2;
    return std::min(this->timings.hold_pause + pauses_per_delay * this->loop_delay,
                    this->timings.longest_hold_pause);
}

std::int64_t scheduler::impl::end_to_acknowledge(const worker_control& worker) {
    const bool is_known_process = worker.confirmed && !worker.is_unresponsive();
    const bool may_acknowledge = is_known_process && !worker.has_unresolved_starts();
    return worker.process.has_recorded_ends() && may_acknowledge ? worker.process.recorded_end() : 0;
}

boot_time scheduler::impl::next_hold_at(const worker_control& worker, boot_time now) const {
    // While the worker has ends to list it answers at once, with the same list again. The leases must be
    // renewed nevertheless.
    if (!worker.process.unrecorded_ends.empty()) {
        const auto renewal_interval = this->options.limits.max_lease_duration / renewals_per_lease;
        // A log that rejects the progress of one job takes that of others, whose ends must not wait long.
        const bool log_takes_others = !this->unrecorded_jobs.empty() && !this->log_is_late(now);
        const auto interval = log_takes_others ? this->timings.hold_retry : renewal_interval;
        return std::max(worker.next_hold, worker.hold_sent + interval);
    }
    const bool waits_for_starts =
        worker.process.has_recorded_ends() && worker.confirmed && worker.has_unresolved_starts();
    return waits_for_starts ? std::max(worker.next_hold, worker.hold_sent + this->timings.hold_retry)
                            : worker.next_hold;
}

void scheduler::impl::hold_workers(boot_time now) {
    if (!this->may_extend_leases(now)) {
        return;
    }
    for (auto& [id, worker] : this->workers) {
        if (!worker.hold_in_flight && now >= this->next_hold_at(worker, now)) {
            this->send_hold_order(worker, now);
        }
    }
}

void scheduler::impl::send_hold_order(worker_control& worker, boot_time now) {
    hold_order order{.number = ++this->latest_hold,
                     .fence = this->fence_of(worker),
                     .acknowledged_end = end_to_acknowledge(worker)};
    // A worker that stays silent may be cut off for good. Renewals that may not reach it would keep its
    // tasks from running elsewhere.
    const bool is_silent =
        worker.is_unresponsive() && now > worker.unanswered_since + this->options.limits.max_lease_duration;
    if (worker.process.clock && !is_silent) {
        order.lease_until = this->lease_end(worker, this->options.limits.max_lease_duration, now);
        this->note_lease_sent(worker, this->options.limits.max_lease_duration, now);
    }
    const bool has_ends = worker.process.has_recorded_ends() || !worker.process.unrecorded_ends.empty();
    if (worker.confirmed && !worker.is_unresponsive() && !has_ends) {
        order.wait = this->timings.hold_wait;
    }
    worker.hold_in_flight = true;
    worker.hold_acknowledges = order.acknowledged_end > 0;
    const bool is_held_up =
        worker.confirmed && worker.process.has_recorded_ends() && !worker.hold_acknowledges;
    this->dispatch_due = this->dispatch_due || (worker.ends_held_up && !is_held_up);
    worker.ends_held_up = is_held_up;
    worker.hold_sent = now;
    worker.hold_number = order.number;
    this->add_action(
        send_hold{.worker = {.id = worker.entry.id, .address = worker.entry.address}, .order = order});
}

void scheduler::impl::increment_fence(const worker_control& worker) {
    auto& increments = this->fence_increments[worker.entry.id];
    if (increments + 1 < fences_per_term) {
        ++increments;
    }
}

void scheduler::impl::raise_fence(worker_control& worker, boot_time now) {
    this->increment_fence(worker);
    worker.confirmed = false;
    // A long-polling hold carries the old fence and resolves no order, so its answer is ignored.
    worker.hold_in_flight = false;
    worker.next_hold = now;
}

placement* scheduler::impl::add_placement(worker_control& worker, const job_progress& job, const task_id& id,
                                          std::int64_t run, boot_time now) {
    const auto& step = job.spec.steps[static_cast<std::size_t>(id.step)];
    const placement added{.run = run,
                          .stage_entered = now,
                          .need = step.reserved(),
                          .best_effort = step.best_effort,
                          .latency_sensitive = step.latency_target.count() > 0,
                          .long_running = step.long_running,
                          .beyond_share = job.beyond_share};
    worker.used += added.need;
    worker.latency_sensitive_tasks += added.latency_sensitive ? 1 : 0;
    worker.best_effort_tasks += added.best_effort ? 1 : 0;
    worker.long_running_tasks += added.long_running ? 1 : 0;
    this->starts_in_flight += added.is_starting() ? 1 : 0;
    if (!job.spec.account.empty()) {
        this->account_use[job.spec.account] += step.need;
    }
    return &(worker.tasks[id] = added);
}

void scheduler::impl::set_stage(placement& placed, start_stage stage, boot_time now) {
    this->starts_in_flight -= placed.is_starting() ? 1 : 0;
    placed.stage = stage;
    this->starts_in_flight += placed.is_starting() ? 1 : 0;
    if (stage != start_stage::unacknowledged) {
        placed.stage_entered = now;
    }
}

void scheduler::impl::remove_placement(worker_control& worker, const task_id& id, std::string_view account) {
    const auto found = worker.tasks.find(id);
    if (found == worker.tasks.end()) {
        return;
    }
    worker.used -= found->second.need;
    worker.latency_sensitive_tasks -= found->second.latency_sensitive ? 1 : 0;
    worker.best_effort_tasks -= found->second.best_effort ? 1 : 0;
    worker.long_running_tasks -= found->second.long_running ? 1 : 0;
    this->starts_in_flight -= found->second.is_starting() ? 1 : 0;
    if (!account.empty()) {
        if (const auto* job = this->find_job(id.job)) {
            this->account_use[std::string(account)] -=
                job->spec.steps[static_cast<std::size_t>(id.step)].need;
        }
    }
    worker.tasks.erase(found);
    this->dispatch_due = true;
}

void scheduler::impl::count_failure(worker_control& worker, boot_time now) {
    auto& process = worker.process;
    ++process.recent_failures;
    if (process.recent_failures >= 2) {
        process.avoid_until =
            now + this->timings.avoid_after_failure * std::min(process.recent_failures - 1, 4);
        write_log(severity::info, "worker_avoided",
                  {{"worker", worker.entry.id}, {"recent_failures", process.recent_failures}});
    }
}

void scheduler::impl::count_refusal(worker_control& worker, boot_time now) {
    auto& process = worker.process;
    auto backoff = this->timings.retry_after_refusal;
    for (int refusal = 0; refusal < process.refused_starts; ++refusal) {
        backoff = std::min(backoff * 2, this->timings.longest_refusal_backoff);
    }
    ++process.refused_starts;
    process.refused_until = now + backoff;
}

void scheduler::impl::send_stop_order(worker_control& worker, const task_id& task, std::int64_t run) {
    this->add_action(send_stop{.worker = {.id = worker.entry.id, .address = worker.entry.address},
                               .order = {.task = task, .run = run, .fence = this->fence_of(worker)}});
}

void scheduler::impl::accept_report(worker_control& worker, const hold_order& order,
                                    const hold_report& report, boot_time now) {
    this->dispatch_due = this->dispatch_due || worker.is_unresponsive();
    worker.unanswered_holds = 0;
    if (!report.complete) {
        write_log(severity::warning, "worker_report_unreadable", {{"worker", worker.entry.id}});
    }
    auto& process = worker.process;
    if (!process.clock) {
        // Before it refused them, a process that is new here may have executed orders of before.
        this->extend_lease_bound(worker, this->options.limits.max_lease_duration, now);
    }
    if (report.worker_clock) {
        process.clock = report.worker_clock;
        process.clock_at = now;
        process.clock_requested = worker.hold_sent;
    }
    process.acknowledged_end = std::max(process.acknowledged_end, order.acknowledged_end);
    if (order.fence == this->fence_of(worker)) {
        if (!worker.confirmed) {
            this->dispatch_due = true;
        }
        worker.confirmed = true;
    }
    for (const auto& ended : report.ended) {
        if (ended.number > process.applied_end) {
            process.applied_end = ended.number;
            process.unrecorded_ends.insert(ended.number);
            this->next_batch.ends.push_back(
                {.worker = worker.entry.id, .number = ended.number, .job = ended.task.job});
            this->apply_end(worker, ended, now);
        }
    }
    this->reconcile(worker, order, report, now);
    // A hold that was sent before the worker's clock was known renews no lease. Its report carries the clock,
    // so the next hold follows at once.
    worker.next_hold = order.lease_until ? now + this->hold_pause() : now;
}

void scheduler::impl::reconcile(worker_control& worker, const hold_order& order, const hold_report& report,
                                boot_time now) {
    std::set<task_id> seen;
    for (const auto& running : report.running) {
        seen.insert(running.task);
        auto* job = this->find_job(running.task.job);
        auto* task = job == nullptr ? nullptr : job->find_task(running.task);
        const auto placed = worker.tasks.find(running.task);
        const bool is_known =
            task != nullptr && placed != worker.tasks.end() && placed->second.run == running.run;
        if (!is_known) {
            write_log(severity::info, "unknown_run_stopped",
                      {{"job", running.task.job}, {"run", running.run}, {"worker", worker.entry.id}});
            this->send_stop_order(worker, running.task, running.run);
            if (task != nullptr && task->phase == run_phase::waiting) {
                task->retry_at = std::max(task->retry_at, now + this->timings.stop_retry); // it still runs
            }
            continue;
        }
        if (placed->second.stage != start_stage::confirmed) {
            this->set_stage(placed->second, start_stage::confirmed, now);
        }
        placed->second.may_be_elsewhere = false;
        const bool was_ready = placed->second.ready;
        placed->second.ready = running.percent >= startup_complete_percent;
        if (placed->second.long_running && placed->second.ready && !was_ready) {
            worker.process.recent_failures = 0; // long-running tasks have no other sign of success
        }
        placed->second.latest_load = running.latest_load;
        if (task->phase == run_phase::placed) {
            job->set_phase(running.task, *task, run_phase::running);
        }
        if (!running.checkpoint.empty()) {
            task->checkpoint = running.checkpoint;
        }
        if (job->state == job_state::pending) {
            this->set_state(*job, job_state::running);
        }
        if (is_final(job->state) && now >= task->stop_sent + this->timings.stop_retry) {
            task->stop_sent = now;
            this->send_stop_order(worker, running.task, running.run);
        } else if (worker.hold_sent >= task->stop_sent + this->timings.stop_retry) {
            task->stop_sent = {}; // the run outlived it, so another stop has to be decided
        }
    }
    // A run that is neither listed as running nor as ended does not exist: the fence of this hold rejects
    // unacknowledged orders that arrive later, and the worker lists a confirmed run until it lists its end.
    std::vector<task_id> missing;
    const bool complete = report.complete && report.ended.size() < max_ends_per_report;
    for (const auto& [id, placed] : worker.tasks) {
        const bool settled =
            (placed.stage == start_stage::unacknowledged && placed.fence < order.fence) ||
            (placed.stage == start_stage::confirmed && placed.stage_entered < worker.hold_sent);
        if (complete && settled && !seen.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const auto& id : missing) {
        auto* job = this->find_job(id.job);
        auto* task = job == nullptr ? nullptr : job->find_task(id);
        const bool never_answered = worker.tasks.at(id).stage == start_stage::unacknowledged;
        this->remove_placement(worker, id, job == nullptr ? "" : job->spec.account);
        if (task != nullptr) {
            write_log(severity::info, "run_missing",
                      {{"job", id.job},
                       {"step", id.step},
                       {"index", id.index},
                       {"run", task->run},
                       {"worker", worker.entry.id}});
            this->requeue(*job, id, *task, now);
            if (never_answered) {
                task->worker = worker.entry.id; // the next placement prefers another worker
            }
            this->advance_job(*job, now);
        }
    }
}

void scheduler::impl::drop_acknowledgements(const std::string& worker) {
    const auto is_of_worker = [&worker](const recorded_end& end) {
        return end.worker == worker;
    };
    std::erase_if(this->next_batch.ends, is_of_worker);
    if (this->batch_in_flight) {
        std::erase_if(this->batch_in_flight->ends, is_of_worker);
    }
    for (auto& [id, job] : this->unrecorded_jobs) {
        std::erase_if(job.ends, is_of_worker);
    }
}

void scheduler::impl::mark_listed(worker_control& worker, boot_time now) {
    if (!worker.listed) {
        worker.listed = true;
        worker.listed_since = now;
        worker.next_hold = std::min(worker.next_hold, now);
    }
}

void scheduler::impl::drop_doubtful_entry(worker_control& worker) {
    if (worker.hold_sent > worker.doubtful_entry_at) {
        worker.doubtful_entry.reset();
    }
}

void scheduler::impl::accept_doubtful_entry(worker_control& worker, boot_time now) {
    const auto entry = *std::exchange(worker.doubtful_entry, std::nullopt);
    this->restart_worker(worker, entry, now);
    mark_listed(worker, now);
}

void scheduler::impl::restart_worker(worker_control& worker, const worker_entry& entry, boot_time now) {
    write_log(severity::warning, "worker_restarted",
              {{"worker", entry.id}, {"tasks", worker.tasks.size()}, {"fence", this->fence_of(worker)}});
    this->drop_acknowledgements(entry.id);
    worker.entry = entry;
    worker.process = {};
    for (auto& [id, placed] : worker.tasks) {
        placed.ready = false;
        if (placed.stage != start_stage::recording) {
            this->set_stage(placed, start_stage::unacknowledged, now);
            placed.fence = this->fence_of(worker);
        }
    }
    this->raise_fence(worker, now);
}

bool scheduler::impl::may_run_despite(const worker_control& worker, const placement& placed,
                                      loss_evidence evidence, boot_time now) const {
    if (!placed.may_be_elsewhere || evidence == loss_evidence::replaced) {
        return false;
    }
    if (evidence == loss_evidence::leases_expired) {
        return now <= worker.late_lease_bound;
    }
    // A long-running task must not be away for that long if the worker never comes back.
    const bool was_executed = placed.stage == start_stage::confirmed;
    return !was_executed && !placed.long_running &&
           now <= placed.stage_entered + this->timings.longest_order_delay;
}

bool scheduler::impl::declare_worker_lost(const std::string& id, loss_evidence evidence,
                                          std::string_view reason, boot_time now) {
    const auto found = this->workers.find(id);
    if (found == this->workers.end()) {
        return false;
    }
    auto& worker = found->second;
    auto ended = worker.tasks;
    std::erase_if(
        ended, [&](const auto& item) { return this->may_run_despite(worker, item.second, evidence, now); });
    const auto kept = worker.tasks.size() - ended.size();
    if (ended.empty() && kept > 0) {
        return false;
    }
    write_log(severity::warning, "worker_lost",
              {{"worker", id}, {"reason", reason}, {"tasks", ended.size()}, {"tasks_kept", kept}});
    for (const auto& [task_name, placed] : ended) {
        auto* job = this->find_job(task_name.job);
        auto* task = job == nullptr ? nullptr : job->find_task(task_name);
        this->remove_placement(worker, task_name, job == nullptr ? "" : job->spec.account);
        if (task != nullptr && task->run == placed.run) {
            this->requeue(*job, task_name, *task, now);
            this->advance_job(*job, now);
        }
    }
    this->drop_acknowledgements(id);
    this->raise_fence(worker, now); // an order in flight may reach the worker if it lives and comes back
    if (kept > 0) {
        return false;
    }
    this->workers.erase(found);
    return true;
}

std::optional<std::pair<loss_evidence, std::string_view>>
scheduler::impl::find_loss(const std::string& id, const worker_control& worker, boot_time now) const {
    using evidence = std::pair<loss_evidence, std::string_view>;
    if (this->vm_list_as_of > worker.unanswered_since) {
        const auto vm = this->vms.find(worker.vm);
        const bool is_known = vm != this->vms.end();
        if (!worker.vm.empty() && !is_known) {
            return evidence(loss_evidence::replaced, "the VM is gone");
        }
        if (is_known && !vm->second.worker.empty() && vm->second.worker != id) {
            return evidence(loss_evidence::replaced, "the VM runs another worker");
        }
        if (!this->vm_of_worker.contains(id)) {
            return evidence(loss_evidence::vm_not_up, "no VM runs the worker");
        }
        if (is_known && vm->second.condition != vm_condition::up) {
            return evidence(loss_evidence::vm_not_up, "the VM is not up");
        }
    }
    if (now > worker.lease_bound) {
        return evidence(loss_evidence::leases_expired, "all leases have expired");
    }
    return std::nullopt;
}

void scheduler::impl::check_unresponsive_workers(boot_time now) {
    if (now < this->last_worker_check + this->timings.worker_check_interval) {
        return;
    }
    this->last_worker_check = now;
    std::vector<std::string> unresponsive;
    for (const auto& [id, worker] : this->workers) {
        const bool missed_two_holds = worker.unanswered_holds >= 2;
        if (missed_two_holds && !(worker.listed && worker.tasks.empty())) {
            unresponsive.push_back(id);
        }
    }
    for (const auto& id : unresponsive) {
        const auto& worker = this->workers.at(id);
        const auto loss = this->find_loss(id, worker, now);
        if (!loss) {
            continue;
        }
        const bool listed = worker.listed;
        auto entry = worker.entry;
        if (this->declare_worker_lost(id, loss->first, loss->second, now) && listed) {
            auto& relisted = this->workers[id]; // its holds continue, because it may recover
            relisted.entry = std::move(entry);
            relisted.listed = true;
            relisted.listed_since = now;
            relisted.unanswered_holds = 2;
            relisted.unanswered_since = now;
            relisted.next_hold = now + this->timings.hold_retry * 2;
            relisted.lease_bound = now;
        }
    }
}

void scheduler::impl::request_vm_list(boot_time now) {
    const bool has_unresponsive_worker =
        std::any_of(this->workers.begin(), this->workers.end(), [](const auto& item) {
            return item.second.is_unresponsive() && !item.second.tasks.empty();
        });
    const bool has_open_moves = !this->vm_moves.empty();
    const bool has_open_waves = std::any_of(this->waves.begin(), this->waves.end(),
                                            [](const auto& item) { return !item.second.completed; });
    const auto interval = has_unresponsive_worker || has_open_waves || has_open_moves
                              ? this->timings.vm_list_interval
                              : this->timings.vm_list_idle_interval;
    if (this->vm_list_in_flight || now < this->vm_list_requested + interval) {
        return;
    }
    this->vm_list_in_flight = true;
    this->vm_list_requested = now;
    this->add_action(read_vm_list{});
}

void scheduler::on_worker(const worker_entry& entry, boot_time now) {
    auto& state = *this->self;
    const auto found = state.workers.find(entry.id);
    const auto known_start =
        found == state.workers.end() ? std::int64_t{0} : found->second.entry.instance_started_ms;
    const bool is_other_instance =
        known_start != 0 && entry.instance_started_ms != 0 && entry.instance_started_ms != known_start;
    const bool answers = found != state.workers.end() && !found->second.is_unresponsive();
    const bool is_earlier = is_other_instance && entry.instance_started_ms < known_start;
    const bool is_elsewhere = !is_other_instance && answers && found->second.process.address.port != 0 &&
                              found->second.process.address != entry.address;
    if (answers && (is_earlier || is_elsewhere)) {
        // The log may deliver the entry of an instance after the worker itself reported its restart, and
        // another writer may have written it. Without an answer, it may as well be of a later instance.
        write_log(severity::info, "worker_entry_doubted",
                  {{"worker", entry.id}, {"earlier", is_earlier}, {"elsewhere", is_elsewhere}});
        found->second.doubtful_entry = entry;
        found->second.doubtful_entry_at = now;
        return;
    }
    if (is_other_instance) {
        state.restart_worker(found->second, entry, now);
    }
    const bool is_new = found == state.workers.end();
    auto& worker = is_new ? state.workers[entry.id] : found->second;
    if (!is_new && worker.entry.address.port == 0) { // adopted from the progress topic without an address
        worker.hold_in_flight = false;
        worker.unanswered_holds = 0;
    }
    if (is_new) {
        worker.lease_bound = now;
        write_log(severity::info, "worker_joined",
                  {{"worker", entry.id}, {"pool", entry.pool}, {"zone", entry.zone}});
    }
    impl::mark_listed(worker, now);
    worker.doubtful_entry.reset();
    if (entry.draining && !worker.entry.draining) {
        write_log(severity::info, "worker_draining", {{"worker", entry.id}});
    }
    worker.entry = entry;
    state.dispatch_due = true;
}

void scheduler::on_worker_removed(const std::string& id, boot_time now) {
    auto& state = *this->self;
    const auto found = state.workers.find(id);
    if (found == state.workers.end()) {
        return;
    }
    found->second.listed = false;
    found->second.listed_since = now;
    found->second.doubtful_entry.reset();
    if (found->second.tasks.empty()) {
        state.drop_acknowledgements(id);
        if (found->second.hold_in_flight) {
            state.raise_fence(found->second, now); // nobody will know whether the hold was answered
        }
        state.workers.erase(found);
    }
}

void scheduler::retain_listed_workers(const std::set<std::string>& ids, boot_time now) {
    std::vector<std::string> unlisted;
    for (const auto& [id, worker] : this->self->workers) {
        if (worker.listed && !ids.contains(id)) {
            unlisted.push_back(id);
        }
    }
    for (const auto& id : unlisted) {
        this->on_worker_removed(id, now);
    }
}

void scheduler::on_hold_report(const worker_target& target, const hold_order& order,
                               const hold_report& report, boot_time now) {
    auto& state = *this->self;
    const auto found = state.workers.find(target.id);
    if (state.term == 0 || found == state.workers.end()) {
        return;
    }
    auto& worker = found->second;
    if (order.number != worker.hold_number || !worker.hold_in_flight) {
        return; // a later hold replaced this one, or the record of the worker was made anew
    }
    worker.hold_in_flight = false;
    switch (report.outcome) {
    case order_outcome::done:
        if (report.instance_started_ms != 0 && worker.entry.instance_started_ms != 0 &&
            report.instance_started_ms != worker.entry.instance_started_ms) {
            if (worker.doubtful_entry &&
                worker.doubtful_entry->instance_started_ms == report.instance_started_ms) {
                state.accept_doubtful_entry(worker, now);
                return;
            }
            auto entry = worker.entry;
            entry.instance_started_ms = report.instance_started_ms;
            impl::drop_doubtful_entry(worker);
            state.restart_worker(worker, entry, now);
            return;
        }
        impl::drop_doubtful_entry(worker);
        worker.fenced_since.reset();
        worker.process.address = target.address;
        state.accept_report(worker, order, report, now);
        return;
    case order_outcome::other_worker:
        if (worker.process.address == target.address) {
            state.declare_worker_lost(target.id, loss_evidence::replaced, "another worker uses the address",
                                      now);
            return;
        }
        state.note_unanswered_hold(worker, order, report, now); // the worker may run elsewhere
        return;
    case order_outcome::fenced:
        if (order.fence == state.fence_of(worker)) {
            write_log(severity::warning, "worker_fenced", {{"worker", target.id}, {"fence", order.fence}});
            worker.confirmed = false;
            if (worker.fenced_since && state.term_confirmed > *worker.fenced_since) {
                state.raise_fence(worker, now); // no successor has begun, so the higher fence is of this term
                worker.fenced_since.reset();
            }
            worker.fenced_since = worker.fenced_since.value_or(now);
            worker.next_hold = now + state.timings.hold_retry;
        } else {
            worker.next_hold = now;
        }
        return;
    default:
        state.note_unanswered_hold(worker, order, report, now);
        return;
    }
}

void scheduler::impl::note_unanswered_hold(worker_control& worker, const hold_order& order,
                                           const hold_report& report, boot_time now) {
    if (order.acknowledged_end > 0) {
        this->raise_fence(worker, now); // a process that executes a later start refuses the acknowledgement
    }
    if (worker.unanswered_holds++ == 0) {
        worker.unanswered_since = now;
        write_log(
            severity::info, "worker_doubted",
            {{"worker", worker.entry.id}, {"outcome", to_string(report.outcome)}, {"reason", report.reason}});
    }
    if (worker.doubtful_entry) {
        this->accept_doubtful_entry(worker, now);
        return;
    }
    // Retries at once after the first failure, which may be a single lost answer.
    worker.next_hold = now + this->timings.hold_retry * std::min(worker.unanswered_holds - 1, 4);
}

void scheduler::on_vm_list(const std::vector<vm_entry>& vms, boot_time requested_at, boot_time now) {
    auto& state = *this->self;
    if (requested_at < state.term_begin || requested_at < state.vm_list_as_of) {
        return; // requested in an earlier term, or older than the list that is known
    }
    state.vm_list_in_flight = false;
    state.vm_list_as_of = requested_at;
    const auto before = std::exchange(state.vm_of_worker, {});
    state.vms.clear();
    for (const auto& vm : vms) {
        state.vms[vm.id] = vm;
        if (vm.worker.empty()) {
            continue;
        }
        state.vm_of_worker[vm.worker] = vm.id;
        if (const auto worker = state.workers.find(vm.worker); worker != state.workers.end()) {
            worker->second.vm = vm.id;
        }
    }
    std::erase_if(state.unserved_since, [&](const auto& item) { return !state.vms.contains(item.first); });
    state.declare_replaced_workers_lost(before, now);
}

// A VM that was moved, maintained or given another worker has ended its previous worker.
void scheduler::impl::declare_replaced_workers_lost(const std::map<std::string, std::string>& before,
                                                    boot_time now) {
    for (const auto& [worker, name] : before) {
        const auto vm = this->vms.find(name);
        if (vm == this->vms.end() || !this->workers.contains(worker)) {
            continue;
        }
        const bool is_out_of_service =
            vm->second.condition == vm_condition::moving || vm->second.condition == vm_condition::maintenance;
        const bool is_replaced = !vm->second.worker.empty() && vm->second.worker != worker;
        if (is_out_of_service || is_replaced) {
            this->declare_worker_lost(
                worker, loss_evidence::replaced,
                is_out_of_service ? "the VM is in a move or maintenance" : "the VM runs another worker", now);
        }
    }
}

void scheduler::on_vm_list_failed(boot_time) {
    this->self->vm_list_in_flight = false;
}

} // namespace hornbeamrail
