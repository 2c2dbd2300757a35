#include "policy/slot_plan.hpp"

#include "policy/fair_share.hpp"

#include <algorithm>

namespace hornbeamrail {

double slot_plan::part_of_newcomer(double share) const {
    const double weight = std::max(share, min_share_weight);
    return static_cast<double>(this->capacity) * weight / (this->weights + weight) /
           static_cast<double>(this->nodes);
}

slot_planner::slot_planner(const fleet_config& config, const fleet_demand& demand, incarnation_id self) {
    std::unordered_map<std::string_view, const team_config*> teams;
    for (const auto& team : config.teams) {
        teams.emplace(team.name, &team);
    }
    const bool listed = std::any_of(demand.nodes.begin(), demand.nodes.end(),
                                    [&](const auto& node) { return node.incarnation == self; });
    this->node_count = demand.nodes.size() + (listed ? 0 : 1);
    this->own = this->node_count - 1;
    for (std::size_t n = 0; n < demand.nodes.size(); ++n) {
        const auto& node = demand.nodes[n];
        if (node.incarnation == self) {
            this->own = n;
        }
        for (const auto& entry : node.services) {
            const auto team = teams.find(entry.team);
            if (team == teams.end() || entry.running + entry.queued <= 0) {
                continue;
            }
            auto& item = this->services[entry.service][entry.team];
            item.team = team->second;
            item.by_node.resize(this->node_count);
            item.by_node[n] += entry.running + entry.queued;
            item.total += entry.running + entry.queued;
        }
    }
}

std::int64_t slot_planner::demand_of(std::string_view service) const {
    const auto found = this->services.find(service);
    std::int64_t total = 0;
    if (found != this->services.end()) {
        for (const auto& [name, team] : found->second) {
            total += team.total;
        }
    }
    return total;
}

slot_plan slot_planner::plan(std::string_view service, std::int64_t capacity) const {
    slot_plan result{.capacity = capacity, .nodes = this->node_count};
    const auto found = this->services.find(service);
    std::vector<double> by_node(this->node_count, 0.0);
    std::vector<std::int64_t> node_demand(this->node_count, 0);
    double divided = 0;
    if (found != this->services.end()) {
        std::vector<share_claim> claims;
        for (const auto& [name, team] : found->second) {
            // What is above the upper limit cannot run and must not take slots from others.
            const auto usable = std::min(team.total, team.team->upper_limit);
            claims.push_back({.weight = team.team->share, .demand = static_cast<double>(usable)});
            result.weights += std::max(team.team->share, min_share_weight);
            result.demand += team.total;
        }
        const auto division = divide_max_min(static_cast<double>(capacity), claims);
        std::size_t index = 0;
        for (const auto& [name, team] : found->second) {
            const double part = division[index++];
            divided += part;
            for (std::size_t n = 0; n < this->node_count; ++n) {
                by_node[n] += part * static_cast<double>(team.by_node[n]) / static_cast<double>(team.total);
                node_demand[n] += team.by_node[n];
            }
            if (team.by_node[this->own] > 0) {
                result.parts[name] =
                    part * static_cast<double>(team.by_node[this->own]) / static_cast<double>(team.total);
            }
        }
    }
    const double idle = std::max(0.0, static_cast<double>(capacity) - divided);
    for (std::size_t n = 0; n < this->node_count; ++n) {
        const double even = 1.0 / static_cast<double>(this->node_count);
        const double asked = result.demand > 0
                                 ? static_cast<double>(node_demand[n]) / static_cast<double>(result.demand)
                                 : even;
        by_node[n] += idle * (even + asked) / 2;
    }
    // At least one slot, or a node with a rounded part of none would never serve its callers.
    result.node_slots =
        std::max<std::int64_t>(capacity > 0 ? 1 : 0, round_largest_remainder(by_node)[this->own]);
    return result;
}

} // namespace hornbeamrail
