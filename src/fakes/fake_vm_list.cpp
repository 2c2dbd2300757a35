#include "fakes/fake_vm_list.hpp"

#include <algorithm>
#include <utility>

namespace hornbeamrail {

fake_vm_list::fake_vm_list(fake_vm_list_options initial) : options(initial) {
    this->snapshots.push_back({boot_time::min(), vm_list{}});
}

vm_list& fake_vm_list::begin_change(boot_time now) {
    // Drops the snapshots that a newer visible snapshot has replaced.
    const auto visible = now - this->options.lag;
    while (this->snapshots.size() > 1 && this->snapshots[1].since <= visible) {
        this->snapshots.erase(this->snapshots.begin());
    }
    this->snapshots.push_back({now, this->snapshots.back().list});
    ++this->snapshots.back().list.version;
    return this->snapshots.back().list;
}

bool fake_vm_list::has_vm(std::string_view vm) const {
    return std::ranges::any_of(this->truth().vms, [&](const vm_listing& entry) { return entry.vm.id == vm; });
}

void fake_vm_list::add(boot_time now, vm_listing listing) {
    this->begin_change(now).vms.push_back(std::move(listing));
}

void fake_vm_list::set_state(boot_time now, std::string_view vm, vm_state state) {
    for (vm_listing& entry : this->begin_change(now).vms) {
        if (entry.vm.id == vm) {
            entry.state = state;
        }
    }
}

void fake_vm_list::remove(boot_time now, std::string_view vm) {
    std::erase_if(this->begin_change(now).vms, [&](const vm_listing& entry) { return entry.vm.id == vm; });
}

std::optional<vm_list> fake_vm_list::list(boot_time now) const {
    if (this->options.down) {
        return std::nullopt;
    }
    const auto visible = now - this->options.lag;
    const auto later =
        std::ranges::find_if(this->snapshots, [&](const snapshot& s) { return s.since > visible; });
    return later == this->snapshots.begin() ? this->snapshots.front().list : std::prev(later)->list;
}

const vm_list& fake_vm_list::truth() const {
    return this->snapshots.back().list;
}

fake_vm_list::operation_entry& fake_vm_list::entry_for(const std::string& vm,
                                                       const std::string& operation_id) {
    operation_entry& entry = this->operations[vm];
    if (entry.id != operation_id) {
        entry = {.id = operation_id, .state = vm_operation_state::draining};
    }
    return entry;
}

bool fake_vm_list::drain(boot_time now, const std::string& vm, const std::string& operation_id) {
    if (this->options.down || !this->has_vm(vm)) {
        return false;
    }
    this->advance(now, vm, this->entry_for(vm, operation_id));
    return true;
}

bool fake_vm_list::reboot(boot_time now, const std::string& vm, const std::string& operation_id,
                          const std::string& pool) {
    if (this->options.down || !this->has_vm(vm)) {
        return false;
    }
    operation_entry& entry = this->entry_for(vm, operation_id);
    if (std::exchange(entry.rebooted, true)) {
        return true;
    }
    if (this->on_reboot) {
        this->on_reboot(now, vm);
    }
    entry.state = vm_operation_state::rebooting;
    entry.reboot_end = now + this->options.reboot_time;
    for (vm_listing& listing : this->begin_change(now).vms) {
        if (listing.vm.id == vm && !pool.empty()) {
            listing.vm.pool = pool;
        }
    }
    return true;
}

void fake_vm_list::advance(boot_time now, const std::string& vm, operation_entry& entry) const {
    if (entry.state == vm_operation_state::draining && (!this->is_idle || this->is_idle(now, vm))) {
        entry.state = vm_operation_state::drained;
    }
    if (entry.state == vm_operation_state::rebooting && now >= entry.reboot_end) {
        entry.state = vm_operation_state::done;
    }
}

std::optional<vm_operation_status> fake_vm_list::operation(boot_time now, const std::string& vm) {
    const auto found = this->operations.find(vm);
    if (this->options.down || found == this->operations.end()) {
        return std::nullopt;
    }
    this->advance(now, vm, found->second);
    return vm_operation_status{found->second.id, found->second.state};
}

bool fake_vm_list::in_operation(boot_time now, const std::string& vm) {
    const auto found = this->operations.find(vm);
    if (found == this->operations.end()) {
        return false;
    }
    this->advance(now, vm, found->second);
    return found->second.state != vm_operation_state::done;
}

} // namespace hornbeamrail
