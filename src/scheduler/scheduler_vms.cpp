#include "scheduler/scheduler_impl.hpp"

#include "protocol/durations.hpp"
#include "protocol/json_log.hpp"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace hornbeamrail {

namespace {

using std::chrono::milliseconds;

/// Prefix of the keys in the progress topic that hold the VMs ordered in each wave.
const std::string wave_record_prefix = "wave.";

} // namespace

boot_time scheduler::impl::vm_orders_allowed_until() const {
    return this->stopping ? boot_time{} : this->lease_renewed + this->timings.vm_order_window;
}

bool scheduler::impl::is_next_in_wave(const std::string& vm) const {
    return std::any_of(this->waves.begin(), this->waves.end(),
                       [&vm](const auto& item) { return item.second.draining.contains(vm); });
}

bool scheduler::impl::has_pending_vm_order(const std::string& vm) const {
    const bool in_wave = std::any_of(this->waves.begin(), this->waves.end(), [&vm](const auto& item) {
        return item.second.in_maintenance.contains(vm);
    });
    return in_wave || this->vm_orders.contains(vm) || this->vm_moves.contains(vm);
}

bool scheduler::impl::is_stable(const std::string& id) const {
    const auto worker = this->workers.find(id);
    const auto vm = this->vm_of_worker.find(id);
    if (worker == this->workers.end() || !worker->second.confirmed || worker->second.is_unresponsive() ||
        worker->second.entry.draining || vm == this->vm_of_worker.end() ||
        this->has_pending_vm_order(vm->second)) {
        return false;
    }
    const auto listed = this->vms.find(vm->second);
    return listed != this->vms.end() && listed->second.condition == vm_condition::up;
}

bool scheduler::impl::is_ready(const task_id& id, const task_progress& task) const {
    const auto worker = this->workers.find(task.worker);
    if (task.phase != run_phase::running || worker == this->workers.end()) {
        return false;
    }
    const auto placed = worker->second.tasks.find(id);
    return placed != worker->second.tasks.end() && placed->second.run == task.run && placed->second.ready;
}

std::int32_t scheduler::impl::count_unavailable_tasks(job_progress& job, const task_id& id) const {
    std::int32_t unavailable = 0;
    task_id other = id;
    other.index = 0;
    for (const auto& task : job.occurrence(id.occurrence).steps[static_cast<std::size_t>(id.step)].tasks) {
        const bool remains = task.stop_sent == boot_time{} && this->is_stable(task.worker);
        unavailable += remains && this->is_ready(other, task) ? 0 : 1;
        ++other.index;
    }
    return unavailable;
}

bool scheduler::impl::can_end_tasks_of(const worker_control& worker) {
    for (const auto& [id, placed] : worker.tasks) {
        auto* job = this->find_job(id.job);
        const auto* step = job == nullptr || is_final(job->state)
                               ? nullptr
                               : &job->spec.steps[static_cast<std::size_t>(id.step)];
        if (step == nullptr || !step->long_running) {
            continue;
        }
        // All tasks of the step on this worker would be unavailable together.
        std::int32_t ready_here = 0;
        task_id other = id;
        other.index = 0;
        for (const auto& task :
             job->occurrence(id.occurrence).steps[static_cast<std::size_t>(id.step)].tasks) {
            const bool runs_here = task.worker == worker.entry.id && task.stop_sent == boot_time{};
            ready_here += runs_here && this->is_ready(other, task) ? 1 : 0;
            ++other.index;
        }
        if (this->count_unavailable_tasks(*job, id) + ready_here > step->max_unavailable) {
            return false;
        }
    }
    return true;
}

bool scheduler::impl::has_room_elsewhere(const worker_control& worker, const step_spec& step,
                                         const task_id& task, boot_time now) {
    auto candidates = this->find_accepting_workers(worker.entry.pool, now);
    apply_step_rules(candidates, step, task);
    auto request = make_request(step);
    request.avoided_worker = worker.entry.id;
    return choose_worker(candidates.views, request).has_value();
}

