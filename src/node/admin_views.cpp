#include "node/admin_views.hpp"

#include "policy/maintenance_plan.hpp"
#include "policy/pool_view.hpp"
#include "policy/zone_drill.hpp"

#include <boost/json/array.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <utility>

namespace hornbeamrail {

namespace {

struct load {
    std::int64_t running = 0;
    std::int64_t queued = 0;
    std::chrono::milliseconds oldest_wait{0};

    void add(const service_demand& entry) {
        this->running += entry.running;
        this->queued += entry.queued;
        this->oldest_wait = std::max(this->oldest_wait, entry.oldest_wait);
    }
};

using load_map = std::map<std::string, load, std::less<>>;

load_map load_by(const fleet_demand& demand, std::string service_demand::*name) {
    load_map loads;
    for (const auto& node : demand.nodes) {
        for (const auto& entry : node.services) {
            loads[entry.*name].add(entry);
        }
    }
    return loads;
}

pool_demand current_demand(const fleet_demand& demand) {
    pool_demand sample;
    for (const auto& [service, total] : load_by(demand, &service_demand::service)) {
        sample.add_sample(service, static_cast<double>(total.running + total.queued), boot_time{});
    }
    return sample;
}

boost::json::array services_of(const fleet_view& view,
                               const std::map<std::string, pool_view, std::less<>>& pools) {
    const auto loads = load_by(view.demand, &service_demand::service);
    boost::json::array services;
    for (const auto& service : view.state.config().services) {
        const auto found = loads.find(service.name);
        const auto total = found == loads.end() ? load{} : found->second;
        const auto pool = pools.find(service.pool);
        services.push_back({{"service", service.name},
                            {"pool", service.pool},
                            {"slots", pool == pools.end() ? 0 : pool->second.serving_slots()},
                            {"running", total.running},
                            {"queued", total.queued},
                            {"oldest_wait_ms", total.oldest_wait.count()}});
    }
    return services;
}

boost::json::array teams_of(const fleet_view& view) {
    const auto loads = load_by(view.demand, &service_demand::team);
    boost::json::array teams;
    for (const auto& team : view.state.config().teams) {
        const auto found = loads.find(team.name);
        const auto total = found == loads.end() ? load{} : found->second;
        teams.push_back({{"team", team.name},
                         {"share", team.share},
                         {"upper_limit", team.upper_limit},
                         {"granted", view.state.granted_units(team.name)},
                         {"running", total.running},
                         {"queued", total.queued}});
    }
    return teams;
}

boost::json::array pools_of(const fleet_view& view,
                            const std::map<std::string, pool_view, std::less<>>& pools,
                            const std::set<std::string, std::less<>>& not_live,
                            std::chrono::sys_seconds now) {
    const auto demand = current_demand(view.demand);
    const std::map<std::string, double, std::less<>> budgets;
    const auto forecasts = forecast_maintenance(
        {.state = view.state, .absent_vms = not_live, .demand = demand, .budget_left = budgets, .now = now},
        {});
    boost::json::array array;
    for (const auto& forecast : forecasts) {
        const auto& pool = pools.at(forecast.pool);
        const auto count = [&](auto matches) {
            return std::count_if(pool.vms.begin(), pool.vms.end(), matches);
        };
        array.push_back(
            {{"pool", pool.pool},
             {"service", pool.service},
             {"planned_vms", view.state.config().find_pool(pool.pool)->vms},
             {"vms", pool.vms.size()},
             {"serving", pool.serving.size()},
             {"out", count([](const vm_info* info) { return info->out; })},
             {"moving", count([](const vm_info* info) { return info->operation == vm_operation::moving; })},
             {"maintenance",
              count([](const vm_info* info) { return info->operation == vm_operation::maintenance; })},
             {"arriving", pool.arriving},
             {"maintenance_due", forecast.due},
             {"maintenance_hours", forecast.needed.count()},
             {"maintenance_days_late", forecast.days_late}});
    }
    return array;
}

boost::json::array nodes_of(const fleet_state& state) {
    boost::json::array nodes;
    for (const auto& [incarnation, node] : state.nodes()) {
        nodes.push_back({{"node_id", node.node_id},
                         {"incarnation", incarnation},
                         {"zone", node.zone},
                         {"region", node.region},
                         {"counted", node.counted},
                         {"live", node.live()}});
    }
    return nodes;
}

class alarm_list {
public:
    void add(std::string_view alarm, std::string_view subject, std::string_view message,
             std::string_view remedy) {
        this->alarms.push_back(
            {{"alarm", alarm}, {"subject", subject}, {"message", message}, {"remedy", remedy}});
    }

