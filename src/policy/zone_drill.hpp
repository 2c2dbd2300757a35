#pragma once

#include "policy/pool_demand.hpp"
#include "policy/pool_view.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail {

struct service_after_zone_out {
    std::string service;
    std::int64_t slots_now = 0;
    std::int64_t slots_left = 0;
    double demand = 0;    ///< smoothed, in slots
    bool at_risk = false; ///< demand exceeds what is left, or a service it depends on is at risk
    std::string reason;
};

struct team_after_zone_out {
    std::string team;
    double share_slots_now = 0; ///< slots that its share gives when everything is full
    double share_slots_left = 0;
    bool below_share = false; ///< what its share gives falls by more than a tenth
};

/// What taking a zone out would do.
struct zone_drill_report {
    std::string zone;
    std::int64_t vms_in_zone = 0;
    std::vector<service_after_zone_out> services;
    std::vector<team_after_zone_out> teams;

    [[nodiscard]] bool any_service_at_risk() const;
};

/// Works out the effect of taking @p zone out on top of the zones that are out already.
/// @return the report; empty service list when the zone is not defined
zone_drill_report drill_zone_out(const fleet_state& state, const std::set<std::string, std::less<>>& not_live,
                                 const pool_demand& demand, std::string_view zone);

} // namespace hornbeamrail
