#include "scheduler/scheduler_impl.hpp"

#include "protocol/json_log.hpp"

#include <algorithm>
#include <array>

// Orders to workers for single tasks, and the answers to them.

namespace hornbeamrail {

using std::chrono::milliseconds;

namespace {

/// @return whether @p used, which includes @p need, is within @p capacity wherever something is needed
bool fits_where_needed(const resources& need, const resources& used, const resources& capacity) {
    constexpr std::array dimensions{&resources::cpu_millicores, &resources::memory_mb,
                                    &resources::accelerators};
    return std::all_of(dimensions.begin(), dimensions.end(), [&](auto dimension) {
        return need.*dimension <= 0 || used.*dimension <= capacity.*dimension;
    });
}

bool is_same_step(const task_id& left, const task_id& right) {
    return left.job == right.job && left.occurrence == right.occurrence && left.step == right.step;
}

} // namespace

std::string_view scheduler::impl::find_reason_to_withdraw(const recorded_start& start) {
    auto& job = *this->find_job(start.task.job);
    const auto& step = job.spec.steps[static_cast<std::size_t>(start.task.step)];
    const auto& worker = this->workers.at(start.worker);
    if (!this->is_still_within_upper_limit(job, start.task)) {
        return "the upper limit of the account was lowered";
    }
    if (worker.entry.pool != this->pool_of(job)) {
        return "the worker is in another pool";
    }
    if (!step.required_label.empty() && !worker.entry.has_label(step.required_label)) {
        return "the worker has lost the label";
    }
    const bool has_room = fits_where_needed(step.reserved(), worker.used, worker.entry.capacity);
    return has_room ? "" : "the worker has less capacity";
}

void scheduler::impl::withdraw_outdated_starts(const commit_batch& batch, boot_time now) {
    for (auto start = batch.starts.rbegin(); start != batch.starts.rend(); ++start) {
        const auto reason = this->find_unsent_start(*start) == nullptr
                                ? std::string_view()
                                : this->find_reason_to_withdraw(*start);
        if (reason.empty()) {
            continue;
        }
        write_log(severity::info, "start_withdrawn",
                  {{"job", start->task.job},
                   {"step", start->task.step},
                   {"index", start->task.index},
                   {"run", start->run},
                   {"worker", start->worker},
                   {"reason", reason}});
        const auto& steps = this->find_job(start->task.job)->spec.steps;
        if (!steps[static_cast<std::size_t>(start->task.step)].gang) {
            this->withdraw_start(*start, now);
            continue;
        }
        for (const auto& member : batch.starts) {
            if (is_same_step(member.task, start->task)) {
                this->withdraw_start(member, now); // the others would wait for it
            }
        }
    }
}

void scheduler::impl::send_start_order(worker_control& worker, const task_id& id, placement& placed,
                                       boot_time now) {
    auto* job = this->find_job(id.job);
    auto* task = job == nullptr ? nullptr : job->find_task(id);
    // The record may have been confirmed long after it was appended, if the process was paused meanwhile.
    const bool valid = task != nullptr && task->run == placed.run && task->phase == run_phase::placed &&
                       !is_final(job->state) && !worker.is_unresponsive() && !worker.entry.draining &&
                       !this->zones_out.contains(worker.entry.zone) && this->may_extend_leases(now);
    const auto until = this->lease_end(worker, this->timings.start_lease, now);
    if (!valid || !until) {
        const auto run = placed.run; // `placed` ends with its removal
        this->remove_placement(worker, id, job == nullptr ? "" : job->spec.account);
        if (task != nullptr && task->run == run && task->phase == run_phase::placed) {
            this->requeue(*job, id, *task, now);
            this->advance_job(*job, now);
        }
        return;
    }
    if (worker.hold_in_flight && worker.hold_acknowledges) {
        // A process that executes this start must not execute the acknowledgement later: it would discard the
        // end of this run.
        this->increment_fence(worker);
    }
    this->set_stage(placed, start_stage::sent, now);
    placed.may_be_elsewhere = true;
    placed.fence = this->fence_of(worker);
    this->note_lease_sent(worker, this->timings.start_lease, now);
    this->add_action(send_start{.worker = {.id = worker.entry.id, .address = worker.entry.address},
                                .order = {.task = id,
                                          .run = placed.run,
                                          .payload = job->spec.payload,
                                          .checkpoint = task->checkpoint,
                                          .ticket = placed.ticket,
                                          .lease_until = *until,
                                          .fence = placed.fence}});
}

void scheduler::on_start_answer(const worker_target& target, const start_order& order,
                                const order_answer& answer, boot_time now) {
    auto& state = *this->self;
    const auto found = state.workers.find(target.id);
    const auto placed = found == state.workers.end() ? std::map<task_id, placement>::iterator()
                                                     : found->second.tasks.find(order.task);
    if (state.term == 0 || found == state.workers.end() || placed == found->second.tasks.end() ||
        placed->second.run != order.run || placed->second.stage != start_stage::sent) {
        return;
    }
    auto& worker = found->second;
    auto* job = state.find_job(order.task.job);
    auto* task = job == nullptr ? nullptr : job->find_task(order.task);
    if (answer.outcome == order_outcome::done) {
        state.set_stage(placed->second, start_stage::confirmed, now);
        placed->second.may_be_elsewhere = !worker.process.has_answered(answer.worker_clock, now);
        worker.process.refused_starts = 0;
        if (task != nullptr && task->phase == run_phase::placed) {
            job->set_phase(order.task, *task, run_phase::running);
            task->placed_at = now;
            if (job->state == job_state::pending) {
                state.set_state(*job, job_state::running);
            }
            if (is_final(job->state)) {
                task->stop_sent = now;
                state.send_stop_order(worker, order.task, order.run);
            }
        }
        return;
    }
    write_log(severity::info, "start_not_done",
              {{"job", order.task.job},
               {"step", order.task.step},
               {"index", order.task.index},
               {"run", order.run},
               {"worker", target.id},
               {"outcome", to_string(answer.outcome)},
               {"reason", answer.reason}});
    if (answer.outcome == order_outcome::unknown) {
        state.count_refusal(worker, now);
        state.set_stage(placed->second, start_stage::unacknowledged, now);
        state.raise_fence(worker, now);
        return;
    }
    if (answer.outcome == order_outcome::fenced && order.fence < state.fence_of(worker)) {
        state.send_start_order(worker, order.task, placed->second, now);
        return;
    }
    if (answer.outcome == order_outcome::no_ticket) {
        task_id step_id = order.task;
        step_id.index = 0;
        if (const auto given = state.advice.find(step_id); given != state.advice.end()) {
            // Kept, because it counts a call that may be in flight.
            given->second.tickets.clear();
            given->second.refused.clear();
        }
    }
    if (answer.outcome == order_outcome::unhealthy || answer.outcome == order_outcome::unsent ||
        answer.outcome == order_outcome::no_room) {
        state.count_refusal(worker, now);
    }
    state.remove_placement(worker, order.task, job == nullptr ? "" : job->spec.account);
    if (task != nullptr) {
        state.requeue(*job, order.task, *task, now + state.timings.retry_after_refusal);
        state.advance_job(*job, now);
    }
}

void scheduler::on_stop_answer(const worker_target& target, const stop_order& order,
                               const order_answer& answer, boot_time) {
    auto& state = *this->self;
    const auto found = state.workers.find(target.id);
    if (found == state.workers.end()) {
        return;
    }
    if (answer.outcome != order_outcome::done) {
        write_log(severity::info, "stop_not_done",
                  {{"job", order.task.job},
                   {"run", order.run},
                   {"worker", target.id},
                   {"outcome", to_string(answer.outcome)},
                   {"reason", answer.reason}});
    }
}

namespace {

/// @param current empty: not known, so the result is an order that holds whatever it is
std::int32_t next_pace(std::optional<std::int32_t> current, bool target_at_risk) {
    constexpr std::int32_t full_speed = 100;
    constexpr std::int32_t recovery = 10;
    constexpr std::int32_t slow_down = 3;
    if (!current) {
        return target_at_risk ? full_speed / slow_down : full_speed;
    }
    return target_at_risk ? *current / slow_down : std::min(full_speed, *current + recovery);
}

} // namespace

void scheduler::impl::pace_best_effort_tasks(boot_time now) {
    constexpr milliseconds pace_settle_time{600}; // between two changes of the pace of one task
    for (auto& [id, worker] : this->workers) {
        // Without latency-sensitive tasks, those that were slowed down get their speed back.
        if (worker.best_effort_tasks == 0 || !worker.confirmed) {
            continue;
        }
        bool target_at_risk = false;
        for (const auto& [task_name, placed] : worker.tasks) {
            const auto* job = placed.latency_sensitive ? this->find_job(task_name.job) : nullptr;
            if (job != nullptr) {
                // Best-effort tasks slow down once the tail latency exceeds 80 % of the target, before it is
                // missed.
                const auto target = job->spec.steps[static_cast<std::size_t>(task_name.step)].latency_target;
                target_at_risk = target_at_risk || placed.latest_load * 10 > target.count() * 8;
            }
        }
        for (auto& [task_name, placed] : worker.tasks) {
            if (!placed.best_effort || placed.stage != start_stage::confirmed ||
                now < placed.pace_sent + pace_settle_time) {
                continue;
            }
            const auto percent = next_pace(placed.pace, target_at_risk);
            if (percent == placed.pace) {
                continue;
            }
            placed.pace_sent = now;
            this->add_action(send_pace{.worker = {.id = id, .address = worker.entry.address},
                                       .order = {.task = task_name,
                                                 .run = placed.run,
                                                 .percent = percent,
                                                 .fence = this->fence_of(worker)}});
        }
    }
}

void scheduler::on_pace_answer(const worker_target& target, const pace_order& order,
                               const order_answer& answer, boot_time) {
    auto& state = *this->self;
    const auto found = state.workers.find(target.id);
    if (found == state.workers.end()) {
        return;
    }
    const auto placed = found->second.tasks.find(order.task);
    if (placed == found->second.tasks.end() || placed->second.run != order.run) {
        return;
    }
    if (answer.outcome == order_outcome::done) {
        placed->second.pace = order.percent;
    } else if (answer.outcome == order_outcome::unknown) {
        placed->second.pace.reset();
    }
}

} // namespace hornbeamrail
