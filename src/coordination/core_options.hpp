#pragma once

#include "hornbeamrail/node_settings.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace hornbeamrail {

/// Times and bounds of the coordination protocols. All nodes of a fleet must use the same values.
struct core_timings {
    std::chrono::milliseconds fresh_bound{2000}; ///< F of the freshness rule
    std::chrono::milliseconds heartbeat_interval{250};
    std::chrono::milliseconds suspect_after{1500};
    std::chrono::milliseconds reclaim_after{5000};
    std::chrono::milliseconds slot_lease{2000};
    std::chrono::milliseconds longest_run{30000}; ///< longest deadline that callers may ask for
    std::chrono::milliseconds task_lease{10000};
    std::chrono::milliseconds planner_silence{5000};
    std::chrono::milliseconds grant_interval{250};
    /// Wait of one log read. Ages count from the start of a read, so two reads fit into `fresh_bound`.
    std::chrono::milliseconds log_wait{500};
    std::chrono::milliseconds log_retry{200}; ///< pause after a failed log read
    std::chrono::milliseconds peer_timeout{1000};
    std::chrono::milliseconds vm_list_interval{1000}; ///< for lists of up to `vm_list_full_rate` VMs
    std::chrono::minutes claim_horizon{10};
    /// A gap between two ticks that is longer than this means that the process was paused.
    std::chrono::milliseconds pause_gap{1000};
    /// Ages are multiplied by this, because clocks of two VMs may run up to 1% apart from true time each.
    double clock_inflation = 1.02;
};

struct core_limits {
    int append_calls_per_second = 7;          ///< per node; seven nodes stay under 50
    std::size_t append_batch_bytes = 1 << 20; ///< records of one append call, at least one record
    std::size_t tail_records = 4096;          ///< raw records kept for peers
    std::size_t tail_bytes = 2 << 20;         ///< raw records kept for peers
    std::int32_t read_records = 1000;         ///< records asked for in one read
    std::size_t claims = 131072;              ///< ids remembered by the claim service
    std::size_t group_nodes = 8;              ///< nodes that exchange heartbeats directly
    std::size_t demand_entries = 40; ///< demand entries of one round of heartbeats, all links together
    std::size_t snapshot_part_bytes = 192000; ///< before base64, which makes it 256 KB
    std::int64_t snapshot_records = 5000;     ///< records between two snapshots
    std::size_t vm_list_full_rate = 200;      ///< larger lists are fetched more rarely in proportion
};

struct core_options {
    std::string node_id;
    endpoint peer_address;
    std::string zone;
    std::string region;
    std::vector<endpoint> peer_seeds; ///< asked for a snapshot before the fold names any node
    std::uint64_t seed = 1;           ///< of change ids and random delays; must differ between processes
    /// The driver has bound `peer_address` exclusively before it made the core, so an earlier process of this
    /// node has ended.
    bool address_taken = true;
    core_timings timings;
    core_limits limits;
};

} // namespace hornbeamrail
