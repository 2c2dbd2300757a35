#pragma once

#include "policy/pool_demand.hpp"
#include "policy/pool_view.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace hornbeamrail {

/// Weights of the cost that moves reduce, and limits on moves.
///
/// cost = waiting_cost * slots of unmet demand + reserve_cost * missing reserve VMs + buffer_cost * idle VMs,
/// summed over pools and over the horizon, + move_time * buffer_cost * moves. All costs are in VM-seconds.
struct move_options {
    double waiting_cost = 1.0; ///< VM-seconds per second for one slot of unmet demand
    double buffer_cost = 0.05; ///< VM-seconds per second for one idle serving VM
    double reserve_cost = 0.2; ///< VM-seconds per second for one missing reserve VM
    std::int64_t reserve_vms =
        1; ///< per pool, so that requests do not wait when one VM fails or is maintained
    std::chrono::seconds move_time{90}; ///< drain and reboot, during which the VM does not serve
    std::chrono::seconds horizon{300};  ///< time for which the smoothed demand is assumed to last
    double hysteresis = 1.5;            ///< minimum ratio of the saving of a move to its cost
    double target_utilization = 0.8; ///< fraction of a pool's slots that demand may use before requests wait
    std::int64_t max_moves_in_flight = 4; ///< over all pools together
};

/// A VM to be moved.
struct planned_move {
    std::string vm;
    std::string from;
    std::string to;
    double saving = 0; ///< VM-seconds over the horizon, before the cost of the move
};

/// Computes the expected cost of a pool.
/// @param pool only its slots per VM are used
/// @param vms assumed number of serving VMs
/// @param demand_slots demand that is assumed to last over the horizon
/// @return VM-seconds over the horizon
double pool_cost(const pool_view& pool, std::int64_t vms, double demand_slots, const move_options& options);

/// Chooses moves greedily by saving, until no move saves enough.
/// @param state fleet state folded from the log
/// @param absent_vms VMs that the platform lists as leaving or no longer lists
/// @param demand smoothed demand per service
/// @param options weights and limits
/// @return the moves in the order of the choice. VMs in an operation are not chosen, no pool falls below its
/// `min_vms`, and no pool releases VMs before the demand for its service has settled.
std::vector<planned_move> plan_moves(const fleet_state& state,
                                     const std::set<std::string, std::less<>>& absent_vms,
                                     const pool_demand& demand, const move_options& options);

} // namespace hornbeamrail
