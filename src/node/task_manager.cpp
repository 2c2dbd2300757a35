#include "node/task_manager.hpp"

#include "protocol/digest.hpp"
#include "protocol/task_units.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace hornbeamrail {

namespace {

constexpr double usable_lease_part =
    0.98; ///< a lease is used for this part of its time, as clocks differ by up to 1%

bool has_ended(task_phase phase) {
    return phase != task_phase::queued && phase != task_phase::placed;
}

refusal refuse(std::string error, int status, std::string message, std::string remedy) {
    return {.error = std::move(error),
            .status = status,
            .outcome = run_outcome::not_run,
            .message = std::move(message),
            .remedy = std::move(remedy),
            .retry_after = std::nullopt};
}

refusal can_never_run(std::string reason) {
    return refuse("can_never_run", 422, std::move(reason),
                  "ask for less, or for a service with larger workers");
}

} // namespace

task_manager::task_manager(core_reader reader, unit_account_reference account, task_manager_options chosen)
    : core(std::move(reader)), units(std::move(account)), options(chosen), random(chosen.seed) {}

std::optional<refusal> task_manager::submit(boot_time now, const task_spec& spec) {
    const auto state = this->core.state();
    const auto& config = state->config();
    const auto* team = config.find_team(spec.team);
    const auto* service = config.find_service(spec.service);
    if (service == nullptr) {
        return refuse("unknown_service", 404, fmt::format("service \"{}\" is not defined", spec.service),
                      "use a service of the fleet text");
    }
    if (team == nullptr || !config.team_may_use(*team, spec.service)) {
        return refuse("wrong_team", 403,
                      fmt::format("team \"{}\" may not use \"{}\"", spec.team, spec.service),
                      "ask the operators to add the service to the team");
    }
    if (this->stopping || this->core.incarnation() == 0) {
        return refuse("stopping", 503, "this node takes no tasks", "submit through another node");
    }
    if (!this->core.view_is_fresh(now)) {
        return refuse("not_fresh", 503, "this node has lost touch with the log and its peers",
                      "submit through another node");
    }
    const auto needed = task_units(config, spec);
    if (!needed) {
        return can_never_run(
            fmt::format("no worker of \"{}\" is large enough for {} cores, {} MB, {} accelerators",
                        spec.service, spec.cores, spec.memory_mb, spec.accelerators));
    }
    if (*needed > team->upper_limit) {
        return can_never_run(fmt::format("the task takes {} units, the upper limit of team \"{}\" is {}",
                                         *needed, spec.team, team->upper_limit));
    }
    const auto queued = std::count_if(state->tasks().begin(), state->tasks().end(), [&](const auto& entry) {
        return entry.second.phase == task_phase::queued && entry.second.spec.team == spec.team;
    });
    if (static_cast<std::size_t>(queued) >= this->options.max_queued_per_team) {
        auto full =
            refuse("queue_full", 429, fmt::format("{} tasks of the team wait", queued), "submit later");
        full.retry_after = std::chrono::seconds(5);
        return full;
    }
    this->pending.emplace_back(append_task_record{
        .change_id = random_uuid(),
        .body = task_submit_record{.incarnation = this->core.incarnation(), .task = spec}});
    return std::nullopt;
}

void task_manager::cancel(std::string_view task_id) {
    this->pending.emplace_back(append_task_record{
        .change_id = random_uuid(), .body = task_cancel_record{.task_id = std::string(task_id)}});
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
    for (auto& [id, task] : this->held) {
        const auto* owned = this->owned_task(*state, id);
        if (owned == nullptr || owned->fencing_token != task.fencing_token) {
            gone.push_back(id);
        }
    }
    for (const auto& id : gone) {
        this->let_go(now, id);
    }
    for (const auto& [id, task] : state->tasks()) {
        if (task.phase != task_phase::placed || this->owned_task(*state, id) == nullptr ||
            this->held.contains(id)) {
            continue;
        }
        held_task adopted{.now_in = step::adopting,
                          .vm = task.vm,
                          .fencing_token = task.fencing_token,
                          .units = task_units(state->config(), task.spec).value_or(1),
                          .team = task.spec.team,
                          .lease_end = now + this->options.lease_ttl,
                          .next_call = now};
        if (const auto* info = state->find_vm(task.vm)) {
            adopted.address = info->vm.address;
        }
        this->units.adopt(now, adopted.team, adopted.units);
        this->held.emplace(id, std::move(adopted));
    }
}

