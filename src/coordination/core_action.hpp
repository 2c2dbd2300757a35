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

/// `vm_call` asks the platform for a VM operation and is answered by `on_vm_call_answer`.
using core_action = std::variant<append_records, read_log, fetch_vm_list, send_peer_request, vm_call>;

} // namespace hornbeamrail
