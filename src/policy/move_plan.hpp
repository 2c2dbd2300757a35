#pragma once

#include "policy/pool_demand.hpp"
#include "policy/pool_view.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace hornbeamrail {

/// Weights of the cost that moves reduce, and the bounds on moves.
///
/// cost = waiting_cost * slots of demand above capacity + buffer_cost * idle VMs, summed over pools and over
/// the horizon, + move_cost * moves. All costs are in VM-seconds.
struct move_options {
    double waiting_cost = 1.0;    ///< VM-seconds for one slot of unmet demand for one second
    double buffer_cost = 0.05;    ///< VM-seconds for one idle serving VM for one second
    double reserve_cost = 0.2;    ///< VM-seconds for one missing reserve VM for one second
    std::int64_t reserve_vms = 1; ///< per pool, so that one VM can fail or be maintained without waiting
    std::chrono::seconds move_time{90}; ///< drain and reboot: the VM serves nobody meanwhile
    std::chrono::seconds horizon{300};  ///< how long smoothed demand is assumed to last
    double hysteresis = 1.5;            ///< a move must save this many times its cost
    double target_utilization = 0.8;    ///< part of a pool's slots that demand may fill before requests wait
    std::int64_t max_moves_in_flight = 4; ///< over all pools
};

/// A VM to be moved.
struct planned_move {
    std::string vm;
    std::string from;
    std::string to;
    double saving = 0; ///< VM-seconds over the horizon, after the cost of the move
};

/// Expected cost of a pool with the given number of serving VMs.
/// @param pool the pool; only its service and VM size count
/// @param vms VMs to reckon with
/// @param demand_slots demand that is assumed to last over the horizon
/// @return VM-seconds over the horizon
double pool_cost(const pool_view& pool, std::int64_t vms, double demand_slots, const move_options& options);

/// Chooses moves greedily by saving until none pays.
/// @param state the fold
/// @param not_live VMs that the platform lists as leaving or no longer lists
/// @param demand smoothed demand per service
/// @param options weights and bounds
/// @return the moves, largest saving first; a VM in an operation is never chosen and no pool falls below
/// `min_vms`
std::vector<planned_move> plan_moves(const fleet_state& state,
                                     const std::set<std::string, std::less<>>& not_live,
                                     const pool_demand& demand, const move_options& options);

} // namespace hornbeamrail
