#pragma once

#include "fakes/history.hpp"
#include "fakes/site_workload.hpp"
#include "protocol/platform.hpp"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace hornbeamrail {

/// A slot of a pool. It starts work only within its windows.
struct static_slot {
    struct window {
        std::chrono::microseconds from{};
        std::chrono::microseconds until = std::chrono::microseconds::max();
    };
    std::vector<window> windows{window{}};
    std::chrono::microseconds free_from{};

    /// @return the earliest time at or after @p arrival at which the slot can start work, or the maximum
    [[nodiscard]] std::chrono::microseconds earliest(std::chrono::microseconds arrival) const;
};

/// Result of one request in a queue with fixed slots.
struct static_outcome {
    bool done = false;
    std::chrono::microseconds started{}; ///< since the start of the load
    std::chrono::microseconds ended{};
};

struct static_site_options {
    int nodes = 6;                 ///< each has its own queue and a fixed share of every pool
    double scale = 1;              ///< slots of each pool divided by the configured ones
    bool skips_infeasible = false; ///< rejects requests that cannot end before their deadline
};

/// Baseline without any control: fixed pools, slots split evenly over the nodes, FIFO queues.
/// @param zone_out period during which a third of the slots start no work; by default there is none
std::vector<static_outcome>
run_static_site(const fleet_config& config, const std::vector<site_arrival>& arrivals,
                const static_site_options& options,
                static_slot::window zone_out = {std::chrono::microseconds::max()});

/// Idealized baseline for the capacity that was in service, used as an upper bound: one FIFO queue per
/// service without any delay, which rejects requests that cannot end before their deadline.
/// @param slots the slots by service; a slot is in service during its windows
std::vector<static_outcome> run_ideal_site(const std::vector<site_arrival>& arrivals,
                                           std::map<std::string, std::vector<static_slot>> slots);

/// @return the slots in service over time, by service, derived from a history: the VMs that are in the pool,
/// not leaving, not taken out of service and not in a zone that is out of service
std::map<std::string, std::vector<static_slot>> slots_in_service(const std::vector<history_event>& history,
                                                                 boot_time load_start);

} // namespace hornbeamrail
