#include "node/task_manager.hpp"

#include "protocol/digest.hpp"
#include "protocol/task_units.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace hornbeamrail {

namespace {

/// Fraction of its duration for which a lease is used. The clock rate of each VM is off by at most 1%.
constexpr double usable_lease_fraction = 0.98;

bool has_ended(task_phase phase) {
    return phase != task_phase::queued && phase != task_phase::placed;
}

refusal make_refusal(std::string error, int status, std::string message, std::string remedy) {
    return {.error = std::move(error),
            .status = status,
            .outcome = run_outcome::not_run,
            .message = std::move(message),
            .remedy = std::move(remedy),
            .retry_after = std::nullopt};
}

refusal refuse_infeasible(std::string reason) {
    return make_refusal("can_never_run", 422, std::move(reason),
                        "request less capacity, or a service with larger workers");
}

} // namespace

task_manager::task_manager(core_reader reader, unit_account_reference account,
                           task_manager_options manager_options)
    : core(std::move(reader)), units(std::move(account)), options(manager_options),
      random(manager_options.seed) {}

std::optional<refusal> task_manager::submit(boot_time now, const task_spec& spec) {
    const auto state = this->core.state();
    const auto& config = state->config();
    const auto* team = config.find_team(spec.team);
    const auto* service = config.find_service(spec.service);
    if (service == nullptr) {
        return make_refusal("unknown_service", 404,
                            fmt::format("service \"{}\" is not defined", spec.service),
                            "use the name of a service in the fleet configuration");
    }
    if (team == nullptr || !config.team_may_use(*team, spec.service)) {
        return make_refusal("wrong_team", 403,
                            fmt::format("team \"{}\" may not use \"{}\"", spec.team, spec.service),
                            "ask the operators to add the service to the team");
    }
    if (this->stopping || this->core.incarnation() == 0) {
        return make_refusal("stopping", 503, "this node accepts no tasks", "submit through another node");
    }
    if (!this->core.view_is_fresh(now)) {
        return make_refusal("not_fresh", 503, "this node has no fresh view from the log and its peers",
                            "submit through another node");
    }
    const auto needed = task_units(config, spec);
    if (!needed) {
        return refuse_infeasible(
            fmt::format("no worker of \"{}\" is large enough for {} cores, {} MB, {} accelerators",
                        spec.service, spec.cores, spec.memory_mb, spec.accelerators));
    }
    if (*needed > team->upper_limit) {
        return refuse_infeasible(fmt::format("the task needs {} units, the upper limit of team \"{}\" is {}",
                                             *needed, spec.team, team->upper_limit));
    }
    const auto queued = std::count_if(state->tasks().begin(), state->tasks().end(), [&](const auto& entry) {
        return entry.second.phase == task_phase::queued && entry.second.spec.team == spec.team;
    });
    if (static_cast<std::size_t>(queued) >= this->options.max_queued_per_team) {
        auto full = make_refusal("queue_full", 429, fmt::format("{} tasks of the team are queued", queued),
                                 "submit later");
        full.retry_after = std::chrono::seconds(5);
        return full;
    }
    this->pending_actions.emplace_back(append_task_record{
        .change_id = random_uuid(),
        .body = task_submit_record{.incarnation = this->core.incarnation(), .task = spec}});
    return std::nullopt;
}

void task_manager::cancel(std::string_view task_id) {
    if (this->cancels.contains(task_id)) {
        return; // a second change would have no other effect
    }
    this->cancels.emplace(
        std::string(task_id),
        pending_cancel{.record = {.change_id = random_uuid(),
                                  .body = task_cancel_record{.task_id = std::string(task_id)}}});
}

void task_manager::append_due_cancels(boot_time now, const fleet_state& state,
                                      std::vector<task_action>& actions) {
    std::erase_if(this->cancels, [&state](const auto& entry) {
        return state.outcome_of(entry.second.record.change_id).has_value();
    });
    for (auto& [id, pending] : this->cancels) {
        if (now >= pending.due) {
            pending.due = now + this->options.record_retry;
            actions.emplace_back(pending.record);
        }
    }
}

