#include "hornbeamrail/fleet_config.hpp"

#include "protocol/fleet_check.hpp"
#include "protocol/json_reader.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace hornbeamrail {

namespace {

constexpr std::int64_t max_count = 1'000'000;

// Limits of the tables. Every node checks each new fleet configuration, and the limits keep these checks
// within milliseconds. They are well above the planned size of 10 zones, 31 pools and 770 teams.
constexpr std::size_t max_zones = 100;
constexpr std::size_t max_pools = 1000;
constexpr std::size_t max_services = 1000;
constexpr std::size_t max_teams = 10'000;

template <class Table>
auto find_named(const Table& table, std::string_view name) -> decltype(table.data()) {
    const auto found =
        std::find_if(table.begin(), table.end(), [&](const auto& entry) { return entry.name == name; });
    return found == table.end() ? nullptr : &*found;
}

zone_config read_zone(const boost::json::value& value, std::string path, std::vector<diagnostic>& findings) {
    object_reader reader(value, std::move(path), findings);
    zone_config zone{.name = reader.required_string("name"), .region = reader.required_string("region")};
    reader.finish();
    return zone;
}

pool_config read_pool(const boost::json::value& value, std::string path, std::vector<diagnostic>& findings) {
    object_reader reader(value, std::move(path), findings);
    pool_config pool{
        .name = reader.required_string("name"),
        .vms = reader.required_integer("vms", 0, max_count),
        .min_vms = reader.optional_integer("min_vms", 0, 0, max_count),
        .cores_per_vm = reader.optional_integer("cores_per_vm", 32, 1, 4096),
        .memory_mb_per_vm = reader.optional_integer("memory_mb_per_vm", 65536, 1, 1 << 30),
        .accelerators_per_vm = reader.optional_integer("accelerators_per_vm", 0, 0, 1024),
        .spare = reader.optional_bool("spare", false),
    };
    reader.finish();
    return pool;
}

availability_target read_availability(const boost::json::value* value, std::string path,
                                      std::vector<diagnostic>& findings) {
    availability_target target;
    if (value == nullptr) {
        return target;
    }
    object_reader reader(*value, std::move(path), findings);
    target.window =
        std::chrono::hours(reader.optional_integer("window_hours", target.window.count(), 1, 24 * 366));
    target.max_failed_part = reader.optional_number("max_failed_part", target.max_failed_part, 0, 1);
    reader.finish();
    return target;
}

service_config read_service(const boost::json::value& value, std::string path,
                            std::vector<diagnostic>& findings) {
    object_reader reader(value, std::move(path), findings);
    service_config service{
        .name = reader.required_string("name"),
        .pool = reader.required_string("pool"),
        .depends_on = reader.string_array("depends_on", false),
        .availability =
            read_availability(reader.find("availability"), reader.path_of("availability"), findings),
        .open = reader.optional_bool("open", false),
        .open_team = reader.optional_string("open_team", ""),
        .longest_run = std::chrono::milliseconds(reader.optional_integer("longest_run_ms", 30000, 1, 30000)),
        .queue_limit = reader.optional_integer("queue_limit", 400, 1, 100000),
        .slots_per_executor = reader.optional_integer("slots_per_executor", 8, 1, 1024),
        .connections_per_executor = reader.optional_integer("connections_per_executor", 64, 1, 65536),
    };
    reader.finish();
    return service;
}

team_config read_team(const boost::json::value& value, std::string path, std::vector<diagnostic>& findings) {
    object_reader reader(value, std::move(path), findings);
    team_config team{
        .name = reader.required_string("name"),
        .share = reader.optional_number("share", 0, 0, 100),
        .upper_limit = reader.required_integer("upper_limit", 0, max_count),
        .services = reader.string_array("services", true),
    };
    reader.finish();
    return team;
}

maintenance_config read_maintenance(const boost::json::value* value, std::string path,
                                    std::vector<diagnostic>& findings) {
    maintenance_config maintenance;
    if (value == nullptr) {
        return maintenance;
    }
    object_reader reader(*value, std::move(path), findings);
    maintenance.period =
        std::chrono::hours(reader.optional_integer("period_hours", maintenance.period.count(), 1, 24 * 366));
    maintenance.max_parallel_part =
        reader.optional_number("max_parallel_part", maintenance.max_parallel_part, 0.001, 1);
    reader.finish();
    return maintenance;
}

template <class Entry, class Read>
std::vector<Entry> read_entries(object_reader& reader, std::string_view name, std::size_t max_entries,
                                std::vector<diagnostic>& findings, Read read) {
    std::vector<Entry> entries;
    const auto& elements = reader.array(name, true);
    if (elements.size() > max_entries) {
        reader.report(name, fmt::format("{} entries are too many", elements.size()),
                      fmt::format("keep it at {} entries or fewer", max_entries));
        return entries;
    }
    std::size_t index = 0;
    for (const auto& element : elements) {
        entries.push_back(read(element, indexed_path(reader.path_of(name), index), findings));
        ++index;
    }
    return entries;
}

} // namespace

