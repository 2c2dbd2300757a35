#pragma once

#include "policy/pool_demand.hpp"
#include "policy/pool_view.hpp"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace hornbeamrail {

/// Parameters of the maintenance plan.
struct maintenance_options {
    std::chrono::hours lead{24};       ///< a VM may be maintained this long before its due time
    std::chrono::minutes duration{10}; ///< drain, reboot and return to service of one VM
    /// No maintenance while a service has a smaller fraction of its availability budget left.
    double budget_reserve = 0.2;
    /// No maintenance in a pool while a larger fraction of its VMs is down for other reasons.
    double max_down_fraction = 0.1;
    double target_utilization = 0.8;       ///< as in `move_options`
    std::int64_t max_per_pool = 1'000'000; ///< additional limit on VMs in maintenance, for tests
};

/// Inputs of the maintenance plan. The referenced objects must outlive it.
struct maintenance_input {
    const fleet_state& state;
    /// VMs that the platform lists as leaving or no longer lists.
    const std::set<std::string, std::less<>>& absent_vms;
    const pool_demand& demand;
    /// Remaining fraction of the availability budget by service: 1 when unused, 0 or less when used up. A
    /// missing service counts as 1.
    const std::map<std::string, double, std::less<>>& budget_left;
    std::chrono::sys_seconds now;
};

/// A pool that starts no maintenance now, and the reason.
struct maintenance_hold {
    std::string pool;
    std::string reason;
};

/// Maintenance to start now.
struct maintenance_wave {
    std::vector<std::string> start; ///< VMs whose maintenance starts now, by pool, then most overdue first
    std::vector<maintenance_hold> holds;
};

/// Plans the next wave of maintenance.
///
/// A pool is paused while any zone is out, while too many of its VMs are down, or while the availability
/// budget of its service, or of a service that depends on it, is nearly used up. In one pool only VMs of one
/// rack are in maintenance at a time. Their number is limited by `max_parallel_part` of the fleet
/// configuration, with a minimum of 1 VM per pool, and by the VMs that demand requires.
/// @return the VMs to start with, and the reason for each pool with due VMs that is paused
maintenance_wave plan_maintenance(const maintenance_input& input, const maintenance_options& options);

/// Forecast of when all VMs of a pool will have been maintained.
struct maintenance_forecast {
    std::string pool;
    std::int64_t due = 0;         ///< VMs that are due within `maintenance_options::lead`
    std::chrono::hours needed{0}; ///< time to maintain them at the allowed rate, rounded up
    double days_late = 0;         ///< days from the earliest due time to the end; 0 when in time
};

/// Forecasts the maintenance of all pools.
/// @return one forecast per pool, in the order of the fleet configuration
std::vector<maintenance_forecast> forecast_maintenance(const maintenance_input& input,
                                                       const maintenance_options& options);

} // namespace hornbeamrail
