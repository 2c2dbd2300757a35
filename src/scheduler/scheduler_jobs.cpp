#include "scheduler/scheduler_impl.hpp"

#include "protocol/durations.hpp"
#include "protocol/json_log.hpp"
#include "state/job_index.hpp"

#include <boost/json/parse.hpp>

#include <algorithm>

namespace hornbeamrail {

namespace {

using std::chrono::milliseconds;

/// Delay before a failed long-running task is placed again.
constexpr milliseconds long_running_backoff{50};

} // namespace

job_progress* scheduler::impl::find_job(const std::string& id) {
    const auto found = this->jobs.find(id);
    return found == this->jobs.end() ? nullptr : found->second.get();
}

void scheduler::impl::add_job(std::int32_t partition, const keyed_record& record, boot_time now) {
    if (record.value.empty()) {
        return;
    }
    if (this->finals.contains(record.key)) {
        // A repeated request stored the job again after its records were dropped. Without another drop a
        // successor would run it once its final state is forgotten.
        this->cleanups[partition].jobs.push_back({.id = record.key, .finished = now});
        return;
    }
    if (this->jobs.contains(record.key)) {
        return;
    }
    boost::system::error_code parse_failure;
    const auto document = boost::json::parse(record.value, parse_failure);
    error problem;
    auto spec = value_or_error(
        [&]() -> result<job_spec> {
            if (parse_failure) {
                return make_error(errc::parse_failed, parse_failure.message(),
                                  "check for other programs that write to the topic");
            }
            return parse_job(record.key, document);
        },
        problem);
    if (!spec) {
        write_log(severity::error, "job_unreadable", {{"job", record.key}, {"reason", problem.message}});
        return;
    }
    auto job = std::make_unique<job_progress>(std::move(*spec));
    job->partition = partition;
    if (job->spec.is_timed()) {
        this->timed_jobs.insert(record.key);
    } else {
        job->occurrence(0);
    }
    auto& added = *this->jobs.emplace(record.key, std::move(job)).first->second;
    if (this->loaded) {
        this->count_arrival(added, now);
    }
    this->dispatch_due = true;
}

void scheduler::impl::set_state(job_progress& job, job_state state) {
    if (job.state == state) {
        return;
    }
    job.state = state;
    this->mark_dirty(job);
    this->next_batch.states.emplace_back(job.spec.id, state);
}

void scheduler::impl::cancel_job(const std::string& id, std::int32_t partition, boot_time now) {
    auto* job = this->finals.contains(id) ? nullptr : this->find_job(id);
    if (job == nullptr) {
        this->note_open_cancellation(id, partition, now);
        return;
    }
    if (job->cancel_requested) {
        return;
    }
    job->cancel_requested = true;
    write_log(severity::info, "job_cancelled", {{"job", id}, {"active_tasks", job->active_tasks()}});
    this->finish_job(*job, job_state::cancelled, now);
}

void scheduler::impl::stop_all_runs(job_progress& job, boot_time now) {
    for (auto& occurrence : job.occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            auto& tasks = occurrence.steps[step].tasks;
            for (std::size_t index = 0; index < tasks.size(); ++index) {
                auto& task = tasks[index];
                const auto found = this->workers.find(task.worker);
                if ((task.phase != run_phase::placed && task.phase != run_phase::running) ||
                    found == this->workers.end()) {
                    continue;
                }
                const task_id id{.job = job.spec.id,
                                 .occurrence = occurrence.number,
                                 .step = static_cast<std::int32_t>(step),
                                 .index = static_cast<std::int32_t>(index)};
                const auto placed = found->second.tasks.find(id);
                if (placed != found->second.tasks.end() && placed->second.stage == start_stage::recording) {
                    this->remove_placement(found->second, id, job.spec.account); // no order was sent
                    this->requeue(job, id, task, now);
                    continue;
                }
                if (now >= task.stop_sent + this->timings.stop_retry) {
                    task.stop_sent = now;
                    this->send_stop_order(found->second, id, task.run);
                }
            }
        }
    }
}

void scheduler::impl::finish_job(job_progress& job, job_state state, boot_time now) {
    this->set_state(job, state);
    this->stop_all_runs(job, now);
    if (job.active_tasks() > 0 || this->finals.contains(job.spec.id)) {
        return; // the job is kept until its last run has ended
    }
    this->cleanups[job.partition].jobs.push_back(
        {.id = job.spec.id, .finished = now, .cancelled = job.cancel_requested});
    this->finals.emplace(job.spec.id,
                         final_job{.partition = job.partition, .state_recorded = job.final_state_recorded});
    this->drop_advice(job.spec.id);
    // Its progress is recorded a last time, and then the job is erased.
    this->mark_dirty(job);
}

void scheduler::impl::requeue(job_progress& job, const task_id& id, task_progress& task, boot_time retry_at) {
    job.set_phase(id, task, run_phase::waiting);
    task.worker.clear();
    task.reserved_worker.clear();
    task.retry_at = retry_at;
    this->mark_dirty(job);
    this->dispatch_due = true;
}

