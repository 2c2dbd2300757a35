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

/// Offset of a record in the platform's log. The first record of a log has offset 1; 0 means "none".
using log_offset = std::int64_t;

/// Offset of the `node_register` record that admitted a process. Unique and increasing; 0 means "none".
using incarnation_id = log_offset;

/// Format written by this binary. Readers take this one and the one before it.
inline constexpr int log_record_format = 1;

inline constexpr int claim_partition_count = 64;

struct config_record {
    log_offset expected_version = 0; ///< offset of the configuration in force when the operator edited it
    std::shared_ptr<const fleet_config> config;
};

struct key_grant_record {
    std::string key_id;
    std::string key_hash; ///< SHA-256 of the key, lower-case hex
    std::string team;
};

struct key_revoke_record {
    std::string key_id;
};

struct zone_out_record {
    std::string zone;
};

struct zone_in_record {
    std::string zone;
};

struct vm_out_record {
    std::string vm;
};

struct vm_in_record {
    std::string vm;
};

struct node_register_record {
    std::string node_id;
    endpoint peer_address;
    std::string zone;
    std::string region;
    /// The writer held `peer_address` exclusively when it had folded every record below this offset, so
    /// processes of this node that registered below it have ended. 0: no such proof.
    log_offset ended_before = 0;
};

struct node_counted_record {
    incarnation_id incarnation = 0;
};

struct node_leave_record {
    incarnation_id incarnation = 0;
};

struct node_reclaim_record {
    incarnation_id incarnation = 0;
    bool vm_gone = false; ///< the platform's VM list held the VM before and no longer does
};

struct node_free_record {
    incarnation_id incarnation = 0;
};

struct team_units {
    std::string team;
    std::int64_t units = 0;
};

struct grant_delta_record {
    incarnation_id incarnation = 0;
    std::int64_t sequence = 0;      ///< 1 more than that of the writer's grant_delta before it
    std::vector<team_units> deltas; ///< positive: acquire up to this many; negative: return
};

struct partitions_release_record {
    incarnation_id incarnation = 0;
    std::vector<int> partitions;
};

struct planner_claim_record {
    incarnation_id incarnation = 0;
    log_offset expected_epoch = 0;
};

/// A worker VM as the planner found it in the platform's list.
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

struct vm_add_record {
    log_offset epoch = 0;
    std::vector<vm_description> vms;
    std::chrono::sys_seconds
        at{}; ///< wall-clock time by the planner; maintenance of the VMs is spread from here
};

struct vm_remove_record {
    log_offset epoch = 0;
    std::vector<std::string> vms;
};

struct vm_move_record {
    log_offset epoch = 0;
    std::string vm;
    std::string from;
    std::string to;
};

struct vm_move_done_record {
    log_offset epoch = 0;
    std::string vm;
};

struct maintenance_start_record {
    log_offset epoch = 0;
    std::string vm;
};

struct maintenance_done_record {
    log_offset epoch = 0;
    std::string vm;
    std::chrono::sys_seconds at{}; ///< wall-clock time by the planner
};

/// What a caller asked for when it submitted a task.
struct task_spec {
    std::string id;
    std::string team;
    std::string service;
    std::int64_t cores = 1;
    std::int64_t memory_mb = 1;
    std::int64_t accelerators = 0;
    std::chrono::milliseconds run_time{0}; ///< declared; may be far off
    bool idempotent = true;
    bool urgent = false;
    std::string key_id; ///< key that it was submitted with; empty on an open queue
};

struct task_submit_record {
    incarnation_id incarnation = 0;
    task_spec task;
};

enum class task_phase { queued, placed, finished, failed, cancelled, unknown };

struct task_state_record {
    std::string task_id;
    log_offset fencing_token = 0; ///< offset of the record that made the writer the owner
    task_phase phase = task_phase::queued;
    std::string vm; ///< set in phase `placed`
    std::string detail;
};

struct task_cancel_record {
    std::string task_id;
};

struct snapshot_part_record {
    std::string snapshot_id;
    log_offset next_offset = 0; ///< the snapshot covers every record below this offset
    std::int64_t part = 0;
    std::int64_t parts = 0;
    std::string sha256; ///< of the whole snapshot, lower-case hex
    std::string data;
};

using record_body =
    std::variant<config_record, key_grant_record, key_revoke_record, zone_out_record, zone_in_record,
                 vm_out_record, vm_in_record, node_register_record, node_counted_record, node_leave_record,
                 node_reclaim_record, node_free_record, grant_delta_record, partitions_release_record,
                 planner_claim_record, vm_add_record, vm_remove_record, vm_move_record, vm_move_done_record,
                 maintenance_start_record, maintenance_done_record, task_submit_record, task_state_record,
                 task_cancel_record, snapshot_part_record>;

struct log_record {
    std::string change_id; ///< UUID by the writer; a repeated id has no second effect
    record_body body;
};

/// @return the `kind` of the record as written in the log, for example "key_grant"
std::string_view kind_of(const record_body& body) noexcept;

std::string_view to_string(task_phase phase) noexcept;
std::optional<task_phase> parse_task_phase(std::string_view text) noexcept;

/// @return the record as the bytes that go into the log (JSON)
std::string encode_record(const log_record& record);

/// @return the record as a JSON value, for `dump` and operators
boost::json::value to_json(const log_record& record);

/// Decodes the bytes of a log record.
/// @param bytes at most 4 MiB
/// @return the record, or `errc::parse_failed` when it is not a record of a known format
result<log_record> decode_record(std::string_view bytes);

/// JSON codecs of parts that snapshots share with records.
boost::json::value to_json(const vm_description& vm);
vm_description read_vm_description(const boost::json::value& value, std::string path,
                                   std::vector<diagnostic>& diagnostics);
boost::json::value to_json(const task_spec& task);
task_spec read_task_spec(const boost::json::value& value, std::string path,
                         std::vector<diagnostic>& diagnostics);

} // namespace hornbeamrail