const task_info* task_manager::owned_task(const fleet_state& state, std::string_view id) const {
    const auto found = state.tasks().find(id);
    if (found == state.tasks().end() || found->second.owner != this->core.incarnation() ||
        has_ended(found->second.phase)) {
        return nullptr;
    }
    return &found->second;
}

void task_manager::sync(boot_time now) {
    const auto state = this->core.state();
    std::vector<std::string> gone;
    for (auto& [id, task] : this->active_tasks) {
        const auto* owned = this->owned_task(*state, id);
        if (owned == nullptr || owned->fencing_token != task.fencing_token) {
            gone.push_back(id);
        }
    }
    for (const auto& id : gone) {
        this->release_task(now, id);
    }
    for (const auto& [id, task] : state->tasks()) {
        if (task.phase != task_phase::placed || this->owned_task(*state, id) == nullptr ||
            this->active_tasks.contains(id)) {
            continue;
        }
        active_task adopted{.current_step = step::adopting,
                            .vm = task.vm,
                            .fencing_token = task.fencing_token,
                            .units = task_units(state->config(), task.spec).value_or(1),
                            .team = task.spec.team,
                            .lease_end = now + this->options.lease_ttl,
                            .next_call = now,
                            .adopted = true};
        if (const auto* info = state->find_vm(task.vm)) {
            adopted.address = info->vm.address;
        }
        this->units.adopt(now, adopted.team, adopted.units);
        this->active_tasks.emplace(id, std::move(adopted));
    }
}

void task_manager::release_task(boot_time now, const std::string& id) {
    const auto found = this->active_tasks.find(id);
    if (found == this->active_tasks.end()) {
        return;
    }
    this->units.release(now, found->second.team, found->second.units);
    this->placement.release(id);
    this->active_tasks.erase(found);
}

void task_manager::on_vm_list(const vm_list& list) {
    std::set<std::string, std::less<>> now_leaving;
    for (const auto& listing : list.vms) {
        if (listing.state == vm_state::leaving) {
            now_leaving.insert(listing.vm.id);
        }
    }
    if (now_leaving != this->leaving_vms) {
        this->leaving_vms = std::move(now_leaving);
        this->placement_state.reset(); // The next `tick` updates the placement.
    }
}

bool task_manager::accepts_starts(const fleet_state& state, std::string_view vm) const {
    const auto* info = state.find_vm(vm);
    return info != nullptr && info->in_service() && !state.zone_is_out(info->vm.zone) &&
           !this->leaving_vms.contains(vm);
}

std::set<std::string_view> task_manager::revoked_keys(const fleet_state& state) const {
    std::set<std::string_view> revoked;
    for (const auto& [hash, key] : state.keys()) {
        if (key.revoked) {
            revoked.insert(key.key_id);
        }
    }
    return revoked;
}

void task_manager::update_workers(boot_time now, const fleet_state& state) {
    std::set<std::string, std::less<>> seen;
    for (const auto& [id, info] : state.vms()) {
        const auto record = this->workers.find(id);
        const bool quarantined = record != this->workers.end() && now < record->second.quarantined_until;
        this->placement.set_worker(info.vm,
                                   info.in_service() && !state.zone_is_out(info.vm.zone) && !quarantined);
        seen.insert(id);
    }
    for (const auto& id : this->placement_workers) {
        if (!seen.contains(id)) {
            this->placement.remove_worker(id);
        }
    }
    this->placement_workers = std::move(seen);
}

std::vector<const task_info*> task_manager::queued_in_order(const fleet_state& state) const {
    std::map<std::string_view, double> load;
    std::vector<const task_info*> queued;
    for (const auto& [id, task] : state.tasks()) {
        if (task.phase == task_phase::placed) {
            const auto* team = state.config().find_team(task.spec.team);
            const double share = team == nullptr ? 1 : std::max(team->share, 0.1);
            load[task.spec.team] +=
                static_cast<double>(task_units(state.config(), task.spec).value_or(1)) / share;
        } else if (task.phase == task_phase::queued && task.owner == this->core.incarnation() &&
                   !this->active_tasks.contains(id)) {
            queued.push_back(&task);
        }
    }
    // Urgent tasks first, then by units in use relative to the share of the team, then by submission.
    std::sort(queued.begin(), queued.end(), [&](const task_info* left, const task_info* right) {
        const auto key = [&](const task_info* task) {
            return std::tuple(!task->spec.urgent, load[task->spec.team], task->submitted_at);
        };
        return key(left) < key(right);
    });
    return queued;
}

