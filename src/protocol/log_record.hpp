#pragma once

#include "hornbeamrail/error.hpp"
#include "hornbeamrail/fleet_config.hpp"
#include "hornbeamrail/node_settings.hpp"

#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hornbeamrail {

/// Offset of a record in the platform's log. The first record has offset 1; 0 stands for no record.
using log_offset = std::int64_t;

/// Identifies one start of an entry node process: the offset of its `node_register` record. Unique and
/// increasing; 0 stands for no process.
using incarnation_id = log_offset;

/// Record format that this binary writes. Readers accept it and the previous one.
inline constexpr int log_record_format = 1;

/// Number of partitions of the claims on ids of non-idempotent requests.
inline constexpr int claim_partition_count = 64;

/// Replaces the fleet configuration.
struct config_record {
    log_offset expected_version = 0; ///< offset of the configuration that the edit is based on
    std::shared_ptr<const fleet_config> config;
};

/// Grants an API key to a team.
struct key_grant_record {
    std::string key_id;
    std::string key_hash; ///< SHA-256 of the key, lower-case hex
    std::string team;
};

/// Revokes an API key.
struct key_revoke_record {
    std::string key_id;
};

/// Takes an availability zone out of service.
struct zone_out_record {
    std::string zone;
};

/// Returns an availability zone to service.
struct zone_in_record {
    std::string zone;
};

/// Takes a VM out of service.
struct vm_out_record {
    std::string vm;
};

/// Returns a VM to service.
struct vm_in_record {
    std::string vm;
};

/// Registers an entry node process. The offset of the record becomes its incarnation.
struct node_register_record {
    std::string node_id;
    endpoint peer_address;
    std::string zone;
    std::string region;
    /// The writer held `peer_address` exclusively after folding every record below this offset. Processes of
    /// this node that registered below it have therefore ended. 0: no such proof.
    log_offset ended_before = 0;
};

/// Adds a node to the counted set of its region: the nodes whose majority confirms offsets of the log. See
/// `fleet_state::max_counted_nodes_per_region`.
struct node_counted_record {
    incarnation_id incarnation = 0;
};

/// Unregisters a node that shuts down in an orderly way.
struct node_leave_record {
    incarnation_id incarnation = 0;
};

/// Starts the reclaim of a node that is presumed dead. With `vm_gone` it also marks the process as ended, and
/// is then accepted during a reclaim as well.
struct node_reclaim_record {
    incarnation_id incarnation = 0;
    bool vm_gone = false; ///< the VM has disappeared from the platform's VM list
};

/// Completes a reclaim: the units and partitions of the node become free.
struct node_free_record {
    incarnation_id incarnation = 0;
};

/// A number of units of one team.
struct team_units {
    std::string team;
    std::int64_t units = 0;
};

/// Acquires or returns units of teams for one node.
struct grant_delta_record {
    incarnation_id incarnation = 0;
    std::int64_t sequence = 0;      ///< 1 more than in the writer's previous grant_delta
    std::vector<team_units> deltas; ///< positive: acquires at most this number; negative: returns
};

/// Releases claim partitions of a node for reassignment.
struct partitions_release_record {
    incarnation_id incarnation = 0;
    std::vector<int> partitions;
};

/// Makes a node the planner. The offset of the record becomes the planner's epoch.
struct planner_claim_record {
    incarnation_id incarnation = 0;
    log_offset expected_epoch = 0; ///< epoch of the planner to replace; the fold rejects any other
};

/// A worker VM as listed by the platform.
struct vm_description {
    std::string id;
    endpoint address;
    std::string zone;
    std::string rack;
    std::string pool;
    std::int64_t cores = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;
};

/// Adds worker VMs to the fleet.
struct vm_add_record {
    log_offset epoch = 0;
    std::vector<vm_description> vms;
    /// Wall-clock time of the planner. The assumed times of the last maintenance of the VMs are spread over
    /// the maintenance period before it.
    std::chrono::sys_seconds at{};
};

/// Removes worker VMs that the platform no longer lists.
struct vm_remove_record {
    log_offset epoch = 0;
    std::vector<std::string> vms;
};

