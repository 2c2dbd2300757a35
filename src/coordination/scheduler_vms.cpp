#include "coordination/scheduler_impl.hpp"

#include "protocol/durations.hpp"
#include "protocol/json_log.hpp"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace hornbeamrail {

namespace {

using std::chrono::milliseconds;

/// Key of the progress topic under which the VMs of a wave that were ordered are kept.
const std::string wave_record_prefix = "wave.";

} // namespace

bool scheduler::impl::is_reserved(const std::string& worker) const {
    const auto vm = this->vm_of_worker.find(worker);
    if (vm == this->vm_of_worker.end()) {
        return false;
    }
    return this->is_vm_ordered(vm->second) ||
           std::any_of(this->waves.begin(), this->waves.end(),
                       [&vm](const auto& item) { return item.second.draining.contains(vm->second); });
}

bool scheduler::impl::is_vm_ordered(const std::string& vm) const {
    const bool in_wave = std::any_of(this->waves.begin(), this->waves.end(),
                                     [&vm](const auto& item) { return item.second.away.contains(vm); });
    return in_wave || this->vm_orders.contains(vm) || this->vm_moves.contains(vm);
}

bool scheduler::impl::is_sound(const std::string& id) const {
    const auto worker = this->workers.find(id);
    const auto vm = this->vm_of_worker.find(id);
    if (worker == this->workers.end() || !worker->second.confirmed || worker->second.is_unresponsive() ||
        worker->second.entry.draining || vm == this->vm_of_worker.end() || this->is_vm_ordered(vm->second)) {
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

std::int32_t scheduler::impl::tasks_away(job_progress& job, const task_id& id) const {
    std::int32_t away = 0;
    task_id other = id;
    other.index = 0;
    for (const auto& task : job.occurrence(id.occurrence).steps[static_cast<std::size_t>(id.step)].tasks) {
        const bool stays = task.stop_sent == boot_time{} && this->is_sound(task.worker);
        away += stays && this->is_ready(other, task) ? 0 : 1;
        ++other.index;
    }
    return away;
}

bool scheduler::impl::may_end_tasks_of(const worker_control& worker) {
    for (const auto& [id, placed] : worker.tasks) {
        auto* job = this->find_job(id.job);
        const auto* step = job == nullptr || is_final(job->state)
                               ? nullptr
                               : &job->spec.steps[static_cast<std::size_t>(id.step)];
        if (step == nullptr || !step->long_running) {
            continue;
        }
        // All tasks of the step on this worker would be away together.
        std::int32_t ready_here = 0;
        task_id other = id;
        other.index = 0;
        for (const auto& task :
             job->occurrence(id.occurrence).steps[static_cast<std::size_t>(id.step)].tasks) {
            const bool here = task.worker == worker.entry.id && task.stop_sent == boot_time{};
            ready_here += here && this->is_ready(other, task) ? 1 : 0;
            ++other.index;
        }
        if (this->tasks_away(*job, id) + ready_here > step->max_unavailable) {
            return false;
        }
    }
    return true;
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
        const auto here = std::count_if(tasks.begin(), tasks.end(), [&worker](const auto& other) {
            return other.worker == worker.entry.id && other.phase == run_phase::running;
        });
        if (step.long_running && here > step.max_unavailable && step.max_unavailable > 0 &&
            this->tasks_away(*job, id) < step.max_unavailable) {
            task->stop_sent = now;
            write_log(severity::info, "run_moved_away",
                      {{"job", id.job}, {"index", id.index}, {"worker", worker.entry.id}});
            this->send_stop_order(worker, id, task->run);
            return;
        }
    }
}

void scheduler::impl::plan_waves(boot_time now) {
    if (this->vm_list_seen == boot_time{} || now < this->last_wave_plan + this->timings.wave_interval) {
        return;
    }
    this->last_wave_plan = now;
    for (auto& [number, wave] : this->waves) {
        this->plan_wave(wave, now);
    }
}

void scheduler::impl::plan_wave(wave_progress& wave, boot_time now) {
    for (auto at = wave.away.begin(); at != wave.away.end();) {
        const auto vm = this->vms.find(at->first);
        const bool list_is_newer = this->vm_list_seen > at->second + milliseconds(200);
        const bool back = vm == this->vms.end() || vm->second.condition == vm_condition::up;
        at = list_is_newer && back ? wave.away.erase(at) : std::next(at);
    }
    for (const auto& name : wave.request.vms) {
        const auto vm = this->vms.find(name);
        // Ordered by an earlier scheduler.
        if (vm != this->vms.end() && vm->second.condition == vm_condition::maintenance) {
            wave.away.emplace(name, now);
        }
    }
    wave_status status{.max_down = wave.request.max_down,
                       .down = static_cast<std::int32_t>(wave.away.size()),
                       .elapsed = to_millis(now - wave.begun),
                       .duration = wave.request.duration,
                       .maintenance = this->options.limits.vm_maintenance};
    std::vector<wave_candidate> candidates;
    for (const auto& name : wave.request.vms) {
        const auto vm = this->vms.find(name);
        if (wave.ordered.contains(name) || vm == this->vms.end()) {
            continue;
        }
        ++status.left;
        if (vm->second.condition != vm_condition::up || this->vm_orders.contains(name) ||
            this->vm_moves.contains(name)) {
            continue;
        }
        wave_candidate candidate{.vm = name, .draining = wave.draining.contains(name)};
        const auto worker = this->workers.find(vm->second.worker);
        if (worker != this->workers.end()) {
            candidate.may_end_tasks = !worker->second.entry.draining && !worker->second.is_unresponsive() &&
                                      this->may_end_tasks_of(worker->second);
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
    const bool completed = status.left == 0 && wave.away.empty();
    const bool report_due = completed ? !wave.reported_completed : !wave.reported_running;
    if (report_due && !wave.report_in_flight) {
        wave.report_in_flight = true;
        this->act(write_report{.wave = wave.request.number, .completed = completed});
    }
    wave.completed = completed;
    if (completed) {
        wave.draining.clear();
        return;
    }
    const auto step = plan_wave_step(status, std::move(candidates));
    wave.draining = std::set<std::string>(step.drain.begin(), step.drain.end());
    for (const auto& vm : step.maintain) {
        // Earlier orders of this round count: they end tasks of the same steps.
        const auto worker = this->workers.find(this->vms[vm].worker);
        if (worker != this->workers.end() && !this->may_end_tasks_of(worker->second)) {
            continue;
        }
        wave.away[vm] = now;
        this->vm_orders[vm] = now;
        write_log(severity::info, "maintenance_ordered",
                  {{"vm", vm},
                   {"worker", this->vms[vm].worker},
                   {"wave", wave.request.number},
                   {"down", wave.away.size()},
                   {"max_down", wave.request.max_down},
                   {"left", status.left}});
        this->act(order_maintenance{.order = {.vm = vm,
                                              .wave = wave.request.number,
                                              .holder = this->options.node_id,
                                              .fence = this->term}});
    }
}

void scheduler::on_vm_order(const vm_order& order, vm_order_outcome outcome, boot_time now) {
    auto& state = *this->self;
    state.vm_orders.erase(order.vm);
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
        // The answer is the same when the VM had been maintained before, so the list of VMs tells whether its
        // worker has ended.
        wave->second.ordered.insert(order.vm);
        wave->second.away[order.vm] = now;
        state.record_wave(wave->second);
        state.vm_list_asked = {};
        break;
    }
    case vm_order_outcome::unknown:
        wave->second.away[order.vm] = now; // it may be down; the next list tells
        break;
    case vm_order_outcome::wrong_wave:
        wave->second.ordered.insert(order.vm);
        wave->second.away.erase(order.vm);
        break;
    default:
        wave->second.away.erase(order.vm);
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
    std::map<std::int64_t, wave_progress> kept;
    for (auto& request : requests) {
        const auto found = state.waves.find(request.number);
        const auto number = request.number;
        if (found != state.waves.end()) {
            kept[number] = std::move(found->second);
            kept[number].request = std::move(request);
        } else {
            kept[number].request = std::move(request);
            kept[number].begun = state.last_log_contact;
        }
    }
    state.waves = std::move(kept);
    state.vm_list_asked = {};
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
