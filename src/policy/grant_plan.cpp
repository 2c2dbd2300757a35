#include "policy/grant_plan.hpp"

#include "policy/fair_share.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <unordered_map>

namespace hornbeamrail {

namespace {

/// Units of one team at one node.
struct node_use {
    incarnation_id node = 0;
    std::int64_t running = 0;
    std::int64_t queued = 0;
    std::int64_t oldest_wait_ms = 0;
    std::int64_t granted = 0;
    std::int64_t target = 0;

    [[nodiscard]] std::int64_t demand() const { return this->running + this->queued; }
};

using team_use = std::vector<node_use>;

std::unordered_map<std::string, std::map<incarnation_id, node_use>> collect(const fleet_demand& demand) {
    std::unordered_map<std::string, std::map<incarnation_id, node_use>> teams;
    for (const auto& node : demand.nodes) {
        for (const auto& entry : node.services) {
            auto& use = teams[entry.team][node.incarnation];
            use.running += entry.running;
            use.queued += entry.queued;
            use.oldest_wait_ms =
                std::max<std::int64_t>(use.oldest_wait_ms, entry.queued > 0 ? entry.oldest_wait.count() : 0);
        }
    }
    return teams;
}

/// Sets each node's part of the limit: in proportion to demand, and at least 1 unit for a node with demand.
/// When there are fewer units than nodes with demand, those whose requests have waited longest come first, so
/// that the units pass from node to node.
void set_targets(team_use& nodes, std::int64_t limit) {
    std::vector<std::size_t> asking;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        nodes[i].target = 0;
        if (nodes[i].demand() > 0) {
            asking.push_back(i);
        }
    }
    if (static_cast<std::int64_t>(asking.size()) >= limit) {
        std::sort(asking.begin(), asking.end(), [&](std::size_t a, std::size_t b) {
            return nodes[a].oldest_wait_ms != nodes[b].oldest_wait_ms
                       ? nodes[a].oldest_wait_ms > nodes[b].oldest_wait_ms
                       : nodes[a].node < nodes[b].node;
        });
        for (std::int64_t i = 0; i < limit; ++i) {
            nodes[asking[static_cast<std::size_t>(i)]].target = 1;
        }
        return;
    }
    std::vector<std::int64_t> demand;
    for (const auto i : asking) {
        demand.push_back(nodes[i].demand());
    }
    // One unit each first, the rest by demand.
    const auto rest = split_by_demand(limit - static_cast<std::int64_t>(asking.size()), demand);
    for (std::size_t n = 0; n < asking.size(); ++n) {
        nodes[asking[n]].target = 1 + rest[n];
    }
}

class team_plan {
public:
    team_plan(team_use uses, std::int64_t upper_limit, std::int64_t granted_by_all,
              const grant_plan_options& plan_options)
        : nodes(std::move(uses)), limit(upper_limit), free(upper_limit - granted_by_all),
          options(plan_options) {
        set_targets(this->nodes, this->limit);
    }

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
            return this->acquire(missing, short_units);
        }
        if (short_units > 0) {
            return -this->give_back(*own, short_units, largest_shortage);
        }
        return this->standing(*own);
    }

private:
    [[nodiscard]] std::int64_t part_of(double part, std::int64_t whole) const {
        return std::max<std::int64_t>(1, std::llround(part * static_cast<double>(whole)));
    }

    /// Units that the node could use at once and does not hold.
    [[nodiscard]] std::int64_t shortage(const node_use& use) const {
        if (use.demand() == 0) {
            return 0;
        }
        const auto wanted = use.demand() + this->part_of(this->options.headroom_part, use.demand());
        return std::max<std::int64_t>(0, std::min(use.target, wanted) - use.granted);
    }

    [[nodiscard]] std::int64_t acquire(std::int64_t missing, std::int64_t short_units) const {
        if (this->free <= 0) {
            return 0;
        }
        if (this->free >= short_units) {
            return missing;
        }
        // Rounded up: the fold gives each node what is left, and no unit stays free.
        return std::min(missing, (this->free * missing + short_units - 1) / short_units);
    }

    [[nodiscard]] std::int64_t give_back(const node_use& own, std::int64_t short_units,
                                         std::int64_t largest_shortage) const {
        const auto needed = short_units - this->free;
        const auto surplus = std::max<std::int64_t>(0, own.granted - std::max(own.target, own.running));
        if (needed <= 0 || surplus <= 0) {
            return 0;
        }
        const bool starving = std::any_of(this->nodes.begin(), this->nodes.end(), [&](const auto& use) {
            return use.granted == 0 && this->shortage(use) > 0;
        });
        if (!starving && largest_shortage <= this->part_of(this->options.hysteresis_part, this->limit)) {
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

    [[nodiscard]] std::int64_t standing(const node_use& own) const {
        const auto level =
            static_cast<std::int64_t>(this->options.standing_part * static_cast<double>(this->limit) /
                                      static_cast<double>(this->nodes.size()));
        return std::min(this->free, std::max<std::int64_t>(0, level - own.granted));
    }

    team_use nodes;
    std::int64_t limit;
    std::int64_t free;
    const grant_plan_options& options;
};

} // namespace

std::vector<team_units> plan_grants(incarnation_id self, const fleet_state& state, const fleet_demand& demand,
                                    const grant_plan_options& options) {
    const auto* own = state.find_node(self);
    if (own == nullptr || !own->live()) {
        return {};
    }
    const auto uses = collect(demand);
    std::vector<team_units> deltas;
    for (const auto& team : state.config().teams) {
        const auto asked = uses.find(team.name);
        team_use nodes;
        for (const auto& [incarnation, node] : state.nodes()) {
            if (!node.live()) {
                continue;
            }
            node_use use{.node = incarnation};
            if (asked != uses.end()) {
                if (const auto found = asked->second.find(incarnation); found != asked->second.end()) {
                    use = found->second;
                    use.node = incarnation;
                }
            }
            use.granted = state.grant_of(team.name, incarnation);
            nodes.push_back(use);
        }
        const team_plan plan(std::move(nodes), team.upper_limit, state.granted_units(team.name), options);
        if (const auto delta = plan.delta_of(self); delta != 0) {
            deltas.push_back({.team = team.name, .units = delta});
        }
    }
    return deltas;
}

} // namespace hornbeamrail