void scheduler::impl::spread_tasks_of(worker_control& worker, boot_time now) {
    for (const auto& [id, placed] : worker.tasks) {
        auto* job = this->find_job(id.job);
        auto* task = job == nullptr || is_final(job->state) ? nullptr : job->find_task(id);
        if (task == nullptr || task->phase != run_phase::running || task->stop_sent != boot_time{}) {
            continue;
        }
        const auto& step = job->spec.steps[static_cast<std::size_t>(id.step)];
        const auto& tasks = job->occurrence(id.occurrence).steps[static_cast<std::size_t>(id.step)].tasks;
        const auto running_here = std::count_if(tasks.begin(), tasks.end(), [&worker](const auto& other) {
            return other.worker == worker.entry.id && other.phase == run_phase::running;
        });
        if (step.long_running && running_here > step.max_unavailable && step.max_unavailable > 0 &&
            this->count_unavailable_tasks(*job, id) < step.max_unavailable &&
            this->has_room_elsewhere(worker, step, id, now)) {
            task->stop_sent = now;
            write_log(severity::info, "run_moved_away",
                      {{"job", id.job}, {"index", id.index}, {"worker", worker.entry.id}});
            this->send_stop_order(worker, id, task->run);
            return;
        }
    }
}

void scheduler::impl::plan_waves(boot_time now) {
    if (this->vm_list_as_of == boot_time{} || now < this->last_wave_plan + this->timings.wave_interval) {
        return;
    }
    this->last_wave_plan = now;
    for (auto& [number, wave] : this->waves) {
        this->plan_wave(wave, now);
    }
}

const job_progress* scheduler::impl::find_job_that_never_ends(const worker_control& worker) {
    for (const auto& [id, placed] : worker.tasks) {
        const auto* job = placed.long_running ? this->find_job(id.job) : nullptr;
        if (job != nullptr && !is_final(job->state) &&
            job->spec.steps[static_cast<std::size_t>(id.step)].max_unavailable == 0) {
            return job;
        }
    }
    return nullptr;
}

bool scheduler::impl::is_half_used(const std::string& pool) const {
    std::int64_t used = 0;
    std::int64_t capacity = 0;
    for (const auto& [id, worker] : this->workers) {
        if (worker.entry.pool == pool && worker.listed) {
            used += worker.used.cpu_millicores;
            capacity += worker.entry.capacity.cpu_millicores;
        }
    }
    return used * 2 >= capacity;
}

bool scheduler::impl::may_drain(wave_progress& wave, const vm_entry& vm, const worker_control& worker,
                                boot_time now) {
    if (const auto* job = this->find_job_that_never_ends(worker)) {
        if (wave.blocked.insert(vm.id).second) {
            write_log(severity::warning, "maintenance_blocked",
                      {{"vm", vm.id}, {"wave", wave.request.number}, {"job", job->spec.id}});
        }
        return false;
    }
    wave.blocked.erase(vm.id);
    const auto pause = wave.may_drain_from.find(vm.id);
    if (pause != wave.may_drain_from.end() && now < pause->second) {
        return false;
    }
    if (!worker.holds_back_since || !wave.draining.contains(vm.id)) {
        return true;
    }
    const auto longest = this->is_half_used(worker.entry.pool) ? this->timings.longest_hold_back_if_busy
                                                               : this->timings.longest_hold_back;
    if (now < *worker.holds_back_since + longest) {
        return true;
    }
    write_log(severity::info, "drain_given_up",
              {{"vm", vm.id}, {"wave", wave.request.number}, {"tasks", worker.tasks.size()}});
    wave.may_drain_from[vm.id] = now + this->timings.drain_pause;
    return false;
}