void task_manager::place_queued(boot_time now, const fleet_state& state, std::vector<task_action>& actions) {
    int placements = 0;
    const auto queued = this->queued_in_order(state);
    const auto revoked = queued.empty() ? std::set<std::string_view>{} : this->revoked_keys(state);
    for (const auto* task : queued) {
        if (placements == this->options.max_placements_per_tick) {
            return;
        }
        if (revoked.contains(task->spec.key_id)) {
            this->cancel(task->spec.id);
            continue;
        }
        const auto* service = state.config().find_service(task->spec.service);
        const auto needed = task_units(state.config(), task->spec);
        if (service == nullptr || !needed || !this->units.try_reserve(now, task->spec.team, *needed)) {
            continue;
        }
        const auto target = this->placement.place(now, service->pool, task->spec, this->random);
        const auto* worker = target ? state.find_vm(target->vm) : nullptr;
        if (worker == nullptr) {
            this->units.release(now, task->spec.team, *needed);
            continue;
        }
        ++placements;
        this->active_tasks.emplace(task->spec.id, active_task{.current_step = step::reserving,
                                                              .vm = target->vm,
                                                              .address = worker->vm.address,
                                                              .fencing_token = task->fencing_token,
                                                              .units = *needed,
                                                              .team = task->spec.team});
        actions.emplace_back(reserve_worker{.task_id = task->spec.id,
                                            .vm = target->vm,
                                            .address = worker->vm.address,
                                            .fencing_token = task->fencing_token,
                                            .cores = task->spec.cores,
                                            .memory_mb = task->spec.memory_mb,
                                            .accelerators = task->spec.accelerators,
                                            .ttl = this->options.lease_ttl});
    }
}

void task_manager::on_reserved(boot_time now, std::string_view task_id, log_offset fencing_token,
                               boot_time sent_at, worker_answer answer, const std::string& lease_id) {
    const auto found = this->active_tasks.find(task_id);
    if (found == this->active_tasks.end() || found->second.fencing_token != fencing_token) {
        return; // The lease expires on its own.
    }
    auto& task = found->second;
    const auto state = this->core.state();
    const auto* owned = this->owned_task(*state, task_id);
    if (owned == nullptr || (task.current_step != step::reserving && task.current_step != step::adopting)) {
        return;
    }
    if (answer == worker_answer::done) {
        task.lease_id = lease_id;
        task.lease_end = sent_at + std::chrono::duration_cast<boot_time::duration>(this->options.lease_ttl *
                                                                                   usable_lease_fraction);
        task.next_call = now + this->options.renew_interval;
        if (task.current_step == step::adopting) {
            task.current_step = step::running;
            return;
        }
        task.current_step = step::recording;
        task.record = {.change_id = random_uuid(),
                       .body = task_state_record{.task_id = std::string(task_id),
                                                 .fencing_token = task.fencing_token,
                                                 .phase = task_phase::placed,
                                                 .vm = task.vm,
                                                 .detail = {}}};
        task.record_due = {};
        return;
    }
    if (task.current_step == step::adopting) {
        task.next_call = now + this->options.retry_interval;
        if (answer == worker_answer::refused) {
            this->begin_resolving(now, task);
        }
        return;
    }
    // Nothing was recorded or started, so the task stays queued.
    this->record_worker_result(now, task.vm, true);
    this->release_task(now, std::string(task_id));
}

