#pragma once

#include "policy/fleet_demand.hpp"
#include "state/fleet_state.hpp"

#include <cstdint>
#include <vector>

namespace hornbeamrail {

/// Parameters of `plan_grants`.
struct grant_plan_options {
    /// Fraction of a limit that is distributed over the live nodes while no node lacks units. It lets a node
    /// start the first requests of a team without waiting for an append, also during a log outage.
    double standing_fraction = 0.5;
    /// Fraction of a limit (at least 1 unit) that the largest shortage of a node must exceed before others
    /// return unused units, unless a node with demand holds no unit. It prevents appends for small changes of
    /// demand.
    double hysteresis_fraction = 0.01;
    /// Fraction of its demand (at least 1 unit) that a node holds in addition, so that growing demand does
    /// not wait for an append.
    double headroom_fraction = 0.1;
};

/// Compares the demand of all nodes with the grants and decides which units one node acquires or returns.
///
/// Each node evaluates this function over the same heartbeat data and log, so that the nodes agree without
/// further messages. Returned units become free in the fold; the nodes that lack units acquire them in the
/// next round.
/// @param self the node to decide for
/// @param state fleet state folded from the log, with the limits and grants
/// @param demand demand of all nodes
/// @return deltas in units by team for one `grant_delta` record: positive to acquire, negative to return.
/// Teams without a change are omitted. A node never returns units that it is using; empty when @p self is not
/// live.
std::vector<team_units> plan_grants(incarnation_id self, const fleet_state& state, const fleet_demand& demand,
                                    const grant_plan_options& options = {});

} // namespace hornbeamrail
