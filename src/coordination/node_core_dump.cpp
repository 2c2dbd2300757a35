#include "coordination/node_core_impl.hpp"

#include <boost/json/value_from.hpp>

namespace hornbeamrail {

namespace {

boost::json::array dump_nodes(const fleet_state& state) {
    boost::json::array nodes;
    for (const auto& [incarnation, node] : state.nodes()) {
        nodes.push_back({{"incarnation", incarnation},
                         {"node_id", node.node_id},
                         {"peer_address", to_string(node.peer_address)},
                         {"zone", node.zone},
                         {"region", node.region},
                         {"counted", node.counted},
                         {"reclaim_offset", node.reclaim_offset},
                         {"ended", node.ended}});
    }
    return nodes;
}

boost::json::object dump_grants(const fleet_state& state) {
    boost::json::object grants;
    for (const auto& [team, holders] : state.grants()) {
        boost::json::object units;
        for (const auto& [incarnation, held] : holders) {
            units[std::to_string(incarnation)] = held;
        }
        grants[team] = std::move(units);
    }
    return grants;
}

boost::json::array dump_vms(const fleet_state& state) {
    boost::json::array vms;
    for (const auto& [id, info] : state.vms()) {
        vms.push_back({{"vm", to_json(info.vm)},
                       {"out", info.out},
                       {"operation", info.operation == vm_operation::moving        ? "moving"
                                     : info.operation == vm_operation::maintenance ? "maintenance"
                                                                                   : "none"},
                       {"move_to", info.move_to},
                       {"operation_id", info.operation_id},
                       {"last_maintained", info.last_maintained.time_since_epoch().count()}});
    }
    return vms;
}

boost::json::array dump_partitions(const fleet_state& state) {
    boost::json::array partitions;
    for (const auto& partition : state.partitions()) {
        partitions.push_back({{"owner", partition.owner}, {"owned_since", partition.owned_since}});
    }
    return partitions;
}

boost::json::object dump_fold(const fleet_state& state) {
    boost::json::object zones;
    for (const auto& [zone, offset] : state.zones_out()) {
        zones[zone] = offset;
    }
    return {{"next_offset", state.next_offset()},
            {"config_version", state.config_version()},
            {"zones_out", std::move(zones)},
            {"nodes", dump_nodes(state)},
            {"grants", dump_grants(state)},
            {"vms", dump_vms(state)},
            {"partitions", dump_partitions(state)},
            {"planner", {{"incarnation", state.planner().incarnation}, {"epoch", state.planner().epoch}}},
            {"tasks", state.tasks().size()},
            {"last_snapshot_offset", state.last_snapshot_offset()},
            {"undecodable_records", state.undecodable_records()}};
}

} // namespace

boost::json::value node_core::dump(boot_time now) const {
    const auto& core = *this->self;
    const auto age = core.own_freshness.age(now);
    boost::json::array undecodable;
    for (const auto& record : core.log.undecodable()) {
        undecodable.push_back({{"offset", record.offset}, {"reason", record.reason}});
    }
    boost::json::object running;
    for (const auto& [team, units] : core.grants.running()) {
        running[team] = units;
    }
    return {
        {"node_id", core.options.node_id},
        {"zone", core.options.zone},
        {"region", core.options.region},
        {"incarnation", core.own_incarnation},
        {"stopping", core.stopping},
        {"fresh", core.is_fresh(now)},
        {"evidence_age_ms", age ? std::chrono::duration_cast<std::chrono::milliseconds>(*age).count() : -1},
        {"log_answers", core.log_answers(now)},
        {"planner", core.is_planner(now)},
        {"planner_plans", core.vm_planner.dump()},
        {"pauses", core.pauses},
        {"log",
         {{"first_kept", core.log.first_retained()},
          {"head", core.log.head()},
          {"searching_snapshot", core.log.is_searching_snapshot()},
          {"gaps", core.log.gaps()},
          {"damaged_snapshots", core.log.damaged_snapshots()},
          {"set_aside", std::move(undecodable)},
          {"snapshots_written", core.snapshots.written()}}},
        {"append_queue",
         {{"records", core.queue.size()},
          {"calls", core.queue.calls()},
          {"repeats", core.queue.retries()},
          {"outcome_unknown", core.queue.unknown_outcomes()}}},
        {"running_units", std::move(running)},
        {"claims", core.claims.dump()},
        {"members", core.members.dump(now)},
        {"fold", dump_fold(core.fold())}};
}

} // namespace hornbeamrail
