#include "policy/grant_plan.hpp"

#include "policy/fair_share.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <unordered_map>

namespace hornbeamrail {

namespace {

/// Demand and grant of one team at one node, in units.
struct node_use {
    incarnation_id node = 0;
    std::int64_t running = 0;
    std::int64_t queued = 0;
    std::int64_t oldest_wait_ms = 0;
    std::int64_t granted = 0;
    std::int64_t target = 0; ///< units that the node should hold

    [[nodiscard]] std::int64_t demand() const { return this->running + this->queued; }
};

using team_use = std::vector<node_use>;

/// @return demand by team, each list in the order of the nodes. The keys view strings of @p demand.
std::unordered_map<std::string_view, team_use> collect_by_team(const fleet_demand& demand) {
    std::unordered_map<std::string_view, team_use> teams;
    for (const auto& node : demand.nodes) {
        for (const auto& entry : node.services) {
            auto& uses = teams[entry.team];
            if (uses.empty() || uses.back().node != node.incarnation) {
                uses.push_back({.node = node.incarnation});
            }
            auto& use = uses.back();
            use.running += entry.running;
            use.queued += entry.queued;
            use.oldest_wait_ms =
                std::max<std::int64_t>(use.oldest_wait_ms, entry.queued > 0 ? entry.oldest_wait.count() : 0);
        }
    }
    return teams;
}

/// Merges the grants of a team with its demand.
/// @param live incarnations of live nodes, ascending
/// @return one entry per live node with demand or a grant, and one for @p self
team_use merge_grants(team_use uses, const std::map<incarnation_id, std::int64_t>* grants,
                      const std::vector<incarnation_id>& live, incarnation_id self) {
    const auto by_node = [](const node_use& a, const node_use& b) {
        return a.node < b.node;
    };
    std::sort(uses.begin(), uses.end(), by_node);
    const auto demand_count = uses.size();
    const auto find_or_add = [&](incarnation_id node) -> node_use& {
        const auto end = uses.begin() + static_cast<std::ptrdiff_t>(demand_count);
        const auto found = std::lower_bound(uses.begin(), end, node_use{.node = node}, by_node);
        if (found != end && found->node == node) {
            return *found;
        }
        uses.push_back({.node = node});
        return uses.back();
    };
    bool self_added = false;
    if (grants != nullptr) {
        for (const auto& [node, units] : *grants) {
            find_or_add(node).granted = units;
            self_added = self_added || node == self;
        }
    }
    if (!self_added) {
        find_or_add(self);
    }
    std::erase_if(uses,
                  [&](const auto& use) { return !std::binary_search(live.begin(), live.end(), use.node); });
    std::sort(uses.begin(), uses.end(), by_node);
    return uses;
}

/// Sets the target of each node: the limit in proportion to demand, with at least 1 unit for a node with
/// demand. When there are fewer units than nodes with demand, the nodes whose requests have waited longest go
/// first, so that the units rotate between the nodes.
void set_targets(team_use& nodes, std::int64_t limit) {
    std::vector<std::size_t> with_demand;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        nodes[i].target = 0;
        if (nodes[i].demand() > 0) {
            with_demand.push_back(i);
        }
    }
    if (static_cast<std::int64_t>(with_demand.size()) >= limit) {
        std::sort(with_demand.begin(), with_demand.end(), [&](std::size_t a, std::size_t b) {
            return nodes[a].oldest_wait_ms != nodes[b].oldest_wait_ms
                       ? nodes[a].oldest_wait_ms > nodes[b].oldest_wait_ms
                       : nodes[a].node < nodes[b].node;
        });
        for (std::int64_t i = 0; i < limit; ++i) {
            nodes[with_demand[static_cast<std::size_t>(i)]].target = 1;
        }
        return;
    }
    std::vector<std::int64_t> demand;
    for (const auto i : with_demand) {
        demand.push_back(nodes[i].demand());
    }
    // One unit for each node with demand, the rest in proportion to demand.
    const auto rest = split_by_demand(limit - static_cast<std::int64_t>(with_demand.size()), demand);
    for (std::size_t n = 0; n < with_demand.size(); ++n) {
        nodes[with_demand[n]].target = 1 + rest[n];
    }
}

/// Decides the grant delta of one node for one team.
class team_plan {
public:
    team_plan(team_use uses, std::size_t live, std::int64_t upper_limit, std::int64_t granted_by_all,
              const grant_plan_options& plan_options)
        : nodes(std::move(uses)), live_nodes(live), limit(upper_limit), free(upper_limit - granted_by_all),
          options(plan_options) {
        set_targets(this->nodes, this->limit);
    }

