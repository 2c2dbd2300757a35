#include "coordination/grant_manager.hpp"

#include <algorithm>
#include <unordered_map>

namespace hornbeamrail {

namespace {

struct team_sums {
    std::int64_t own = 0;
    std::int64_t own_running = 0;
    std::int64_t all = 0;
};

// A node holds this part of its demand in addition, so that growth does not wait for an append.
constexpr std::int64_t headroom_divisor = 10;

// Surplus below this part of the limit stays, so that small swings cause no appends.
constexpr std::int64_t hysteresis_divisor = 100;

std::int64_t target_of(const team_sums& sums, std::int64_t limit) {
    if (sums.own == 0) {
        return 0;
    }
    const auto part = limit * sums.own / std::max<std::int64_t>(sums.all, 1);
    const auto wanted = sums.own + std::max<std::int64_t>(1, sums.own / headroom_divisor);
    return std::max<std::int64_t>(1, std::min(part, wanted));
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
        const auto target = target_of(sums, config->upper_limit);
        if (target > granted) {
            const auto free = config->upper_limit - state.granted_units(team);
            if (const auto units = std::min(target - granted, free); units > 0) {
                deltas.push_back({.team = std::string(team), .units = units});
            }
            continue;
        }
        // While others have demand, surplus goes back at once; else it stays unless this node has no demand.
        const bool wanted_elsewhere = sums.all > sums.own;
        const auto surplus = granted - std::max(target, sums.own_running);
        if (surplus > (sums.own == 0 ? 0 : config->upper_limit / hysteresis_divisor) &&
            (wanted_elsewhere || sums.own == 0)) {
            deltas.push_back({.team = std::string(team), .units = -surplus});
        }
    }
    return deltas;
}

bool grant_manager::plan_is_due(boot_time now) const {
    return now >= this->next_plan && this->planned.empty() && !this->open;
}

void grant_manager::begin(boot_time now, std::vector<team_units> deltas) {
    this->next_plan = now + this->interval;
    this->reports = 0;
    this->planned = std::move(deltas);
    for (const auto& delta : this->planned) {
        if (delta.units < 0) {
            this->lowered[delta.team] = -delta.units;
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
    if (this->planned.empty() || node == nullptr || this->open) {
        return std::nullopt;
    }
    if (!this->lowered.empty() && this->reports < reports_before_release) {
        return std::nullopt;
    }
    grant_delta_record record{.incarnation = self, .sequence = node->grant_sequence + 1, .deltas = {}};
    for (auto& delta : this->planned) {
        if (delta.units < 0) {
            const auto found = this->running_units.find(delta.team);
            const auto busy = found == this->running_units.end() ? 0 : found->second;
            const auto idle = std::max<std::int64_t>(0, state.grant_of(delta.team, self) - busy);
            delta.units = -std::min(-delta.units, idle);
            this->lowered[delta.team] = -delta.units;
        }
        if (delta.units != 0) {
            record.deltas.push_back(delta);
        }
    }
    this->planned.clear();
    if (record.deltas.empty()) {
        this->lowered.clear();
        return std::nullopt;
    }
    this->open = std::move(record);
    return this->open;
}

void grant_manager::on_folded(incarnation_id self, const fleet_state& state) {
    const auto* node = state.find_node(self);
    if (!this->open || node == nullptr || node->grant_sequence < this->open->sequence) {
        return;
    }
    this->open.reset();
    this->lowered.clear();
}

void grant_manager::drop() {
    this->planned.clear();
    this->lowered.clear();
    this->open.reset();
}

std::int64_t grant_manager::usable(std::string_view team, incarnation_id self,
                                   const fleet_state& state) const {
    const auto granted = state.grant_of(team, self);
    const auto found = this->lowered.find(team);
    return std::max<std::int64_t>(0, granted - (found == this->lowered.end() ? 0 : found->second));
}

} // namespace hornbeamrail
