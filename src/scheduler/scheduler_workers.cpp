#include "scheduler/scheduler_impl.hpp"

#include "protocol/json_log.hpp"

#include <algorithm>

// Entries of workers, restarts under the same id, and what is placed on them.

namespace hornbeamrail {

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

} // namespace hornbeamrail