void task_manager::on_command_done(boot_time now, std::string_view task_id, log_offset fencing_token,
                                   task_command command, boot_time sent_at, worker_answer answer) {
    const auto found = this->active_tasks.find(task_id);
    const bool is_current = found != this->active_tasks.end() && found->second.fencing_token == fencing_token;
    if (!is_current) {
        return;
    }
    auto& task = found->second;
    const auto state = this->core.state();
    const auto* owned = this->owned_task(*state, task_id);
    if (owned == nullptr || task.current_step == step::ending) {
        return;
    }
    const auto renewed_until = sent_at + std::chrono::duration_cast<boot_time::duration>(
                                             this->options.lease_ttl * usable_lease_fraction);
    if (command == task_command::stop && answer != worker_answer::no_answer) {
        if (owned->cancel_requested) {
            this->record_phase(std::string(task_id), task, task_phase::cancelled, "stopped on request");
        } else {
            this->handle_lost_task(*owned, task, "stopped: its VM may not be used any more");
        }
        return;
    }
    if (command == task_command::checkpoint && answer == worker_answer::done) {
        // The task resumes from its checkpoint on another worker, which does not count as a second run.
        this->record_phase(std::string(task_id), task, task_phase::queued,
                           "checkpointed: its VM is being drained");
        return;
    }
    if (command == task_command::checkpoint && answer == worker_answer::refused && !owned->spec.idempotent) {
        task.next_call =
            now; // It must not be stopped and run again, so it runs to its end under renewed leases.
        return;
    }
    if (answer == worker_answer::no_answer) {
        task.next_call = now + this->options.retry_interval; // Calls to workers are idempotent.
        return;
    }
    if (answer == worker_answer::refused) {
        if (command == task_command::start || command == task_command::renew) {
            this->begin_resolving(now, task);
        }
        return;
    }
    if (command == task_command::start) {
        task.current_step = step::running;
        ++this->started;
    }
    if (command == task_command::start || command == task_command::renew) {
        task.lease_end = std::max(task.lease_end, renewed_until);
        task.next_call = now + this->options.renew_interval;
    }
}

void task_manager::on_usage(boot_time now, std::string_view vm, const std::vector<task_report>& reports) {
    const auto state = this->core.state();
    for (const auto& report : reports) {
        const auto found = this->active_tasks.find(report.task_id);
        const auto* owned = this->owned_task(*state, report.task_id);
        if (found != this->active_tasks.end() && owned != nullptr && found->second.vm == vm &&
            (found->second.current_step == step::running || found->second.current_step == step::resolving)) {
            this->apply_report(now, *owned, found->second, report);
        }
    }
}

void task_manager::apply_report(boot_time now, const task_info& task, active_task& active,
                                const task_report& report) {
    if (report.state == "reserved" && active.current_step == step::running && !active.start_sent) {
        // The previous owner recorded the placement but left before it started the task.
        active.current_step = step::starting;
        active.start_sent = true;
        active.next_call = now;
        return;
    }
    this->placement.report_usage(now, report.task_id, report.cores_used, report.memory_mb_used);
    if (report.state == "finished") {
        this->record_worker_result(now, active.vm, false);
        this->attempts.erase(report.task_id);
        this->record_phase(report.task_id, active, task_phase::finished, {});
    } else if (report.state == "failed") {
        this->record_worker_result(now, active.vm, true);
        const int failed_attempts = ++this->attempts[report.task_id];
        if (task.spec.idempotent && failed_attempts < this->options.max_attempts) {
            this->record_phase(report.task_id, active, task_phase::queued,
                               "failed on its worker; tried again");
            ++this->requeued;
        } else {
            this->attempts.erase(report.task_id);
            this->record_phase(report.task_id, active, task_phase::failed, "the task failed on its worker");
        }
    } else if (report.state == "checkpointed") {
        this->record_phase(report.task_id, active, task_phase::queued, "checkpointed when its lease lapsed");
        ++this->requeued;
    } else if (report.state == "stopped") {
        this->handle_lost_task(task, active, "the worker's lease lapsed");
    }
}

void task_manager::begin_resolving(boot_time now, active_task& active) {
    // Usage reports lag: the task may have ended before the worker refused the call.
    active.current_step = step::resolving;
    active.report_deadline = now + this->options.report_lag;
}

