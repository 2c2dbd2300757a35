#pragma once

#include "protocol/log_record.hpp"
#include "state/change_table.hpp"
#include "state/cow.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail {

struct key_info {
    std::string key_id;
    std::string key_hash;
    std::string team;
    bool revoked = false;
};

/// Registered process of an entry node.
struct node_info {
    incarnation_id incarnation = 0;
    std::string node_id;
    endpoint peer_address;
    std::string zone;
    std::string region;
    bool counted = false;
    log_offset reclaim_offset = 0; ///< offset of the record that began the reclaim; 0 while the node is live
    bool ended = false;            ///< proof exists that the process has ended
    std::int64_t grant_sequence = 0;

    [[nodiscard]] bool live() const noexcept { return this->reclaim_offset == 0; }
};

enum class vm_operation { none, moving, maintenance };

struct vm_info {
    vm_description vm; ///< `vm.pool` is the one pool the VM belongs to
    bool out = false;  ///< taken out by operators
    vm_operation operation = vm_operation::none;
    std::string move_to;             ///< set while moving
    log_offset operation_offset = 0; ///< offset of the record that began the operation
    std::string operation_id;        ///< change id of that record; platform calls carry it
    std::chrono::sys_seconds last_maintained{};

    /// @return whether new work may be placed on the VM as far as the log tells
    [[nodiscard]] bool in_service() const noexcept {
        return !this->out && this->operation == vm_operation::none;
    }
};

struct planner_info {
    incarnation_id incarnation = 0;
    log_offset epoch = 0;
};

struct task_info {
    task_spec spec;
    incarnation_id owner = 0;
    log_offset fencing_token = 0;
    task_phase phase = task_phase::queued;
    std::string vm;
    std::string detail;
    bool cancel_requested = false;
    log_offset submitted_at = 0;
};

/// Owner of one claim partition.
struct partition_info {
    incarnation_id owner = 0;
    log_offset owned_since = 0;
};

using grant_table = std::map<std::string, std::map<incarnation_id, std::int64_t>, std::less<>>;
using partition_table = std::array<partition_info, claim_partition_count>;

/// All lasting state of a fleet, as the deterministic fold of the log.
///
/// A value: copying is cheap and shares tables. Nodes publish it as `std::shared_ptr<const fleet_state>`. The
/// same records in the same order give an equal state on every node.
class fleet_state {
public:
    static constexpr std::size_t max_counted_nodes_per_region = 7;
    static constexpr std::size_t max_ended_tasks = 4096;

    /// Folds one record.
    /// @param offset offset of the record; must not be below `next_offset()`
    /// @param record the decoded record
    /// @return the decision; a repeated change id returns the outcome of the first
    change_outcome apply(log_offset offset, const log_record& record);

    /// Passes over a record that cannot be decoded.
    void skip(log_offset offset);

    /// @return the offset after the last folded record
    [[nodiscard]] log_offset next_offset() const noexcept { return this->next; }
    [[nodiscard]] std::int64_t undecodable_records() const noexcept { return this->undecodable; }

    /// @return the fleet text in force; empty (no site, no services) before the first one
    [[nodiscard]] const fleet_config& config() const noexcept { return *this->current_config; }
    [[nodiscard]] std::shared_ptr<const fleet_config> shared_config() const noexcept {
        return this->current_config;
    }
    [[nodiscard]] log_offset config_version() const noexcept { return this->version; }

    /// @return keys by hash
    [[nodiscard]] const std::map<std::string, key_info, std::less<>>& keys() const noexcept {
        return *this->key_table;
    }
    /// @return zones that operators have taken out, with the offset of that record
    [[nodiscard]] const std::map<std::string, log_offset, std::less<>>& zones_out() const noexcept {
        return *this->out_zones;
    }
    [[nodiscard]] bool zone_is_out(std::string_view zone) const { return this->out_zones->contains(zone); }

    [[nodiscard]] const std::map<incarnation_id, node_info>& nodes() const noexcept {
        return *this->node_table;
    }
    [[nodiscard]] const node_info* find_node(incarnation_id incarnation) const;
    /// @return incarnations of the counted set of a region
    [[nodiscard]] std::vector<incarnation_id> counted_nodes(std::string_view region) const;

    [[nodiscard]] const grant_table& grants() const noexcept { return *this->team_grants; }
    /// @return units of @p team that @p incarnation holds; 0 for a reclaimed node
    [[nodiscard]] std::int64_t grant_of(std::string_view team, incarnation_id incarnation) const;
    /// @return the sum of all grants of @p team, including those of reclaimed nodes
    [[nodiscard]] std::int64_t granted_units(std::string_view team) const;

    [[nodiscard]] const partition_table& partitions() const noexcept { return *this->claim_partitions; }