    /// @return units that the node acquires, negative for units that it returns
    [[nodiscard]] std::int64_t delta_of(incarnation_id self) const {
        const auto own = std::find_if(this->nodes.begin(), this->nodes.end(),
                                      [&](const auto& use) { return use.node == self; });
        if (own == this->nodes.end()) {
            return 0;
        }
        std::int64_t short_units = 0;
        std::int64_t largest_shortage = 0;
        for (const auto& use : this->nodes) {
            short_units += this->shortage(use);
            largest_shortage = std::max(largest_shortage, this->shortage(use));
        }
        if (const auto missing = this->shortage(*own); missing > 0) {
            return this->units_to_acquire(missing, short_units);
        }
        if (short_units > 0) {
            return -this->units_to_return(*own, short_units, largest_shortage);
        }
        return this->units_to_standing_grant(*own);
    }

private:
    /// @return @p fraction of @p total, at least 1
    [[nodiscard]] std::int64_t fraction_of(double fraction, std::int64_t total) const {
        return std::max<std::int64_t>(1, std::llround(fraction * static_cast<double>(total)));
    }

    /// @return units that the node could use immediately and does not hold
    [[nodiscard]] std::int64_t shortage(const node_use& use) const {
        if (use.demand() == 0) {
            return 0;
        }
        const auto demand_with_headroom =
            use.demand() + this->fraction_of(this->options.headroom_fraction, use.demand());
        return std::max<std::int64_t>(0, std::min(use.target, demand_with_headroom) - use.granted);
    }

    /// @param missing units that this node lacks
    /// @param short_units units that all nodes lack together
    [[nodiscard]] std::int64_t units_to_acquire(std::int64_t missing, std::int64_t short_units) const {
        if (this->free <= 0) {
            return 0;
        }
        if (this->free >= short_units) {
            return missing;
        }
        // Rounded up, so that no unit stays free. The fold limits each acquisition to the units that are
        // still free.
        return std::min(missing, (this->free * missing + short_units - 1) / short_units);
    }

    /// @param short_units units that all nodes lack together
    /// @param largest_shortage units that the node with the largest shortage lacks
    [[nodiscard]] std::int64_t units_to_return(const node_use& own, std::int64_t short_units,
                                               std::int64_t largest_shortage) const {
        const auto needed = short_units - this->free;
        const auto surplus = std::max<std::int64_t>(0, own.granted - std::max(own.target, own.running));
        if (needed <= 0 || surplus <= 0) {
            return 0;
        }
        const bool has_starving_node =
            std::any_of(this->nodes.begin(), this->nodes.end(),
                        [&](const auto& use) { return use.granted == 0 && this->shortage(use) > 0; });
        if (!has_starving_node &&
            largest_shortage <= this->fraction_of(this->options.hysteresis_fraction, this->limit)) {
            return 0;
        }
        std::int64_t all_surplus = 0;
        for (const auto& use : this->nodes) {
            all_surplus += std::max<std::int64_t>(0, use.granted - std::max(use.target, use.running));
        }
        if (needed >= all_surplus) {
            return surplus;
        }
        return std::min(surplus, (needed * surplus + all_surplus - 1) / all_surplus);
    }

    /// @return units to acquire up to the even share of the standing fraction, while no node lacks units
    [[nodiscard]] std::int64_t units_to_standing_grant(const node_use& own) const {
        const auto standing_grant =
            static_cast<std::int64_t>(this->options.standing_fraction * static_cast<double>(this->limit) /
                                      static_cast<double>(this->live_nodes));
        return std::min(this->free, std::max<std::int64_t>(0, standing_grant - own.granted));
    }

    team_use nodes;
    std::size_t live_nodes;
    std::int64_t limit; ///< upper limit of the team
    std::int64_t free;  ///< units of the limit that no node holds
    const grant_plan_options& options;
};

} // namespace

std::vector<team_units> plan_grants(incarnation_id self, const fleet_state& state, const fleet_demand& demand,
                                    const grant_plan_options& options) {
    const auto* own = state.find_node(self);
    if (own == nullptr || !own->live()) {
        return {};
    }
    auto uses = collect_by_team(demand);
    std::vector<incarnation_id> live;
    for (const auto& [incarnation, node] : state.nodes()) {
        if (node.live()) {
            live.push_back(incarnation);
        }
    }
    std::vector<team_units> deltas;
    for (const auto& team : state.config().teams) {
        const auto grants = state.grants().find(team.name);
        const auto team_demand = uses.find(team.name);
        const team_plan plan(
            merge_grants(team_demand == uses.end() ? team_use{} : std::move(team_demand->second),
                         grants == state.grants().end() ? nullptr : &grants->second, live, self),
            live.size(), team.upper_limit, state.granted_units(team.name), options);
        if (const auto delta = plan.delta_of(self); delta != 0) {
            deltas.push_back({.team = team.name, .units = delta});
        }
    }
    return deltas;
}

} // namespace hornbeamrail
