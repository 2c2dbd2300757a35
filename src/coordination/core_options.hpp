#pragma once

#include "hornbeamrail/node_settings.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace hornbeamrail {

/// Timings of the coordination protocols. All nodes of a fleet must use the same values. The hold-off time is
/// the delay before a dead node is freed, see `reclaimer::hold_off`.
struct core_timings {
    std::chrono::milliseconds fresh_bound{2000}; ///< maximum age of a fresh view; F in the freshness rule
    std::chrono::milliseconds heartbeat_interval{250};
    std::chrono::milliseconds suspect_after{1500}; ///< time without a heartbeat before a node is suspected
    std::chrono::milliseconds reclaim_after{5000}; ///< time without a heartbeat before a node is reclaimed
    std::chrono::milliseconds slot_lease{2000};    ///< of an executor slot; part of the hold-off time
    std::chrono::milliseconds longest_run{30000};  ///< longest deadline that callers may request
    std::chrono::milliseconds task_lease{10000};   ///< lower bound of the hold-off time
    /// Time without a heartbeat before the planner lease is vacant.
    std::chrono::milliseconds planner_timeout{5000};
    std::chrono::milliseconds grant_interval{250}; ///< between two grant plans
    /// Maximum wait of one log read. The age of a view counts from the start of a read, so two reads must fit
    /// into `fresh_bound`.
    std::chrono::milliseconds log_wait{500};
    std::chrono::milliseconds log_retry{200}; ///< delay after a failed log read
    std::chrono::milliseconds peer_timeout{1000};
    std::chrono::milliseconds vm_list_interval{1000}; ///< for lists of up to `vm_list_full_rate` VMs
    std::chrono::minutes claim_horizon{10}; ///< time for which the claim service remembers request ids
    /// A longer gap between two inputs means that the process was paused.
    std::chrono::milliseconds pause_gap{1000};
    /// Factor applied to ages, because the clock rate of each of two VMs may deviate from true time by up to
    /// 1%.
    double clock_inflation = 1.02;
};

/// Sizes and rates of the coordination protocols.
struct core_limits {
    int append_calls_per_second = 7; ///< per node; seven nodes together make fewer than 50
    /// Maximum size of one append call. A single larger record is still appended, in a call of its own.
    std::size_t append_batch_bytes = 1 << 20;
    std::size_t tail_records = 4096;  ///< maximum number of raw records kept for peers
    std::size_t tail_bytes = 2 << 20; ///< maximum size of the raw records kept for peers
    std::int32_t read_records = 1000; ///< maximum number of records of one read
    std::size_t claims = 131072;      ///< maximum number of ids that the claim service remembers
    std::size_t group_nodes = 8; ///< maximum number of nodes in a group that exchanges heartbeats directly
    /// Maximum number of demand entries in one round of heartbeats, over all links.
    std::size_t demand_entries = 40;
    std::size_t snapshot_part_bytes = 192000; ///< before base64 encoding, which grows it to 256 KB
    std::int64_t snapshot_records = 5000;     ///< maximum number of records between two snapshots
    /// Number of VMs above which the list is fetched proportionally less often.
    std::size_t vm_list_full_rate = 200;
};

/// Identity and configuration of one `node_core`.
struct core_options {
    std::string node_id;
    endpoint peer_address;
    std::string zone;
    std::string region;
    std::vector<endpoint> peer_seeds; ///< queried in addition to the nodes that the fold lists
    std::uint64_t seed = 1;           ///< for change ids and random delays; must differ between processes
    /// The driver bound `peer_address` exclusively before it created the core, which proves that an earlier
    /// process of this node has ended.
    bool peer_address_bound = true;
    core_timings timings;
    core_limits limits;
};

} // namespace hornbeamrail
