#include "state/fleet_state.hpp"

#include <fmt/format.h>

namespace hornbeamrail {

namespace {

/// Assumed time of the last maintenance of a new VM, derived from its id, within the period before @p at. VMs
/// that are added together are then due at times spread evenly over the period.
std::chrono::sys_seconds assumed_maintenance(const std::string& vm, std::chrono::sys_seconds at,
                                             std::chrono::seconds period) {
    constexpr std::uint64_t steps = 1000;
    std::uint64_t hash = 14695981039346656037ULL; // FNV-1a: identical on all nodes
    for (const char character : vm) {
        hash = (hash ^ static_cast<unsigned char>(character)) * 1099511628211ULL;
    }
    hash ^= hash >> 32; // ids that differ only in the last digit have similar upper bits
    return at - period * static_cast<std::int64_t>(hash % steps) / static_cast<std::int64_t>(steps);
}

std::string unknown_vm(std::string_view vm) {
    return fmt::format("VM \"{}\" is not known; see `pool list`", vm);
}

} // namespace

fleet_state::rejection_reason fleet_state::check_epoch(log_offset epoch) const {
    if (epoch == this->current_planner.epoch) {
        return {};
    }
    return fmt::format("stale planner epoch {}; epoch {} is in force", epoch, this->current_planner.epoch);
}

fleet_state::rejection_reason fleet_state::fold(log_offset offset, const log_record&,
                                                const planner_claim_record& body) {
    const auto* node = this->find_node(body.incarnation);
    if (node == nullptr || !node->live()) {
        return fmt::format("incarnation {} is not a live node", body.incarnation);
    }
    if (auto stale = this->check_epoch(body.expected_epoch); !stale.empty()) {
        return stale;
    }
    this->current_planner = {.incarnation = body.incarnation, .epoch = offset};
    return {};
}

fleet_state::rejection_reason fleet_state::set_vm_out(const std::string& vm, bool out) {
    const auto* info = this->find_vm(vm);
    if (info == nullptr) {
        return unknown_vm(vm);
    }
    if (info->out == out) {
        return fmt::format("VM \"{}\" is already {}", vm, out ? "out" : "in");
    }
    this->vm_table.write().find(vm)->second.out = out;
    return {};
}

fleet_state::rejection_reason fleet_state::fold(log_offset, const log_record&, const vm_out_record& body) {
    return this->set_vm_out(body.vm, true);
}

fleet_state::rejection_reason fleet_state::fold(log_offset, const log_record&, const vm_in_record& body) {
    return this->set_vm_out(body.vm, false);
}

fleet_state::rejection_reason fleet_state::fold(log_offset, const log_record&, const vm_add_record& body) {
    if (auto stale = this->check_epoch(body.epoch); !stale.empty()) {
        return stale;
    }
    auto& vms = this->vm_table.write();
    for (const auto& vm : body.vms) {
        if (this->current_config->find_pool(vm.pool) != nullptr) {
            const auto last =
                body.at == std::chrono::sys_seconds{}
                    ? std::chrono::sys_seconds{}
                    : assumed_maintenance(vm.id, body.at, this->current_config->maintenance.period);
            vms.try_emplace(vm.id, vm_info{.vm = vm, .last_maintained = last});
        }
    }
    return {};
}

fleet_state::rejection_reason fleet_state::fold(log_offset, const log_record&, const vm_remove_record& body) {
    if (auto stale = this->check_epoch(body.epoch); !stale.empty()) {
        return stale;
    }
    for (const auto& vm : body.vms) {
        this->vm_table.write().erase(vm);
    }
    return {};
}

fleet_state::rejection_reason fleet_state::begin_operation(log_offset offset, const log_record& record,
                                                           const std::string& vm, vm_operation operation) {
    const auto* info = this->find_vm(vm);
    if (info == nullptr) {
        return unknown_vm(vm);
    }
    if (info->operation != vm_operation::none) {
        return fmt::format("VM \"{}\" has another operation in progress", vm);
    }
    auto& written = this->vm_table.write().find(vm)->second;
    written.operation = operation;
    written.operation_offset = offset;
    written.operation_id = record.change_id;
    return {};
}

fleet_state::rejection_reason fleet_state::fold(log_offset offset, const log_record& record,
                                                const vm_move_record& body) {
    if (auto stale = this->check_epoch(body.epoch); !stale.empty()) {
        return stale;
    }
    const auto* info = this->find_vm(body.vm);
    if (info == nullptr) {
        return unknown_vm(body.vm);
    }
    if (info->vm.pool != body.from) {
        return fmt::format("VM \"{}\" is in pool \"{}\", not in \"{}\"", body.vm, info->vm.pool, body.from);
    }
    if (this->current_config->find_pool(body.to) == nullptr || body.to == body.from) {
        return fmt::format("VM \"{}\" cannot move to pool \"{}\"", body.vm, body.to);
    }
    if (auto refused = this->begin_operation(offset, record, body.vm, vm_operation::moving);
        !refused.empty()) {
        return refused;
    }
    this->vm_table.write().find(body.vm)->second.move_to = body.to;
    return {};
}

fleet_state::rejection_reason fleet_state::fold(log_offset, const log_record&,
                                                const vm_move_done_record& body) {
    if (auto stale = this->check_epoch(body.epoch); !stale.empty()) {
        return stale;
    }
    const auto* info = this->find_vm(body.vm);
    if (info == nullptr || info->operation != vm_operation::moving) {
        return fmt::format("VM \"{}\" is not moving", body.vm);
    }
    auto& written = this->vm_table.write().find(body.vm)->second;
    written.vm.pool = written.move_to;
    written.move_to.clear();
    written.operation = vm_operation::none;
    written.operation_id.clear();
    return {};
}

fleet_state::rejection_reason fleet_state::fold(log_offset offset, const log_record& record,
                                                const maintenance_start_record& body) {
    if (auto stale = this->check_epoch(body.epoch); !stale.empty()) {
        return stale;
    }
    return this->begin_operation(offset, record, body.vm, vm_operation::maintenance);
}

fleet_state::rejection_reason fleet_state::fold(log_offset, const log_record&,
                                                const maintenance_done_record& body) {
    if (auto stale = this->check_epoch(body.epoch); !stale.empty()) {
        return stale;
    }
    const auto* info = this->find_vm(body.vm);
    if (info == nullptr || info->operation != vm_operation::maintenance) {
        return fmt::format("VM \"{}\" is not in maintenance", body.vm);
    }
    auto& written = this->vm_table.write().find(body.vm)->second;
    written.operation = vm_operation::none;
    written.operation_id.clear();
    written.last_maintained = body.at;
    return {};
}

} // namespace hornbeamrail
