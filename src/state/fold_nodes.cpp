#include "state/fleet_state.hpp"

#include "protocol/task_units.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace hornbeamrail {

namespace {

std::string not_registered(incarnation_id incarnation) {
    return fmt::format("incarnation {} is not registered; register the node again", incarnation);
}

std::string reclaimed(incarnation_id incarnation) {
    return fmt::format("incarnation {} was reclaimed; register the node again", incarnation);
}

} // namespace

std::vector<incarnation_id> fleet_state::counted_nodes(std::string_view region) const {
    std::vector<incarnation_id> counted;
    for (const auto& [incarnation, node] : *this->node_table) {
        if (node.counted && node.region == region) {
            counted.push_back(incarnation);
        }
    }
    return counted;
}

bool fleet_state::has_counted_node(std::string_view region) const {
    return !this->counted_nodes(region).empty();
}

fleet_state::rejection_reason fleet_state::fold(log_offset offset, const log_record&,
                                                const node_register_record& body) {
    auto& nodes = this->node_table.write();
    for (auto& [incarnation, node] : nodes) {
        // The offset check prevents a delayed record from ending a process that registered after the writer
        // acquired the address.
        if (incarnation < body.ended_before && node.node_id == body.node_id &&
            node.peer_address == body.peer_address && !node.ended) {
            this->mark_ended(node, offset);
        }
    }
    node_info node{.incarnation = offset,
                   .node_id = body.node_id,
                   .peer_address = body.peer_address,
                   .zone = body.zone,
                   .region = body.region};
    // Without counted nodes there is no majority that could confirm a node, so the first node of a region
    // starts the counted set.
    node.counted = !this->has_counted_node(body.region);
    nodes.emplace(offset, std::move(node));
    this->assign_orphaned_partitions(offset);
    this->hand_over_tasks(0, offset); // tasks whose owner was removed while no other node was live
    return {};
}

fleet_state::rejection_reason fleet_state::fold(log_offset, const log_record&,
                                                const node_counted_record& body) {
    const auto* node = this->find_node(body.incarnation);
    if (node == nullptr) {
        return not_registered(body.incarnation);
    }
    if (!node->live()) {
        return reclaimed(body.incarnation);
    }
    if (node->counted) {
        return "the node is already counted";
    }
    if (this->counted_nodes(node->region).size() >= max_counted_nodes_per_region) {
        return fmt::format("region \"{}\" has {} counted nodes already", node->region,
                           max_counted_nodes_per_region);
    }
    this->node_table.write().at(body.incarnation).counted = true;
    return {};
}

fleet_state::rejection_reason fleet_state::fold(log_offset offset, const log_record&,
                                                const node_leave_record& body) {
    if (this->find_node(body.incarnation) == nullptr) {
        return not_registered(body.incarnation);
    }
    this->remove_node(body.incarnation, offset);
    return {};
}

fleet_state::rejection_reason fleet_state::fold(log_offset offset, const log_record&,
                                                const node_reclaim_record& body) {
    const auto* node = this->find_node(body.incarnation);
    if (node == nullptr) {
        return not_registered(body.incarnation);
    }
    if (body.vm_gone && !node->ended) {
        this->mark_ended(this->node_table.write().at(body.incarnation), offset);
        this->assign_orphaned_partitions(offset);
        return {};
    }
    if (!node->live()) {
        return "the node is being reclaimed already";
    }
    this->node_table.write().at(body.incarnation).reclaim_offset = offset;
    return {};
}

fleet_state::rejection_reason fleet_state::fold(log_offset offset, const log_record&,
                                                const node_free_record& body) {
    const auto* node = this->find_node(body.incarnation);
    if (node == nullptr) {
        return not_registered(body.incarnation);
    }
    if (node->live()) {
        return "the node was not reclaimed first";
    }
    this->remove_node(body.incarnation, offset);
    return {};
}

void fleet_state::mark_ended(node_info& node, log_offset offset) {
    node.ended = true;
    node.counted = false;
    if (node.reclaim_offset == 0) {
        node.reclaim_offset = offset;
    }
    // An ended owner cannot grant claims, so its partitions are released immediately. Its unit grants are
    // kept, because tasks that it started may still run.
    for (auto& partition : this->claim_partitions.write()) {
        if (partition.owner == node.incarnation) {
            partition = {};
        }
    }
}

