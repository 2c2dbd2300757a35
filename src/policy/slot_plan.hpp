#pragma once

#include "hornbeamrail/fleet_config.hpp"
#include "policy/fleet_demand.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hornbeamrail {

/// One node's part of the slots of a service.
struct slot_plan {
    std::int64_t node_slots = 0; ///< requests that the node may have at executors of the service
    std::int64_t demand = 0;     ///< running and queued at all nodes
    std::map<std::string, double, std::less<>> parts; ///< slots by team with demand at this node
    double weights = 0;                               ///< sum of the shares of teams with demand anywhere
    std::int64_t capacity = 0;

    /// @param share of a team without demand so far
    /// @return part to assume until the next plan: the whole share, as nothing of it is used
    [[nodiscard]] double part_of_newcomer(double share) const;
};

/// Divides the slots of services over teams by weighted max-min fairness, and each team's part over nodes by
/// demand.
///
/// Every node evaluates it over the same heartbeat data. Slots without demand are split half evenly and half
/// by demand, so that a node can start a burst before the next heartbeat; executors refuse what nodes
/// overbook meanwhile.
class slot_planner {
public:
    /// @param fleet must outlive the planner
    /// @param demand of all nodes
    /// @param self the node to plan for
    slot_planner(const fleet_config& fleet, const fleet_demand& demand, incarnation_id self);

    /// @param capacity slots of the service's executors in service
    [[nodiscard]] slot_plan plan(std::string_view service, std::int64_t capacity) const;

    /// @return running and queued units of the service at all nodes
    [[nodiscard]] std::int64_t demand_of(std::string_view service) const;

private:
    struct entry {
        std::uint32_t team = 0; ///< index in the configuration
        std::uint32_t node = 0;
        std::int64_t demand = 0;
    };
    const fleet_config& config;
    std::unordered_map<std::string_view, std::vector<entry>> services; ///< entries with demand
    std::size_t node_count = 1;
    std::size_t own = 0;
};

} // namespace hornbeamrail