void task_manager::let_go(boot_time now, const std::string& id) {
    const auto found = this->held.find(id);
    if (found == this->held.end()) {
        return;
    }
    this->units.release(now, found->second.team, found->second.units);
    this->placement.release(id);
    this->held.erase(found);
}

void task_manager::on_vm_list(const vm_list& list) {
    std::set<std::string, std::less<>> now_leaving;
    for (const auto& listing : list.vms) {
        if (listing.state == vm_state::leaving) {
            now_leaving.insert(listing.vm.id);
        }
    }
    if (now_leaving != this->leaving) {
        this->leaving = std::move(now_leaving);
        this->workers_from.reset(); // The next tick tells the placement.
    }
}

bool task_manager::accepts_starts(const fleet_state& state, std::string_view vm) const {
    const auto* info = state.find_vm(vm);
    return info != nullptr && info->in_service() && !state.zone_is_out(info->vm.zone) &&
           !this->leaving.contains(vm);
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
                   !this->held.contains(id)) {
            queued.push_back(&task);
        }
    }
    // Urgent first, then the team with the least running for its share, then the order of submission.
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
        const auto chosen = this->placement.place(now, service->pool, task->spec, this->random);
        const auto* worker = chosen ? state.find_vm(chosen->vm) : nullptr;
        if (worker == nullptr) {
            this->units.release(now, task->spec.team, *needed);
            continue;
        }
        ++placements;
        this->held.emplace(task->spec.id, held_task{.now_in = step::reserving,
                                                    .vm = chosen->vm,
                                                    .address = worker->vm.address,
                                                    .fencing_token = task->fencing_token,
                                                    .units = *needed,
                                                    .team = task->spec.team});
        actions.emplace_back(reserve_worker{.task_id = task->spec.id,
                                            .vm = chosen->vm,
                                            .address = worker->vm.address,
                                            .fencing_token = task->fencing_token,
                                            .cores = task->spec.cores,
                                            .memory_mb = task->spec.memory_mb,
                                            .accelerators = task->spec.accelerators,
                                            .ttl = this->options.lease_ttl});
    }
}

void task_manager::on_reserved(boot_time now, std::string_view task_id, boot_time sent_at,
                               worker_answer answer, const std::string& lease_id) {
    const auto found = this->held.find(task_id);
    if (found == this->held.end()) {
        return; // The lease lapses by itself.
    }
    auto& task = found->second;
    const auto state = this->core.state();
    const auto* owned = this->owned_task(*state, task_id);
    if (owned == nullptr || (task.now_in != step::reserving && task.now_in != step::adopting)) {
        return;
    }
    if (answer == worker_answer::done) {
        task.lease_id = lease_id;
        task.lease_end = sent_at + std::chrono::duration_cast<boot_time::duration>(this->options.lease_ttl *
                                                                                   usable_lease_part);
        task.next_call = now + this->options.renew_interval;
        if (task.now_in == step::adopting) {
            task.now_in = step::running;
            return;
        }
        task.now_in = step::recording;
        task.change_id = random_uuid();
        this->pending.emplace_back(
            append_task_record{.change_id = task.change_id,
                               .body = task_state_record{.task_id = std::string(task_id),
                                                         .fencing_token = task.fencing_token,
                                                         .phase = task_phase::placed,
                                                         .vm = task.vm,
                                                         .detail = {}}});
        return;
    }
    if (task.now_in == step::adopting) {
        task.next_call = now + this->options.retry_interval;
        if (answer == worker_answer::refused) {
            this->settle(now, task);
        }
        return;
    }
    // Nothing was recorded and nothing was started: the task is simply queued again.
    this->note_worker_result(now, task.vm, true);
    this->let_go(now, std::string(task_id));
}