void fleet_state::remove_node(incarnation_id incarnation, log_offset offset) {
    const bool may_have_running_tasks = this->find_node(incarnation)->live();
    for (auto& partition : this->claim_partitions.write()) {
        if (partition.owner == incarnation) {
            partition = {};
        }
    }
    this->node_table.write().erase(incarnation);
    this->assign_orphaned_partitions(offset);
    const auto moved = this->hand_over_tasks(incarnation, offset);
    // A node that leaves in an orderly way hands over running tasks. Their units move with them, so that they
    // are not free in between. After a reclaim the worker leases have expired and nothing runs.
    if (may_have_running_tasks) {
        this->move_grants_with_tasks(incarnation, moved);
    }
    this->release_grants(incarnation);
}

void fleet_state::move_grants_with_tasks(incarnation_id from, const std::vector<std::string>& tasks) {
    auto& grants = this->team_grants.write();
    for (const auto& id : tasks) {
        const auto& task = this->task_table->find(id)->second;
        const auto units = task_units(*this->current_config, task.spec);
        const auto holders = grants.find(task.spec.team);
        if (task.phase != task_phase::placed || !units || holders == grants.end()) {
            continue;
        }
        auto& source_units = holders->second[from];
        const std::int64_t moved = std::min(*units, source_units);
        source_units -= moved;
        holders->second[task.owner] += moved;
    }
}

void fleet_state::release_grants(incarnation_id incarnation) {
    for (auto& [team, holders] : this->team_grants.write()) {
        holders.erase(incarnation);
    }
}

void fleet_state::assign_orphaned_partitions(log_offset offset) {
    std::map<incarnation_id, std::int64_t> owned;
    for (const auto& [incarnation, node] : *this->node_table) {
        if (node.live()) {
            owned[incarnation] = 0;
        }
    }
    if (owned.empty()) {
        return;
    }
    for (const auto& partition : *this->claim_partitions) {
        if (const auto owner = owned.find(partition.owner); owner != owned.end()) {
            ++owner->second;
        }
    }
    for (auto& partition : this->claim_partitions.write()) {
        if (partition.owner != 0) {
            continue;
        }
        const auto least_loaded =
            std::min_element(owned.begin(), owned.end(),
                             [](const auto& left, const auto& right) { return left.second < right.second; });
        // Ids with an epoch up to this offset may have been claimed at the previous owner.
        partition = {.owner = least_loaded->first, .owned_since = offset};
        ++least_loaded->second;
    }
}

fleet_state::rejection_reason fleet_state::fold(log_offset, const log_record&,
                                                const grant_delta_record& body) {
    const auto* node = this->find_node(body.incarnation);
    if (node == nullptr) {
        return not_registered(body.incarnation);
    }
    if (!node->live()) {
        return reclaimed(body.incarnation);
    }
    if (body.sequence != node->grant_sequence + 1) {
        return fmt::format("sequence {} was folded already or skips one; the next is {}", body.sequence,
                           node->grant_sequence + 1);
    }
    this->node_table.write().at(body.incarnation).grant_sequence = body.sequence;
    auto& grants = this->team_grants.write();
    for (const auto& delta : body.deltas) {
        const auto* team = this->current_config->find_team(delta.team);
        if (team == nullptr) {
            continue;
        }
        auto& units = grants[delta.team][body.incarnation];
        if (delta.units < 0) {
            units = std::max<std::int64_t>(0, units + delta.units);
            continue;
        }
        const std::int64_t free = team->upper_limit - this->granted_units(delta.team);
        units += std::clamp<std::int64_t>(free, 0, delta.units);
    }
    return {};
}

fleet_state::rejection_reason fleet_state::fold(log_offset offset, const log_record&,
                                                const partitions_release_record& body) {
    const auto* node = this->find_node(body.incarnation);
    if (node == nullptr || !node->live()) {
        return not_registered(body.incarnation);
    }
    auto& partitions = this->claim_partitions.write();
    for (const int number : body.partitions) {
        auto& partition = partitions[static_cast<std::size_t>(number)];
        if (partition.owner == body.incarnation) {
            partition = {};
        }
    }
    this->assign_orphaned_partitions(offset);
    return {};
}

} // namespace hornbeamrail
