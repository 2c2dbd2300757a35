#include "state/fleet_state.hpp"

#include <fmt/format.h>

#include <numeric>

namespace hornbeamrail {

change_outcome fleet_state::apply(log_offset offset, const log_record& record) {
    this->next = offset + 1;
    if (auto first_outcome = this->changes.find(record.change_id)) {
        return *first_outcome;
    }
    auto reason = std::visit([&](const auto& body) { return this->fold(offset, record, body); }, record.body);
    const bool accepted = reason.empty();
    change_outcome outcome{.offset = offset, .accepted = accepted, .reason = std::move(reason)};
    this->changes.insert(record.change_id, outcome);
    return outcome;
}

void fleet_state::skip(log_offset offset) {
    this->next = offset + 1;
    ++this->undecodable;
}

const node_info* fleet_state::find_node(incarnation_id incarnation) const {
    const auto found = this->node_table->find(incarnation);
    return found == this->node_table->end() ? nullptr : &found->second;
}

const vm_info* fleet_state::find_vm(std::string_view id) const {
    const auto found = this->vm_table->find(id);
    return found == this->vm_table->end() ? nullptr : &found->second;
}

std::int64_t fleet_state::grant_of(std::string_view team, incarnation_id incarnation) const {
    const auto* node = this->find_node(incarnation);
    const auto holders = this->team_grants->find(team);
    if (node == nullptr || !node->live() || holders == this->team_grants->end()) {
        return 0;
    }
    const auto grant = holders->second.find(incarnation);
    return grant == holders->second.end() ? 0 : grant->second;
}

std::int64_t fleet_state::granted_units(std::string_view team) const {
    const auto holders = this->team_grants->find(team);
    if (holders == this->team_grants->end()) {
        return 0;
    }
    return std::accumulate(holders->second.begin(), holders->second.end(), std::int64_t{0},
                           [](std::int64_t sum, const auto& grant) { return sum + grant.second; });
}

fleet_state::rejection_reason fleet_state::fold(log_offset offset, const log_record&,
                                                const config_record& body) {
    if (body.expected_version != this->version) {
        return fmt::format("conflict: version {} is in force, the change was made for {}", this->version,
                           body.expected_version);
    }
    for (const auto& [id, info] : *this->vm_table) {
        if (body.config->find_pool(info.vm.pool) == nullptr ||
            (info.operation == vm_operation::moving && body.config->find_pool(info.move_to) == nullptr)) {
            return fmt::format("pool \"{}\" still has VM \"{}\"; move its VMs out first", info.vm.pool, id);
        }
    }
    this->current_config = body.config;
    this->version = offset;
    this->scale_grants_to_limits();
    return {};
}

void fleet_state::scale_grants_to_limits() {
    for (auto& [team, holders] : this->team_grants.write()) {
        const auto* config = this->current_config->find_team(team);
        const std::int64_t limit = config == nullptr ? 0 : config->upper_limit;
        const std::int64_t sum = this->granted_units(team);
        if (sum <= limit) {
            continue;
        }
        for (auto& [incarnation, units] : holders) {
            units = units * limit / sum;
        }
    }
}

fleet_state::rejection_reason fleet_state::fold(log_offset, const log_record&, const key_grant_record& body) {
    if (this->current_config->find_team(body.team) == nullptr) {
        return fmt::format("team \"{}\" is not defined; add it to the fleet text first", body.team);
    }
    for (const auto& [hash, info] : *this->key_table) {
        if (hash == body.key_hash || info.key_id == body.key_id) {
            return fmt::format("key id \"{}\" exists; grant a new key", body.key_id);
        }
    }
    this->key_table.write().emplace(
        body.key_hash,
        key_info{.key_id = body.key_id, .key_hash = body.key_hash, .team = body.team, .revoked = false});
    return {};
}

fleet_state::rejection_reason fleet_state::fold(log_offset, const log_record&,
                                                const key_revoke_record& body) {
    for (const auto& [hash, info] : *this->key_table) {
        if (info.key_id != body.key_id) {
            continue;
        }
        if (info.revoked) {
            return fmt::format("key \"{}\" is already revoked", body.key_id);
        }
        const std::string revoked_hash = hash; // write() may replace the table that owns `hash`
        this->key_table.write().find(revoked_hash)->second.revoked = true;
        return {};
    }
    return fmt::format("key \"{}\" is not known; see `key list`", body.key_id);
}

fleet_state::rejection_reason fleet_state::fold(log_offset offset, const log_record&,
                                                const zone_out_record& body) {
    if (this->current_config->find_zone(body.zone) == nullptr) {
        return fmt::format("zone \"{}\" is not defined", body.zone);
    }
    if (this->out_zones->contains(body.zone)) {
        return fmt::format("zone \"{}\" is already out", body.zone);
    }
    this->out_zones.write().emplace(body.zone, offset);
    return {};
}

fleet_state::rejection_reason fleet_state::fold(log_offset, const log_record&, const zone_in_record& body) {
    if (!this->out_zones->contains(body.zone)) {
        return fmt::format("zone \"{}\" is not out", body.zone);
    }
    this->out_zones.write().erase(body.zone);
    return {};
}

fleet_state::rejection_reason fleet_state::fold(log_offset offset, const log_record&,
                                                const snapshot_part_record& body) {
    if (body.part + 1 == body.parts) {
        this->snapshot_offset = offset;
    }
    return {};
}

} // namespace hornbeamrail
