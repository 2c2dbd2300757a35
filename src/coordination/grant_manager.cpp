#include "coordination/grant_manager.hpp"

#include <algorithm>
#include <unordered_map>

namespace hornbeamrail {

namespace {

/// Demand for one team in units.
struct team_sums {
    std::int64_t own = 0;         ///< running and queued on this node
    std::int64_t own_running = 0; ///< running on this node
    std::int64_t all = 0;         ///< running and queued on all nodes
};

// A node acquires 1/10 of its demand, at least one unit, in addition, so that growth does not wait for an
// append.
constexpr std::int64_t headroom_divisor = 10;

// A node with demand keeps a surplus of up to 1/100 of the upper limit, so that small fluctuations cause no
// appends.
constexpr std::int64_t hysteresis_divisor = 100;

std::int64_t target_units(const team_sums& sums, std::int64_t limit) {
    if (sums.own == 0) {
        return 0;
    }
    const auto proportional_share = limit * sums.own / std::max<std::int64_t>(sums.all, 1);
    const auto demand_with_headroom = sums.own + std::max<std::int64_t>(1, sums.own / headroom_divisor);
    return std::max<std::int64_t>(1, std::min(proportional_share, demand_with_headroom));
}

} // namespace

std::vector<team_units> plan_grants_by_sums(incarnation_id self, const fleet_state& state,
                                            const fleet_demand& demand) {
    std::map<std::string_view, team_sums> teams;
    for (const auto& node : demand.nodes) {
        for (const auto& entry : node.services) {
            auto& sums = teams[entry.team];
            sums.all += entry.running + entry.queued;
            if (node.incarnation == self) {
                sums.own += entry.running + entry.queued;
                sums.own_running += entry.running;
            }
        }
    }
    for (const auto& [team, holders] : state.grants()) {
        if (holders.contains(self)) {
            teams.try_emplace(team);
        }
    }
    std::unordered_map<std::string_view, const team_config*> configs;
    for (const auto& team : state.config().teams) {
        configs.emplace(team.name, &team);
    }
    std::vector<team_units> deltas;
    for (const auto& [team, sums] : teams) {
        const auto found = configs.find(team);
        if (found == configs.end()) {
            continue;
        }
        const auto* config = found->second;
        const auto granted = state.grant_of(team, self);
        const auto target = target_units(sums, config->upper_limit);
        if (target > granted) {
            const auto unallocated = config->upper_limit - state.granted_units(team);
            if (const auto units = std::min(target - granted, unallocated); units > 0) {
                deltas.push_back({.team = std::string(team), .units = units});
            }
            continue;
        }
        // Surplus is returned at once while other nodes have demand. Otherwise it is kept unless this node
        // has no demand.
        const bool others_have_demand = sums.all > sums.own;
        const auto surplus = granted - std::max(target, sums.own_running);
        if (surplus > (sums.own == 0 ? 0 : config->upper_limit / hysteresis_divisor) &&
            (others_have_demand || sums.own == 0)) {
            deltas.push_back({.team = std::string(team), .units = -surplus});
        }
    }
    return deltas;
}

bool grant_manager::plan_is_due(boot_time now) const {
    return now >= this->next_plan && this->planned_deltas.empty() && !this->outstanding;
}

void grant_manager::begin_plan(boot_time now, std::vector<team_units> deltas) {
    this->next_plan = now + this->interval;
    this->reports = 0;
    this->planned_deltas = std::move(deltas);
    for (const auto& delta : this->planned_deltas) {
        if (delta.units < 0) {
            this->withheld[delta.team] = -delta.units;
        }
    }
}

void grant_manager::on_running(const std::vector<team_units>& running) {
    this->running_units.clear();
    for (const auto& entry : running) {
        this->running_units[entry.team] += entry.units;
    }
    ++this->reports;
}

std::optional<grant_delta_record> grant_manager::next_record(incarnation_id self, const fleet_state& state) {
    const auto* node = state.find_node(self);
    if (this->planned_deltas.empty() || node == nullptr || this->outstanding) {
        return std::nullopt;
    }
    if (!this->withheld.empty() && this->reports < reports_before_release) {
        return std::nullopt;
    }
    grant_delta_record record{.incarnation = self, .sequence = node->grant_sequence + 1, .deltas = {}};
    for (auto& delta : this->planned_deltas) {
        if (delta.units < 0) {
            const auto found = this->running_units.find(delta.team);
            const auto busy = found == this->running_units.end() ? 0 : found->second;
            const auto idle = std::max<std::int64_t>(0, state.grant_of(delta.team, self) - busy);
            delta.units = -std::min(-delta.units, idle);
            this->withheld[delta.team] = -delta.units;
        }
        if (delta.units != 0) {
            record.deltas.push_back(delta);
        }
    }
    this->planned_deltas.clear();
    if (record.deltas.empty()) {
        this->withheld.clear();
        return std::nullopt;
    }
    this->outstanding = std::move(record);
    return this->outstanding;
}

void grant_manager::on_folded(incarnation_id self, const fleet_state& state) {
    const auto* node = state.find_node(self);
    if (!this->outstanding || node == nullptr || node->grant_sequence < this->outstanding->sequence) {
        return;
    }
    this->outstanding.reset();
    this->withheld.clear();
}

void grant_manager::drop() {
    this->planned_deltas.clear();
    this->withheld.clear();
    this->outstanding.reset();
}

std::int64_t grant_manager::usable(std::string_view team, incarnation_id self,
                                   const fleet_state& state) const {
    const auto granted = state.grant_of(team, self);
    const auto found = this->withheld.find(team);
    return std::max<std::int64_t>(0, granted - (found == this->withheld.end() ? 0 : found->second));
}

} // namespace hornbeamrail