void task_manager::on_command_done(boot_time now, std::string_view task_id, task_command command,
                                   boot_time sent_at, worker_answer answer) {
    const auto found = this->held.find(task_id);
    if (found == this->held.end()) {
        return;
    }
    auto& task = found->second;
    const auto state = this->core.state();
    const auto* owned = this->owned_task(*state, task_id);
    if (owned == nullptr || task.now_in == step::ending) {
        return;
    }
    const auto renewed_until = sent_at + std::chrono::duration_cast<boot_time::duration>(
                                             this->options.lease_ttl * usable_lease_part);
    if (command == task_command::stop && answer != worker_answer::no_answer) {
        if (owned->cancel_requested) {
            this->record_phase(std::string(task_id), task, task_phase::cancelled, "stopped on request");
        } else {
            this->lose_task(*owned, task, "stopped: its VM may not be used any more");
        }
        return;
    }
    if (command == task_command::checkpoint && answer == worker_answer::done) {
        // It goes on from its checkpoint on another worker, so this is no second run.
        this->record_phase(std::string(task_id), task, task_phase::queued,
                           "checkpointed: its VM is being drained");
        return;
    }
    if (command == task_command::checkpoint && answer == worker_answer::refused && !owned->spec.idempotent) {
        task.next_call =
            now; // It cannot be stopped and run again, so it runs to its end under renewed leases.
        return;
    }
    if (answer == worker_answer::no_answer) {
        task.next_call = now + this->options.retry_interval; // Repeating a call to a worker is safe.
        return;
    }
    if (answer == worker_answer::refused) {
        if (command == task_command::start || command == task_command::renew) {
            this->settle(now, task);
        }
        return;
    }
    if (command == task_command::start) {
        task.now_in = step::running;
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
        const auto found = this->held.find(report.task_id);
        const auto* owned = this->owned_task(*state, report.task_id);
        if (found != this->held.end() && owned != nullptr && found->second.vm == vm &&
            (found->second.now_in == step::running || found->second.now_in == step::settling)) {
            this->take_report(now, *owned, found->second, report);
        }
    }
}

void task_manager::take_report(boot_time now, const task_info& task, held_task& holder,
                               const task_report& report) {
    if (report.state == "reserved" && holder.now_in == step::running && !holder.start_sent) {
        // An earlier owner recorded the placement but left before the start.
        holder.now_in = step::starting;
        holder.start_sent = true;
        holder.next_call = now;
        return;
    }
    this->placement.report_usage(now, report.task_id, report.cores_used, report.memory_mb_used);
    if (report.state == "finished") {
        this->note_worker_result(now, holder.vm, false);
        this->attempts.erase(report.task_id);
        this->record_phase(report.task_id, holder, task_phase::finished, {});
    } else if (report.state == "failed") {
        this->note_worker_result(now, holder.vm, true);
        const int tries = ++this->attempts[report.task_id];
        if (task.spec.idempotent && tries < this->options.max_attempts) {
            this->record_phase(report.task_id, holder, task_phase::queued,
                               "failed on its worker; tried again");
            ++this->requeued;
        } else {
            this->attempts.erase(report.task_id);
            this->record_phase(report.task_id, holder, task_phase::failed, "the task failed on its worker");
        }
    } else if (report.state == "checkpointed") {
        this->record_phase(report.task_id, holder, task_phase::queued, "checkpointed when its lease lapsed");
        ++this->requeued;
    } else if (report.state == "stopped") {
        this->lose_task(task, holder, "the worker's lease lapsed");
    }
}