    [[nodiscard]] const std::map<std::string, vm_info, std::less<>>& vms() const noexcept {
        return *this->vm_table;
    }
    [[nodiscard]] const vm_info* find_vm(std::string_view id) const;
    [[nodiscard]] const planner_info& planner() const noexcept { return this->current_planner; }

    [[nodiscard]] const std::map<std::string, task_info, std::less<>>& tasks() const noexcept {
        return *this->task_table;
    }

    /// @return the outcome of a change, if it is recent enough
    [[nodiscard]] std::optional<change_outcome> outcome_of(std::string_view change_id) const {
        return this->changes.find(change_id);
    }
    [[nodiscard]] const change_table& recent_changes() const noexcept { return this->changes; }

    /// @return offset of the last part of the newest snapshot in the log, or 0
    [[nodiscard]] log_offset last_snapshot_offset() const noexcept { return this->snapshot_offset; }

private:
    friend class snapshot_codec;

    /// Empty on success, else the reason for the rejection.
    using verdict = std::string;

    verdict fold(log_offset offset, const log_record& record, const config_record& body);
    verdict fold(log_offset offset, const log_record& record, const key_grant_record& body);
    verdict fold(log_offset offset, const log_record& record, const key_revoke_record& body);
    verdict fold(log_offset offset, const log_record& record, const zone_out_record& body);
    verdict fold(log_offset offset, const log_record& record, const zone_in_record& body);
    verdict fold(log_offset offset, const log_record& record, const vm_out_record& body);
    verdict fold(log_offset offset, const log_record& record, const vm_in_record& body);
    verdict fold(log_offset offset, const log_record& record, const node_register_record& body);
    verdict fold(log_offset offset, const log_record& record, const node_counted_record& body);
    verdict fold(log_offset offset, const log_record& record, const node_leave_record& body);
    verdict fold(log_offset offset, const log_record& record, const node_reclaim_record& body);
    verdict fold(log_offset offset, const log_record& record, const node_free_record& body);
    verdict fold(log_offset offset, const log_record& record, const grant_delta_record& body);
    verdict fold(log_offset offset, const log_record& record, const partitions_release_record& body);
    verdict fold(log_offset offset, const log_record& record, const planner_claim_record& body);
    verdict fold(log_offset offset, const log_record& record, const vm_add_record& body);
    verdict fold(log_offset offset, const log_record& record, const vm_remove_record& body);
    verdict fold(log_offset offset, const log_record& record, const vm_move_record& body);
    verdict fold(log_offset offset, const log_record& record, const vm_move_done_record& body);
    verdict fold(log_offset offset, const log_record& record, const maintenance_start_record& body);
    verdict fold(log_offset offset, const log_record& record, const maintenance_done_record& body);
    verdict fold(log_offset offset, const log_record& record, const task_submit_record& body);
    verdict fold(log_offset offset, const log_record& record, const task_state_record& body);
    verdict fold(log_offset offset, const log_record& record, const task_cancel_record& body);
    verdict fold(log_offset offset, const log_record& record, const snapshot_part_record& body);

    verdict check_epoch(log_offset epoch) const;
    verdict set_vm_out(const std::string& vm, bool out);
    verdict begin_operation(log_offset offset, const log_record& record, const std::string& vm,
                            vm_operation operation);
    void scale_grants_to_limits();
    void mark_ended(node_info& node, log_offset offset);
    void remove_node(incarnation_id incarnation, log_offset offset);
    void return_grants(incarnation_id incarnation);
    void give_orphaned_partitions(log_offset offset);
    /// @return ids of the tasks that have a new owner
    std::vector<std::string> hand_over_tasks(incarnation_id from, log_offset offset);
    void move_grants_with_tasks(incarnation_id from, const std::vector<std::string>& tasks);
    void end_task(task_info& task, task_phase phase, std::string detail);
    [[nodiscard]] bool has_counted_node(std::string_view region) const;

    log_offset next = 1;
    std::int64_t undecodable = 0;
    std::shared_ptr<const fleet_config> current_config = std::make_shared<const fleet_config>();
    log_offset version = 0;
    cow<std::map<std::string, key_info, std::less<>>> key_table;
    cow<std::map<std::string, log_offset, std::less<>>> out_zones;
    cow<std::map<incarnation_id, node_info>> node_table;
    cow<grant_table> team_grants;
    cow<partition_table> claim_partitions;
    cow<std::map<std::string, vm_info, std::less<>>> vm_table;
    planner_info current_planner;
    cow<std::map<std::string, task_info, std::less<>>> task_table;
    cow<std::deque<std::string>> ended_tasks; ///< ids in the order they ended
    change_table changes;
    log_offset snapshot_offset = 0;
};

} // namespace hornbeamrail
