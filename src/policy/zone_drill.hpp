#pragma once

#include "policy/pool_demand.hpp"
#include "policy/pool_view.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail {

/// Effect on one service of taking a zone out.
struct service_after_zone_out {
    std::string service;
    std::int64_t slots_now = 0;  ///< slots that serve now
    std::int64_t slots_left = 0; ///< slots that serve without the zone
    double demand = 0;           ///< smoothed, in slots
    bool at_risk = false;        ///< demand exceeds `slots_left`, or a service it depends on is at risk
    std::string reason;          ///< empty unless at risk
};

/// Effect on one team of taking a zone out.
struct team_after_zone_out {
    std::string team;
    double share_slots_now = 0;  ///< slots of its share when all slots are in demand
    double share_slots_left = 0; ///< the same without the zone
    bool below_share = false;    ///< the slots of its share decrease by more than a tenth
};

/// Expected effect of taking a zone out.
struct zone_drill_report {
    std::string zone;
    std::int64_t vms_in_zone = 0; ///< VMs of the zone that serve
    std::vector<service_after_zone_out> services;
    std::vector<team_after_zone_out> teams;

    [[nodiscard]] bool any_service_at_risk() const;
};

/// Computes the effect of taking @p zone out, in addition to the zones that are already out.
/// @param absent_vms VMs that the platform lists as leaving or no longer lists
/// @param demand smoothed demand per service
/// @return the report; its lists are empty when the zone is not defined
zone_drill_report drill_zone_out(const fleet_state& state,
                                 const std::set<std::string, std::less<>>& absent_vms,
                                 const pool_demand& demand, std::string_view zone);

} // namespace hornbeamrail