void scheduler::impl::update_maintained_vms(wave_progress& wave, boot_time now) {
    const auto longest = this->options.limits.vm_maintenance + this->timings.maintenance_overrun;
    for (auto at = wave.in_maintenance.begin(); at != wave.in_maintenance.end();) {
        const auto vm = this->vms.find(at->first);
        const bool list_is_newer = this->vm_list_as_of > at->second + milliseconds(200);
        const bool is_lost = vm != this->vms.end() && vm->second.condition == vm_condition::down &&
                             this->vm_list_as_of > at->second + longest;
        const bool has_returned =
            vm == this->vms.end() || vm->second.condition == vm_condition::up || is_lost;
        const bool ended = list_is_newer && has_returned;
        this->dispatch_due = this->dispatch_due || ended; // its worker may have joined before
        at = ended ? wave.in_maintenance.erase(at) : std::next(at);
    }
    for (const auto& name : wave.request.vms) {
        const auto vm = this->vms.find(name);
        // The maintenance may have been ordered by a previous scheduler.
        if (vm != this->vms.end() && vm->second.condition == vm_condition::maintenance) {
            wave.in_maintenance.emplace(name, now);
        }
    }
}

void scheduler::impl::plan_wave(wave_progress& wave, boot_time now) {
    this->update_maintained_vms(wave, now);
    wave_status status{.max_down = wave.request.max_down,
                       .down = static_cast<std::int32_t>(wave.in_maintenance.size()),
                       .elapsed = to_millis(now - wave.started_at),
                       .duration = wave.request.duration,
                       .maintenance = this->options.limits.vm_maintenance};
    std::vector<wave_candidate> candidates;
    for (const auto& name : wave.request.vms) {
        const auto vm = this->vms.find(name);
        if (wave.ordered.contains(name) || vm == this->vms.end()) {
            continue;
        }
        ++status.not_ordered;
        if (vm->second.condition != vm_condition::up || this->vm_orders.contains(name) ||
            this->vm_moves.contains(name)) {
            continue;
        }
        wave_candidate candidate{.vm = name, .draining = wave.draining.contains(name)};
        const auto worker = this->workers.find(vm->second.worker);
        if (worker != this->workers.end()) {
            candidate.may_end_tasks = !worker->second.entry.draining && !worker->second.is_unresponsive() &&
                                      this->can_end_tasks_of(worker->second);
            candidate.may_drain = this->may_drain(wave, vm->second, worker->second, now);
            if (candidate.draining && !candidate.may_end_tasks) {
                this->spread_tasks_of(worker->second, now);
            }
            for (const auto& [id, placed] : worker->second.tasks) {
                const auto* job = this->find_job(id.job);
                const bool long_running =
                    job != nullptr && job->spec.steps[static_cast<std::size_t>(id.step)].long_running;
                candidate.long_running_tasks += long_running ? 1 : 0;
                candidate.batch_tasks += long_running ? 0 : 1;
            }
            candidate.used_millicores = worker->second.used.cpu_millicores;
        }
        candidates.push_back(std::move(candidate));
    }
    const bool completed = status.not_ordered == 0 && wave.in_maintenance.empty();
    const bool report_due = completed ? !wave.reported_completed : !wave.reported_running;
    if (report_due && !wave.report_in_flight) {
        wave.report_in_flight = true;
        this->add_action(write_report{.wave = wave.request.number, .completed = completed});
    }
    wave.completed = completed;
    if (completed) {
        wave.draining.clear();
        return;
    }
    const auto step = plan_wave_step(status, std::move(candidates));
    auto draining = std::set<std::string>(step.drain.begin(), step.drain.end());
    this->dispatch_due = this->dispatch_due || draining != wave.draining;
    wave.draining = std::move(draining);
    for (const auto& vm : step.maintain) {
        // Checked again, because earlier orders in this loop may end tasks of the same steps.
        const auto worker = this->workers.find(this->vms[vm].worker);
        if (worker != this->workers.end() && !this->can_end_tasks_of(worker->second)) {
            continue;
        }
        wave.in_maintenance[vm] = now;
        this->vm_orders[vm] = now;
        write_log(severity::info, "maintenance_ordered",
                  {{"vm", vm},
                   {"worker", this->vms[vm].worker},
                   {"wave", wave.request.number},
                   {"down", wave.in_maintenance.size()},
                   {"max_down", wave.request.max_down},
                   {"left", status.not_ordered}});
        this->add_action(order_maintenance{.order = {.vm = vm,
                                                     .wave = wave.request.number,
                                                     .holder = this->options.node_id,
                                                     .fence = this->term,
                                                     .send_before = this->vm_orders_allowed_until()}});
    }
}

