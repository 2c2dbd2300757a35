#include "coordination/demand_table.hpp"

#include <algorithm>
#include <cstdlib>

namespace hornbeamrail {

namespace {

// Changes of less than 1/32 are not sent, because they change a node's share of an upper limit by less than
// that.
constexpr std::int64_t significance_divisor = 32;

bool differs_significantly(std::int64_t left, std::int64_t right) {
    if ((left == 0) != (right == 0)) {
        return true;
    }
    return std::abs(left - right) * significance_divisor > std::max(left, right);
}

bool differs_significantly(const demand_units& left, const demand_units& right) {
    return differs_significantly(left.running, right.running) ||
           differs_significantly(left.queued, right.queued) ||
           differs_significantly(left.running + left.queued, right.running + right.queued);
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
    // Merges both sorted tables to find changed, new and vanished entries.
    std::vector<wire::Demand> before_next_key;
    std::vector<wire::Demand> from_next_key;
    const auto report = [&](const demand_key& key, const demand_units& units) {
        auto& target = key < this->next_key ? before_next_key : from_next_key;
        if (target.size() < max_entries) {
            target.push_back(to_wire(key, units));
        }
    };
    auto old = this->acknowledged.begin();
    for (const auto& [key, units] : current.all()) {
        for (; old != this->acknowledged.end() && old->first < key; ++old) {
            report(old->first, {});
        }
        const bool known = old != this->acknowledged.end() && old->first == key;
        if (!known || differs_significantly(units, old->second)) {
            report(key, units);
        }
        if (known) {
            ++old;
        }
    }
    for (; old != this->acknowledged.end(); ++old) {
        report(old->first, {});
    }
    const auto remaining_entries = max_entries - from_next_key.size();
    before_next_key.resize(std::min(before_next_key.size(), remaining_entries));
    std::move(before_next_key.begin(), before_next_key.end(), std::back_inserter(from_next_key));
    this->next_key = from_next_key.size() < max_entries
                         ? demand_key{}
                         : demand_key{from_next_key.back().service_name, from_next_key.back().team_name};
    return from_next_key;
}

void demand_link::on_acknowledged(const std::vector<wire::Demand>& sent) {
    this->is_peer_copy_unknown = false;
    for (const auto& entry : sent) {
        demand_key key{.service = entry.service_name, .team = entry.team_name};
        if (entry.running == 0 && entry.queued == 0) {
            this->acknowledged.erase(key);
            continue;
        }
        this->acknowledged.insert_or_assign(std::move(key),
                                            demand_units{.running = entry.running,
                                                         .queued = entry.queued,
                                                         .oldest_wait_ms = entry.oldest_wait_ms});
    }
}

void demand_link::reset() {
    this->acknowledged.clear();
    this->next_key = {};
    this->is_peer_copy_unknown = true;
}

} // namespace hornbeamrail
