#pragma once

#include "policy/fleet_demand.hpp"
#include "protocol/platform.hpp"
#include "state/fleet_state.hpp"

#include <boost/json/value.hpp>

#include <chrono>
#include <set>
#include <string>
#include <string_view>

namespace hornbeamrail {

/// Documents of the admin port that the operators' commands read. They contain no key and no key hash.

/// @return ids of VMs in the fold that the platform lists as leaving or no longer lists; empty before the
///         first list
std::set<std::string, std::less<>> vms_not_live(const fleet_state& state, const vm_list& platform);

/// Input of the documents; refers to values that must outlive it.
struct fleet_view {
    const fleet_state& state;
    const vm_list& platform;
    const fleet_demand& demand;
};

/// @return the state of the fleet: services, pools with maintenance forecast, teams, nodes, tasks and zones
///         out
/// @param now wall-clock time, for the maintenance forecast
boost::json::object fleet_document(const fleet_view& view, std::chrono::sys_seconds now);

/// @return {"version","config"}: the fleet configuration in force
boost::json::object config_document(const fleet_state& state);

/// @return [{"key_id","team","revoked"}]
boost::json::array keys_document(const fleet_state& state);

/// Health of the node that creates the alarms.
struct node_health {
    bool registered = false;
    bool fresh = false;       ///< has a fresh view of the fleet
    bool log_answers = false; ///< the platform's log answers this node
};

/// Conditions that need an operator's attention, the most urgent first.
/// @return [{"alarm","subject","message","remedy"}]; docs/OPERATIONS.md explains each
boost::json::array alarms_document(const fleet_view& view, const node_health& health,
                                   std::chrono::sys_seconds now);

/// Predicts the effect of taking @p zone out under the current demand.
/// @return {"zone","defined","already_out","vms","at_risk","services":[...],"teams":[...]}
boost::json::object drill_document(const fleet_view& view, std::string_view zone);

} // namespace hornbeamrail
