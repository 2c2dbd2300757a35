#pragma once

#include "coordination/planner.hpp"
#include "hornbeamrail/node_settings.hpp"
#include "peer_types.h"
#include "protocol/log_record.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace hornbeamrail {

/// Appends the records atomically. Answered exactly once, by `on_append` or `on_append_failed`.
struct append_records {
    std::uint64_t batch = 0;
    std::vector<std::string> records;
};

/// Reads the log. Answered exactly once, by `on_log_read` or `on_log_read_failed`. At most one read is
/// outstanding.
struct read_log {
    log_offset from = 1;
    std::int32_t max_records = 0;
    std::chrono::milliseconds wait{0}; ///< maximum wait of the log for new records
};

/// Fetches the VM list. Answered exactly once, by `on_vm_list` or `on_vm_list_failed`.
struct fetch_vm_list {};

/// Identifies one request to a peer. A response whose number was already reported to `on_peer_failed` is
/// ignored.
struct peer_call {
    endpoint peer;
    std::uint64_t number = 0;
};

/// Sends a request to a peer. Answered by `on_peer_response` or `on_peer_failed`.
struct send_peer_request {
    peer_call call;
    wire::PeerRequest request;
    std::chrono::milliseconds timeout{0};
};

/// An action for the driver. `vm_call` requests a VM operation from the platform and is answered by
/// `on_vm_call_answer`.
using core_action = std::variant<append_records, read_log, fetch_vm_list, send_peer_request, vm_call>;

} // namespace hornbeamrail
