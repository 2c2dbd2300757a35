#include "state/fleet_state.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace hornbeamrail {

namespace {

bool has_ended(task_phase phase) {
    return phase != task_phase::queued && phase != task_phase::placed;
}

} // namespace

fleet_state::rejection_reason fleet_state::fold(log_offset offset, const log_record&,
                                                const task_submit_record& body) {
    const auto* node = this->find_node(body.incarnation);
    if (node == nullptr || !node->live()) {
        return fmt::format("incarnation {} is not a live node", body.incarnation);
    }
    if (this->task_table->contains(body.task.id)) {
        return fmt::format("task \"{}\" exists", body.task.id);
    }
    this->task_table.write().emplace(body.task.id, task_info{.spec = body.task,
                                                             .owner = body.incarnation,
                                                             .fencing_token = offset,
                                                             .submitted_at = offset});
    return {};
}

fleet_state::rejection_reason fleet_state::fold(log_offset, const log_record&,
                                                const task_state_record& body) {
    const auto found = this->task_table->find(body.task_id);
    if (found == this->task_table->end()) {
        return fmt::format("task \"{}\" is not known", body.task_id);
    }
    if (body.fencing_token != found->second.fencing_token) {
        return fmt::format("stale fencing token {}; {} is in force", body.fencing_token,
                           found->second.fencing_token);
    }
    if (has_ended(found->second.phase)) {
        return fmt::format("task \"{}\" has ended: {}", body.task_id, to_string(found->second.phase));
    }
    if (found->second.cancel_requested && body.phase == task_phase::placed) {
        return fmt::format("task \"{}\" was cancelled", body.task_id);
    }
    auto& task = this->task_table.write().find(body.task_id)->second;
    task.vm = body.vm;
    task.detail = body.detail;
    if (has_ended(body.phase)) {
        this->end_task(task, body.phase, body.detail);
    } else if (task.cancel_requested && body.phase == task_phase::queued) {
        this->end_task(task, task_phase::cancelled, body.detail);
    } else {
        task.phase = body.phase;
    }
    return {};
}

fleet_state::rejection_reason fleet_state::fold(log_offset, const log_record&,
                                                const task_cancel_record& body) {
    const auto found = this->task_table->find(body.task_id);
    if (found == this->task_table->end()) {
        return fmt::format("task \"{}\" is not known", body.task_id);
    }
    if (has_ended(found->second.phase)) {
        return fmt::format("task \"{}\" has ended: {}", body.task_id, to_string(found->second.phase));
    }
    auto& task = this->task_table.write().find(body.task_id)->second;
    task.cancel_requested = true;
    // A queued task has no resources on a worker, so it ends immediately.
    if (task.phase == task_phase::queued) {
        this->end_task(task, task_phase::cancelled, "cancelled before it started");
    }
    return {};
}

void fleet_state::end_task(task_info& task, task_phase phase, std::string detail) {
    task.phase = phase;
    task.detail = std::move(detail);
    auto& ended = this->ended_tasks.write();
    ended.push_back(task.spec.id);
    if (ended.size() > max_ended_tasks) {
        this->task_table.write().erase(ended.front());
        ended.pop_front();
    }
}

std::vector<std::string> fleet_state::hand_over_tasks(incarnation_id from, log_offset offset) {
    std::vector<incarnation_id> live_nodes;
    for (const auto& [incarnation, node] : *this->node_table) {
        if (node.live()) {
            live_nodes.push_back(incarnation);
        }
    }
    std::vector<std::string> orphans;
    for (const auto& [id, task] : *this->task_table) {
        if (!has_ended(task.phase) && (task.owner == from || !this->node_table->contains(task.owner))) {
            orphans.push_back(id);
        }
    }
    if (live_nodes.empty() || orphans.empty()) {
        return {};
    }
    auto& tasks = this->task_table.write();
    for (std::size_t index = 0; index < orphans.size(); ++index) {
        auto& task = tasks.find(orphans[index])->second;
        task.owner = live_nodes[index % live_nodes.size()];
        task.fencing_token = offset;
    }
    return orphans;
}

} // namespace hornbeamrail