    boost::json::array alarms;
};

void add_node_alarms(alarm_list& list, const fleet_view& view, const node_health& health) {
    if (!health.registered) {
        list.add("not_registered", "this node", "the node is not part of the fleet and serves no requests",
                 "wait a few seconds; if it persists, check the log service and the node's settings");
    } else if (!health.fresh) {
        list.add("not_fresh", "this node", "the node has no fresh view and starts no work",
                 "check its links to the log service and to the other entry nodes");
    }
    if (!health.log_answers) {
        list.add("log_out", "log service", "the log does not answer this node; no change is accepted",
                 "have the platform's log restored; requests are still served");
    }
    std::map<std::string, std::pair<std::size_t, std::size_t>> regions; // live and total counted nodes
    for (const auto& [incarnation, node] : view.state.nodes()) {
        if (node.counted) {
            auto& [live, all] = regions[node.region];
            ++all;
            live += node.live() ? 1 : 0;
        }
    }
    for (const auto& [region, counts] : regions) {
        if (2 * (counts.first - 1) <= counts.second && counts.second > 1) {
            list.add("majority_at_risk", region,
                     fmt::format("{} of {} counted nodes live; the loss of one more stops changes",
                                 counts.first, counts.second),
                     "start or replace entry nodes of this region");
        }
    }
    if (view.state.undecodable_records() > 0) {
        list.add("records_set_aside", "log",
                 fmt::format("{} records could not be read", view.state.undecodable_records()),
                 "see set_aside in the output of dump; upgrade the nodes if a newer binary wrote them");
    }
}

void add_fleet_alarms(alarm_list& list, const boost::json::object& fleet, const fleet_config& config) {
    for (const auto& zone : fleet.at("zones_out").as_array()) {
        list.add("zone_out", zone.at("zone").as_string(), "operators have taken the zone out",
                 "return it to service with the command zone in when it is healthy again");
    }
    for (const auto& pool : fleet.at("pools").as_array()) {
        const std::string_view name = pool.at("pool").as_string();
        const auto serving = pool.at("serving").to_number<std::int64_t>();
        const auto min_vms_of_pool = config.find_pool(name)->min_vms;
        if (serving < min_vms_of_pool) {
            list.add("pool_short", name, fmt::format("{} VMs serve, min_vms is {}", serving, min_vms_of_pool),
                     "see pool list for VMs that are out, moving or in maintenance");
        }
        if (pool.at("maintenance_days_late").to_number<double>() > 0) {
            list.add("maintenance_late", name,
                     fmt::format("the last VM will be {:.1f} days late",
                                 pool.at("maintenance_days_late").to_number<double>()),
                     "raise max_parallel_part or add VMs to the pool");
        }
    }
    for (const auto& service : fleet.at("services").as_array()) {
        const auto slots = service.at("slots").to_number<std::int64_t>();
        const auto queued = service.at("queued").to_number<std::int64_t>();
        if (queued > slots) {
            list.add("service_full", service.at("service").as_string(),
                     fmt::format("{} units wait for {} slots", queued, slots),
                     "add VMs to its pool, or wait if the demand is a burst");
        }
    }
    for (const auto& team : fleet.at("teams").as_array()) {
        const auto limit = team.at("upper_limit").to_number<std::int64_t>();
        const auto running = team.at("running").to_number<std::int64_t>();
        if (running >= limit && team.at("queued").to_number<std::int64_t>() > 0) {
            list.add("team_at_limit", team.at("team").as_string(),
                     fmt::format("{} units run, the upper limit is {}", running, limit),
                     "raise upper_limit with the command apply if the fleet has spare capacity");
        }
    }
}

boost::json::object tasks_of(const fleet_state& state) {
    boost::json::object counts;
    for (const auto& [id, task] : state.tasks()) {
        auto& count = counts[to_string(task.phase)];
        count = count.is_int64() ? count.get_int64() + 1 : 1;
    }
    return counts;
}

} // namespace

std::set<std::string, std::less<>> vms_not_live(const fleet_state& state, const vm_list& platform) {
    std::set<std::string, std::less<>> missing;
    if (platform.vms.empty()) {
        return missing;
    }
    for (const auto& [id, info] : state.vms()) {
        missing.insert(id);
    }
    for (const auto& listing : platform.vms) {
        if (listing.state == vm_state::live) {
            missing.erase(listing.vm.id);
        }
    }
    return missing;
}

boost::json::object fleet_document(const fleet_view& view, std::chrono::sys_seconds now) {
    const auto not_live = vms_not_live(view.state, view.platform);
    const auto pools = make_pool_views(view.state, not_live);
    boost::json::array zones_out;
    for (const auto& [zone, offset] : view.state.zones_out()) {
        zones_out.push_back({{"zone", zone}, {"offset", offset}});
    }
    return {{"site", view.state.config().site},
            {"config_version", view.state.config_version()},
            {"next_offset", view.state.next_offset()},
            {"zones_out", std::move(zones_out)},
            {"services", services_of(view, pools)},
            {"pools", pools_of(view, pools, not_live, now)},
            {"teams", teams_of(view)},
            {"nodes", nodes_of(view.state)},
            {"tasks", tasks_of(view.state)}};
}

boost::json::array alarms_document(const fleet_view& view, const node_health& health,
                                   std::chrono::sys_seconds now) {
    alarm_list list;
    add_node_alarms(list, view, health);
    add_fleet_alarms(list, fleet_document(view, now), view.state.config());
    return std::move(list.alarms);
}

boost::json::object config_document(const fleet_state& state) {
    return {{"version", state.config_version()}, {"config", to_json(state.config())}};
}

boost::json::array keys_document(const fleet_state& state) {
    boost::json::array keys;
    for (const auto& [hash, key] : state.keys()) {
        keys.push_back({{"key_id", key.key_id}, {"team", key.team}, {"revoked", key.revoked}});
    }
    return keys;
}

boost::json::object drill_document(const fleet_view& view, std::string_view zone) {
    const auto report = drill_zone_out(view.state, vms_not_live(view.state, view.platform),
                                       current_demand(view.demand), zone);
    boost::json::array services;
    for (const auto& entry : report.services) {
        services.push_back({{"service", entry.service},
                            {"slots_now", entry.slots_now},
                            {"slots_left", entry.slots_left},
                            {"demand", entry.demand},
                            {"at_risk", entry.at_risk},
                            {"reason", entry.reason}});
    }
    boost::json::array teams;
    for (const auto& entry : report.teams) {
        teams.push_back({{"team", entry.team},
                         {"share_slots_now", entry.share_slots_now},
                         {"share_slots_left", entry.share_slots_left},
                         {"below_share", entry.below_share}});
    }
    return {{"zone", zone},
            {"defined", view.state.config().find_zone(zone) != nullptr},
            {"already_out", view.state.zone_is_out(zone)},
            {"vms", report.vms_in_zone},
            {"at_risk", report.any_service_at_risk()},
            {"services", std::move(services)},
            {"teams", std::move(teams)}};
}

} // namespace hornbeamrail
