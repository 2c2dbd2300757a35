#include "policy/zone_drill.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace hornbeamrail {

namespace {

/// A team is below its share when it loses a larger fraction of the slots.
constexpr double tolerated_share_loss = 0.1;

/// Marks services whose dependencies are at risk, until no more are found. Dependencies in the fleet
/// configuration have no cycles.
void spread_risk(const fleet_config& config, std::vector<service_after_zone_out>& services) {
    const auto find = [&](const std::string& name) {
        return std::find_if(services.begin(), services.end(),
                            [&](const service_after_zone_out& entry) { return entry.service == name; });
    };
    for (bool changed = true; changed;) {
        changed = false;
        for (const auto& service : config.services) {
            const auto entry = find(service.name);
            for (const auto& dependency : service.depends_on) {
                const auto needed = find(dependency);
                if (!entry->at_risk && needed != services.end() && needed->at_risk) {
                    entry->at_risk = true;
                    entry->reason = fmt::format("depends on \"{}\", which is at risk", dependency);
                    changed = true;
                }
            }
        }
    }
}

} // namespace

bool zone_drill_report::any_service_at_risk() const {
    return std::any_of(this->services.begin(), this->services.end(),
                       [](const service_after_zone_out& service) { return service.at_risk; });
}

zone_drill_report drill_zone_out(const fleet_state& state,
                                 const std::set<std::string, std::less<>>& absent_vms,
                                 const pool_demand& demand, std::string_view zone) {
    zone_drill_report report{.zone = std::string(zone), .services = {}, .teams = {}};
    if (state.config().find_zone(zone) == nullptr) {
        return report;
    }
    const auto views = make_pool_views(state, absent_vms);
    std::int64_t total_now = 0;
    std::int64_t total_left = 0;
    for (const auto& service : state.config().services) {
        const auto view = views.find(service.pool);
        if (view == views.end()) {
            continue;
        }
        const auto& serving = view->second.serving;
        const auto in_zone = std::count_if(serving.begin(), serving.end(),
                                           [&](const vm_info* info) { return info->vm.zone == zone; });
        service_after_zone_out entry{.service = service.name,
                                     .slots_now = view->second.serving_slots(),
                                     .slots_left =
                                         view->second.serving_slots() - in_zone * service.slots_per_executor,
                                     .demand = demand.smoothed(service.name),
                                     .reason = {}};
        if (entry.demand > static_cast<double>(entry.slots_left)) {
            entry.at_risk = true;
            entry.reason =
                fmt::format("demand of {:.0f} slots exceeds the {} left", entry.demand, entry.slots_left);
        }
        report.vms_in_zone += in_zone;
        total_now += entry.slots_now;
        total_left += entry.slots_left;
        report.services.push_back(std::move(entry));
    }
    spread_risk(state.config(), report.services);
    for (const auto& team : state.config().teams) {
        const double full_share_now = team.share / 100 * static_cast<double>(total_now);
        const double full_share_left = team.share / 100 * static_cast<double>(total_left);
        report.teams.push_back(
            {.team = team.name,
             .share_slots_now = full_share_now,
             .share_slots_left = full_share_left,
             .below_share = full_share_left < (1 - tolerated_share_loss) * full_share_now});
    }
    return report;
}

} // namespace hornbeamrail
