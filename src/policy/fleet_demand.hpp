#pragma once

#include "protocol/log_record.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace hornbeamrail {

/// Units of one team on one service at one node.
struct service_demand {
    /// Empty for units outside any queue: tasks, and units that are retained after a lost answer.
    std::string service;
    std::string team;
    std::int64_t running = 0;                 ///< units that are running or being dispatched
    std::int64_t queued = 0;                  ///< units that are waiting
    std::chrono::milliseconds oldest_wait{0}; ///< waiting time of the oldest queued unit
};

/// Demand of one node as last reported.
struct node_demand {
    incarnation_id incarnation = 0;
    std::vector<service_demand> services; ///< entries without running or queued units may be missing
};

/// Demand of all nodes, including this one.
struct fleet_demand {
    std::vector<node_demand> nodes;
};

} // namespace hornbeamrail
