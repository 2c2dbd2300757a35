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

/// An API key of a team. Only its hash is stored.
struct key_info {
    std::string key_id;
    std::string key_hash;
    std::string team;
    bool revoked = false;
};

/// A registered process of an entry node.
struct node_info {
    incarnation_id incarnation = 0;
    std::string node_id;
    endpoint peer_address;
    std::string zone;
    std::string region;
    bool counted = false; ///< member of the counted set of its region
    /// Offset of the record that started the reclaim; 0 while the node is live.
    log_offset reclaim_offset = 0;
    bool ended = false;              ///< the process is known to have ended
    std::int64_t grant_sequence = 0; ///< sequence of the last folded grant_delta

    [[nodiscard]] bool live() const noexcept { return this->reclaim_offset == 0; }
};

/// Operation in progress on a VM.
enum class vm_operation { none, moving, maintenance };

/// A worker VM of the fleet.
struct vm_info {
    vm_description vm; ///< `vm.pool` is the only pool that the VM belongs to
    bool out = false;  ///< taken out of service by operators
    vm_operation operation = vm_operation::none;
    std::string move_to;             ///< target pool while moving
    log_offset operation_offset = 0; ///< offset of the record that started the operation
    std::string operation_id;        ///< change id of that record, which platform calls include
    std::chrono::sys_seconds last_maintained{};

    /// @return whether the log permits new work on the VM
    [[nodiscard]] bool in_service() const noexcept {
        return !this->out && this->operation == vm_operation::none;
    }
};

/// The current planner. Planner records with an epoch other than `epoch` are rejected.
struct planner_info {
    incarnation_id incarnation = 0;
    log_offset epoch = 0;
};

/// A task with its owner and phase.
struct task_info {
    task_spec spec;
    incarnation_id owner = 0;
    log_offset fencing_token = 0; ///< offset of the record that made `owner` the owner
    task_phase phase = task_phase::queued;
    std::string vm;
    std::string detail;
    bool cancel_requested = false;
    log_offset submitted_at = 0; ///< offset of the task_submit record
};

/// Owner of one claim partition.
struct partition_info {
    incarnation_id owner = 0;
    /// Ids with an epoch up to this offset may have been claimed at another owner.
    log_offset owned_since = 0;
};

/// Granted units by team and node.
using grant_table = std::map<std::string, std::map<incarnation_id, std::int64_t>, std::less<>>;
using partition_table = std::array<partition_info, claim_partition_count>;

/// The persistent state of a fleet: a deterministic fold of the log.
///
/// The same records in the same order result in equal states on all nodes. Copies are cheap because they
/// share tables. Nodes publish the state as `std::shared_ptr<const fleet_state>`.
class fleet_state {
public:
    /// Maximum size of the counted set of a region. A majority of the set confirms the offset below which
    /// records are folded, and attests freshness during a log outage.
    static constexpr std::size_t max_counted_nodes_per_region = 7;
    static constexpr std::size_t max_ended_tasks = 4096; ///< older ended tasks are dropped

    /// Folds one record.
    /// @param offset offset of the record; must not be below `next_offset()`
    /// @param record the decoded record
    /// @return the outcome; for a repeated change id, the outcome of its first record
    change_outcome apply(log_offset offset, const log_record& record);

    /// Skips a record that cannot be decoded.
    void skip(log_offset offset);

    /// @return the offset after the last folded record
    [[nodiscard]] log_offset next_offset() const noexcept { return this->next; }
    [[nodiscard]] std::int64_t undecodable_records() const noexcept { return this->undecodable; }

    /// @return the current configuration; empty (no site, no services) before the first one
    [[nodiscard]] const fleet_config& config() const noexcept { return *this->current_config; }
    [[nodiscard]] std::shared_ptr<const fleet_config> shared_config() const noexcept {
        return this->current_config;
    }
    /// @return offset of the record with the current configuration, or 0
    [[nodiscard]] log_offset config_version() const noexcept { return this->version; }

    /// @return keys by hash
    [[nodiscard]] const std::map<std::string, key_info, std::less<>>& keys() const noexcept {
        return *this->key_table;
    }
    /// @return zones out of service, with the offset of the zone_out record
    [[nodiscard]] const std::map<std::string, log_offset, std::less<>>& zones_out() const noexcept {
        return *this->out_zones;
    }
    [[nodiscard]] bool zone_is_out(std::string_view zone) const { return this->out_zones->contains(zone); }