/// Starts the move of a VM to another pool.
struct vm_move_record {
    log_offset epoch = 0;
    std::string vm;
    std::string from;
    std::string to;
};

/// Completes the move of a VM.
struct vm_move_done_record {
    log_offset epoch = 0;
    std::string vm;
};

/// Starts the maintenance of a VM.
struct maintenance_start_record {
    log_offset epoch = 0;
    std::string vm;
};

/// Completes the maintenance of a VM.
struct maintenance_done_record {
    log_offset epoch = 0;
    std::string vm;
    std::chrono::sys_seconds at{}; ///< wall-clock time of the planner
};

/// A task as the caller submitted it.
struct task_spec {
    std::string id;
    std::string team;
    std::string service;
    std::int64_t cores = 1;
    std::int64_t memory_mb = 1;
    std::int64_t accelerators = 0;
    std::chrono::milliseconds run_time{0}; ///< declared by the caller; may be inaccurate
    bool idempotent = true;
    bool urgent = false;
    std::string key_id; ///< key of the submission; empty on an open queue
};

/// Accepts a task. The node that writes the record becomes its owner.
struct task_submit_record {
    incarnation_id incarnation = 0;
    task_spec task;
};

/// Phase of a task. `unknown` is final: the task may or may not have run.
enum class task_phase { queued, placed, finished, failed, cancelled, unknown };

/// Changes the phase of a task.
struct task_state_record {
    std::string task_id;
    log_offset fencing_token = 0; ///< offset of the record that made the writer the owner
    task_phase phase = task_phase::queued;
    std::string vm; ///< set in phase `placed`
    std::string detail;
};

/// Requests the cancellation of a task.
struct task_cancel_record {
    std::string task_id;
};

/// One part of an encoded snapshot of the fleet state.
struct snapshot_part_record {
    std::string snapshot_id;
    log_offset next_offset = 0; ///< the snapshot covers every record below this offset
    std::int64_t part = 0;
    std::int64_t parts = 0;
    std::string sha256; ///< of the whole snapshot, lower-case hex
    std::string data;   ///< base64
};

using record_body =
    std::variant<config_record, key_grant_record, key_revoke_record, zone_out_record, zone_in_record,
                 vm_out_record, vm_in_record, node_register_record, node_counted_record, node_leave_record,
                 node_reclaim_record, node_free_record, grant_delta_record, partitions_release_record,
                 planner_claim_record, vm_add_record, vm_remove_record, vm_move_record, vm_move_done_record,
                 maintenance_start_record, maintenance_done_record, task_submit_record, task_state_record,
                 task_cancel_record, snapshot_part_record>;

/// A change of the fleet state as stored in the log.
struct log_record {
    std::string change_id; ///< UUID chosen by the writer; a record with a repeated id has no effect
    record_body body;
};

/// @return the `kind` of the record as stored in the log, for example "key_grant"
std::string_view kind_of(const record_body& body) noexcept;

/// @return the name of the phase, for example "queued"
std::string_view to_string(task_phase phase) noexcept;
/// @return the phase with that name, or nothing for an unknown name
std::optional<task_phase> parse_task_phase(std::string_view text) noexcept;

/// @return the record as stored in the log (JSON)
std::string encode_record(const log_record& record);

/// @return the record as a JSON value, for `dump` and operators
boost::json::value to_json(const log_record& record);

/// Decodes the bytes of a log record.
/// @param bytes at most 4 MiB
/// @return the record; `errc::parse_failed` when it is malformed or of an unsupported format;
///     `errc::too_large` when it exceeds the size limit
result<log_record> decode_record(std::string_view bytes);

// JSON codecs of the parts of a record. Readers record a diagnostic for each missing or invalid field.

boost::json::value to_json(const vm_description& vm);
vm_description read_vm_description(const boost::json::value& value, std::string path,
                                   std::vector<diagnostic>& diagnostics);
boost::json::value to_json(const task_spec& task);
task_spec read_task_spec(const boost::json::value& value, std::string path,
                         std::vector<diagnostic>& diagnostics);

} // namespace hornbeamrail
