#pragma once

#include "fakes/history.hpp"
#include "fakes/site_workload.hpp"
#include "protocol/platform.hpp"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace hornbeamrail {

/// A slot of a pool: it may start work within its windows only.
struct static_slot {
    struct window {
        std::chrono::microseconds from{};
        std::chrono::microseconds until = std::chrono::microseconds::max();
    };
    std::vector<window> windows{window{}};
    std::chrono::microseconds free_from{};

    /// @return the earliest time from @p wanted on at which the slot can start work, or the maximum
    [[nodiscard]] std::chrono::microseconds earliest(std::chrono::microseconds wanted) const;
};

/// One request as a queue with fixed slots served it.
struct static_outcome {
    bool done = false;
    std::chrono::microseconds started{}; ///< since the start of the load
    std::chrono::microseconds ended{};
};

struct static_site_options {
    int nodes = 6;               ///< each has its own queue and a fixed part of every pool
    double scale = 1;            ///< slots of each pool, times the configured ones
    bool skips_hopeless = false; ///< never starts what cannot end before its deadline
};

/// Baseline without any control: fixed pools, slots split evenly over the nodes, first in, first out.
/// @param zone_out_from, zone_out_until stretch during which a third of the slots start nothing
std::vector<static_outcome>
run_static_site(const fleet_config& config, const std::vector<site_arrival>& arrivals,
                const static_site_options& options,
                static_slot::window zone_out = {std::chrono::microseconds::max()});

/// What the capacity that was in service allows: one queue per pool without any delay.
/// @param slots by service, in service at the times of their windows
std::vector<static_outcome> run_ideal_site(const std::vector<site_arrival>& arrivals,
                                           std::map<std::string, std::vector<static_slot>> slots);

/// @return the slots in service over time, by service, as a history tells: VMs in the pool, not leaving, not
/// taken
///         out, and not in a zone that is out
std::map<std::string, std::vector<static_slot>> slots_in_service(const std::vector<history_event>& history,
                                                                 boot_time load_start);

} // namespace hornbeamrail
