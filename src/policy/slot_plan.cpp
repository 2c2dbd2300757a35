#include "policy/slot_plan.hpp"

#include "policy/fair_share.hpp"

#include <algorithm>

namespace hornbeamrail {

double slot_plan::newcomer_slot_share(double share) const {
    const double weight = std::max(share, min_share_weight);
    return static_cast<double>(this->capacity) * weight / (this->weights + weight);
}

slot_planner::slot_planner(const fleet_config& fleet, const fleet_demand& demand, incarnation_id self)
    : config(fleet) {
    std::unordered_map<std::string_view, std::uint32_t> teams;
    for (std::uint32_t i = 0; i < this->config.teams.size(); ++i) {
        teams.emplace(this->config.teams[i].name, i);
    }
    for (const auto& service : this->config.services) {
        this->services.emplace(service.name, std::vector<entry>());
    }
    const bool listed = std::any_of(demand.nodes.begin(), demand.nodes.end(),
                                    [&](const auto& node) { return node.incarnation == self; });
    this->node_count = demand.nodes.size() + (listed ? 0 : 1);
    this->own_index = this->node_count - 1;
    for (std::uint32_t n = 0; n < demand.nodes.size(); ++n) {
        const auto& node = demand.nodes[n];
        if (node.incarnation == self) {
            this->own_index = n;
        }
        for (const auto& item : node.services) {
            const auto units = item.running + item.queued;
            const auto team = teams.find(item.team);
            const auto service = this->services.find(item.service);
            if (units > 0 && team != teams.end() && service != this->services.end()) {
                service->second.push_back({.team = team->second, .node = n, .demand = units});
            }
        }
    }
}

std::int64_t slot_planner::demand_of(std::string_view service) const {
    const auto found = this->services.find(service);
    std::int64_t total = 0;
    if (found != this->services.end()) {
        for (const auto& item : found->second) {
            total += item.demand;
        }
    }
    return total;
}

slot_plan slot_planner::plan(std::string_view service, std::int64_t capacity) const {
    slot_plan result{.demand = this->demand_of(service), .capacity = capacity};
    const auto found = this->services.find(service);
    std::vector<double> by_node(this->node_count, 0.0);
    std::vector<std::int64_t> node_demand(this->node_count, 0);
    std::map<std::size_t, std::int64_t> own_units;
    double divided = 0;
    if (found != this->services.end()) {
        std::vector<std::int64_t> totals(this->config.teams.size(), 0);
        for (const auto& item : found->second) {
            totals[item.team] += item.demand;
        }
        std::vector<share_claim> claims;
        std::vector<std::size_t> claimants;
        for (std::size_t t = 0; t < totals.size(); ++t) {
            if (totals[t] == 0) {
                continue;
            }
            // Demand above the upper limit cannot run and must not take slots from other teams.
            const auto& team = this->config.teams[t];
            claims.push_back(
                {.weight = team.share, .demand = static_cast<double>(std::min(totals[t], team.upper_limit))});
            claimants.push_back(t);
            result.weights += std::max(team.share, min_share_weight);
        }
        const auto division = divide_max_min(static_cast<double>(capacity), claims);
        std::vector<double> slots_per_unit(totals.size(), 0.0);
        std::vector<double> entitled_slots(totals.size(), 0.0); // 0 unless the team is below its share
        for (std::size_t i = 0; i < claimants.size(); ++i) {
            const auto t = claimants[i];
            divided += division[i];
            slots_per_unit[t] = division[i] / static_cast<double>(totals[t]);
            const double entitled =
                static_cast<double>(capacity) * std::max(claims[i].weight, min_share_weight) / result.weights;
            if (division[i] >= claims[i].demand && division[i] < entitled) {
                entitled_slots[t] = entitled;
            }
        }
        for (const auto& item : found->second) {
            const double slots = slots_per_unit[item.team] * static_cast<double>(item.demand);
            by_node[item.node] += slots;
            node_demand[item.node] += item.demand;
            if (item.node == this->own_index) {
                result.slot_shares[this->config.teams[item.team].name] += slots;
                own_units[item.team] += item.demand;
            }
        }
        // A team below its share may use the rest of the share at any single node. If its slots were limited
        // to its present demand, or the rest were divided over the nodes, a few urgent requests at one node
        // would wait although the team is within its share.
        for (const auto& [t, units] : own_units) {
            const auto rest = entitled_slots[t] - static_cast<double>(totals[t]);
            auto& slot_share = result.slot_shares[this->config.teams[t].name];
            slot_share = std::max(slot_share, static_cast<double>(units) + rest);
        }
    }
    const double idle = std::max(0.0, static_cast<double>(capacity) - divided);
    const double even = 1.0 / static_cast<double>(this->node_count);
    for (std::size_t n = 0; n < this->node_count; ++n) {
        const double demand_fraction =
            result.demand > 0 ? static_cast<double>(node_demand[n]) / static_cast<double>(result.demand)
                              : even;
        by_node[n] += idle * (even + demand_fraction) / 2;
    }
    // At least one slot, because a node whose share is rounded to 0 would never serve its callers.
    result.node_slots =
        std::max<std::int64_t>(capacity > 0 ? 1 : 0, round_largest_remainder(by_node)[this->own_index]);
    return result;
}

} // namespace hornbeamrail