void task_manager::settle(boot_time now, held_task& holder) {
    // Usage reports lag: the task may have finished before the worker refused the call.
    holder.now_in = step::settling;
    holder.settle_end = now + this->options.report_lag;
}

void task_manager::record_phase(const std::string& id, held_task& task, task_phase phase,
                                std::string detail) {
    task.now_in = step::ending;
    task.change_id = random_uuid();
    this->pending.emplace_back(
        append_task_record{.change_id = task.change_id,
                           .body = task_state_record{.task_id = id,
                                                     .fencing_token = task.fencing_token,
                                                     .phase = phase,
                                                     .vm = {},
                                                     .detail = std::move(detail)}});
}

void task_manager::lose_task(const task_info& task, held_task& holder, std::string detail) {
    ++this->lost;
    // A task that may have run is run again only if that does no harm.
    const bool may_have_run =
        holder.start_sent || holder.now_in == step::adopting || holder.now_in == step::settling;
    if (task.spec.idempotent || !may_have_run) {
        ++this->requeued;
        this->record_phase(task.spec.id, holder, task_phase::queued, std::move(detail));
    } else {
        this->record_phase(task.spec.id, holder, task_phase::unknown, std::move(detail));
    }
}

void task_manager::note_worker_result(boot_time now, const std::string& vm, bool failed) {
    auto& record = this->workers[vm];
    record.failures = failed ? record.failures + 1 : 0;
    if (record.failures < this->options.failures_to_quarantine) {
        return;
    }
    record.failures = 0;
    record.quarantined_until = now + this->options.quarantine;
    this->workers_from.reset(); // The next tick tells the placement.
}

void task_manager::drive_lease(boot_time now, const fleet_state& state, const task_info& task,
                               held_task& holder, std::vector<task_action>& actions) {
    // The worker stops the task once its lease lapsed by its own clock, which may be behind ours.
    constexpr double lapse_margin = 1.02 / usable_lease_part;
    const auto lapse =
        std::chrono::duration_cast<boot_time::duration>(this->options.lease_ttl * (lapse_margin - 1));
    if (now > holder.lease_end + lapse) {
        this->lose_task(task, holder, "the worker could not be reached while its lease ran out");
        return;
    }
    if (now < holder.next_call) {
        return;
    }
    holder.next_call = now + this->options.renew_interval;
    command_worker call{.task_id = task.spec.id,
                        .address = holder.address,
                        .lease_id = holder.lease_id,
                        .fencing_token = holder.fencing_token,
                        .command = task_command::renew};
    const auto* info = state.find_vm(holder.vm);
    const bool drained = info != nullptr && info->operation != vm_operation::none;
    if (task.cancel_requested) {
        call.command = task_command::stop;
    } else if (holder.now_in == step::starting) {
        // A repeated start has no second effect, but the first may not have arrived, so the rules of a start
        // apply.
        call.command = this->may_start(now, state, task, holder) ? task_command::start : task_command::stop;
        call.run_time = task.spec.run_time;
    } else if (drained && !holder.evicting) {
        holder.evicting = true;
        call.command = task_command::checkpoint;
    } else if (drained && task.spec.idempotent) {
        call.command = task_command::stop;
    }
    actions.emplace_back(std::move(call));
}

bool task_manager::may_start(boot_time now, const fleet_state& state, const task_info& task,
                             const held_task& holder) const {
    return now < holder.lease_end && this->core.view_is_fresh(now) &&
           this->accepts_starts(state, holder.vm) && !this->revoked_keys(state).contains(task.spec.key_id);
}