void scheduler::on_vm_order(const vm_order& order, vm_order_outcome outcome, boot_time now) {
    auto& state = *this->self;
    state.vm_orders.erase(order.vm);
    state.dispatch_due = true; // the VM may take tasks again
    const auto wave = state.waves.find(order.wave);
    if (!order.pool.empty() && outcome != vm_order_outcome::done && outcome != vm_order_outcome::unknown) {
        state.vm_moves.erase(order.vm);
    }
    if (outcome != vm_order_outcome::done) {
        write_log(severity::info, "vm_order_not_done", {{"vm", order.vm}, {"outcome", to_string(outcome)}});
    }
    if (wave == state.waves.end()) {
        return;
    }
    switch (outcome) {
    case vm_order_outcome::done: {
        // The same answer is given if the VM was maintained before, so only the VM list shows whether its
        // worker has ended.
        wave->second.ordered.insert(order.vm);
        wave->second.in_maintenance[order.vm] = now;
        state.record_wave(wave->second);
        state.vm_list_requested = {};
        break;
    }
    case vm_order_outcome::unknown:
        wave->second.in_maintenance[order.vm] = now; // it may be down; the next VM list shows its condition
        break;
    case vm_order_outcome::wrong_wave:
        wave->second.ordered.insert(order.vm);
        wave->second.in_maintenance.erase(order.vm);
        break;
    default:
        wave->second.in_maintenance.erase(order.vm);
        break;
    }
}

void scheduler::impl::record_wave(const wave_progress& wave) {
    boost::json::array ordered(wave.ordered.begin(), wave.ordered.end());
    this->next_batch.records.push_back({.key = wave_record_prefix + std::to_string(wave.request.number),
                                        .value = boost::json::serialize(ordered)});
}

bool scheduler::impl::load_wave(const keyed_record& record) {
    if (!record.key.starts_with(wave_record_prefix)) {
        return false;
    }
    boost::system::error_code failure;
    const auto document = boost::json::parse(record.value, failure);
    const auto* ordered = failure ? nullptr : document.if_array();
    for (auto& [number, wave] : this->waves) {
        if (ordered == nullptr || record.key != wave_record_prefix + std::to_string(number)) {
            continue;
        }
        for (const auto& vm : *ordered) {
            if (const auto* name = vm.if_string()) {
                wave.ordered.emplace(*name);
            }
        }
    }
    return true;
}

void scheduler::set_waves(std::vector<wave_request> requests) {
    auto& state = *this->self;
    std::map<std::int64_t, wave_progress> updated;
    for (auto& request : requests) {
        const auto found = state.waves.find(request.number);
        const auto number = request.number;
        if (found != state.waves.end()) {
            updated[number] = std::move(found->second);
            updated[number].request = std::move(request);
        } else {
            updated[number].request = std::move(request);
            updated[number].started_at = state.term_confirmed;
        }
    }
    state.waves = std::move(updated);
    state.vm_list_requested = {};
}

void scheduler::on_reported(std::int64_t number, bool completed, bool done) {
    auto& state = *this->self;
    const auto wave = state.waves.find(number);
    if (wave == state.waves.end()) {
        return;
    }
    wave->second.report_in_flight = false;
    wave->second.reported_running = wave->second.reported_running || done;
    wave->second.reported_completed = wave->second.reported_completed || (done && completed);
}

} // namespace hornbeamrail