const zone_config* fleet_config::find_zone(std::string_view name) const {
    return find_named(this->zones, name);
}

const pool_config* fleet_config::find_pool(std::string_view name) const {
    return find_named(this->pools, name);
}

const service_config* fleet_config::find_service(std::string_view name) const {
    return find_named(this->services, name);
}

const team_config* fleet_config::find_team(std::string_view name) const {
    return find_named(this->teams, name);
}

const service_config* fleet_config::service_of_pool(std::string_view pool) const {
    const auto found = std::find_if(this->services.begin(), this->services.end(),
                                    [&](const service_config& service) { return service.pool == pool; });
    return found == this->services.end() ? nullptr : &*found;
}

bool fleet_config::team_may_use(const team_config& team, std::string_view service) const {
    return std::find(team.services.begin(), team.services.end(), service) != team.services.end();
}

fleet_config read_fleet_config(const boost::json::value& document, std::vector<diagnostic>& diagnostics) {
    object_reader reader(document, "$", diagnostics);
    reader.required_integer("format", 1, 1);
    fleet_config config{
        .site = reader.required_string("site"),
        .zones = read_entries<zone_config>(reader, "zones", max_zones, diagnostics, read_zone),
        .pools = read_entries<pool_config>(reader, "pools", max_pools, diagnostics, read_pool),
        .services = read_entries<service_config>(reader, "services", max_services, diagnostics, read_service),
        .teams = read_entries<team_config>(reader, "teams", max_teams, diagnostics, read_team),
        .maintenance =
            read_maintenance(reader.find("maintenance"), reader.path_of("maintenance"), diagnostics),
    };
    reader.finish();
    check_fleet_config(config, diagnostics);
    return config;
}

result<fleet_config> parse_fleet_config(std::string_view text) {
    if (text.size() > max_fleet_config_bytes) {
        return make_error(errc::too_large, fmt::format("fleet configuration has {} bytes", text.size()),
                          fmt::format("keep it under {} bytes", max_fleet_config_bytes));
    }
    boost::system::error_code failure;
    const auto document = boost::json::parse(text, failure);
    if (failure) {
        return make_error(errc::parse_failed, "fleet configuration is not JSON: " + failure.message(),
                          "check quotes, commas and brackets");
    }
    std::vector<diagnostic> diagnostics;
    auto config = read_fleet_config(document, diagnostics);
    if (!diagnostics.empty()) {
        const auto& first = diagnostics.front();
        return make_error(errc::invalid_argument, first.path + ": " + first.message, first.remedy);
    }
    return config;
}

boost::json::value to_json(const fleet_config& config) {
    boost::json::array zones;
    for (const auto& zone : config.zones) {
        zones.push_back({{"name", zone.name}, {"region", zone.region}});
    }
    boost::json::array pools;
    for (const auto& pool : config.pools) {
        pools.push_back({{"name", pool.name},
                         {"vms", pool.vms},
                         {"min_vms", pool.min_vms},
                         {"cores_per_vm", pool.cores_per_vm},
                         {"memory_mb_per_vm", pool.memory_mb_per_vm},
                         {"accelerators_per_vm", pool.accelerators_per_vm},
                         {"spare", pool.spare}});
    }
    boost::json::array services;
    for (const auto& service : config.services) {
        services.push_back({{"name", service.name},
                            {"pool", service.pool},
                            {"depends_on", boost::json::value_from(service.depends_on)},
                            {"availability",
                             {{"window_hours", service.availability.window.count()},
                              {"max_failed_part", service.availability.max_failed_part}}},
                            {"open", service.open},
                            {"open_team", service.open_team},
                            {"longest_run_ms", service.longest_run.count()},
                            {"queue_limit", service.queue_limit},
                            {"slots_per_executor", service.slots_per_executor},
                            {"connections_per_executor", service.connections_per_executor}});
    }
    boost::json::array teams;
    for (const auto& team : config.teams) {
        teams.push_back({{"name", team.name},
                         {"share", team.share},
                         {"upper_limit", team.upper_limit},
                         {"services", boost::json::value_from(team.services)}});
    }
    return {{"format", 1},
            {"site", config.site},
            {"zones", std::move(zones)},
            {"pools", std::move(pools)},
            {"services", std::move(services)},
            {"teams", std::move(teams)},
            {"maintenance",
             {{"period_hours", config.maintenance.period.count()},
              {"max_parallel_part", config.maintenance.max_parallel_part}}}};
}

} // namespace hornbeamrail
