#include "coordination/scheduler_impl.hpp"

#include "protocol/json_log.hpp"

#include <algorithm>

namespace hornbeamrail {

namespace {

using std::chrono::milliseconds;

milliseconds to_millis(boot_clock::duration value) {
    return std::chrono::duration_cast<milliseconds>(value);
}

} // namespace

bool scheduler::impl::is_reserved(const std::string& worker) const {
    const auto vm = this->vm_of_worker.find(worker);
    if (vm == this->vm_of_worker.end()) {
        return false;
    }
    if (this->vm_orders.contains(vm->second)) {
        return true;
    }
    return std::any_of(this->waves.begin(), this->waves.end(), [&vm](const auto& item) {
        return item.second.draining.contains(vm->second) || item.second.away.contains(vm->second);
    });
}

bool scheduler::impl::may_end_tasks_of(const worker_control& worker, boot_time now) {
    for (const auto& [id, placed] : worker.tasks) {
        auto* job = this->find_job(id.job);
        if (job == nullptr || is_final(job->state)) {
            continue;
        }
        const auto& step = job->spec.steps[static_cast<std::size_t>(id.step)];
        if (!step.long_running) {
            continue;
        }
        std::int32_t away = 0;
        for (auto& task : job->occurrence(id.occurrence).steps[static_cast<std::size_t>(id.step)].tasks) {
            const bool is_self = task.worker == worker.entry.id;
            const bool settled = task.phase == run_phase::running &&
                                 now > task.placed_at + this->options.limits.availability_notice;
            away += !is_self && !settled ? 1 : 0;
        }
        if (away >= step.max_unavailable) {
            return false;
        }
    }
    return true;
}

void scheduler::impl::plan_waves(boot_time now) {
    if (this->vm_list_seen == boot_time{}) {
        return;
    }
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
    wave_situation situation{.max_down = wave.request.max_down,
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
        ++situation.left;
        if (vm->second.condition != vm_condition::up || this->vm_orders.contains(name)) {
            continue;
        }
        wave_candidate candidate{.vm = name, .draining = wave.draining.contains(name)};
        const auto worker = this->workers.find(vm->second.worker);
        if (worker != this->workers.end()) {
            candidate.may_end_tasks = !worker->second.entry.draining && !worker->second.in_doubt() &&
                                      this->may_end_tasks_of(worker->second, now);
            for (const auto& [id, placed] : worker->second.tasks) {
                const auto* job = this->find_job(id.job);
                const bool lasting = job != nullptr && job->spec.steps[static_cast<std::size_t>(id.step)].long_running;
                candidate.serving_tasks += lasting ? 1 : 0;
                candidate.batch_tasks += lasting ? 0 : 1;
            }
            candidate.used_cpu = worker->second.used.cpu_millis;
        }
        candidates.push_back(std::move(candidate));
    }
    const bool completed = situation.left == 0 && wave.away.empty();
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
    const auto step = plan_wave_step(situation, std::move(candidates));
    wave.draining = std::set<std::string>(step.drain.begin(), step.drain.end());
    for (const auto& vm : step.maintain) {
        wave.away[vm] = now;
        this->vm_orders[vm] = now;
        write_log(severity::info, "maintenance_ordered",
                  {{"vm", vm}, {"wave", wave.request.number}, {"down", wave.away.size()},
                   {"max_down", wave.request.max_down}, {"left", situation.left}});
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
    if (outcome != vm_order_outcome::done) {
        write_log(severity::info, "vm_order_not_done", {{"vm", order.vm}, {"outcome", to_string(outcome)}});
    }
    if (wave == state.waves.end()) {
        return;
    }
    switch (outcome) {
    case vm_order_outcome::done: {
        wave->second.ordered.insert(order.vm);
        wave->second.away[order.vm] = now;
        const auto vm = state.vms.find(order.vm);
        if (vm != state.vms.end() && !vm->second.worker.empty()) {
            const auto worker = vm->second.worker; // the order ended everything on the VM
            state.vm_of_worker.erase(worker);
            state.lose_worker(worker, "its VM is maintained", now);
        }
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
