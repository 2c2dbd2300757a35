#pragma once

#include "protocol/log_record.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace hornbeamrail {

/// Units of one team on one service at one node.
struct service_demand {
    std::string
        service; ///< empty for units outside any queue: tasks, and units held back after a lost answer
    std::string team;
    std::int64_t running = 0; ///< units running or being dispatched
    std::int64_t queued = 0;  ///< units waiting
    std::chrono::milliseconds oldest_wait{0};
};

/// Demand of one node as last heard.
struct node_demand {
    incarnation_id incarnation = 0;
    std::vector<service_demand> services; ///< entries without running or queued units may be left out
};

/// What all nodes run and queue, this node included.
struct fleet_demand {
    std::vector<node_demand> nodes;
};

} // namespace hornbeamrail
