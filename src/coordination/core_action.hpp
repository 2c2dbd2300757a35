#pragma once

#include "hornbeamrail/node_settings.hpp"
#include "peer_types.h"
#include "protocol/log_record.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace hornbeamrail {

/// Append the records atomically. Answered by `on_append` or `on_append_failed`, exactly once.
struct append_records {
    std::uint64_t batch = 0;
    std::vector<std::string> records;
};

/// Read the log. Answered by `on_log_read` or `on_log_read_failed`, exactly once; at most one is outstanding.
struct read_log {
    log_offset from = 1;
    std::int32_t max_records = 0;
    std::chrono::milliseconds wait{0};
};

/// Fetch the VM list. Answered by `on_vm_list` or `on_vm_list_failed`, exactly once.
struct fetch_vm_list {};

/// Names one request to a peer. An answer that arrives after `on_peer_failed` is ignored by its number.
struct peer_call {
    endpoint peer;
    std::uint64_t number = 0;
};

/// Send a request to a peer. Answered by `on_peer_response` or `on_peer_failed`.
struct send_peer_request {
    peer_call call;
    wire::PeerRequest request;
    std::chrono::milliseconds timeout{0};
};

enum class vm_command { drain, reboot };

/// Call `POST /vms/{id}/drain` or `/reboot` on the platform. Answered by `on_vm_operation`.
struct run_vm_operation {
    std::string vm;
    vm_command command = vm_command::drain;
    std::string operation_id; ///< change id of the record that began the operation
    std::string pool;         ///< pool that the VM joins; empty for maintenance
};

/// Ask the platform for the state of the VM's last operation. Answered by `on_vm_operation`.
struct query_vm_operation {
    std::string vm;
    std::string operation_id;
};

using core_action = std::variant<append_records, read_log, fetch_vm_list, send_peer_request, run_vm_operation,
                                 query_vm_operation>;

/// State of a VM operation as the platform reports it; `failed` when the platform did not answer.
enum class vm_operation_state { draining, rebooting, done, failed };

} // namespace hornbeamrail