void task_manager::record_phase(const std::string& id, active_task& task, task_phase phase,
                                std::string detail) {
    task.current_step = step::ending;
    task.record = {.change_id = random_uuid(),
                   .body = task_state_record{.task_id = id,
                                             .fencing_token = task.fencing_token,
                                             .phase = phase,
                                             .vm = {},
                                             .detail = std::move(detail)}};
    task.record_due = {};
}

void task_manager::append_due_record(boot_time now, active_task& active,
                                     std::vector<task_action>& actions) const {
    if (now >= active.record_due) {
        active.record_due = now + this->options.record_retry;
        actions.emplace_back(active.record);
    }
}

void task_manager::handle_lost_task(const task_info& task, active_task& active, std::string detail) {
    ++this->lost;
    // A task that may have run is only run again if it is idempotent.
    const bool may_have_run = active.start_sent || active.adopted || active.current_step == step::resolving;
    if (task.spec.idempotent || !may_have_run) {
        ++this->requeued;
        this->record_phase(task.spec.id, active, task_phase::queued, std::move(detail));
    } else {
        this->record_phase(task.spec.id, active, task_phase::unknown, std::move(detail));
    }
}

void task_manager::record_worker_result(boot_time now, const std::string& vm, bool failed) {
    auto& record = this->workers[vm];
    record.failures = failed ? record.failures + 1 : 0;
    if (record.failures < this->options.failures_to_quarantine) {
        return;
    }
    record.failures = 0;
    record.quarantined_until = now + this->options.quarantine;
    this->placement_state.reset(); // The next `tick` updates the placement.
}

void task_manager::advance_lease(boot_time now, const fleet_state& state, const task_info& task,
                                 active_task& active, std::vector<task_action>& actions) {
    // The worker stops the task when the lease expires by the worker's clock, which may be behind this node's
    // clock.
    constexpr double lapse_margin = 1.02 / usable_lease_fraction;
    const auto lapse =
        std::chrono::duration_cast<boot_time::duration>(this->options.lease_ttl * (lapse_margin - 1));
    if (now > active.lease_end + lapse) {
        this->handle_lost_task(task, active, "the worker could not be reached while its lease ran out");
        return;
    }
    if (now < active.next_call) {
        return;
    }
    active.next_call = now + this->options.renew_interval;
    command_worker call{.task_id = task.spec.id,
                        .address = active.address,
                        .lease_id = active.lease_id,
                        .fencing_token = active.fencing_token,
                        .command = task_command::renew};
    const auto* info = state.find_vm(active.vm);
    const bool drained = info != nullptr && info->operation != vm_operation::none;
    if (task.cancel_requested) {
        call.command = task_command::stop;
    } else if (active.current_step == step::starting) {
        // A repeated start has no effect if the first one arrived. It may not have, so the conditions of a
        // start are checked again.
        call.command = this->can_start(now, state, task, active) ? task_command::start : task_command::stop;
        call.run_time = task.spec.run_time;
    } else if (drained && !active.evicting) {
        active.evicting = true;
        call.command = task_command::checkpoint;
    } else if (drained && task.spec.idempotent) {
        call.command = task_command::stop;
    }
    actions.emplace_back(std::move(call));
}

bool task_manager::can_start(boot_time now, const fleet_state& state, const task_info& task,
                             const active_task& active) const {
    return now < active.lease_end && this->core.view_is_fresh(now) &&
           this->accepts_starts(state, active.vm) && !this->revoked_keys(state).contains(task.spec.key_id);
}

void task_manager::start_recorded(boot_time now, const fleet_state& state, const task_info& task,
                                  active_task& active, std::vector<task_action>& actions) {
    if (!state.outcome_of(active.record.change_id)) {
        this->append_due_record(now, active, actions);
        return;
    }
    if (task.phase != task_phase::placed) {
        active.is_done = true; // The record was rejected, and nothing was started.
        return;
    }
    if (this->stopping) {
        return; // The next owner starts the task.
    }
    if (!this->can_start(now, state, task, active)) {
        this->handle_lost_task(task, active, "the worker could not be used any more before the start");
        return;
    }
    active.current_step = step::starting;
    active.start_sent = true;
    active.next_call = now + this->options.retry_interval;
    actions.emplace_back(command_worker{.task_id = task.spec.id,
                                        .address = active.address,
                                        .lease_id = active.lease_id,
                                        .fencing_token = active.fencing_token,
                                        .command = task_command::start,
                                        .run_time = task.spec.run_time});
}