void scheduler::impl::apply_end(worker_control& worker, const ended_task& ended, boot_time now) {
    auto* job = this->find_job(ended.task.job);
    auto* task = job == nullptr ? nullptr : job->find_task(ended.task);
    if (task == nullptr) {
        const auto unknown_run = worker.tasks.find(ended.task);
        if (unknown_run != worker.tasks.end()) {
            this->remove_placement(worker, ended.task, "");
        }
        return;
    }
    const bool current = task->run == ended.run && task->worker == worker.entry.id &&
                         (task->phase == run_phase::placed || task->phase == run_phase::running);
    if (current) {
        const auto placed = worker.tasks.find(ended.task);
        if (placed != worker.tasks.end() && ended.outcome == task_end::done &&
            placed->second.stage != start_stage::recording) {
            const auto& step = job->spec.steps[static_cast<std::size_t>(ended.task.step)];
            const auto actual = to_millis(now - task->placed_at) / this->slowdown_on(step, worker);
            this->durations.add(job->spec.queue, to_millis(actual), step.estimate);
        }
        this->remove_placement(worker, ended.task, job->spec.account);
        this->finish_run(*job, ended.task, *task, ended, now);
        return;
    }
    const auto& step = job->spec.steps[static_cast<std::size_t>(ended.task.step)];
    if (ended.outcome == task_end::done && !step.long_running && task->phase != run_phase::done) {
        // An earlier run completed on a worker that was declared lost.
        const auto other = this->workers.find(task->worker);
        if (task->phase != run_phase::waiting && other != this->workers.end()) {
            this->send_stop_order(other->second, ended.task, task->run);
            this->remove_placement(other->second, ended.task, job->spec.account);
        }
        write_log(severity::info, "earlier_run_done",
                  {{"job", job->spec.id}, {"run", ended.run}, {"worker", worker.entry.id}});
        job->set_phase(ended.task, *task, run_phase::done);
        this->mark_dirty(*job);
        this->advance_job(*job, now);
    }
}

void scheduler::impl::finish_run(job_progress& job, const task_id& id, task_progress& task,
                                 const ended_task& ended, boot_time now) {
    const auto& step = job.spec.steps[static_cast<std::size_t>(id.step)];
    if (!ended.checkpoint.empty()) {
        task.checkpoint = ended.checkpoint;
    }
    const auto found = this->workers.find(task.worker);
    if (ended.outcome == task_end::done && !step.long_running) {
        if (found != this->workers.end()) {
            found->second.process.recent_failures = 0;
        }
        job.set_phase(id, task, run_phase::done);
        if (step.gang) {
            this->complete_gang(job, id, ended.run);
        }
    } else if (ended.outcome == task_end::failed) {
        ++task.failures;
        if (found != this->workers.end()) {
            this->count_failure(found->second, now);
        }
        write_log(severity::info, "run_failed",
                  {{"job", id.job},
                   {"step", id.step},
                   {"index", id.index},
                   {"run", ended.run},
                   {"worker", task.worker},
                   {"failures", task.failures}});
        const auto failed_on = task.worker;
        this->requeue(job, id, task, step.long_running ? now + long_running_backoff : now);
        task.worker = failed_on; // the next placement avoids this worker
        const auto attempts = this->attempts_of(job);
        if (!step.long_running && task.failures >= attempts && !is_final(job.state)) {
            write_log(severity::info, "job_failed",
                      {{"job", id.job}, {"failures", task.failures}, {"attempts", attempts}});
            this->finish_job(job, job_state::failed, now);
            return;
        }
    } else {
        this->requeue(job, id, task, now);
    }
    this->mark_dirty(job);
    this->advance_job(job, now);
}

void scheduler::impl::complete_gang(job_progress& job, const task_id& id, std::int64_t run) {
    auto& tasks = job.occurrence(id.occurrence).steps[static_cast<std::size_t>(id.step)].tasks;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        auto& member = tasks[index];
        if (member.run != run || member.phase == run_phase::done) {
            continue;
        }
        const task_id member_id{.job = id.job,
                                .occurrence = id.occurrence,
                                .step = id.step,
                                .index = static_cast<std::int32_t>(index)};
        const auto found = this->workers.find(member.worker);
        if (found != this->workers.end()) {
            this->remove_placement(found->second, member_id, job.spec.account);
        }
        job.set_phase(member_id, member, run_phase::done);
    }
}

void scheduler::impl::advance_job(job_progress& job, boot_time now) {
    while (!job.occurrences.empty() && job.occurrences.front().is_done() &&
           job.occurrences.front().number == job.finished_occurrences && job.spec.is_timed() &&
           job.finished_occurrences + 1 < job.spec.occurrence_count()) {
        job.occurrences.pop_front();
        ++job.finished_occurrences;
    }
    if (is_final(job.state)) {
        this->finish_job(job, job.state, now);
    } else if (job.is_done()) {
        write_log(severity::info, "job_completed", {{"job", job.spec.id}});
        this->finish_job(job, job_state::completed, now);
    }
    this->dispatch_due = true;
}

} // namespace hornbeamrail