    [[nodiscard]] const std::map<incarnation_id, node_info>& nodes() const noexcept {
        return *this->node_table;
    }
    /// @return the node, or nullptr
    [[nodiscard]] const node_info* find_node(incarnation_id incarnation) const;
    /// @return the incarnations in the counted set of a region
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
    /// @return the VM, or nullptr
    [[nodiscard]] const vm_info* find_vm(std::string_view id) const;
    [[nodiscard]] const planner_info& planner() const noexcept { return this->current_planner; }

    [[nodiscard]] const std::map<std::string, task_info, std::less<>>& tasks() const noexcept {
        return *this->task_table;
    }

    /// @return the outcome of a change, or nothing when it is unknown or was evicted
    [[nodiscard]] std::optional<change_outcome> outcome_of(std::string_view change_id) const {
        return this->changes.find(change_id);
    }
    [[nodiscard]] const change_table& recent_changes() const noexcept { return this->changes; }

    /// @return offset of the last part of the latest snapshot in the log, or 0
    [[nodiscard]] log_offset last_snapshot_offset() const noexcept { return this->snapshot_offset; }

private:
    friend class snapshot_codec;

    /// Reason for rejecting a record; empty when it is accepted. Stored in the outcomes of changes.
    using rejection_reason = std::string;

    rejection_reason fold(log_offset offset, const log_record& record, const config_record& body);
    rejection_reason fold(log_offset offset, const log_record& record, const key_grant_record& body);
    rejection_reason fold(log_offset offset, const log_record& record, const key_revoke_record& body);
    rejection_reason fold(log_offset offset, const log_record& record, const zone_out_record& body);
    rejection_reason fold(log_offset offset, const log_record& record, const zone_in_record& body);
    rejection_reason fold(log_offset offset, const log_record& record, const vm_out_record& body);
    rejection_reason fold(log_offset offset, const log_record& record, const vm_in_record& body);
    rejection_reason fold(log_offset offset, const log_record& record, const node_register_record& body);
    rejection_reason fold(log_offset offset, const log_record& record, const node_counted_record& body);
    rejection_reason fold(log_offset offset, const log_record& record, const node_leave_record& body);
    rejection_reason fold(log_offset offset, const log_record& record, const node_reclaim_record& body);
    rejection_reason fold(log_offset offset, const log_record& record, const node_free_record& body);
    rejection_reason fold(log_offset offset, const log_record& record, const grant_delta_record& body);
    rejection_reason fold(log_offset offset, const log_record& record, const partitions_release_record& body);
    rejection_reason fold(log_offset offset, const log_record& record, const planner_claim_record& body);
    rejection_reason fold(log_offset offset, const log_record& record, const vm_add_record& body);
    rejection_reason fold(log_offset offset, const log_record& record, const vm_remove_record& body);
    rejection_reason fold(log_offset offset, const log_record& record, const vm_move_record& body);
    rejection_reason fold(log_offset offset, const log_record& record, const vm_move_done_record& body);
    rejection_reason fold(log_offset offset, const log_record& record, const maintenance_start_record& body);
    rejection_reason fold(log_offset offset, const log_record& record, const maintenance_done_record& body);
    rejection_reason fold(log_offset offset, const log_record& record, const task_submit_record& body);
    rejection_reason fold(log_offset offset, const log_record& record, const task_state_record& body);
    rejection_reason fold(log_offset offset, const log_record& record, const task_cancel_record& body);
    rejection_reason fold(log_offset offset, const log_record& record, const snapshot_part_record& body);

    /// Rejects records of a planner that is no longer current.
    rejection_reason check_epoch(log_offset epoch) const;
    rejection_reason set_vm_out(const std::string& vm, bool out);
    rejection_reason begin_operation(log_offset offset, const log_record& record, const std::string& vm,
                                     vm_operation operation);
    /// Reduces the grants of each team in proportion until their sum is within the upper limit.
    void scale_grants_to_limits();
    /// Marks the process as ended. Releases its claim partitions but not its grants.
    void mark_ended(node_info& node, log_offset offset);
    void remove_node(incarnation_id incarnation, log_offset offset);
    void release_grants(incarnation_id incarnation);
    void assign_orphaned_partitions(log_offset offset);
    /// Distributes the tasks of a node, and tasks whose owner does not exist, over the live nodes.
    /// @return ids of the tasks that changed their owner
    std::vector<std::string> hand_over_tasks(incarnation_id from, log_offset offset);
    /// Moves the granted units of placed tasks from a node to the new owners of the tasks.
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
    cow<std::deque<std::string>> ended_tasks; ///< ids, oldest first
    change_table changes;
    log_offset snapshot_offset = 0;
};

} // namespace hornbeamrail
