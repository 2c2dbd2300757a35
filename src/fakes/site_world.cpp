#include "fakes/site_world.hpp"

#include "protocol/durations.hpp"

#include <fmt/format.h>

#include <utility>

namespace hornbeamrail {

site_world::site_world(std::uint64_t seed, fleet_config fleet)
    : queue(start), link(seed + 1), log(seed + 2), vms({.reboot_time = std::chrono::seconds(5)}),
      random(seed + 3), config(std::move(fleet)) {
    this->vms.set_idle_check([this](boot_time, const std::string& id) { return this->is_idle(id); });
}

bool site_world::send(const std::string& from, const std::string& to, std::function<void()> action) {
    const auto arrival = this->link.send(this->now(), from, to);
    if (arrival) {
        this->queue.at(*arrival, std::move(action));
    }
    return arrival.has_value();
}

void site_world::add_vm(std::string id, std::string zone, std::string rack, std::string pool) {
    const std::int64_t number = this->next_address++;
    vm_description description{.id = id,
                               .address = {fmt::format("10.1.{}.{}", number / 250, number % 250 + 1), 8000},
                               .zone = std::move(zone),
                               .rack = std::move(rack),
                               .pool = std::move(pool),
                               .cores = 32,
                               .memory_mb = 65536};
    this->link.set_zone(id, description.zone);
    this->vms.add(this->now(), {.vm = description});
    auto [entry, added] =
        this->vm_table.try_emplace(id, simulated_vm{.description = std::move(description),
                                                    .executor = fake_executor(this->random.next())});
    this->record_vm(event_kind::vm_in_pool, entry->second);
}

simulated_vm* site_world::find_vm(std::string_view id) {
    const auto found = this->vm_table.find(std::string(id));
    return found == this->vm_table.end() ? nullptr : &found->second;
}

void site_world::record_vm(event_kind kind, const simulated_vm& vm) {
    this->history.record({.at = this->now(),
                          .kind = kind,
                          .vm = vm.description.id,
                          .zone = vm.description.zone,
                          .pool = vm.description.pool,
                          .units = 8});
}

void site_world::end_runs(simulated_vm& vm, const std::string& reason) {
    for (const auto& [run, on_answer] : std::exchange(vm.runs, {})) {
        this->history.record({.at = this->now(),
                              .kind = event_kind::run_end,
                              .vm = vm.description.id,
                              .text = reason,
                              .run = run});
        on_answer(nullptr);
    }
    vm.executor.restart();
}

bool site_world::is_idle(const std::string& id) const {
    const auto found = this->vm_table.find(id);
    return this->reboot_without_drain || found == this->vm_table.end() || found->second.runs.empty();
}

void site_world::crash_vm(const std::string& id) {
    simulated_vm* vm = this->find_vm(id);
    if (!vm || !vm->alive) {
        return;
    }
    vm->alive = false;
    this->end_runs(*vm, "crashed");
    this->record_vm(event_kind::vm_ended, *vm);
}

void site_world::restart_vm(const std::string& id) {
    simulated_vm* vm = this->find_vm(id);
    if (!vm || vm->alive) {
        return;
    }
    vm->alive = true;
    if (!vm->rebooting) {
        this->record_vm(event_kind::vm_in_pool, *vm);
    }
}

void site_world::replace_vm(const std::string& id) {
    const auto found = this->vm_table.find(id);
    if (found == this->vm_table.end() || found->second.alive) {
        return;
    }
    const vm_description old = found->second.description;
    this->vms.remove(this->now(), id);
    this->add_vm(fmt::format("{}-r{}", old.id, ++this->replacements), old.zone, old.rack, old.pool);
}

void site_world::set_leaving(const std::string& id, bool leaving) {
    simulated_vm* vm = this->find_vm(id);
    if (!vm || vm->executor.faults().leaving == leaving) {
        return;
    }
    vm->executor.faults().leaving = leaving;
    this->record_vm(leaving ? event_kind::vm_leaving : event_kind::vm_returned, *vm);
}

bool site_world::drain_vm(const std::string& id, const std::string& operation_id) {
    if (!this->vms.drain(this->now(), id, operation_id)) {
        return false;
    }
    this->set_leaving(id, true);
    return true;
}

bool site_world::reboot_vm(const std::string& id, const std::string& operation_id, const std::string& pool) {
    const auto version = this->vms.truth().version;
    simulated_vm* vm = this->find_vm(id);
    if (!this->vms.reboot(this->now(), id, operation_id, pool)) {
        return false;
    }
    if (!vm || version == this->vms.truth().version) {
        return true; // Repeated operation id: the first call has done the work.
    }
    ++this->reboots;
    this->set_leaving(id, true);
    this->history.record({.at = this->now(), .kind = event_kind::stop_begin, .vm = id});
    this->end_runs(*vm, "stopped");
    this->history.record({.at = this->now(), .kind = event_kind::stop_end, .vm = id});
    this->record_vm(event_kind::vm_ended, *vm);
    vm->rebooting = true;
    if (!pool.empty()) {
        vm->description.pool = pool;
    }
    // The same time as the `reboot_time` of the VM list.
    this->queue.after(std::chrono::seconds(5), [this, id] {
        simulated_vm* rebooted = this->find_vm(id);
        rebooted->rebooting = false;
        if (rebooted->alive) {
            this->record_vm(event_kind::vm_in_pool, *rebooted);
        }
        this->set_leaving(id, false);
    });
    return true;
}

delivery_result site_world::run(const std::string& id, const fake_run& request, const run_owner& owner,
                                run_callback on_answer) {
    simulated_vm* vm = this->find_vm(id);
    if (!vm || !vm->alive || vm->rebooting) {
        return delivery_result::refused;
    }
    const service_config* service = this->config.service_of_pool(vm->description.pool);
    if (!service || service->name != owner.service) {
        return delivery_result::wrong_service;
    }
    const fake_run_result outcome = vm->executor.run(this->now(), request);
    if (outcome.verdict != run_verdict::started) {
        return outcome.verdict == run_verdict::busy ? delivery_result::busy : delivery_result::lease_lapsed;
    }
    const std::int64_t run = ++this->run_count;
    vm->runs.emplace(run, on_answer);
    this->history.record({.at = this->now(),
                          .kind = event_kind::run_start,
                          .node = owner.node,
                          .request = owner.request,
                          .attempt = owner.attempt,
                          .service = owner.service,
                          .vm = id,
                          .zone = vm->description.zone,
                          .run = run,
                          .units = 1});
    const std::string end_reason = outcome.answer.stopped  ? "deadline"
                                   : outcome.answer.failed ? "failed"
                                                           : "completed";
    this->queue.at(outcome.ends, [this, id, run, end_reason, outcome, on_answer = std::move(on_answer)] {
        if (this->find_vm(id)->runs.erase(run) == 0) {
            return; // The VM ended or rebooted before the end of the run.
        }
        this->history.record(
            {.at = this->now(), .kind = event_kind::run_end, .vm = id, .text = end_reason, .run = run});
        if (!outcome.answered) {
            return;
        }
        this->queue.at(*outcome.answered, [this, id, outcome, on_answer] {
            if (this->find_vm(id)->alive) {
                on_answer(&outcome.answer);
            }
        });
    });
    return delivery_result::started;
}

void site_world::sample_idle(boot_clock::duration interval) {
    for (auto& [id, vm] : this->vm_table) {
        if (vm.alive && !vm.rebooting) {
            const auto busy_fraction = static_cast<double>(vm.runs.size()) / 8;
            this->idle_seconds[vm.description.pool] += (1 - busy_fraction) * seconds_of(interval) * 8;
        }
    }
}

double site_world::idle_slot_seconds(const std::string& pool) const {
    const auto found = this->idle_seconds.find(pool);
    return found == this->idle_seconds.end() ? 0 : found->second;
}

} // namespace hornbeamrail