void task_manager::advance_task(boot_time now, const fleet_state& state, const std::string& id,
                                active_task& active, std::vector<task_action>& actions) {
    const auto* task = this->owned_task(state, id);
    if (task == nullptr) {
        return;
    }
    switch (active.current_step) {
    case step::reserving:
        return;
    case step::ending:
        // A task that ended is no longer owned; one that was queued again is placed again.
        active.is_done = state.outcome_of(active.record.change_id).has_value();
        if (!active.is_done) {
            this->append_due_record(now, active, actions);
        }
        return;
    case step::recording:
        this->start_recorded(now, state, *task, active, actions);
        return;
    case step::adopting:
        if (now > active.lease_end) {
            this->handle_lost_task(*task, active, "the worker could not be reached after a handover");
        } else if (now >= active.next_call) {
            active.next_call = now + this->options.retry_interval;
            actions.emplace_back(reserve_worker{.task_id = id,
                                                .vm = active.vm,
                                                .address = active.address,
                                                .fencing_token = active.fencing_token,
                                                .cores = task->spec.cores,
                                                .memory_mb = task->spec.memory_mb,
                                                .accelerators = task->spec.accelerators,
                                                .ttl = this->options.lease_ttl,
                                                .adopt = true});
        }
        return;
    case step::resolving:
        if (now > active.report_deadline) {
            this->handle_lost_task(*task, active, "the worker does not report how the task ended");
        }
        return;
    case step::starting:
    case step::running:
        this->advance_lease(now, state, *task, active, actions);
        return;
    }
}

std::vector<task_action> task_manager::tick(boot_time now) {
    this->sync(now);
    const auto state = this->core.state();
    // `placement_state` keeps its VM table alive, so equal addresses mean equal tables.
    if (!this->placement_state || &this->placement_state->vms() != &state->vms() ||
        &this->placement_state->zones_out() != &state->zones_out()) {
        this->update_workers(now, *state);
        this->placement_state = state;
    }
    std::vector<task_action> actions = std::move(this->pending_actions);
    this->pending_actions.clear();
    std::vector<std::string> done;
    for (auto& [id, active] : this->active_tasks) {
        this->advance_task(now, *state, id, active, actions);
        if (active.is_done) {
            done.push_back(id);
        }
    }
    for (const auto& id : done) {
        this->release_task(now, id);
    }
    if (!this->stopping && this->core.incarnation() != 0 && this->core.view_is_fresh(now)) {
        this->place_queued(now, *state, actions);
    }
    if (now >= this->next_usage_read) {
        this->next_usage_read = now + this->options.usage_interval;
        std::set<std::string_view> queried_vms;
        for (const auto& [id, active] : this->active_tasks) {
            if ((active.current_step == step::running || active.current_step == step::resolving) &&
                queried_vms.insert(active.vm).second) {
                actions.emplace_back(read_usage{.vm = active.vm, .address = active.address});
            }
        }
    }
    this->append_due_cancels(now, *state, actions);
    std::move(this->pending_actions.begin(), this->pending_actions.end(), std::back_inserter(actions));
    this->pending_actions.clear();
    return actions;
}

boost::json::value task_manager::dump() const {
    boost::json::object steps;
    for (const auto& [id, active] : this->active_tasks) {
        steps[id] = {{"vm", active.vm}, {"units", active.units}, {"start_sent", active.start_sent}};
    }
    boost::json::array quarantined;
    for (const auto& [vm, record] : this->workers) {
        if (record.quarantined_until != boot_time{}) {
            quarantined.push_back({{"vm", vm}, {"failures", record.failures}});
        }
    }
    return {{"held", std::move(steps)},
            {"quarantined_workers", std::move(quarantined)},
            {"started", this->started},
            {"lost", this->lost},
            {"requeued", this->requeued}};
}

} // namespace hornbeamrail
