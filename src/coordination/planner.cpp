#include "coordination/planner.hpp"

#include <algorithm>

namespace hornbeamrail {

namespace {

std::map<std::string, const vm_listing*> index_workers(const vm_list& platform_vms) {
    std::map<std::string, const vm_listing*> listed;
    for (const auto& listing : platform_vms.vms) {
        if (listing.kind == vm_kind::worker) {
            listed.emplace(listing.vm.id, &listing);
        }
    }
    return listed;
}

} // namespace

planner_output planner::tick(boot_time now, const planner_input& input) {
    planner_output output;
    if (now < this->next_round) {
        return output;
    }
    this->next_round = now + this->options.interval;
    for (const auto& service : input.state.config().services) {
        const auto sample = input.demand_slots.find(service.name);
        this->smoothed_demand.add_sample(service.name,
                                         sample == input.demand_slots.end() ? 0 : sample->second, now);
    }
    this->sync_vm_list(now, input, output);
    this->drive_operations(now, input, output);
    this->plan_new(input, output);
    return output;
}

void planner::on_call_answer(const vm_call& call, vm_operation_state status) {
    const auto found = this->operations.find(call.operation_id);
    if (found != this->operations.end() && status != vm_operation_state::failed) {
        found->second.status = status;
    }
}

void planner::reset() {
    this->operations.clear();
    this->missing_since.clear();
    this->next_round = {};
}

void planner::sync_vm_list(boot_time now, const planner_input& input, planner_output& output) {
    if (input.platform_vms.version == 0) {
        return; // No list was received yet, so a missing VM proves nothing.
    }
    const auto listed = index_workers(input.platform_vms);
    vm_add_record added{.epoch = input.state.planner().epoch, .vms = {}, .at = input.wall_now};
    for (const auto& [id, listing] : listed) {
        this->missing_since.erase(id);
        if (input.state.find_vm(id) == nullptr && listing->state == vm_state::live &&
            input.state.config().find_pool(listing->vm.pool) != nullptr) {
            added.vms.push_back(listing->vm);
        }
    }
    vm_remove_record removed{.epoch = input.state.planner().epoch, .vms = {}};
    for (const auto& [id, info] : input.state.vms()) {
        if (listed.contains(id)) {
            continue;
        }
        // The list lags, and a VM may be missing from it briefly during a reboot.
        const auto since = this->missing_since.try_emplace(id, now).first->second;
        if (now - since >= this->options.absence_before_removal) {
            removed.vms.push_back(id);
        }
    }
    if (!added.vms.empty()) {
        output.records.emplace_back(std::move(added));
    }
    if (!removed.vms.empty()) {
        output.records.emplace_back(std::move(removed));
    }
}

void planner::drive_operations(boot_time now, const planner_input& input, planner_output& output) {
    std::set<std::string> current_operations;
    for (const auto& [id, info] : input.state.vms()) {
        if (info.operation != vm_operation::none) {
            current_operations.insert(info.operation_id);
            this->drive_operation(now, input, info, output);
        }
    }
    std::erase_if(this->operations,
                  [&](const auto& entry) { return !current_operations.contains(entry.first); });
}

void planner::drive_operation(boot_time now, const planner_input& input, const vm_info& info,
                              planner_output& output) {
    auto& operation = this->operations[info.operation_id];
    const bool moving = info.operation == vm_operation::moving;
    if (operation.status == vm_operation_state::done) {
        const log_offset epoch = input.state.planner().epoch;
        if (moving) {
            output.records.emplace_back(vm_move_done_record{.epoch = epoch, .vm = info.vm.id});
        } else {
            output.records.emplace_back(
                maintenance_done_record{.epoch = epoch, .vm = info.vm.id, .at = input.wall_now});
        }
        return;
    }
    if (operation.has_sent_call && now - operation.last_call_at < this->options.call_retry) {
        return;
    }
    vm_call call{
        .vm = info.vm.id, .operation_id = info.operation_id, .pool = moving ? info.move_to : info.vm.pool};
    if (!operation.has_sent_call) {
        // An earlier planner may have started the operation, so query its state first.
        call.operation = vm_call::kind::query;
    } else if (operation.status == vm_operation_state::unknown) {
        call.operation = vm_call::kind::drain;
    } else if (operation.status == vm_operation_state::drained) {
        call.operation = vm_call::kind::reboot;
    }
    operation.has_sent_call = true;
    operation.last_call_at = now;
    output.calls.push_back(std::move(call));
}

std::set<std::string, std::less<>> planner::absent_vms(const planner_input& input) const {
    std::set<std::string, std::less<>> ids;
    if (input.platform_vms.version == 0) {
        return ids;
    }
    const auto listed = index_workers(input.platform_vms);
    for (const auto& [id, info] : input.state.vms()) {
        const auto listing = listed.find(id);
        if (listing == listed.end() || listing->second->state == vm_state::leaving) {
            ids.insert(id);
        }
    }
    return ids;
}

void planner::plan_new(const planner_input& input, planner_output& output) {
    const auto absent = this->absent_vms(input);
    const log_offset epoch = input.state.planner().epoch;
    std::set<std::string> moving_vms;
    for (const auto& move : plan_moves(input.state, absent, this->smoothed_demand, this->options.moves)) {
        output.records.emplace_back(
            vm_move_record{.epoch = epoch, .vm = move.vm, .from = move.from, .to = move.to});
        moving_vms.insert(move.vm);
        ++this->moves_planned;
    }
    const maintenance_input maintenance{.state = input.state,
                                        .absent_vms = absent,
                                        .demand = this->smoothed_demand,
                                        .budget_left = input.budget_left,
                                        .now = input.wall_now};
    auto wave = plan_maintenance(maintenance, this->options.maintenance);
    this->last_holds = std::move(wave.holds);
    for (const auto& vm : wave.start) {
        if (!moving_vms.contains(vm)) {
            output.records.emplace_back(maintenance_start_record{.epoch = epoch, .vm = vm});
            ++this->maintenance_planned;
        }
    }
}

boost::json::object planner::dump() const {
    boost::json::array holds;
    for (const auto& hold : this->last_holds) {
        holds.push_back({{"pool", hold.pool}, {"reason", hold.reason}});
    }
    return {{"moves_planned", this->moves_planned},
            {"maintenance_planned", this->maintenance_planned},
            {"operations_in_progress", this->operations.size()},
            {"maintenance_holds", std::move(holds)}};
}

} // namespace hornbeamrail
