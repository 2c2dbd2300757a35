#pragma once

#include "policy/pool_demand.hpp"
#include "policy/pool_view.hpp"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace hornbeamrail {

struct maintenance_options {
    std::chrono::hours lead{24};       ///< how long before its due time a VM may be maintained
    std::chrono::minutes duration{10}; ///< drain, reboot and return of one VM
    double budget_reserve = 0.2;       ///< a service with a smaller part of its budget left is not touched
    double down_part = 0.1;            ///< a pool with a larger part not serving for other reasons is paused
    double target_utilization = 0.8;   ///< as in `move_options`
    std::int64_t max_per_pool = 1'000'000; ///< extra bound for tests
};

/// What the maintenance plan needs besides the fold.
struct maintenance_input {
    const fleet_state& state;
    const std::set<std::string, std::less<>>& not_live;
    const pool_demand& demand;
    /// Part of the availability budget left per service, 1: untouched, 0 or less: spent. Missing counts as 1.
    const std::map<std::string, double, std::less<>>& budget_left;
    std::chrono::sys_seconds now;
};

/// Why a pool starts no maintenance now.
struct maintenance_hold {
    std::string pool;
    std::string reason;
};

struct maintenance_wave {
    std::vector<std::string> start; ///< VMs whose maintenance begins now, most overdue first
    std::vector<maintenance_hold> holds;
};

/// Plans the next wave.
///
/// A pool is paused while a zone is out, while too many of its VMs are down, or while the budget of its
/// service, or of a service that depends on it, is nearly spent. In one pool only VMs of one rack are away at
/// a time, and never more than the fleet text's `max_parallel_part` or than demand leaves.
/// @return the VMs to begin with and the reason for each pool that is held back
maintenance_wave plan_maintenance(const maintenance_input& input, const maintenance_options& options);

/// When a pool will have maintained every VM.
struct maintenance_forecast {
    std::string pool;
    std::int64_t due = 0;         ///< VMs not maintained within the last period
    std::chrono::hours needed{0}; ///< time to maintain them at the pool's allowed pace
    double days_late = 0; ///< days past the earliest due time by which the pool will finish; 0: in time
};

/// @return one forecast per pool, in the order of the fleet text
std::vector<maintenance_forecast> forecast_maintenance(const maintenance_input& input,
                                                       const maintenance_options& options);

} // namespace hornbeamrail
