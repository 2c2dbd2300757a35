#include "scheduler/scheduler_impl.hpp"

#include "protocol/json_log.hpp"

#include <algorithm>

// Answers to holds: which process of a worker has answered, and what it runs.

namespace hornbeamrail {

namespace {

/// Maximum number of ended tasks in one report. A report with fewer lists all of them; the rest of a longer
/// list follows in the next report.
constexpr std::size_t max_ends_per_report = 500;
/// Reported progress of a long-running task that has completed its startup.
constexpr std::int32_t startup_complete_percent = 100;

} // namespace

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
            state.declare_worker_lost(target.id, {loss_evidence::replaced, "another worker uses the address"},
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

void scheduler::impl::accept_report(worker_control& worker, const hold_order& order,
                                    const hold_report& report, boot_time now) {
    this->dispatch_due = this->dispatch_due || worker.is_unresponsive();
    worker.unanswered_holds = 0;
    worker.vm_not_up_since.reset();
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
    process.lists_everything = report.complete && report.ended.size() < max_ends_per_report;
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
    const bool complete = worker.process.lists_everything;
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

} // namespace hornbeamrail
