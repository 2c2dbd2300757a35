#include "coordination/demand_table.hpp"

#include <algorithm>
#include <cstdlib>

namespace hornbeamrail {

namespace {

// Smaller relative changes are not worth a message: they move a node's part of a limit by less.
constexpr std::int64_t significant_part = 32;

bool differs(std::int64_t left, std::int64_t right) {
    if ((left == 0) != (right == 0)) {
        return true;
    }
    return std::abs(left - right) * significant_part > std::max(left, right);
}

bool differs(const demand_units& left, const demand_units& right) {
    return differs(left.running, right.running) || differs(left.queued, right.queued) ||
           differs(left.running + left.queued, right.running + right.queued);
}

wire::Demand to_wire(const demand_key& key, const demand_units& units) {
    wire::Demand entry;
    entry.service_name = key.service;
    entry.team_name = key.team;
    entry.running = units.running;
    entry.queued = units.queued;
    entry.oldest_wait_ms = units.oldest_wait_ms;
    return entry;
}

} // namespace

demand_table::demand_table(const std::vector<service_demand>& demand) {
    for (const auto& entry : demand) {
        if (entry.running != 0 || entry.queued != 0) {
            auto& units = this->entries[{.service = entry.service, .team = entry.team}];
            units.running += entry.running;
            units.queued += entry.queued;
            units.oldest_wait_ms = std::max<std::int64_t>(units.oldest_wait_ms, entry.oldest_wait.count());
        }
    }
}

void demand_table::add(const demand_table& other) {
    auto hint = this->entries.begin();
    for (const auto& [key, units] : other.entries) {
        hint = this->entries.try_emplace(hint, key);
        hint->second.running += units.running;
        hint->second.queued += units.queued;
        hint->second.oldest_wait_ms = std::max(hint->second.oldest_wait_ms, units.oldest_wait_ms);
    }
}

void demand_table::apply(const std::vector<wire::Demand>& changes) {
    for (const auto& change : changes) {
        demand_key key{.service = change.service_name, .team = change.team_name};
        if (change.running <= 0 && change.queued <= 0) {
            this->entries.erase(key);
            continue;
        }
        this->entries.insert_or_assign(std::move(key), demand_units{.running = change.running,
                                                                    .queued = change.queued,
                                                                    .oldest_wait_ms = change.oldest_wait_ms});
    }
}

std::vector<service_demand> demand_table::to_vector() const {
    std::vector<service_demand> demand;
    demand.reserve(this->entries.size());
    for (const auto& [key, units] : this->entries) {
        demand.push_back({.service = key.service,
                          .team = key.team,
                          .running = units.running,
                          .queued = units.queued,
                          .oldest_wait = std::chrono::milliseconds(units.oldest_wait_ms)});
    }
    return demand;
}

std::vector<wire::Demand> demand_link::changes(const demand_table& current, std::size_t max_entries) {
    if (max_entries == 0) {
        return {};
    }
    // A merge over both sorted tables finds changed, new and vanished entries.
    std::vector<wire::Demand> before_position;
    std::vector<wire::Demand> from_position;
    const auto report = [&](const demand_key& key, const demand_units& units) {
        auto& part = key < this->position ? before_position : from_position;
        if (part.size() < max_entries) {
            part.push_back(to_wire(key, units));
        }
    };
    auto old = this->held.begin();
    for (const auto& [key, units] : current.all()) {
        for (; old != this->held.end() && old->first < key; ++old) {
            report(old->first, {});
        }
        const bool known = old != this->held.end() && old->first == key;
        if (!known || differs(units, old->second)) {
            report(key, units);
        }
        if (known) {
            ++old;
        }
    }
    for (; old != this->held.end(); ++old) {
        report(old->first, {});
    }
    const auto room = max_entries - from_position.size();
    before_position.resize(std::min(before_position.size(), room));
    std::move(before_position.begin(), before_position.end(), std::back_inserter(from_position));
    this->position = from_position.size() < max_entries
                         ? demand_key{}
                         : demand_key{from_position.back().service_name, from_position.back().team_name};
    return from_position;
}

void demand_link::on_answered(const std::vector<wire::Demand>& sent) {
    this->unknown = false;
    for (const auto& entry : sent) {
        demand_key key{.service = entry.service_name, .team = entry.team_name};
        if (entry.running == 0 && entry.queued == 0) {
            this->held.erase(key);
            continue;
        }
        this->held.insert_or_assign(std::move(key), demand_units{.running = entry.running,
                                                                 .queued = entry.queued,
                                                                 .oldest_wait_ms = entry.oldest_wait_ms});
    }
}

void demand_link::reset() {
    this->held.clear();
    this->position = {};
    this->unknown = true;
}

} // namespace hornbeamrail