void task_manager::start_recorded(boot_time now, const fleet_state& state, const task_info& task,
                                  held_task& holder, std::vector<task_action>& actions) {
    if (!state.outcome_of(holder.change_id)) {
        return;
    }
    if (task.phase != task_phase::placed) {
        holder.over = true; // The record was rejected, and nothing was started.
        return;
    }
    if (this->stopping) {
        return; // The next owner starts it.
    }
    if (!this->may_start(now, state, task, holder)) {
        this->lose_task(task, holder, "the worker could not be used any more before the start");
        return;
    }
    holder.now_in = step::starting;
    holder.start_sent = true;
    holder.next_call = now + this->options.retry_interval;
    actions.emplace_back(command_worker{.task_id = task.spec.id,
                                        .address = holder.address,
                                        .lease_id = holder.lease_id,
                                        .fencing_token = holder.fencing_token,
                                        .command = task_command::start,
                                        .run_time = task.spec.run_time});
}

void task_manager::drive(boot_time now, const fleet_state& state, const std::string& id, held_task& holder,
                         std::vector<task_action>& actions) {
    const auto* task = this->owned_task(state, id);
    if (task == nullptr) {
        return;
    }
    switch (holder.now_in) {
    case step::reserving:
        return;
    case step::ending:
        // A task that ended is no longer owned; one that was queued again is to be placed anew.
        holder.over = state.outcome_of(holder.change_id).has_value();
        return;
    case step::recording:
        this->start_recorded(now, state, *task, holder, actions);
        return;
    case step::adopting:
        if (now > holder.lease_end) {
            this->lose_task(*task, holder, "the worker could not be reached after a handover");
        } else if (now >= holder.next_call) {
            holder.next_call = now + this->options.retry_interval;
            actions.emplace_back(reserve_worker{.task_id = id,
                                                .vm = holder.vm,
                                                .address = holder.address,
                                                .fencing_token = holder.fencing_token,
                                                .cores = task->spec.cores,
                                                .memory_mb = task->spec.memory_mb,
                                                .accelerators = task->spec.accelerators,
                                                .ttl = this->options.lease_ttl,
                                                .adopt = true});
        }
        return;
    case step::settling:
        if (now > holder.settle_end) {
            this->lose_task(*task, holder, "the worker does not report how the task ended");
        }
        return;
    case step::starting:
    case step::running:
        this->drive_lease(now, state, *task, holder, actions);
        return;
    }
}

std::vector<task_action> task_manager::tick(boot_time now) {
    this->sync(now);
    const auto state = this->core.state();
    // The held state keeps its VM table alive, so an equal address means an equal table.
    if (!this->workers_from || &this->workers_from->vms() != &state->vms() ||
        &this->workers_from->zones_out() != &state->zones_out()) {
        this->update_workers(now, *state);
        this->workers_from = state;
    }
    std::vector<task_action> actions = std::move(this->pending);
    this->pending.clear();
    std::vector<std::string> over;
    for (auto& [id, holder] : this->held) {
        this->drive(now, *state, id, holder, actions);
        if (holder.over) {
            over.push_back(id);
        }
    }
    for (const auto& id : over) {
        this->let_go(now, id);
    }
    if (!this->stopping && this->core.incarnation() != 0 && this->core.view_is_fresh(now)) {
        this->place_queued(now, *state, actions);
    }
    if (now >= this->next_usage) {
        this->next_usage = now + this->options.usage_interval;
        std::set<std::string_view> asked;
        for (const auto& [id, holder] : this->held) {
            if ((holder.now_in == step::running || holder.now_in == step::settling) &&
                asked.insert(holder.vm).second) {
                actions.emplace_back(read_usage{.vm = holder.vm, .address = holder.address});
            }
        }
    }
    std::move(this->pending.begin(), this->pending.end(), std::back_inserter(actions));
    this->pending.clear();
    return actions;
}

boost::json::value task_manager::dump() const {
    boost::json::object steps;
    for (const auto& [id, holder] : this->held) {
        steps[id] = {{"vm", holder.vm}, {"units", holder.units}, {"start_sent", holder.start_sent}};
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
