#include "protocol/fleet_check.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

namespace hornbeamrail {

namespace {

template <class Table>
void check_unique_names(const Table& table, std::string_view field, std::vector<diagnostic>& findings) {
    std::set<std::string_view> names;
    for (std::size_t index = 0; index < table.size(); ++index) {
        const std::string& name = table[index].name;
        if (!name.empty() && !names.insert(name).second) {
            findings.push_back({indexed_path(fmt::format("$.{}", field), index) + ".name",
                                fmt::format("\"{}\" is defined twice", name),
                                "rename or remove one of them"});
        }
    }
}

std::string service_path(std::size_t index, std::string_view field) {
    return fmt::format("$.services[{}].{}", index, field);
}

void check_pools(const fleet_config& config, std::vector<diagnostic>& findings) {
    for (std::size_t index = 0; index < config.pools.size(); ++index) {
        const auto& pool = config.pools[index];
        if (pool.min_vms > pool.vms) {
            findings.push_back({fmt::format("$.pools[{}].min_vms", index),
                                fmt::format("min_vms {} is larger than vms {}", pool.min_vms, pool.vms),
                                "lower min_vms or raise vms"});
        }
        const auto* service = config.service_of_pool(pool.name);
        if (pool.spare && service != nullptr) {
            findings.push_back({fmt::format("$.pools[{}].spare", index),
                                fmt::format("spare pool \"{}\" serves \"{}\"", pool.name, service->name),
                                "give the service a pool of its own"});
        }
        if (!pool.spare && service == nullptr && !pool.name.empty()) {
            findings.push_back({fmt::format("$.pools[{}].name", index),
                                fmt::format("pool \"{}\" has no service", pool.name),
                                "name it in a service or set \"spare\": true"});
        }
    }
}

void check_service_pool(const fleet_config& config, std::size_t index, std::vector<diagnostic>& findings) {
    const auto& service = config.services[index];
    if (service.pool.empty()) {
        return;
    }
    if (config.find_pool(service.pool) == nullptr) {
        findings.push_back({service_path(index, "pool"),
                            fmt::format("pool \"{}\" is not defined", service.pool),
                            "add it to $.pools or correct the name"});
    }
    for (std::size_t other = 0; other < index; ++other) {
        if (config.services[other].pool == service.pool) {
            findings.push_back(
                {service_path(index, "pool"),
                 fmt::format("pool \"{}\" already serves \"{}\"", service.pool, config.services[other].name),
                 "give each service a pool of its own"});
        }
    }
}

void check_open_team(const fleet_config& config, std::size_t index, std::vector<diagnostic>& findings) {
    const auto& service = config.services[index];
    if (!service.open) {
        if (!service.open_team.empty()) {
            findings.push_back({service_path(index, "open_team"), "set although the service is not open",
                                "remove it or set \"open\": true"});
        }
        return;
    }
    const auto* team = config.find_team(service.open_team);
    if (team == nullptr) {
        findings.push_back({service_path(index, "open_team"),
                            fmt::format("team \"{}\" is not defined", service.open_team),
                            "name the bounded team that open requests run under"});
        return;
    }
    if (!config.team_may_use(*team, service.name)) {
        findings.push_back({service_path(index, "open_team"),
                            fmt::format("team \"{}\" may not use \"{}\"", team->name, service.name),
                            "add the service to the team's services"});
    }
}

void check_dependencies(const fleet_config& config, std::size_t index, std::vector<diagnostic>& findings) {
    const auto& service = config.services[index];
    for (std::size_t position = 0; position < service.depends_on.size(); ++position) {
        const auto& name = service.depends_on[position];
        const auto path = service_path(index, indexed_path("depends_on", position));
        const auto* dependency = config.find_service(name);
        if (dependency == nullptr) {
            findings.push_back({path, fmt::format("service \"{}\" is not defined", name),
                                "add it to $.services or correct the name"});
            continue;
        }
        if (dependency->availability.max_failed_part > service.availability.max_failed_part) {
            findings.push_back({service_path(index, "availability.max_failed_part"),
                                fmt::format("budget {} is smaller than that of its dependency \"{}\" ({})",
                                            service.availability.max_failed_part, name,
                                            dependency->availability.max_failed_part),
                                "raise this budget or tighten the dependency's"});
        }
    }
}

void check_budget(const fleet_config& config, std::size_t index, std::vector<diagnostic>& findings) {
    const double part = config.services[index].availability.max_failed_part;
    if (part <= 0 || part >= 1) {
        findings.push_back({service_path(index, "availability.max_failed_part"),
                            fmt::format("a failure budget of {} is out of range", part),
                            "use a fraction greater than 0 and less than 1, for example 0.001"});
    }
}

/// Finds a dependency cycle by depth-first search, in time linear in the number of dependencies.
class cycle_search {
public:
    explicit cycle_search(const fleet_config& fleet)
        : config(fleet), marks(fleet.services.size(), mark::unvisited) {
        for (std::size_t index = 0; index < fleet.services.size(); ++index) {
            this->index_of.emplace(fleet.services[index].name, index);
        }
    }

    /// @return the indices of the services of the first cycle in order, with the first one repeated at the
    /// end; empty without a cycle
    std::vector<std::size_t> find() {
        for (std::size_t index = 0; index < this->marks.size(); ++index) {
            if (this->visit(index)) {
                return this->path;
            }
        }
        return {};
    }

private:
    enum class mark { unvisited, on_path, done };

    bool visit(std::size_t index) {
        if (this->marks[index] == mark::done) {
            return false;
        }
        this->path.push_back(index);
        if (this->marks[index] == mark::on_path) {
            this->path.erase(this->path.begin(), std::find(this->path.begin(), this->path.end(), index));
            return true;
        }
        this->marks[index] = mark::on_path;
        for (const auto& name : this->config.services[index].depends_on) {
            const auto next = this->index_of.find(name);
            if (next != this->index_of.end() && this->visit(next->second)) {
                return true;
            }
        }
        this->marks[index] = mark::done;
        this->path.pop_back();
        return false;
    }

    const fleet_config& config;
    std::vector<mark> marks;
    std::map<std::string_view, std::size_t> index_of;
    std::vector<std::size_t> path;
};

void check_cycles(const fleet_config& config, std::vector<diagnostic>& findings) {
    const auto cycle = cycle_search(config).find();
    if (cycle.empty()) {
        return;
    }
    std::string names;
    for (const auto index : cycle) {
        names += (names.empty() ? "" : " -> ") + config.services[index].name;
    }
    findings.push_back({service_path(cycle.front(), "depends_on"), "dependency cycle: " + names,
                        "remove one of these dependencies"});
}

void check_teams(const fleet_config& config, std::vector<diagnostic>& findings) {
    constexpr double rounding = 1e-6; // tolerates the rounding errors of the sum
    std::set<std::string_view> services;
    for (const auto& service : config.services) {
        services.insert(service.name);
    }
    double sum = 0;
    for (std::size_t index = 0; index < config.teams.size(); ++index) {
        const auto& team = config.teams[index];
        sum += team.share;
        for (std::size_t position = 0; position < team.services.size(); ++position) {
            if (!services.contains(team.services[position])) {
                findings.push_back({fmt::format("$.teams[{}].services[{}]", index, position),
                                    fmt::format("service \"{}\" is not defined", team.services[position]),
                                    "add it to $.services or correct the name"});
            }
        }
    }
    if (sum > 100 + rounding) {
        findings.push_back({"$.teams", fmt::format("shares add up to {} percent", sum),
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
