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

/// Slots of a service that one node may use.
struct slot_plan {
    std::int64_t node_slots = 0; ///< requests that the node may run on executors of the service
    std::int64_t demand = 0;     ///< running and queued units at all nodes
    /// Slots of each team with demand at this node, fractional.
    std::map<std::string, double, std::less<>> slot_shares;
    double weights = 0;        ///< sum of the shares of teams with demand at any node
    std::int64_t capacity = 0; ///< slots of the executors in service

    /// Computes the slots of a team that has no demand in this plan.
    /// @param share configured share of the team
    /// @return fractional slots to use until the next plan: the whole share, because none of it is in use
    [[nodiscard]] double newcomer_slot_share(double share) const;
};

/// Divides the slots of services over teams by weighted max-min fairness, and the slots of each team over
/// nodes by demand.
///
/// Every node evaluates it over the same heartbeat data. Slots without demand are divided half evenly and
/// half by demand, so that a node can start a burst before the next heartbeat; executors refuse requests
/// beyond their slots when nodes overbook them in the meantime.
class slot_planner {
public:
    /// @param fleet configuration; must outlive the planner
    /// @param demand demand of all nodes; its strings are not kept
    /// @param self the node to plan for
    slot_planner(const fleet_config& fleet, const fleet_demand& demand, incarnation_id self);

    /// Plans the slots of one service.
    /// @param capacity slots of the service's executors in service
    [[nodiscard]] slot_plan plan(std::string_view service, std::int64_t capacity) const;

    /// @return running and queued units of the service at all nodes
    [[nodiscard]] std::int64_t demand_of(std::string_view service) const;

private:
    /// Demand of one team at one node.
    struct entry {
        std::uint32_t team = 0;  ///< index in the configuration
        std::uint32_t node = 0;  ///< index in the demand of all nodes
        std::int64_t demand = 0; ///< units
    };

    const fleet_config& config;
    std::unordered_map<std::string_view, std::vector<entry>> services; ///< entries with demand
    std::size_t node_count = 1;
    std::size_t own_index = 0; ///< index of the node to plan for
};

} // namespace hornbeamrail
