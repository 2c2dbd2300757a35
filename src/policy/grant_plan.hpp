#pragma once

#include "policy/fleet_demand.hpp"
#include "state/fleet_state.hpp"

#include <cstdint>
#include <vector>

namespace hornbeamrail {

struct grant_plan_options {
    /// Part of a limit that is spread over the live nodes while no node is short. It lets a node start the
    /// first requests of a team without waiting for an append, and during a log outage.
    double standing_part = 0.5;
    /// Part of a limit (at least 1 unit) that a node must be short of before others return units that they do
    /// not use. It keeps small swings of demand from causing appends.
    double hysteresis_part = 0.01;
    /// Part of its own demand (at least 1 unit) that a node holds in addition, so that growth does not wait.
    double headroom_part = 0.1;
};

/// Compares the demand of all nodes with the grants and decides what one node should acquire or return.
///
/// Each node evaluates the function over the same heartbeat data and log, so no message is needed to agree.
/// Returned units become free in the fold and the short nodes acquire them in the next round.
/// @param self the deciding node
/// @param state fold that holds limits and grants
/// @param demand what all nodes run and queue
/// @return deltas in units by team for one `grant_delta` record: positive to acquire, negative to return;
/// teams
///         without a change are left out. A returned amount never exceeds what the node holds and does not
///         run.
std::vector<team_units> plan_grants(incarnation_id self, const fleet_state& state, const fleet_demand& demand,
                                    const grant_plan_options& options = {});

} // namespace hornbeamrail
