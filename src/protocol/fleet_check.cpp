#include "protocol/fleet_check.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

namespace hornbeamrail {

namespace {

template <class Table>
void check_unique_names(const Table& table, std::string_view field, std::vector<diagnostic>& found) {
    std::set<std::string_view> names;
    for (std::size_t index = 0; index < table.size(); ++index) {
        const std::string& name = table[index].name;
        if (!name.empty() && !names.insert(name).second) {
            found.push_back({indexed_path(fmt::format("$.{}", field), index) + ".name",
                             fmt::format("\"{}\" is defined twice", name), "rename or remove one of them"});
        }
    }
}

std::string service_path(std::size_t index, std::string_view field) {
    return fmt::format("$.services[{}].{}", index, field);
}

void check_pools(const fleet_config& config, std::vector<diagnostic>& found) {
    for (std::size_t index = 0; index < config.pools.size(); ++index) {
        const auto& pool = config.pools[index];
        if (pool.min_vms > pool.vms) {
            found.push_back({fmt::format("$.pools[{}].min_vms", index),
                             fmt::format("min_vms {} is larger than vms {}", pool.min_vms, pool.vms),
                             "lower min_vms or raise vms"});
        }
        const auto* service = config.service_of_pool(pool.name);
        if (pool.spare && service != nullptr) {
            found.push_back({fmt::format("$.pools[{}].spare", index),
                             fmt::format("spare pool \"{}\" serves \"{}\"", pool.name, service->name),
                             "give the service a pool of its own"});
        }
        if (!pool.spare && service == nullptr && !pool.name.empty()) {
            found.push_back({fmt::format("$.pools[{}].name", index),
                             fmt::format("pool \"{}\" has no service", pool.name),
                             "name it in a service or set \"spare\": true"});
        }
    }
}

void check_service_pool(const fleet_config& config, std::size_t index, std::vector<diagnostic>& found) {
    const auto& service = config.services[index];
    if (service.pool.empty()) {
        return;
    }
    if (config.find_pool(service.pool) == nullptr) {
        found.push_back({service_path(index, "pool"), fmt::format("pool \"{}\" is not defined", service.pool),
                         "add it to $.pools or correct the name"});
    }
    for (std::size_t other = 0; other < index; ++other) {
        if (config.services[other].pool == service.pool) {
            found.push_back(
                {service_path(index, "pool"),
                 fmt::format("pool \"{}\" already serves \"{}\"", service.pool, config.services[other].name),
                 "give each service a pool of its own"});
        }
    }
}

void check_open_team(const fleet_config& config, std::size_t index, std::vector<diagnostic>& found) {
    const auto& service = config.services[index];
    if (!service.open) {
        if (!service.open_team.empty()) {
            found.push_back({service_path(index, "open_team"), "set although the service is not open",
                             "remove it or set \"open\": true"});
        }
        return;
    }
    const auto* team = config.find_team(service.open_team);
    if (team == nullptr) {
        found.push_back({service_path(index, "open_team"),
                         fmt::format("team \"{}\" is not defined", service.open_team),
                         "name the bounded team that open requests run under"});
        return;
    }
    if (!config.team_may_use(*team, service.name)) {
        found.push_back({service_path(index, "open_team"),
                         fmt::format("team \"{}\" may not use \"{}\"", team->name, service.name),
                         "add the service to the team's services"});
    }
}

void check_dependencies(const fleet_config& config, std::size_t index, std::vector<diagnostic>& found) {
    const auto& service = config.services[index];
    for (std::size_t position = 0; position < service.depends_on.size(); ++position) {
        const auto& name = service.depends_on[position];
        const auto path = service_path(index, indexed_path("depends_on", position));
        const auto* dependency = config.find_service(name);
        if (dependency == nullptr) {
            found.push_back({path, fmt::format("service \"{}\" is not defined", name),
                             "add it to $.services or correct the name"});
            continue;
        }
        if (dependency->availability.max_failed_part > service.availability.max_failed_part) {
            found.push_back({service_path(index, "availability.max_failed_part"),
                             fmt::format("budget {} is smaller than that of its dependency \"{}\" ({})",
                                         service.availability.max_failed_part, name,
                                         dependency->availability.max_failed_part),
                             "raise this budget or tighten the dependency's"});
        }
    }
}

void check_budget(const fleet_config& config, std::size_t index, std::vector<diagnostic>& found) {
    const double part = config.services[index].availability.max_failed_part;
    if (part <= 0 || part >= 1) {
        found.push_back({service_path(index, "availability.max_failed_part"),
                         fmt::format("a budget of {} cannot be kept", part),
                         "use a part greater than 0 and less than 1, for example 0.001"});
    }
}

/// Depth-first search for a dependency cycle through @p name.
bool reaches_itself(const fleet_config& config, const std::string& name, const std::string& target,
                    std::set<std::string>& visited, std::string& trail) {
    const auto* service = config.find_service(name);
    if (service == nullptr) {
        return false;
    }
    for (const auto& next : service->depends_on) {
        if (next == target) {
            trail = name + " -> " + next;
            return true;
        }
        if (visited.insert(next).second && reaches_itself(config, next, target, visited, trail)) {
            trail = name + " -> " + trail;
            return true;
        }
    }
    return false;
}

void check_cycles(const fleet_config& config, std::vector<diagnostic>& found) {
    for (std::size_t index = 0; index < config.services.size(); ++index) {
        std::set<std::string> visited;
        std::string trail;
        const auto& name = config.services[index].name;
        if (reaches_itself(config, name, name, visited, trail)) {
            found.push_back({service_path(index, "depends_on"), "dependency cycle: " + trail,
                             "remove one of these dependencies"});
            return;
        }
    }
}

void check_teams(const fleet_config& config, std::vector<diagnostic>& found) {
    constexpr double rounding = 1e-6;
    double sum = 0;
    for (std::size_t index = 0; index < config.teams.size(); ++index) {
        const auto& team = config.teams[index];
        sum += team.share;
        for (std::size_t position = 0; position < team.services.size(); ++position) {
            if (config.find_service(team.services[position]) == nullptr) {
                found.push_back({fmt::format("$.teams[{}].services[{}]", index, position),
                                 fmt::format("service \"{}\" is not defined", team.services[position]),
                                 "add it to $.services or correct the name"});
            }
        }
    }
    if (sum > 100 + rounding) {
        found.push_back({"$.teams", fmt::format("shares add up to {} percent", sum),
                         "lower shares until they add up to at most 100"});
    }
}

} // namespace

void check_fleet_config(const fleet_config& config, std::vector<diagnostic>& diagnostics) {
    check_unique_names(config.zones, "zones", diagnostics);
    check_unique_names(config.pools, "pools", diagnostics);
    check_unique_names(config.services, "services", diagnostics);
    check_unique_names(config.teams, "teams", diagnostics);
    if (config.zones.empty()) {
        diagnostics.push_back({"$.zones", "no zone is defined", "add at least one zone"});
    }
    check_pools(config, diagnostics);
    for (std::size_t index = 0; index < config.services.size(); ++index) {
        check_service_pool(config, index, diagnostics);
        check_open_team(config, index, diagnostics);
        check_dependencies(config, index, diagnostics);
        check_budget(config, index, diagnostics);
    }
    check_cycles(config, diagnostics);
    check_teams(config, diagnostics);
}

} // namespace hornbeamrail
